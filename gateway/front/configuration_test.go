package front_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform/standin"
)

// TestWhoIsLetIn: routes and keys, from a configuration that is known to be in force.
func TestWhoIsLetIn(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		for name, c := range map[string]struct {
			path, key, host string
			status          int
		}{
			"key":             {"/ping/1", key, host, 200},
			"no key":          {"/ping/1", "", host, 401},
			"another key":     {"/ping/1", "stolen", host, 401},
			"public, no key":  {"/open/1", "", host, 200},
			"no route":        {"/none/1", key, host, 404},
			"prefix's name":   {"/ping", key, host, 404},
			"no host":         {"/ping/1", key, "other.example", 404},
			"dots stay":       {"/ping/../x", key, host, 200},
			"slashes stay":    {"/ping//x", key, host, 200},
			"host with port":  {"/ping/1", key, host + ":80", 200},
			"host upper case": {"/ping/1", key, strings.ToUpper(host), 200},
		} {
			r := ping()
			r.Path, r.Key, r.Host = c.path, c.key, c.host
			a, err := w.do(0, r)
			assert.NilError(t, err)
			assert.Equal(t, a.Status, c.status, name)
		}
	})
}

// TestKeysNeedFreshKnowledge: while the store is away, a key that may have been taken away meanwhile is
// not served beyond its bound of 5 s; what needs no key is. When the store is back, all is served again.
func TestKeysNeedFreshKnowledge(t *testing.T) {
	for _, outage := range []standin.Outage{standin.Busy, standin.TooMany, standin.Reset, standin.Silent} {
		t.Run(string(outage), func(t *testing.T) {
			run(t, 2, 1, 2, func(w *world) {
				w.store.SetFault(standin.Fault{Outage: outage})
				began := time.Now()
				served := time.Duration(0)
				for time.Since(began) < 8*time.Second {
					a, err := w.do(0, ping())
					assert.NilError(t, err)
					if a.Status == 200 {
						served = time.Since(began)
					} else {
						assert.Equal(t, a.Status, 503)
						assert.Assert(t, a.RetryAfter != "")
					}
					time.Sleep(50 * time.Millisecond)
				}
				assert.Assert(t, served > 2900*time.Millisecond && served < 4*time.Second, "%v", served)
				assert.Assert(t, !w.isReady(0))
				assert.Equal(t, len(w.entry(1)), 0)
				open := ping()
				open.Path, open.Key = "/open/1", ""
				a, err := w.do(0, open)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 200)
				unknown := ping()
				unknown.Key = "new"
				a, err = w.do(0, unknown)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 503, "it may be a new key")
				w.store.SetFault(standin.Fault{})
				time.Sleep(2500 * time.Millisecond)
				a, err = w.do(0, ping())
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 200)
				assert.Assert(t, w.isReady(0))
				assert.Equal(t, len(w.entry(1)), 2)
			})
		})
	}
}

// TestChangesAreInForce: routes and keys that come or go are in force within the bound, and no lower
// version replaces a higher one.
func TestChangesAreInForce(t *testing.T) {
	for name, before := range map[string]func(*world){
		"calm":           func(*world) {},
		"history gone":   func(w *world) { w.store.ForgetHistory() },
		"store was away": func(w *world) { w.store.SetFault(standin.Fault{Outage: standin.Reset}); time.Sleep(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, 1, 1, func(w *world) {
				before(w)
				w.store.SetFault(standin.Fault{})
				c := w.config
				c.Version = 9
				c.Teams = []route.Team{{Name: "desk", Keys: []string{"new-key"}}}
				c.Routes = append([]route.Route{{Name: "new", Host: host, Prefix: "/new/", Targets: c.Routes[3].Targets, RetryPolicy: route.Idempotent, MaxAttempts: 2}}, c.Routes[1:]...)
				w.store.PutConfiguration(&c)
				time.Sleep(1500 * time.Millisecond)
				old := w.config
				old.Version = 8
				w.store.PutConfiguration(&old) // of a writer that was overtaken
				time.Sleep(1500 * time.Millisecond)
				r := ping()
				r.Key, r.Path = "new-key", "/new/1"
				a, err := w.do(1, r)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 200)
				a, err = w.do(1, ping())
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 401)
				gone := brief("b1")
				gone.Key = "new-key"
				a, err = w.do(1, gone)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 404)
			})
		})
	}
}

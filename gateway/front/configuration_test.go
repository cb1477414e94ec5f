package front_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform/standin"
)

// TestRoutesAndKeys checks which requests are served, and which are refused for their key (401) or
// route (404), while the configuration is known to be the newest.
func TestRoutesAndKeys(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		for name, c := range map[string]struct {
			path, key, host string
			status          int
		}{
			"key":             {"/ping/1", deskKey, routeHost, 200},
			"no key":          {"/ping/1", "", routeHost, 401},
			"another key":     {"/ping/1", "stolen", routeHost, 401},
			"public, no key":  {"/open/1", "", routeHost, 200},
			"no route":        {"/none/1", deskKey, routeHost, 404},
			"prefix's name":   {"/ping", deskKey, routeHost, 404},
			"no host":         {"/ping/1", deskKey, "other.example", 404},
			"dots stay":       {"/ping/../x", deskKey, routeHost, 200},
			"slashes stay":    {"/ping//x", deskKey, routeHost, 200},
			"host with port":  {"/ping/1", deskKey, routeHost + ":80", 200},
			"host upper case": {"/ping/1", deskKey, strings.ToUpper(routeHost), 200},
		} {
			r := pingRequest()
			r.Path, r.Key, r.Host = c.path, c.key, c.host
			a, err := w.send(0, r)
			assert.NilError(t, err)
			assert.Equal(t, a.Status, c.status, name)
		}
	})
}

// TestKeysNeedFreshConfiguration checks that during an outage of the store no key is served beyond
// its bound of 5 s, since it may have been revoked meanwhile. Requests that need no key are served
// all the time. After the outage all requests are served again.
func TestKeysNeedFreshConfiguration(t *testing.T) {
	for _, outage := range []standin.Outage{standin.Busy, standin.TooMany, standin.Reset, standin.Silent} {
		t.Run(string(outage), func(t *testing.T) {
			run(t, 2, 1, 2, func(w *world) {
				w.store.SetFault(standin.Fault{Outage: outage})
				began := time.Now()
				served := time.Duration(0)
				for time.Since(began) < 8*time.Second {
					a, err := w.send(0, pingRequest())
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
				assert.Equal(t, len(w.resolve(1)), 0)
				open := pingRequest()
				open.Path, open.Key = "/open/1", ""
				a, err := w.send(0, open)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 200)
				unknown := pingRequest()
				unknown.Key = "new"
				a, err = w.send(0, unknown)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 503, "it may be a new key")
				w.store.SetFault(standin.Fault{})
				time.Sleep(2500 * time.Millisecond)
				a, err = w.send(0, pingRequest())
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 200)
				assert.Assert(t, w.isReady(0))
				assert.Equal(t, len(w.resolve(1)), 2)
			})
		})
	}
}

// TestRevokedKeysOfAllTeams guards against requests that run once all teams have lost their keys: a configuration without
// a valid key counted as one without teams, so that every request was served, with revoked keys and with none.
func TestRevokedKeysOfAllTeams(t *testing.T) {
	team := func(name string, keys ...string) route.Team { return route.Team{Name: name, Keys: keys} }
	for name, revoked := range map[string][]route.Team{
		"no team has a key": {team("desk"), team("field")},
		"empty keys":        {team("desk", ""), team("field", "")},
		"one team is left":  {team("field")},
		"no team is left":   {},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, 1, 2, func(w *world) {
				c := w.config
				c.KeysRequired = true
				for i, teams := range [][]route.Team{{team("desk"), team("field", fieldKey)}, revoked} {
					c.Version, c.Teams = uint64(9+i), teams
					w.store.PutConfiguration(&c)
					time.Sleep(2 * time.Second)
				}
				w.assertAllKeysDenied()
				w.killFront(1)
				w.startFront(1)
				time.Sleep(2 * time.Second)
				w.assertAllKeysDenied()
				w.store.SetFault(standin.Fault{Outage: standin.Silent})
				time.Sleep(6 * time.Second)
				assert.Assert(w.t, !w.isReady(0)) // a newer configuration may have keys
			})
		})
	}
}

// assertAllKeysDenied checks that no key is accepted at any instance, and that public routes are served.
func (w *world) assertAllKeysDenied() {
	for i := range w.fronts {
		for _, key := range []string{deskKey, fieldKey, "another-key", "never-issued", ""} {
			for _, r := range []standin.Request{pingRequest(), logRequest(), briefRequest("b1")} {
				r.Key = key
				a, err := w.send(i, r)
				assert.NilError(w.t, err)
				assert.Equal(w.t, a.Status, 401, "%s with the key %q", r.Path, key)
			}
		}
		a, err := w.send(i, openRequest())
		assert.NilError(w.t, err)
		assert.Equal(w.t, a.Status, 200)
	}
}

// TestConfigurationChangesTakeEffect checks that added and removed routes and keys take effect
// within the bound, and that a lower version never replaces a higher one.
func TestConfigurationChangesTakeEffect(t *testing.T) {
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
				c.Routes = append([]route.Route{{Name: "new", Host: routeHost, Prefix: "/new/", Targets: c.Routes[3].Targets, RetryPolicy: route.Idempotent, MaxAttempts: 2}}, c.Routes[1:]...)
				w.store.PutConfiguration(&c)
				time.Sleep(1500 * time.Millisecond)
				old := w.config
				old.Version = 8
				w.store.PutConfiguration(&old) // from a writer that was overtaken by another one
				time.Sleep(1500 * time.Millisecond)
				r := pingRequest()
				r.Key, r.Path = "new-key", "/new/1"
				a, err := w.send(1, r)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 200)
				a, err = w.send(1, pingRequest())
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 401)
				gone := briefRequest("b1")
				gone.Key = "new-key"
				a, err = w.send(1, gone)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, 404)
			})
		})
	}
}

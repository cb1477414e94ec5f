package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// all sets a fault at all plain endpoints, at those from the first one given.
func (w *world) all(f standin.WorkerFault, from int) {
	for _, p := range w.plains[from:] {
		p.SetFault(f)
	}
}

// TestPlain: what a caller gets, and how often its request runs, for each way in which an endpoint fails.
func TestPlain(t *testing.T) {
	type fault = standin.WorkerFault
	for name, c := range map[string]struct {
		request standin.Request
		fault   fault
		spared  int // endpoints without the fault
		status  int
		runs    int
		signed  bool
	}{
		"once":                             {logLift(), fault{}, 0, 200, 1, true},
		"idempotent":                       {ping(), fault{}, 0, 200, 1, true},
		"once, refused by all":             {logLift(), fault{Shed: true}, 0, 503, 0, false},
		"once, refused by some":            {logLift(), fault{Shed: true}, 1, 200, 1, true},
		"once, failed":                     {logLift(), fault{Fail: true}, 0, 500, 1, true},
		"idempotent, failed by all":        {ping(), fault{Fail: true}, 0, 500, 2, true},
		"once, answer lost":                {logLift(), fault{LoseAnswer: true}, 0, 502, 1, false},
		"idempotent, answer lost by all":   {ping(), fault{LoseAnswer: true}, 0, 502, 2, false},
		"once, broken off":                 {logLift(), fault{Truncate: true}, 0, 502, 1, false},
		"idempotent, broken off by all":    {ping(), fault{Truncate: true}, 0, 502, 2, false},
		"once, not signed":                 {logLift(), fault{Unsigned: true}, 0, 502, 1, false},
		"once, nothing said":               {logLift(), fault{Hang: true}, 0, 504, 1, false},
		"once, more than was asked for":    {logLift(), fault{Extra: true}, 0, 200, 1, true},
		"idempotent, more than was wanted": {ping(), fault{Extra: true}, 0, 200, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 1, 3, func(w *world) {
				w.all(c.fault, c.spared)
				for range 4 { // connections are used again
					r := c.request
					r.ID = w.id()
					began := time.Now()
					a, err := w.do(0, r)
					assert.NilError(t, err)
					assert.Equal(t, a.Status, c.status)
					assert.Equal(t, a.Signed != "", c.signed)
					assert.Equal(t, w.plainRuns(r.ID), c.runs)
					assert.Equal(t, a.RetryAfter != "", c.status == 503)
					assert.Assert(t, a.Whole)
					if c.status == 200 {
						assert.Equal(t, a.Body, "answer to "+r.ID)
					}
					assert.Assert(t, time.Since(began) <= 1600*time.Millisecond, "%v", time.Since(began))
				}
			})
		})
	}
}

// TestIdempotentGoesElsewhere: one of three endpoints fails; the caller does not notice.
func TestIdempotentGoesElsewhere(t *testing.T) {
	for name, f := range map[string]standin.WorkerFault{
		"fails": {Fail: true}, "loses": {LoseAnswer: true}, "breaks off": {Truncate: true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 1, 3, func(w *world) {
				w.plains[0].SetFault(f)
				for range 12 {
					a, err := w.do(0, ping())
					assert.NilError(t, err)
					assert.Equal(t, a.Status, 200)
				}
			})
		})
	}
}

// TestWhatIsPassedOn: the request as it came, but for what only the system says.
func TestWhatIsPassedOn(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		r := logLift()
		r.Forged, r.ID = true, w.id()
		a, err := w.do(0, r)
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		got := w.plains[0].Runs()[0]
		assert.Equal(t, got.Target, r.Path)
		assert.Equal(t, got.Body, r.Body)
		assert.Equal(t, got.Team, "desk")
		assert.Equal(t, got.Key+got.Pin+got.Hold+got.CopyTo+got.CopyFrom, "")
		assert.Assert(t, len(got.WaitMS) == 4 && got.WaitMS <= "3000", got.WaitMS)
	})
}

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
	for _, outage := range []standin.Outage{standin.Busy, standin.Many, standin.Reset, standin.Silent} {
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
		"history gone":   func(w *world) { w.store.Forget() },
		"store was away": func(w *world) { w.store.SetFault(standin.Fault{Outage: standin.Reset}); time.Sleep(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, 1, 1, func(w *world) {
				before(w)
				w.store.SetFault(standin.Fault{})
				c := w.config
				c.Version = 9
				c.Teams = []route.Team{{Name: "desk", Keys: []string{"new-key"}}}
				c.Routes = append([]route.Route{{Name: "new", Host: host, Prefix: "/new/", Targets: c.Routes[3].Targets, Repeat: route.Idempotent, Attempts: 2}}, c.Routes[1:]...)
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

// TestLeavingEndpointsGetNoNewWork: within the bound of 2 s from the store's word, whether the endpoint
// says that it leaves or its entry is removed.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(*world){
		"says so": func(w *world) {
			w.store.Put(platform.KindEndpoint, w.plains[0].Config().ID, w.plains[0].Entry("draining"))
		},
		"entry removed": func(w *world) { w.store.Remove(platform.KindEndpoint, w.plains[0].Config().ID) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 1, 2, func(w *world) {
				leave(w)
				left := time.Now()
				for time.Since(left) < 4*time.Second {
					a, err := w.do(0, ping())
					assert.NilError(t, err)
					assert.Equal(t, a.Status, 200)
				}
				for _, r := range w.plains[0].Runs() {
					assert.Assert(t, r.At.Sub(left) < time.Second, "%v", r.At.Sub(left))
				}
			})
		})
	}
}

// TestAddressUsedAgain: another endpoint has the address; what was meant for the first one does not run
// there, and goes elsewhere.
func TestAddressUsedAgain(t *testing.T) {
	run(t, 1, 1, 2, func(w *world) {
		first := w.plains[0].Config()
		w.net.Crash("p0")
		time.Sleep(10 * time.Millisecond)
		other := first
		other.ID, other.Service = "i-other", "others"
		worker := w.fleet.NewWorker(other)
		w.net.SetCrashed("p0", false)
		l, err := w.net.Node("p0").Listen(other.Address)
		assert.NilError(t, err)
		w.stops = append(w.stops, standin.Serve(l, worker))
		for range 10 {
			a, err := w.do(0, logLift())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200)
		}
		assert.Equal(t, len(worker.Runs()), 0)
		assert.Assert(t, worker.Refused() <= 1, "the address was tried %d times", worker.Refused())
	})
}

// TestStopping: not ready and out of the directory at once; what is in progress ends, what still comes
// is served with the word that the connection closes, and streams that could not end are refused.
func TestStopping(t *testing.T) {
	run(t, 2, 6, 1, func(w *world) {
		got := w.stream(0, brief("b1"))
		time.Sleep(time.Second)
		done := make(chan struct{})
		go func() { defer close(done); w.fronts[0].Drain() }()
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, !w.isReady(0))
		assert.DeepEqual(t, w.entry(1), []string{frontAddress(1)})
		a, err := w.do(0, ping())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		assert.Assert(t, a.Closes)
		time.Sleep(1500 * time.Millisecond)
		a, err = w.do(0, brief("b2"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		assert.Assert(t, a.RetryAfter != "")
		whole(t, <-got, "b1", 0)
		<-done
		w.fronts[0] = nil
	})
}

// TestLapsedEntries: the store was away for so long that entries lapsed. They count until two seconds
// after its return; those that are not back by then are gone.
func TestLapsedEntries(t *testing.T) {
	run(t, 1, 1, 2, func(w *world) {
		w.store.SetFault(standin.Fault{Outage: standin.Reset})
		time.Sleep(2500 * time.Millisecond)
		for _, p := range w.plains {
			w.store.Remove(platform.KindEndpoint, p.Config().ID)
		}
		w.store.SetFault(standin.Fault{})
		time.Sleep(1200 * time.Millisecond)
		a, err := w.do(0, ping())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		w.store.Put(platform.KindEndpoint, w.plains[1].Config().ID, w.plains[1].Entry("ready"))
		time.Sleep(2 * time.Second)
		before := len(w.plains[0].Runs())
		for range 6 {
			a, err := w.do(0, ping())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200)
		}
		assert.Equal(t, len(w.plains[0].Runs()), before)
	})
}

// TestLimitsOnCallers: what is larger than the configuration allows is refused before it is sent on.
func TestLimitsOnCallers(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		r := logLift()
		r.Body = strings.Repeat("x", 3<<20)
		a, err := w.do(0, r)
		if err == nil { // the answer may be overtaken by the close, since the body was not read
			assert.Equal(t, a.Status, http.StatusRequestEntityTooLarge)
		}
		r.Body, r.Path = "x", "/log/"+strings.Repeat("y", 64<<10)
		a, err = w.do(0, r)
		if err == nil {
			assert.Equal(t, a.Status, http.StatusRequestHeaderFieldsTooLarge)
		}
		assert.Equal(t, len(w.plains[0].Runs()), 0)
	})
}

// TestLargeBodies: what is not kept in memory is passed on as it comes, unchanged, with a length or in chunks.
func TestLargeBodies(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		for _, size := range []int{1, 200 << 10, 256 << 10, 900 << 10} {
			r := logLift()
			r.Body, r.ID = strings.Repeat("0123456789", size/10+1), w.id()
			a, err := w.do(0, r)
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200)
			runs := w.plains[0].Runs()
			assert.Assert(t, runs[len(runs)-1].Body == r.Body, "%d bytes", len(r.Body))
		}
	})
}

// TestStreamThatCannotGoOn: a stream that may not be continued runs once, and ends visibly broken when its
// engine is lost.
func TestStreamThatCannotGoOn(t *testing.T) {
	run(t, 1, 6, 1, func(w *world) {
		r := brief("b1")
		r.Path = "/note/1"
		a, err := w.do(0, r)
		assert.NilError(t, err)
		whole(t, a, "b1", 0)
		got := w.stream(0, r)
		time.Sleep(2 * time.Second)
		engine, _ := w.serving()
		w.crashEngine(engine)
		a = <-got
		assert.Assert(t, !a.Whole)
		assert.Assert(t, len(a.Events) > 0 && len(a.Events) < events)
		total := 0
		for _, e := range w.engines {
			total += len(e.Runs())
		}
		assert.Equal(t, total, 2)
	})
}

// TestOverload: forty streams for three engines that hold nine each. Who finds no room is told so within
// half of the aim and when to come back; nobody is left without an answer, and none is cut.
func TestOverload(t *testing.T) {
	run(t, 2, 3, 1, func(w *world) {
		const callers = 40
		answers := make(chan standin.Answer, callers)
		for i := range callers {
			go func() {
				r := brief(string(rune('a'+i%26)) + "0")
				began := time.Now()
				a, err := w.do(i%2, r)
				if err == nil && a.Status != http.StatusOK && time.Since(began) > 2400*time.Millisecond {
					a.Body = "late"
				}
				answers <- a
			}()
			time.Sleep(20 * time.Millisecond)
		}
		served, refused := 0, 0
		for range callers {
			switch a := <-answers; {
			case a.Status == http.StatusOK && a.Whole && len(a.Events) == events:
				served++
			case a.Status == http.StatusServiceUnavailable && a.RetryAfter != "" && a.Body != "late":
				refused++
			default:
				t.Errorf("status %d, %d events, whole %v, %s", a.Status, len(a.Events), a.Whole, a.Body)
			}
		}
		assert.Assert(t, served >= 20, "%d served, %d refused", served, refused)
	})
}

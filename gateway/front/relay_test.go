package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// TestFewAskTheStore: nine instances in three data centres ask it as often as three would.
func TestFewAskTheStore(t *testing.T) {
	calls := func(fronts int) int {
		n := 0
		run(t, fronts, 1, 1, func(w *world) {
			before := w.store.Counts()
			time.Sleep(10 * time.Second)
			after := w.store.Counts()
			n = after.Reads + after.Watches - before.Reads - before.Watches
		})
		return n
	}
	three, nine := calls(3), calls(9)
	assert.Assert(t, nine <= three+3, "%d calls of nine instances, %d of three", nine, three)
}

// TestFollowingKeepsTheBounds: whoever is cut off from the store, one that asks it or one that follows,
// changes are in force everywhere within seconds and nobody serves a key longer than its bound. The one
// that is cut off follows another, and serves on.
func TestFollowingKeepsTheBounds(t *testing.T) {
	const fronts = 6
	for cut := range fronts {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			run(t, fronts, 1, 1, func(w *world) {
				w.net.Partition(nil)
				w.net.AddCut(func(a, b string) bool {
					return a == "store" && b == fmt.Sprint("f", cut) || b == "store" && a == fmt.Sprint("f", cut)
				})
				time.Sleep(200 * time.Millisecond)
				c := w.config
				c.Version = 9
				c.Teams = []route.Team{{Name: "desk", Keys: []string{"new-key"}}}
				w.store.PutConfiguration(&c)
				acknowledged := time.Now()
				for time.Since(acknowledged) < 12*time.Second {
					for i := range fronts {
						sent := time.Since(acknowledged)
						a, err := w.do(i, ping())
						assert.NilError(t, err)
						if a.Status == 200 {
							assert.Assert(t, sent < 3500*time.Millisecond, "instance %d served a key %v after it was taken away", i, sent)
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				for i := range fronts {
					r := ping()
					r.Key = "new-key"
					a, err := w.do(i, r)
					assert.NilError(t, err)
					assert.Equal(t, a.Status, 200, "instance %d", i)
					assert.Assert(t, w.isReady(i), "instance %d", i)
				}
			})
		})
	}
}

// TestOutageIsNotPricedForEach: while the store answers nobody, one instance a data centre goes on asking.
func TestOutageIsNotPricedForEach(t *testing.T) {
	run(t, 12, 1, 1, func(w *world) {
		w.store.SetFault(standin.Fault{Outage: standin.Busy})
		time.Sleep(6 * time.Second)
		before := w.store.Counts()
		time.Sleep(10 * time.Second)
		after := w.store.Counts()
		calls := after.Reads + after.Watches - before.Reads - before.Watches
		assert.Assert(t, calls < 300, "%d calls in 10 s", calls)
		w.store.SetFault(standin.Fault{})
		time.Sleep(2 * time.Second)
		for i := range 12 {
			assert.Assert(t, w.isReady(i), "instance %d", i)
		}
	})
}

// TestStoreAwayForAll: instances that follow grow old as those do that ask the store themselves.
func TestStoreAwayForAll(t *testing.T) {
	run(t, 6, 1, 1, func(w *world) {
		w.store.SetFault(standin.Fault{Outage: standin.Reset})
		time.Sleep(5 * time.Second)
		for i := range 6 {
			a, err := w.do(i, ping())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 503, "instance %d", i)
			assert.Assert(t, !w.isReady(i))
		}
		w.store.SetFault(standin.Fault{})
		time.Sleep(3 * time.Second)
		for i := range 6 {
			a, err := w.do(i, ping())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200, "instance %d", i)
		}
	})
}

// TestFollowersHearOfLeaving: an endpoint leaves just after an instance that others follow was cut off from
// the store, without a word. All who reach the store give it no new work after 2 s.
func TestFollowersHearOfLeaving(t *testing.T) {
	const fronts = 6
	for cut := range fronts {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			run(t, fronts, 1, 2, func(w *world) {
				w.net.AddCut(func(a, b string) bool {
					return a == "store" && b == fmt.Sprint("f", cut) || b == "store" && a == fmt.Sprint("f", cut)
				})
				time.Sleep(100 * time.Millisecond)
				w.store.Remove(platform.KindEndpoint, w.plains[0].Config().ID)
				left := time.Now()
				for time.Since(left) < 5*time.Second {
					for i := range fronts {
						r := ping()
						r.ID = fmt.Sprintf("%d-%s", i, w.id())
						_, err := w.do(i, r)
						assert.NilError(t, err)
					}
				}
				for _, r := range w.plains[0].Runs() {
					of := r.ID[0] == byte('0'+cut)
					assert.Assert(t, of || r.At.Sub(left) < 2*time.Second, "%s after %v", r.ID, r.At.Sub(left))
				}
			})
		})
	}
}

// TestPartialOutageIsNotPricedForEach: the store turns half of the instances of each data centre away, at times
// those that ask it for the others. The others go on following, so that it is asked about as often as in calm
// times, and all stay ready.
func TestPartialOutageIsNotPricedForEach(t *testing.T) {
	const fronts = 12
	for _, outage := range []standin.Outage{standin.Silent, standin.Busy, standin.Reset} {
		for half := range 2 {
			t.Run(fmt.Sprint(outage, half), func(t *testing.T) {
				run(t, fronts, 1, 6, func(w *world) {
					var hosts []string
					for i := range fronts {
						if i/dataCentres%2 == half {
							hosts = append(hosts, fmt.Sprintf("10.0.0.%d", i+1))
						}
					}
					w.store.SetFault(standin.Fault{Outage: outage, Hosts: hosts})
					before := w.store.Counts()
					for i := range 50 { // endpoints that come and go end each watch
						w.store.Put(platform.KindEndpoint, fmt.Sprint("i-other", i), w.plains[5].Registration("draining"))
						time.Sleep(200 * time.Millisecond)
						for f := range fronts {
							assert.Assert(w.t, w.isReady(f), "instance %d after %d steps", f, i)
						}
					}
					after := w.store.Counts()
					calls := after.Reads + after.Watches - before.Reads - before.Watches
					assert.Assert(w.t, calls < 350, "%d calls in 10 s", calls)
				})
			})
		}
	}
}

// TestSlowStoreIsStillFollowed: the store takes 400 ms for each answer while endpoints come and go. Nobody takes
// it, or those who ask it, for lost, and what changed is known everywhere within two seconds.
func TestSlowStoreIsStillFollowed(t *testing.T) {
	const fronts, known = 12, 2 * time.Second
	run(t, fronts, 1, 1, func(w *world) {
		w.store.SetFault(standin.Fault{SlowMS: 400})
		time.Sleep(time.Second)
		before := strings.Count(w.logs.String(), "source lost")
		put := map[string]time.Time{}
		for i := range 40 {
			other := w.fleet.NewWorker(standin.WorkerConfig{ID: fmt.Sprint("i-other", i), Service: "plain", Slots: 1, Address: fmt.Sprintf("10.5.0.%d:80", i+1), DataCentre: "dc0"})
			w.store.Put(platform.KindEndpoint, other.Config().ID, other.Registration("ready"))
			put[other.Config().ID] = time.Now()
			time.Sleep(600 * time.Millisecond)
			for f := range fronts {
				listed := w.listed(f)
				for id, at := range put {
					assert.Assert(w.t, listed[id] || time.Since(at) < known, "instance %d does not know %s after %v", f, id, time.Since(at))
				}
			}
		}
		lost := strings.Count(w.logs.String(), "source lost") - before
		assert.Equal(w.t, lost, 0)
	})
}

// listed returns the endpoints that an instance knows, by id.
func (w *world) listed(i int) map[string]bool {
	out := map[string]bool{}
	for _, e := range w.fronts[i].State().Endpoints {
		out[e.ID] = true
	}
	return out
}

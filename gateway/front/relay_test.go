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

// TestStoreCallsDoNotGrowWithInstances checks that nine instances in three data centres call the
// store about as often as three.
func TestStoreCallsDoNotGrowWithInstances(t *testing.T) {
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

// TestFollowersKeepTheBounds cuts one instance off from the store, either one that asks it or one
// that follows. Changes still take effect everywhere within seconds, and no instance serves a key
// beyond its bound. The instance that is cut off follows another one and continues to serve.
func TestFollowersKeepTheBounds(t *testing.T) {
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
						a, err := w.send(i, pingRequest())
						assert.NilError(t, err)
						if a.Status == 200 {
							assert.Assert(t, sent < 3500*time.Millisecond, "instance %d served a key %v after it was taken away", i, sent)
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				for i := range fronts {
					r := pingRequest()
					r.Key = "new-key"
					a, err := w.send(i, r)
					assert.NilError(t, err)
					assert.Equal(t, a.Status, 200, "instance %d", i)
					assert.Assert(t, w.isReady(i), "instance %d", i)
				}
			})
		})
	}
}

// TestStoreCallsDuringOutage checks that only one instance of each data centre goes on calling the
// store during an outage, since each call has a price.
func TestStoreCallsDuringOutage(t *testing.T) {
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

// TestStoreUnreachableForAll checks that the data of instances that follow others ages during an
// outage of the store like that of instances that ask the store themselves.
func TestStoreUnreachableForAll(t *testing.T) {
	run(t, 6, 1, 1, func(w *world) {
		w.store.SetFault(standin.Fault{Outage: standin.Reset})
		time.Sleep(5 * time.Second)
		for i := range 6 {
			a, err := w.send(i, pingRequest())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 503, "instance %d", i)
			assert.Assert(t, !w.isReady(i))
		}
		w.store.SetFault(standin.Fault{})
		time.Sleep(3 * time.Second)
		for i := range 6 {
			a, err := w.send(i, pingRequest())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200, "instance %d", i)
		}
	})
}

// TestFollowersLearnOfLeavingEndpoints lets an endpoint leave just after an instance that others
// follow was silently cut off from the store. All instances that reach the store stop giving it new
// work within 2 s.
func TestFollowersLearnOfLeavingEndpoints(t *testing.T) {
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
						r := pingRequest()
						r.ID = fmt.Sprintf("%d-%s", i, w.newRequestID())
						_, err := w.send(i, r)
						assert.NilError(t, err)
					}
				}
				for _, r := range w.plains[0].Runs() {
					sentByCutOff := r.ID[0] == byte('0'+cut)
					assert.Assert(t, sentByCutOff || r.At.Sub(left) < 2*time.Second, "%s after %v", r.ID, r.At.Sub(left))
				}
			})
		})
	}
}

// TestStoreCallsDuringPartialOutage lets the store fail for half of the instances of each data
// centre, sometimes those that ask it on behalf of the others. The other instances continue to
// follow, so the store is called about as often as without a fault, and all instances stay ready.
func TestStoreCallsDuringPartialOutage(t *testing.T) {
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
					for i := range 50 { // changes of endpoints end each watch
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

// TestSlowStoreIsStillFollowed lets the store take 400 ms for each answer while endpoints come and
// go. No instance takes the store, or an instance that asks it, for lost, and changes are known
// everywhere within two seconds.
func TestSlowStoreIsStillFollowed(t *testing.T) {
	const fronts, maxDelay = 12, 2 * time.Second
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
				listed := w.knownEndpoints(f)
				for id, at := range put {
					assert.Assert(w.t, listed[id] || time.Since(at) < maxDelay, "instance %d does not know %s after %v", f, id, time.Since(at))
				}
			}
		}
		lost := strings.Count(w.logs.String(), "source lost") - before
		assert.Equal(w.t, lost, 0)
	})
}

// knownEndpoints returns the ids of the endpoints that an instance knows.
func (w *world) knownEndpoints(i int) map[string]bool {
	out := map[string]bool{}
	for _, e := range w.fronts[i].State().Endpoints {
		out[e.ID] = true
	}
	return out
}

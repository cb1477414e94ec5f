package front_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/gateway/front"
	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// Times of a drill: how long the store is away, and how long after its return what the operator and the
// endpoints wrote is written again.
const (
	drillAway  = 1500 * time.Millisecond
	drillLag   = 700 * time.Millisecond
	applyBound = 2 * time.Second
)

// drill makes the store go away and return from a copy. Before any instance reaches it, the operator writes
// a new configuration and others so many objects that the revision rises by advance; 0 for none of both.
// Later the operator writes its newest configuration again. drill returns the path of the new route.
func (w *world) drill(from standin.Copy, advance int) (path string) {
	w.store.SetFault(standin.Fault{Outage: standin.Silent})
	time.Sleep(drillAway)
	w.store.Return(from)
	if advance > 0 {
		path = w.publish()
	}
	for i := range advance {
		w.store.Put("others", fmt.Sprint("o", i), map[string]int64{"n": time.Now().UnixNano()})
	}
	w.store.SetFault(standin.Fault{})
	time.Sleep(drillLag)
	if path == "" {
		w.store.PutConfiguration(&w.config)
	}
	return path
}

// publish puts a configuration with one more route in force, and returns the path of that route.
func (w *world) publish() string {
	w.config.Version += 3
	path := fmt.Sprintf("/v%d/", w.config.Version)
	w.config.Routes = append(w.config.Routes[:len(w.config.Routes):len(w.config.Routes)], route.Route{
		Name: path, Host: routeHost, Prefix: path, Targets: []route.Target{{Service: "plain", Weight: 1}}, RetryPolicy: route.Idempotent,
		Timeout: 1500 * time.Millisecond, MaxAttempts: 2, Public: true,
	})
	w.store.PutConfiguration(&w.config)
	return path
}

// unserved returns the instances that do not serve a path.
func (w *world) unserved(path string) (out []int) {
	for i, f := range w.fronts {
		if f == nil {
			continue
		}
		a, err := w.send(i, standin.Request{Method: http.MethodGet, Path: path + "1", Timeout: time.Second})
		if err != nil || a.Status != http.StatusOK {
			out = append(out, i)
		}
	}
	return out
}

// TestChangesAfterStoreReturned guards against instances that see no change after the store has come back
// from an older copy, until its revisions have passed the highest one that they know. The store comes back
// far below that revision, close to it, or past it; once or twice; with all instances following one another
// or each the store itself.
func TestChangesAfterStoreReturned(t *testing.T) {
	for name, c := range map[string]struct {
		lost, advance, drills int
		settings              string
		fronts                int
	}{
		"one change lost":           {1, 0, 1, "", 6},
		"many changes lost":         {9, 0, 1, "", 6},
		"revisions given out again": {4, 3, 1, "", 6},
		"revisions passed":          {4, 9, 1, "", 6},
		"passed, each by itself":    {4, 9, 1, "\n[mechanisms]\ntree = false\n", 6},
		"twice in a row":            {3, 1, 2, "", 6},
		"each asks the store":       {4, 3, 1, "\n[mechanisms]\ntree = false\n", 6},
		"a larger fleet":            {4, 3, 2, "", 40},
	} {
		t.Run(name, func(t *testing.T) {
			runWith(t, c.fronts, 2, 3, func(w *world) { w.settings = c.settings }, func(w *world) {
				for range c.drills {
					from := w.store.Copy()
					for range c.lost {
						w.publish()
						time.Sleep(300 * time.Millisecond)
					}
					time.Sleep(applyBound)
					if path := w.drill(from, c.advance); path != "" {
						time.Sleep(applyBound)
						assert.Check(t, len(w.unserved(path)) == 0, "%s is not served by instances %v", path, w.unserved(path))
					}
					for range 3 {
						path := w.publish()
						time.Sleep(applyBound)
						assert.Check(t, len(w.unserved(path)) == 0, "%s is not served by instances %v", path, w.unserved(path))
					}
					e := w.plains[0]
					w.putEntry(e, "draining")
					time.Sleep(applyBound)
					assert.Check(t, len(w.leavingAt(e.Config().ID)) >= c.fronts, "only %s know that %s leaves", w.leavingAt(e.Config().ID), e.Config().ID)
					w.putEntry(e, "ready")
					time.Sleep(applyBound)
					assert.Check(t, w.leavingAt(e.Config().ID) == "", "%s count %s as leaving", w.leavingAt(e.Config().ID), e.Config().ID)
				}
			})
		})
	}
}

// TestNothingIsUndoneByReturn: what was in force before the store came back from a copy of before it stays
// in force: a configuration, the loss of a key, an endpoint that leaves, one that left, and one that
// started. An instance that starts before these are written again takes them from the others.
func TestNothingIsUndoneByReturn(t *testing.T) {
	for name, restarted := range map[string][]int{"first": {0}, "third": {2}, "last": {5}, "half": {0, 2, 4}, "all but one": {0, 1, 2, 3, 4}} {
		t.Run(name+" starts", func(t *testing.T) { testNothingIsUndone(t, restarted) })
	}
}

func testNothingIsUndone(t *testing.T, restarted []int) {
	run(t, 6, 2, 4, func(w *world) {
		from := w.store.Copy()
		path := w.publish()
		w.config.Version++
		w.config.Teams = []route.Team{{Name: "desk", Keys: []string{deskKey}}}
		w.store.PutConfiguration(&w.config)
		leaving, left := w.plains[0], w.plains[1]
		w.putEntry(leaving, "draining")
		w.store.Remove(platform.KindEndpoint, left.Config().ID)
		started := w.newPlain(4, "")
		time.Sleep(2500 * time.Millisecond)
		config := w.config
		w.store.SetFault(standin.Fault{Outage: standin.Silent})
		time.Sleep(drillAway)
		w.store.Return(from)
		w.store.SetFault(standin.Fault{})
		began := time.Now()
		check := func(when string) {
			t.Helper()
			assert.Check(t, len(w.unserved(path)) == 0, "%s: not served by instances %v", when, w.unserved(path))
			for i := range w.fronts {
				a, err := w.send(i, standin.Request{Method: http.MethodGet, Path: "/ping/1", Key: fieldKey, Timeout: time.Second})
				assert.Check(t, err == nil && (a.Status == http.StatusUnauthorized || a.Status == http.StatusServiceUnavailable), "%s: instance %d answers %d to a key that was taken away", when, i, a.Status)
			}
		}
		time.Sleep(500 * time.Millisecond)
		check("before it is written again")
		for _, i := range restarted {
			w.killFront(i)
			w.startFront(i)
		}
		time.Sleep(time.Second)
		check("at an instance that has started")
		o := w.load(60, time.Second, openRequest, func(i int) int { return i % 6 })
		assert.Equal(t, o.served.Load(), o.sent.Load())
		for _, e := range []*standin.Worker{leaving, left} {
			assert.Check(t, len(arrivalsByInstance(e, began)) == 0, "%s gets requests", e.Config().ID)
		}
		assert.Check(t, len(arrivalsByInstance(started, began)) > 0)
		w.store.PutConfiguration(&config)
		w.putEntry(leaving, "draining")
		w.store.Remove(platform.KindEndpoint, left.Config().ID)
		w.putEntry(started, "ready")
		time.Sleep(applyBound)
		check("after it was written again")
		o = w.load(60, time.Second, openRequest, func(i int) int { return i % 6 })
		assert.Equal(t, o.served.Load(), o.sent.Load())
		assert.Check(t, len(arrivalsByInstance(leaving, began))+len(arrivalsByInstance(left, began)) == 0)
	})
}

// TestHoldOutlastsOutage guards against endpoints that leave and get requests after the store has returned from a copy
// in which they are ready, and has been away once more before they could write their entries again.
func TestHoldOutlastsOutage(t *testing.T) {
	for name, outage := range map[string]standin.Outage{"silent": standin.Silent, "busy": standin.Busy, "reset": standin.Reset} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 1, 4, func(w *world) {
				from := w.store.Copy()
				leaving := w.plains[0]
				w.putEntry(leaving, "draining")
				time.Sleep(applyBound)
				began := time.Now()
				w.drill(from, 0)
				time.Sleep(time.Second)
				w.store.SetFault(standin.Fault{Outage: outage})
				time.Sleep(6 * time.Second)
				w.store.SetFault(standin.Fault{})
				w.load(60, 1500*time.Millisecond, openRequest, func(i int) int { return i % 6 })
				w.putEntry(leaving, "draining")
				w.load(60, 8*time.Second, openRequest, func(i int) int { return i % 6 })
				assert.Equal(t, len(arrivalsByInstance(leaving, began)), 0)
			})
		})
	}
}

// TestOutcomeOfRolloutIsWrittenAgain: a bad build was rolled back, and the store comes back from a copy of
// before that, or of before the order, which the operator gives again then. The build gets no more requests,
// and the store is told the outcome again, in a few calls.
func TestOutcomeOfRolloutIsWrittenAgain(t *testing.T) {
	t.Run("outcome lost", func(t *testing.T) { testOutcomeLost(t, false) })
	t.Run("order lost", func(t *testing.T) { testOutcomeLost(t, true) })
}

func testOutcomeLost(t *testing.T, orderToo bool) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		from := w.store.Copy()
		m.startRollout()
		time.Sleep(500 * time.Millisecond)
		if !orderToo {
			from = w.store.Copy()
		}
		m.sendLoadUntilRolledBack(100, rolloutDuration+time.Second, pings)
		assert.Equal(t, w.store.RolloutState("plain"), "rolled_back")
		w.drill(from, 0)
		assert.Assert(t, w.store.RolloutState("plain") != "rolled_back", "the store has lost the outcome")
		w.store.PutRollout("plain", "v2", rolloutDuration)
		for _, e := range append(m.baseline, m.target...) { // as endpoints do
			w.putEntry(e, "ready")
		}
		arrived := 0
		for _, e := range m.target {
			arrived += len(e.Arrivals())
		}
		o := w.load(60, 8*time.Second, pingRequest, func(i int) int { return i % 6 })
		assert.Equal(t, o.served.Load(), o.sent.Load())
		for _, e := range m.target {
			arrived -= len(e.Arrivals())
		}
		assert.Equal(t, arrived, 0, "the bad build gets requests again")
		assert.Equal(t, w.store.RolloutState("plain"), "rolled_back")
	})
}

// TestInstancesWriteAgain guards against objects of instances that nobody writes again: an instance that has
// started and a request that was stopped are unknown to the copy from which the store returns. They are
// written again also if the store fails when they are due, at whatever moment, and if the instance that asks
// the store ends or starts again.
func TestInstancesWriteAgain(t *testing.T) {
	silentFor := func(begin, length time.Duration) func(w *world) {
		return func(w *world) {
			time.Sleep(begin)
			w.store.SetFault(standin.Fault{Outage: standin.Silent})
			time.Sleep(length)
			w.store.SetFault(standin.Fault{})
		}
	}
	cases := map[string]func(w *world){
		"at once": func(*world) {},
		"after refusals": func(w *world) {
			time.Sleep(3 * time.Second)
			w.store.SetFault(standin.Fault{Outage: standin.Busy})
			time.Sleep(3 * time.Second)
			w.store.SetFault(standin.Fault{})
		},
		"after two silent outages": func(w *world) {
			silentFor(3*time.Second, 2*time.Second)(w)
			silentFor(500*time.Millisecond, 2*time.Second)(w)
		},
		"the instance that asks the store starts again": func(w *world) {
			time.Sleep(time.Second)
			asking := w.askingStore()
			w.killFront(asking)
			w.startFront(asking)
		},
		"instances that ask the store end": func(w *world) {
			for range 3 {
				time.Sleep(1300 * time.Millisecond)
				w.killFront(w.askingStore())
			}
		},
	}
	for begin := 2 * time.Second; begin <= 5*time.Second; begin += 500 * time.Millisecond {
		cases[fmt.Sprint("after a silent outage from ", begin)] = silentFor(begin, 3*time.Second)
	}
	for name, disrupt := range cases {
		t.Run(name, func(t *testing.T) { testInstancesWriteAgain(t, disrupt) })
	}
}

// askingStore returns an instance that asks the store and not another instance.
func (w *world) askingStore() int {
	return slices.IndexFunc(w.fronts, func(f *front.Front) bool { return f != nil && f.State().Follows == "" })
}

func testInstancesWriteAgain(t *testing.T, disrupt func(w *world)) {
	run(t, 6, 12, 1, func(w *world) {
		w.withFatalRequests(standin.FatalRequest{}, func(o *crashWorld) {
			from := w.store.Copy()
			w.fronts = append(w.fronts, w.newFront(6))
			o.sendRepeatedly(fatalBrief(), 8, 700*time.Millisecond)
			time.Sleep(4 * time.Second)
			stops := w.store.Names(platform.KindStoppedRequest)
			assert.Equal(t, len(stops), 1)
			w.drill(from, 0)
			assert.Equal(t, len(w.store.Names(platform.KindInstance)), 6)
			assert.Equal(t, len(w.store.Names(platform.KindStoppedRequest)), 0)
			for _, e := range o.workers {
				w.putEntry(e, "ready")
			}
			disrupt(w)
			time.Sleep(7 * time.Second)
			entries := w.store.Names(platform.KindInstance)
			for i := range w.fronts {
				assert.Check(t, !w.isRunning(i) || slices.Contains(entries, fmt.Sprint("f", i)), "no entry of instance %d", i)
			}
			assert.Check(t, len(entries) <= len(w.fronts))
			assert.DeepEqual(t, w.store.Names(platform.KindStoppedRequest), stops)
		})
	})
}

// TestCallsAfterReturn: what a fleet asks the store after its return does not grow with the fleet. The instance
// that asks it lists again, once more when the hold is over, and looks for what instances had written.
func TestCallsAfterReturn(t *testing.T) {
	for _, fronts := range []int{6, 30, 120} {
		if raceEnabled && fronts > 30 {
			continue
		}
		t.Run(fmt.Sprint(fronts), func(t *testing.T) {
			run(t, fronts, 2, 3, func(w *world) {
				const calm = 10 * time.Second
				before := w.store.Counts()
				time.Sleep(calm)
				usual := callsBetween(before, w.store.Counts())
				from := w.store.Copy()
				w.publish()
				time.Sleep(applyBound)
				w.store.Return(from) // without an outage, so that only the return itself is counted
				before = w.store.Counts()
				w.store.PutConfiguration(&w.config)
				time.Sleep(calm)
				after := callsBetween(before, w.store.Counts())
				t.Logf("%d instances: %d calls in %v, %d after a return", fronts, usual, calm, after)
				assert.Check(t, after <= usual+25, "%d calls after a return, %d usually", after, usual)
			})
		})
	}
}

func callsBetween(before, after standin.Counts) int {
	return after.Reads + after.Watches + after.Writes - before.Reads - before.Watches - before.Writes
}

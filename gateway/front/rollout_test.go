package front_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// TestRolloutOfGoodBuild: a service of plain endpoints moves to a good build in time, and no request is lost though the old endpoints
// stop at once.
func TestRolloutOfGoodBuild(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.order()
		m.load(100, rolloutWithin+2*time.Second, logs)
		assert.Equal(t, w.store.RolloutState("plain"), "completed")
		assert.Check(t, m.stopped.Sub(m.ordered) < rolloutWithin, "%v", m.stopped.Sub(m.ordered))
		assert.DeepEqual(t, m.answers, map[int]int{http.StatusOK: 1400})
		assert.Equal(t, m.broken, 0)
		m.boundedExposure()
	})
}

// TestRolloutOfGoodEngines: streams go on from copies at the target when the old engines stop.
func TestRolloutOfGoodEngines(t *testing.T) {
	run(t, 6, 12, 1, func(w *world) {
		m := w.newBuild("engines", standin.WorkerFault{})
		m.order()
		m.load(10, rolloutWithin+3*time.Second, briefs)
		assert.Equal(t, w.store.RolloutState("engines"), "completed")
		assert.Check(t, m.stopped.Sub(m.ordered) < rolloutWithin, "%v", m.stopped.Sub(m.ordered))
		assert.Equal(t, m.answers[http.StatusOK], 150, "%v", m.answers)
		assert.Equal(t, m.broken, 0)
		assert.Check(t, m.late <= 2, "%d streams paused", m.late)
		m.boundedExposure()
	})
}

// TestRolloutOfBadBuild: whatever is wrong with a build, it is rolled back in time and gets no more than it may.
func TestRolloutOfBadBuild(t *testing.T) {
	for name, c := range map[string]struct {
		service string
		fault   standin.WorkerFault
		load    int
		next    func(int) standin.Request
	}{
		"plain, half fails":            {"plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true}, 100, logs},
		"plain, a fifth fails":         {"plain", standin.WorkerFault{AffectedFraction: 0.2, FailAffected: true}, 100, logs},
		"plain, one route":             {"plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true, PathPrefix: "/log/"}, 100, logs},
		"plain, four times slower":     {"plain", standin.WorkerFault{AffectedFraction: 1, SlowFactor: 4}, 100, logs},
		"plain, a third much slower":   {"plain", standin.WorkerFault{AffectedFraction: 0.3, SlowFactor: 8}, 100, logs},
		"engines, half fails":          {"engines", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true}, 15, briefs},
		"engines, four times slower":   {"engines", standin.WorkerFault{AffectedFraction: 1, SlowFactor: 4}, 15, briefs},
		"plain, all answers break off": {"plain", standin.WorkerFault{AffectedFraction: 1, Truncate: true}, 100, pings},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 12, 3, func(w *world) {
				m := w.newBuild(c.service, c.fault)
				m.order()
				m.load(c.load, rolloutWithin+time.Second, c.next)
				assert.Equal(t, w.store.RolloutState(c.service), "rolled_back")
				m.bounded()
				assert.Check(t, m.stopped.IsZero())
			})
		})
	}
}

// TestRolloutOfBuildThatTurnsBad: a build that begins to fail in the middle is rolled back.
func TestRolloutOfBuildThatTurnsBad(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.order()
		time.AfterFunc(rolloutWithin*4/10, func() {
			for _, worker := range m.target {
				worker.SetFault(standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
			}
		})
		m.loadUntilRolledBack(100, rolloutWithin+time.Second, logs)
	})
}

// TestRolloutWithStoreAway: while the store is away a bad build is left all the same, and the outcome is written when it is back.
func TestRolloutWithStoreAway(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		m.order()
		time.Sleep(100 * time.Millisecond)
		w.store.SetFault(standin.Fault{Outage: standin.Silent})
		time.AfterFunc(8*time.Second, func() { w.store.SetFault(standin.Fault{}) })
		m.loadUntilRolledBack(100, rolloutWithin+2*time.Second, pings)
	})
}

// TestRolloutAfterLossOfAll: all instances are killed in the middle; those that start again know how old the order is, and end it.
func TestRolloutAfterLossOfAll(t *testing.T) {
	for name, c := range map[string]struct {
		fault standin.WorkerFault
		want  string
	}{
		"good": {standin.WorkerFault{}, "completed"},
		"bad":  {standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true, MinRunning: 0}, "rolled_back"},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 1, 3, func(w *world) {
				m := w.newBuild("plain", c.fault)
				m.order()
				time.AfterFunc(1200*time.Millisecond, func() {
					for i := range w.fronts {
						w.killFront(i)
					}
					for i := range w.fronts {
						w.startFront(i)
					}
				})
				m.load(100, rolloutWithin+2*time.Second, pings)
				assert.Equal(t, w.store.RolloutState("plain"), c.want)
				if c.want == "rolled_back" {
					m.bounded()
				} else {
					assert.Check(t, m.stopped.Sub(m.ordered) < rolloutWithin, "%v", m.stopped.Sub(m.ordered))
				}
			})
		})
	}
}

// TestRolloutWhoseWriterDies: the answer to the write of the outcome is lost, or it takes effect late; the outcome is one all the
// same.
func TestRolloutWhoseWriterDies(t *testing.T) {
	for name, f := range map[string]standin.Fault{
		"answer lost":          {LoseWrites: 1, SpareKind: platform.KindInstance},
		"done two seconds on":  {LoseWrites: 1, LostWriteDelayMS: 2000, SpareKind: platform.KindInstance},
		"several answers lost": {LoseWrites: 4, SpareKind: platform.KindInstance},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 1, 3, func(w *world) {
				m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
				m.order()
				time.Sleep(500 * time.Millisecond) // the state running is written
				w.store.SetFault(f)
				m.loadUntilRolledBack(100, rolloutWithin+time.Second, pings)
			})
		})
	}
}

// TestRolloutWhoseDeciderIsKilled: the instance that decides is killed before it can write.
func TestRolloutWhoseDeciderIsKilled(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		m.order()
		time.Sleep(500 * time.Millisecond)
		w.store.SetFault(standin.Fault{Outage: standin.Reset})
		go func() {
			for !strings.Contains(w.logs.String(), `"decision":"roll_back"`) {
				time.Sleep(time.Millisecond)
			}
			w.killFront(w.decider())
			time.Sleep(300 * time.Millisecond)
			w.store.SetFault(standin.Fault{})
		}()
		m.loadUntilRolledBack(100, rolloutWithin+time.Second, pings)
	})
}

// decider returns the instance that decided first, by the logs.
func (w *world) decider() int {
	for line := range strings.Lines(w.logs.String()) {
		if strings.Contains(line, `"msg":"rollout decided"`) {
			var l struct{ Instance string }
			if json.Unmarshal([]byte(line), &l) == nil && len(l.Instance) > 1 {
				n, _ := strconv.Atoi(l.Instance[1:])
				return n
			}
		}
	}
	return -1
}

// TestRolloutInALargeFleet: where not all tell all, the sums of the data centres are known soon enough.
func TestRolloutInALargeFleet(t *testing.T) {
	run(t, 70, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		m.order()
		m.loadUntilRolledBack(200, rolloutWithin+time.Second, pings)
	})
	run(t, 70, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.order()
		m.load(200, rolloutWithin+time.Second, pings)
		assert.Equal(t, w.store.RolloutState("plain"), "completed")
		assert.Equal(t, m.answers[http.StatusOK], 2600, "%v", m.answers)
	})
}

// TestRolloutsOfTwoServices: two orders at once, one build good and one bad.
func TestRolloutsOfTwoServices(t *testing.T) {
	run(t, 6, 12, 3, func(w *world) {
		good := w.newBuild("engines", standin.WorkerFault{})
		bad := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		good.order()
		bad.order()
		var wg sync.WaitGroup
		wg.Go(func() { good.load(10, rolloutWithin+2*time.Second, briefs) })
		wg.Go(func() { bad.load(100, rolloutWithin+2*time.Second, logs) })
		wg.Wait()
		assert.Equal(t, w.store.RolloutState("engines"), "completed")
		assert.Equal(t, w.store.RolloutState("plain"), "rolled_back")
		bad.bounded()
		assert.Equal(t, good.broken, 0)
	})
}

// TestNewBuildWithoutOrder: endpoints of another build that no order names, as after a release, are used like the others; those that
// are listed before their order get nothing until it is known.
func TestNewBuildWithoutOrder(t *testing.T) {
	run(t, 3, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.ordered = time.Now()
		m.list()
		m.load(100, 6*time.Second, pings)
		_, target, _, _ := m.counts()
		assert.Check(t, target > 100, "%d", target)
	})
	run(t, 3, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 1, FailAffected: true})
		m.list()
		time.AfterFunc(time.Second, m.order)
		m.load(100, 900*time.Millisecond, pings)
		for _, worker := range m.target {
			assert.Equal(t, len(worker.Runs()), 0)
		}
		time.Sleep(time.Second)
	})
}

// TestOddOrders: an order that makes no sense moves nothing, and the others hold.
func TestOddOrders(t *testing.T) {
	run(t, 3, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		w.store.Put(platform.KindRollout, "nobody", map[string]any{"service": "nobody", "target": "v2", "durationS": 5})
		w.store.Put(platform.KindRollout, "engines", map[string]any{"service": "engines", "target": 7})
		w.store.Put(platform.KindRollout, "other", map[string]any{"service": "plain", "target": "v9", "durationS": 5})
		w.store.Put(platform.KindRollout, "plain2", map[string]any{"service": "plain2", "target": "v2", "durationS": -1})
		m.order()
		m.load(100, rolloutWithin+time.Second, pings)
		assert.Equal(t, w.store.RolloutState("plain"), "completed")
		assert.Equal(t, m.answers[http.StatusOK], 1300, "%v", m.answers)
	})
}

// TestSecondOrder: after a roll-back the same service can be moved to another build.
func TestSecondOrder(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		m.order()
		m.load(100, 5*time.Second, pings)
		assert.Equal(t, w.store.RolloutState("plain"), "rolled_back")
		for _, worker := range m.target {
			worker.SetFault(standin.WorkerFault{})
		}
		m.finished = false
		m.ordered = time.Now()
		w.store.PutRollout("plain", "v2", rolloutWithin+time.Second)
		go m.obey()
		time.Sleep(time.Second)
		go m.obey()
		m.load(100, rolloutWithin+time.Second, pings)
		assert.Equal(t, w.store.RolloutState("plain"), "completed")
	})
}

// TestRolloutAtAnInstanceThatIsCutOff: an instance that hears neither the store nor the others sends nothing to the target.
func TestRolloutAtAnInstanceThatIsCutOff(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.order()
		time.Sleep(time.Second)
		w.net.AddCut(func(a, b string) bool {
			away := func(n string) bool { return n == "store" || len(n) == 2 && n[0] == 'f' }
			return a == "f0" && away(b) || b == "f0" && away(a)
		})
		time.Sleep(rollBackWithin/2 + 100*time.Millisecond)
		before := len(m.target[0].Runs()) + len(m.target[1].Runs()) + len(m.target[2].Runs())
		for range 200 {
			a, err := w.do(0, standin.Request{Method: http.MethodGet, Path: "/open/1", Timeout: time.Second})
			assert.NilError(t, err)
			assert.Equal(t, a.Status, http.StatusOK)
		}
		after := len(m.target[0].Runs()) + len(m.target[1].Runs()) + len(m.target[2].Runs())
		assert.Equal(t, after, before)
		m.mu.Lock()
		m.finished = true
		m.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	})
}

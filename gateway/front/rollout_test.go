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

// TestRolloutOfGoodBuild checks that a plain service moves to a good build in time, and that no
// request is lost although the old endpoints stop at once.
func TestRolloutOfGoodBuild(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.startRollout()
		m.sendLoad(100, rolloutDuration+2*time.Second, pingsAndLogs)
		assert.Equal(t, w.store.RolloutState("plain"), "completed")
		assert.Check(t, m.baselineStoppedAt.Sub(m.orderedAt) < rolloutDuration, "%v", m.baselineStoppedAt.Sub(m.orderedAt))
		assert.DeepEqual(t, m.answers, map[int]int{http.StatusOK: 1400})
		assert.Equal(t, m.brokenOff, 0)
		m.checkExposure()
	})
}

// TestRolloutOfGoodEngines checks that streams resume from copies at the target build when the old
// engines stop.
func TestRolloutOfGoodEngines(t *testing.T) {
	run(t, 6, 12, 1, func(w *world) {
		m := w.newBuild("engines", standin.WorkerFault{})
		m.startRollout()
		m.sendLoad(10, rolloutDuration+3*time.Second, briefs)
		assert.Equal(t, w.store.RolloutState("engines"), "completed")
		assert.Check(t, m.baselineStoppedAt.Sub(m.orderedAt) < rolloutDuration, "%v", m.baselineStoppedAt.Sub(m.orderedAt))
		assert.Equal(t, m.answers[http.StatusOK], 150, "%v", m.answers)
		assert.Equal(t, m.brokenOff, 0)
		assert.Check(t, m.late <= 2, "%d streams paused", m.late)
		m.checkExposure()
	})
}

// TestRolloutOfBadBuild checks for each kind of fault that a bad build is rolled back in time and
// gets no more requests than its bound.
func TestRolloutOfBadBuild(t *testing.T) {
	for name, c := range map[string]struct {
		service string
		fault   standin.WorkerFault
		load    int
		next    func(int) standin.Request
	}{
		"plain, half fails":            {"plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true}, 100, pingsAndLogs},
		"plain, a fifth fails":         {"plain", standin.WorkerFault{AffectedFraction: 0.2, FailAffected: true}, 100, pingsAndLogs},
		"plain, one route":             {"plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true, PathPrefix: "/log/"}, 100, pingsAndLogs},
		"plain, four times slower":     {"plain", standin.WorkerFault{AffectedFraction: 1, SlowFactor: 4}, 100, pingsAndLogs},
		"plain, a third much slower":   {"plain", standin.WorkerFault{AffectedFraction: 0.3, SlowFactor: 8}, 100, pingsAndLogs},
		"engines, half fails":          {"engines", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true}, 15, briefs},
		"engines, four times slower":   {"engines", standin.WorkerFault{AffectedFraction: 1, SlowFactor: 4}, 15, briefs},
		"plain, all answers break off": {"plain", standin.WorkerFault{AffectedFraction: 1, Truncate: true}, 100, pings},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 12, 3, func(w *world) {
				m := w.newBuild(c.service, c.fault)
				m.startRollout()
				m.sendLoad(c.load, rolloutDuration+time.Second, c.next)
				assert.Equal(t, w.store.RolloutState(c.service), "rolled_back")
				m.checkBadBuildBounds()
				assert.Check(t, m.baselineStoppedAt.IsZero())
			})
		})
	}
}

// TestRolloutOfBuildThatTurnsBad checks that a build that begins to fail in the middle of a rollout
// is rolled back.
func TestRolloutOfBuildThatTurnsBad(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.startRollout()
		time.AfterFunc(rolloutDuration*4/10, func() {
			for _, worker := range m.target {
				worker.SetFault(standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
			}
		})
		m.sendLoadUntilRolledBack(100, rolloutDuration+time.Second, pingsAndLogs)
	})
}

// TestRolloutDuringStoreOutage checks that a bad build is abandoned during an outage of the store,
// and that the outcome is written afterwards.
func TestRolloutDuringStoreOutage(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		m.startRollout()
		time.Sleep(100 * time.Millisecond)
		w.store.SetFault(standin.Fault{Outage: standin.Silent})
		time.AfterFunc(8*time.Second, func() { w.store.SetFault(standin.Fault{}) })
		m.sendLoadUntilRolledBack(100, rolloutDuration+2*time.Second, pings)
	})
}

// TestRolloutSurvivesRestartOfAll kills all instances in the middle of a rollout. The restarted
// ones know the age of the order and finish it.
func TestRolloutSurvivesRestartOfAll(t *testing.T) {
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
				m.startRollout()
				time.AfterFunc(1200*time.Millisecond, func() {
					for i := range w.fronts {
						w.killFront(i)
					}
					for i := range w.fronts {
						w.startFront(i)
					}
				})
				m.sendLoad(100, rolloutDuration+2*time.Second, pings)
				assert.Equal(t, w.store.RolloutState("plain"), c.want)
				if c.want == "rolled_back" {
					m.checkBadBuildBounds()
				} else {
					assert.Check(t, m.baselineStoppedAt.Sub(m.orderedAt) < rolloutDuration, "%v", m.baselineStoppedAt.Sub(m.orderedAt))
				}
			})
		})
	}
}

// TestRolloutOutcomeWriteIsLost lets the write of the outcome take effect late, or its answer be
// lost. There must still be one outcome.
func TestRolloutOutcomeWriteIsLost(t *testing.T) {
	for name, f := range map[string]standin.Fault{
		"answer lost":          {LoseWrites: 1, SpareKind: platform.KindInstance},
		"done two seconds on":  {LoseWrites: 1, LostWriteDelayMS: 2000, SpareKind: platform.KindInstance},
		"several answers lost": {LoseWrites: 4, SpareKind: platform.KindInstance},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 1, 3, func(w *world) {
				m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
				m.startRollout()
				time.Sleep(500 * time.Millisecond) // the state "running" has been written
				w.store.SetFault(f)
				m.sendLoadUntilRolledBack(100, rolloutDuration+time.Second, pings)
			})
		})
	}
}

// TestRolloutDeciderIsKilled kills the instance that decides before it can write the outcome.
func TestRolloutDeciderIsKilled(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		m.startRollout()
		time.Sleep(500 * time.Millisecond)
		w.store.SetFault(standin.Fault{Outage: standin.Reset})
		go func() {
			for !strings.Contains(w.logs.String(), `"decision":"roll_back"`) {
				time.Sleep(time.Millisecond)
			}
			w.killFront(w.firstDecider())
			time.Sleep(300 * time.Millisecond)
			w.store.SetFault(standin.Fault{})
		}()
		m.sendLoadUntilRolledBack(100, rolloutDuration+time.Second, pings)
	})
}

// firstDecider returns the instance that decided first according to the logs; -1 for none.
func (w *world) firstDecider() int {
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

// TestRolloutInLargeFleet checks that the sums of the data centres are known soon enough in a fleet
// that is too large for all instances to tell all others.
func TestRolloutInLargeFleet(t *testing.T) {
	run(t, 70, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		m.startRollout()
		m.sendLoadUntilRolledBack(200, rolloutDuration+time.Second, pings)
	})
	run(t, 70, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.startRollout()
		m.sendLoad(200, rolloutDuration+time.Second, pings)
		assert.Equal(t, w.store.RolloutState("plain"), "completed")
		assert.Equal(t, m.answers[http.StatusOK], 2600, "%v", m.answers)
	})
}

// TestRolloutsOfTwoServices follows two orders at once, one for a good build and one for a bad one.
func TestRolloutsOfTwoServices(t *testing.T) {
	run(t, 6, 12, 3, func(w *world) {
		good := w.newBuild("engines", standin.WorkerFault{})
		bad := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		good.startRollout()
		bad.startRollout()
		var wg sync.WaitGroup
		wg.Go(func() { good.sendLoad(10, rolloutDuration+2*time.Second, briefs) })
		wg.Go(func() { bad.sendLoad(100, rolloutDuration+2*time.Second, pingsAndLogs) })
		wg.Wait()
		assert.Equal(t, w.store.RolloutState("engines"), "completed")
		assert.Equal(t, w.store.RolloutState("plain"), "rolled_back")
		bad.checkBadBuildBounds()
		assert.Equal(t, good.brokenOff, 0)
	})
}

// TestNewBuildWithoutOrder checks that endpoints of another build that no order names, as after a
// release, are used like all others. Endpoints that are listed before their order get no requests
// until the order is known.
func TestNewBuildWithoutOrder(t *testing.T) {
	run(t, 3, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.orderedAt = time.Now()
		m.listTarget()
		m.sendLoad(100, 6*time.Second, pings)
		_, target, _, _ := m.counts()
		assert.Check(t, target > 100, "%d", target)
	})
	run(t, 3, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 1, FailAffected: true})
		m.listTarget()
		time.AfterFunc(time.Second, m.startRollout)
		m.sendLoad(100, 900*time.Millisecond, pings)
		for _, worker := range m.target {
			assert.Equal(t, len(worker.Runs()), 0)
		}
		time.Sleep(time.Second)
	})
}

// TestInvalidOrders checks that invalid orders move nothing and do not affect valid ones.
func TestInvalidOrders(t *testing.T) {
	run(t, 3, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		w.store.Put(platform.KindRollout, "nobody", map[string]any{"service": "nobody", "target": "v2", "durationS": 5})
		w.store.Put(platform.KindRollout, "engines", map[string]any{"service": "engines", "target": 7})
		w.store.Put(platform.KindRollout, "other", map[string]any{"service": "plain", "target": "v9", "durationS": 5})
		w.store.Put(platform.KindRollout, "plain2", map[string]any{"service": "plain2", "target": "v2", "durationS": -1})
		m.startRollout()
		m.sendLoad(100, rolloutDuration+time.Second, pings)
		assert.Equal(t, w.store.RolloutState("plain"), "completed")
		assert.Equal(t, m.answers[http.StatusOK], 1300, "%v", m.answers)
	})
}

// TestSecondOrderAfterRollBack checks that a service can be moved again after a roll-back.
func TestSecondOrderAfterRollBack(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{AffectedFraction: 0.5, FailAffected: true})
		m.startRollout()
		m.sendLoad(100, 5*time.Second, pings)
		assert.Equal(t, w.store.RolloutState("plain"), "rolled_back")
		for _, worker := range m.target {
			worker.SetFault(standin.WorkerFault{})
		}
		m.loadDone = false
		m.orderedAt = time.Now()
		w.store.PutRollout("plain", "v2", rolloutDuration+time.Second)
		go m.applyOutcome()
		time.Sleep(time.Second)
		go m.applyOutcome()
		m.sendLoad(100, rolloutDuration+time.Second, pings)
		assert.Equal(t, w.store.RolloutState("plain"), "completed")
	})
}

// TestRolloutAtIsolatedInstance checks that an instance that reaches neither the store nor the
// others sends nothing to the target.
func TestRolloutAtIsolatedInstance(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		m := w.newBuild("plain", standin.WorkerFault{})
		m.startRollout()
		time.Sleep(time.Second)
		w.net.AddCut(func(a, b string) bool {
			away := func(n string) bool { return n == "store" || len(n) == 2 && n[0] == 'f' }
			return a == "f0" && away(b) || b == "f0" && away(a)
		})
		time.Sleep(maxRollBackDelay/2 + 100*time.Millisecond)
		before := len(m.target[0].Runs()) + len(m.target[1].Runs()) + len(m.target[2].Runs())
		for range 200 {
			a, err := w.send(0, standin.Request{Method: http.MethodGet, Path: "/open/1", Timeout: time.Second})
			assert.NilError(t, err)
			assert.Equal(t, a.Status, http.StatusOK)
		}
		after := len(m.target[0].Runs()) + len(m.target[1].Runs()) + len(m.target[2].Runs())
		assert.Equal(t, after, before)
		m.mu.Lock()
		m.loadDone = true
		m.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	})
}

// TestRolloutOfGoodBuildBesidePause guards against rolling a good build back because its endpoints, or
// those of the baseline, were paused for a second.
func TestRolloutOfGoodBuildBesidePause(t *testing.T) {
	for name, paused := range map[string]func(m *rolloutWorld) []*standin.Worker{
		"one_of_target":   func(m *rolloutWorld) []*standin.Worker { return m.target[:1] },
		"all_of_target":   func(m *rolloutWorld) []*standin.Worker { return m.target },
		"all_of_baseline": func(m *rolloutWorld) []*standin.Worker { return m.baseline },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 1, 6, func(w *world) {
				m := w.newBuild("plain", standin.WorkerFault{})
				m.startRollout()
				time.AfterFunc(rolloutDuration/3, func() {
					for _, e := range paused(m) {
						e.Pause(sharedSilence)
					}
				})
				m.sendLoad(100, rolloutDuration+2*time.Second, pingsAndLogs)
				assert.Equal(w.t, w.store.RolloutState("plain"), "completed")
				m.checkExposure()
			})
		})
	}
}

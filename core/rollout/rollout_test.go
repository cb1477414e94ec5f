package rollout

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return epoch.Add(d) }

func testOrder() Order {
	return Order{Service: "s", Target: "v2", Created: 7, Duration: 12 * time.Second}
}

func newRollout() *Rollout {
	r := New(DefaultSettings(), testOrder(), epoch, 0, "a")
	r.SetEndpoints(Endpoints{Baseline: 3, Target: 3})
	return r
}

// TestValidateRejectsUnusableOrders: orders without a service, a target or a plausible duration are
// rejected.
func TestValidateRejectsUnusableOrders(t *testing.T) {
	for name, o := range map[string]Order{
		"no service": {Target: "v2", Duration: time.Second}, "no target": {Service: "s", Duration: time.Second},
		"no duration": {Service: "s", Target: "v2"}, "negative": {Service: "s", Target: "v2", Duration: -1},
		"for ever": {Service: "s", Target: "v2", Duration: math.MaxInt64},
	} {
		assert.Assert(t, o.Validate() != nil, name)
	}
	o := testOrder()
	assert.NilError(t, o.Validate())
}

// TestScheduleIsOrderedForAnyDuration: for any duration, a canary comes first and the outcome is
// written before the deadline.
func TestScheduleIsOrderedForAnyDuration(t *testing.T) {
	settings := DefaultSettings()
	for _, d := range []time.Duration{time.Second, 3 * time.Second, 12 * time.Second, time.Minute, time.Hour} {
		for _, drain := range []time.Duration{0, 50 * time.Millisecond, 1500 * time.Millisecond, time.Minute} {
			p := settings.schedule(d, drain)
			assert.Assert(t, p.earliestMove >= d/canaryDivisor && p.earliestMove <= p.latestMove, "%v %+v", d, p)
			assert.Assert(t, p.earliestCompletion < d && p.latestCompletion < d && p.earliestCompletion <= p.latestCompletion, "%v %+v", d, p)
			assert.Assert(t, p.loadTest < p.earliestMove, "%v %+v", d, p)
		}
	}
}

// TestCanaryLeavesExposureForTheMove: for any load and any distribution over routes, the canary
// leaves enough of the allowed exposure to move all requests in time. If the bound is too small for
// that, the canary still gets a part of it, since nothing moves without evidence.
func TestCanaryLeavesExposureForTheMove(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 10, 250, 9000} {
		for _, routes := range [][]float64{{1}, {0.95, 0.05}, {0.3, 0.2, 0.2, 0.1, 0.1, 0.05, 0.05}} {
			r := newRollout()
			sent, all := 0.0, 0.0
			var pending []float64
			pending = append(pending, routes...)
			clear(pending)
			step := 20 * time.Millisecond
			for age := time.Duration(0); age < r.schedule.earliestMove; age += step {
				for i, part := range routes {
					name := string(rune('a' + i))
					pending[i] += perSecond * part * step.Seconds()
					for ; pending[i] >= 1; pending[i]-- {
						share := r.Share(after(age), name, true)
						assert.Assert(t, share >= 0 && share <= 1, "%v", share)
						sent, all = sent+share, all+1
						arm := Baseline
						if sent >= float64(r.local.sentCounts().target)+1 {
							arm = Target
						}
						r.LocalCounts(Cell{Route: name, Arm: arm}).Sent++
					}
				}
			}
			until := (r.order.Duration - r.schedule.earliestMove).Seconds()
			bound := r.settings.ExposureShare*(all+perSecond*until) + r.settings.ExposureReserve
			move := perSecond * r.schedule.minMoveTime.Seconds()
			assert.Assert(t, sent <= max(bound-move, minCanaryShare*bound)+1, "%v %v: %v of %v, %v for the move", perSecond, routes, sent, bound, move)
			if perSecond >= 10 {
				assert.Assert(t, sent >= 0.2*bound, "%v %v: %v of %v", perSecond, routes, sent, bound)
			}
		}
	}
}

// TestMaxMinLevel: routes with little traffic get what they can use, and the others share the rest
// evenly.
func TestMaxMinLevel(t *testing.T) {
	for _, c := range []struct {
		amount float64
		limits []float64
		level  float64
	}{
		{30, []float64{100, 100}, 15}, {30, []float64{100, 7}, 23}, {30, []float64{5, 100, 7}, 18}, {30, []float64{1, 2}, math.Inf(1)},
		{0, []float64{5}, 0}, {-3, []float64{5}, 0}, {5, nil, math.Inf(1)},
	} {
		assert.Equal(t, maxMinLevel(c.amount, c.limits), c.level, "%+v", c)
	}
}

// TestUninformedInstanceSendsNothingToTarget: an instance that would not learn of a roll-back sends
// nothing to the target, even after requests began to move.
func TestUninformedInstanceSendsNothingToTarget(t *testing.T) {
	r := newRollout()
	assert.Assert(t, r.Share(after(time.Second), "r", true) > 0)
	assert.Equal(t, r.Share(after(time.Second), "r", false), 0.0)
	r.Apply(after(time.Second), Source{Name: "b", DataCentre: "a"}, &Report{OrderID: r.order.ID(), Decision: Move, MovingFor: time.Second, Age: time.Second})
	assert.Equal(t, r.Share(after(time.Second), "r", true), 1.0)
	assert.Equal(t, r.Share(after(time.Second), "r", false), 0.0)
}

// TestRollBackIsNeverReverted: only a completion in the store overrides a decision to roll back.
func TestRollBackIsNeverReverted(t *testing.T) {
	r := newRollout()
	other := Source{Name: "b", DataCentre: "b"}
	r.Apply(after(time.Second), other, &Report{OrderID: r.order.ID(), Decision: RollBack, Reason: "failures"})
	r.Apply(after(time.Second), other, &Report{OrderID: r.order.ID(), Decision: Move})
	d, reason := r.Decision()
	assert.Equal(t, d, RollBack)
	assert.Equal(t, reason, "failures")
	assert.Equal(t, r.Share(after(time.Second), "r", true), 0.0)
	state, pending := r.PendingState(after(time.Second))
	assert.Assert(t, pending)
	assert.Equal(t, state, RolledBack)
	r.SetState(Completed) // another instance wrote its outcome first
	assert.Equal(t, r.Share(after(time.Second), "r", true), 1.0)
	r.SetState(RolledBack)
	assert.Equal(t, r.State(), Completed)
}

// TestFinalStateNeverChanges: an instance keeps the first final state that it reads from the store.
func TestFinalStateNeverChanges(t *testing.T) {
	for _, first := range []State{Completed, RolledBack} {
		r := newRollout()
		r.SetState(first)
		for _, s := range []State{Ordered, Running, Completed, RolledBack} {
			r.SetState(s)
			assert.Equal(t, r.State(), first)
		}
		_, pending := r.PendingState(after(time.Minute))
		assert.Assert(t, !pending)
	}
}

// TestReportsOfOtherOrdersAreIgnored: a report about an earlier order of the service changes
// nothing.
func TestReportsOfOtherOrdersAreIgnored(t *testing.T) {
	r := newRollout()
	r.Apply(epoch, Source{Name: "b"}, &Report{OrderID: "6/v1/1000", Decision: RollBack})
	d, _ := r.Decision()
	assert.Equal(t, d, Undecided)
}

// TestCountsSurviveProcessRestart: the counts of a process are kept when its instance restarts.
func TestCountsSurviveProcessRestart(t *testing.T) {
	r := newRollout()
	report := func(n uint64) *Report {
		return &Report{OrderID: r.order.ID(), Tally: Tally{{Route: "r", Arm: Target}: &Counts{Sent: n}}}
	}
	r.Apply(epoch, Source{Name: "b", Process: 1}, report(10))
	r.Apply(epoch, Source{Name: "b", Process: 1}, report(12))
	r.Apply(epoch, Source{Name: "b", Process: 2}, report(3))
	_, target := r.totals().Sent()
	assert.Equal(t, target, uint64(15))
	r.Apply(epoch, Source{Name: "c", DataCentre: "c", Process: 1, IsSummary: true}, report(20))
	r.Apply(epoch, Source{Name: "d", DataCentre: "c", Process: 2, IsSummary: true}, report(18))
	_, target = r.totals().Sent()
	assert.Equal(t, target, uint64(35))
}

// TestConnectedNeedsEachDataCentre: an instance is connected if it receives the counts of each data
// centre.
func TestConnectedNeedsEachDataCentre(t *testing.T) {
	r := newRollout()
	others := []Source{{Name: "b", DataCentre: "a"}, {Name: "c", DataCentre: "b"}, {Name: "d", DataCentre: "b"}}
	assert.Assert(t, !r.Connected(epoch, others))
	empty := &Report{OrderID: r.order.ID()}
	r.Apply(epoch, others[0], empty)
	assert.Assert(t, !r.Connected(epoch, others))
	r.Apply(epoch, Source{Name: "c", DataCentre: "b", IsSummary: true}, empty)
	assert.Assert(t, r.Connected(epoch, others))
	assert.Assert(t, !r.Connected(after(reportTTL), others))
	assert.Assert(t, r.Connected(epoch, nil))
}

// TestTargetWithoutAnswersIsRolledBackAtDeadline: a target without endpoints gives no answers and
// is rolled back at the deadline, not before.
func TestTargetWithoutAnswersIsRolledBackAtDeadline(t *testing.T) {
	r := newRollout()
	r.SetEndpoints(Endpoints{Baseline: 3})
	for d := time.Duration(0); d < 12*time.Second; d += 100 * time.Millisecond {
		r.LocalCounts(Cell{Route: "r"}).Sent++
		r.Tick(after(d), true)
	}
	d, _ := r.Decision()
	assert.Equal(t, d, Undecided)
	r.Tick(after(12*time.Second), true)
	d, _ = r.Decision()
	assert.Equal(t, d, RollBack)
}

// TestLostCountsAreNotTakenForLowTraffic: all instances are killed late in a canary and lose the
// counts of the target's answers. A restarted instance may take low counts for low traffic only if
// it has counted for long enough. Without that rule requests moved to a bad target.
func TestLostCountsAreNotTakenForLowTraffic(t *testing.T) {
	times := New(DefaultSettings(), testOrder(), epoch, 0, "a").schedule
	for _, c := range []struct {
		age   time.Duration // at which the instance starts
		moves bool
	}{{0, true}, {times.earliestMove / 3, true}, {times.earliestMove - 100*time.Millisecond, false}, {times.earliestMove + 10*time.Millisecond, false}} {
		r := New(DefaultSettings(), testOrder(), after(c.age), c.age, "a")
		r.SetEndpoints(Endpoints{Baseline: 3, Target: 3})
		r.Tick(after(times.earliestMove+20*time.Millisecond), true)
		assert.Equal(t, r.Moving(), c.moves, "started after %v", c.age)
		r.Tick(after(testOrder().Duration), true)
		assert.Equal(t, r.decision == RollBack, !c.moves, "started after %v", c.age)
	}
}

// TestLostCountsDoNotRaiseExposure: all instances are killed in a canary and lose the counts of
// requests. The share that they send to the target afterwards must not exceed the one with complete
// counts. Before, a service of 45 requests per second was taken for one of 17.
func TestLostCountsDoNotRaiseExposure(t *testing.T) {
	const perSecond = 45
	share := func(countingSince, at time.Duration) float64 {
		r := New(DefaultSettings(), testOrder(), after(countingSince), countingSince, "a")
		r.SetEndpoints(Endpoints{Baseline: 3, Target: 3})
		r.LocalCounts(Cell{Route: "r"}).Sent += uint64(perSecond * (at - countingSince).Seconds())
		r.LocalCounts(Cell{Route: "r"}).Answered += uint64(perSecond * (at - countingSince).Seconds())
		return r.Share(after(at), "r", true)
	}
	for _, countingSince := range []time.Duration{2 * time.Second, 5 * time.Second, 7 * time.Second} {
		at := countingSince + 2*time.Second
		assert.Assert(t, share(countingSince, countingSince) >= 0 && share(countingSince, countingSince) <= 1, "nothing is known yet")
		assert.Assert(t, share(countingSince, at) <= 1.05*share(0, at), "began %v: %.3f and %.3f", countingSince, share(countingSince, at), share(0, at))
	}
}

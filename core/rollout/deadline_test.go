package rollout

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rolloutAtMove returns a rollout at the time at which requests may begin to move. The counts are
// those of one route. The target's are spread over some endpoints.
func rolloutAtMove(base, target Counts, targetEndpoints int, live Endpoints) (*Rollout, time.Time) {
	r := newRollout()
	r.SetEndpoints(live)
	base.Sent, target.Sent = base.Answered+base.Failed, target.Answered+target.Failed
	r.local = tallyInGroups(base, target, targetEndpoints)
	return r, after(r.schedule.earliestMove)
}

// TestFailingTargetDoesNotReplaceAbsentBaseline: all endpoints of the baseline were down for a
// moment when requests were to move. Requests moved to a target that had failed 8 of 11 requests,
// and it was completed.
func TestFailingTargetDoesNotReplaceAbsentBaseline(t *testing.T) {
	for _, c := range []struct{ base, target Counts }{
		{Counts{Answered: 52, Failed: 10}, Counts{Answered: 3, Failed: 8}}, {Counts{}, Counts{Answered: 3, Failed: 8}},
		{Counts{Answered: 6, Failed: 3}, Counts{Answered: 5, Failed: 7}}, // most counts were lost with their instances
	} {
		base := c.base
		r, now := rolloutAtMove(base, c.target, 4, Endpoints{Target: 4})
		for ; r.Age(now) < r.order.Duration; now = now.Add(100 * time.Millisecond) {
			r.Tick(now, true)
			assert.Assert(t, !r.Moving(), "after %v, baseline %+v", r.Age(now), base)
		}
		r.Tick(now, true)
		d, _ := r.Decision()
		assert.Equal(t, d, RollBack)
	}
}

// TestMoveNamesItsReason: the log line about a move says which comparison came how far.
func TestMoveNamesItsReason(t *testing.T) {
	for want, live := range map[string]Endpoints{"good enough": {Baseline: 4, Target: 4}, "no endpoint of the baseline": {Target: 4}} {
		r, now := rolloutAtMove(Counts{Answered: 52, Failed: 10}, Counts{Answered: 40}, 4, live)
		r.Tick(now, true)
		d, reason := r.Decision()
		assert.Equal(t, d, Move)
		assert.Assert(t, strings.HasPrefix(reason, want) && strings.Contains(reason, "on route r: 0 of 40"), reason)
	}
}

// TestTargetReplacesAbsentBaseline: if the baseline has no endpoints, a target gets the requests
// once as many good answers of it are known as otherwise. In the soak, instances that had lost their
// counts moved to a bad target of which they knew nothing.
func TestTargetReplacesAbsentBaseline(t *testing.T) {
	for _, c := range []struct {
		base, target Counts
		moves        bool
	}{
		{Counts{Answered: 52, Failed: 10}, Counts{Answered: 40}, true}, {Counts{}, Counts{Answered: 9}, true},
		{Counts{Answered: 52, Failed: 10}, Counts{}, false}, {Counts{Answered: 9}, Counts{Answered: 2}, false}, {Counts{}, Counts{Failed: 7}, false},
	} {
		r, now := rolloutAtMove(c.base, c.target, 4, Endpoints{Target: 4})
		r.Tick(now, true)
		assert.Equal(t, r.Moving(), c.moves, "%+v", c)
	}
}

// TestFewAnswersAtTheMove: with few answers, a target that fails half of its requests at several
// endpoints does not get all requests. A target that fails none does.
func TestFewAnswersAtTheMove(t *testing.T) {
	for all := uint64(4); all <= 20; all++ {
		for endpoints := 1; endpoints <= 4; endpoints++ {
			for _, baseline := range []uint64{9, 62} {
				for baseFailed := range min(baseline, 16) {
					for failed := uint64(0); failed <= all; failed++ {
						r, now := rolloutAtMove(Counts{Answered: baseline - baseFailed, Failed: baseFailed}, Counts{Answered: all - failed, Failed: failed}, endpoints, Endpoints{Baseline: 4, Target: 4})
						r.Tick(now, true)
						switch {
						case 2*failed >= all:
							assert.Check(t, !r.Moving(), "%d of %d at %d endpoints, baseline %d of %d", failed, all, endpoints, baseFailed, baseline)
						case failed == 0 && all >= r.settings.MinAnswers && baseline > 9:
							assert.Check(t, r.Moving(), "%d at %d endpoints, baseline %d of %d", all, endpoints, baseFailed, baseline)
						}
					}
				}
			}
		}
	}
}

package rollout

import "time"

// Share returns the share of a route's requests that go to the target now, from 0 to 1. informed
// has the meaning that it has for [Rollout.Tick].
func (r *Rollout) Share(now time.Time, route string, informed bool) float64 {
	switch {
	case r.state == Completed:
		return 1
	case r.state == RolledBack, r.decision == RollBack, r.endpoints.Target == 0, !informed:
		return 0
	case r.decision == Move:
		return r.settings.rampShare(now.Sub(r.movingAt))
	}
	j, _ := r.Judgement(now)
	e := r.exposure(now)
	r.paused = r.paused || j.Excess >= r.settings.PauseExcess || r.mustPause(now, &j)
	if r.paused || e.sent >= r.canaryBudget(&e) {
		return 0
	}
	if r.inLoadTest(now) && j.Evidence < r.settings.MaxMoveEvidence {
		return r.loadTestShare(&e)
	}
	if r.settings.canaryShare != nil {
		return r.settings.canaryShare(&r.settings, r.routeRate(route, now), len(r.sent.routes), r.Age(now), r.schedule.earliestMove)
	}
	return r.canaryShare(now, route, &e)
}

// mustPause reports whether the canary has to pause although the target is not found bad; see
// [Settings.BadAnswerLimit].
func (r *Rollout) mustPause(now time.Time, j *Judgement) bool {
	if j.Answered+j.Failed < r.settings.BadAnswerLimit {
		return false
	}
	if r.limitReachableAt.IsZero() {
		r.limitReachableAt = now
	}
	wait := time.Duration(r.settings.PauseAfterShare * float64(r.settings.MaxRollBackDelay))
	return j.Evidence > 0 && now.Sub(r.limitReachableAt) >= wait
}

// ResumeWait returns how long a stream whose baseline endpoint broke off waits before it goes on; 0
// means no wait. When the baseline is stopped, all its streams would resume at the target at once.
// That may be more requests than the target may get before the deadline, so they wait for it.
func (r *Rollout) ResumeWait(now time.Time) time.Duration {
	left := r.order.Duration - r.Age(now)
	if r.decision != Move && r.state != Completed || left <= 0 || left > maxResumeWait {
		return 0
	}
	return left
}

// inLoadTest reports whether the load test runs. The target gets its usual load for a short time,
// since some builds are bad only under load.
func (r *Rollout) inLoadTest(now time.Time) bool {
	age := r.Age(now)
	return r.schedule.loadTest > 0 && age >= r.schedule.loadTest && age < r.schedule.loadTest+r.settings.LoadTest
}

// loadTestBudgetShare is the share of a canary's budget that is kept for the load test.
const loadTestBudgetShare = 0.35

// loadTestShare returns the share of the requests that uses up what is left of the canary's budget
// during the load test.
func (r *Rollout) loadTestShare(e *exposure) float64 {
	expected := e.perSecond * r.settings.LoadTest.Seconds()
	return min(max(r.canaryBudget(e)-e.sent, 0)/max(expected, 1), 1)
}

// minRatePeriod is the least time over which a request rate is measured.
const minRatePeriod = time.Second

// routeRate returns a route's requests per second since this instance began to count. Earlier
// counts may be lost if all instances restarted. It returns 0 if the rate is not known.
func (r *Rollout) routeRate(route string, now time.Time) float64 {
	counted := now.Sub(r.countingSince)
	if counted < minRatePeriod {
		return 0
	}
	return float64(r.sent.routes[route]) / counted.Seconds()
}

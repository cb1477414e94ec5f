package rollout

import "time"

// Share returns the share of a route's requests that go to the target now. informed is that of [Rollout.Tick].
func (r *Rollout) Share(now time.Time, route string, informed bool) float64 {
	switch {
	case r.state == Completed:
		return 1
	case r.state == RolledBack, r.decision == RollBack, r.endpoints.Target == 0, !informed:
		return 0
	case r.decision == Move:
		return r.set.ramp(now.Sub(r.movingAt))
	}
	j, _ := r.Judgement(now)
	e := r.exposure(now)
	r.held = r.held || j.Excess >= r.set.Hold || r.doubted(now, &j)
	if r.held || e.sent >= r.canaryBudget(&e) {
		return 0
	}
	if r.surging(now) && j.Evidence < r.set.Unsure {
		return r.surgeShare(&e)
	}
	if r.set.canaryShare != nil {
		return r.set.canaryShare(&r.set, r.rate(route, now), len(r.sent.routes), r.Age(now), r.plan.move)
	}
	return r.canaryShare(now, route, &e)
}

// doubted reports whether the canary has to pause although the target is not found bad: see [Settings.ManyAnswers].
func (r *Rollout) doubted(now time.Time, j *Judgement) bool {
	if j.Answered+j.Failed < r.set.ManyAnswers {
		return false
	}
	if r.manyAt.IsZero() {
		r.manyAt = now
	}
	wait := time.Duration(r.set.HoldAfter * float64(r.set.RollBack))
	return j.Evidence > 0 && now.Sub(r.manyAt) >= wait
}

// ResumeWait returns how long a stream waits that the baseline has broken off: when that is stopped, all its streams come to the target at
// once, and are more than it may get before the deadline.
func (r *Rollout) ResumeWait(now time.Time) time.Duration {
	left := r.order.Duration - r.Age(now)
	if r.decision != Move && r.state != Completed || left <= 0 || left > maxResumeWait {
		return 0
	}
	return left
}

// surging tells whether the target gets the usual load for a moment: some builds are bad under load only.
func (r *Rollout) surging(now time.Time) bool {
	age := r.Age(now)
	return r.plan.surge > 0 && age >= r.plan.surge && age < r.plan.surge+r.set.Surge
}

// surgeShare of a canary's requests are kept for a surge.
const surgeShare = 0.35

// surgeShare returns the share of the requests that uses up what is left of the canary's.
func (r *Rollout) surgeShare(e *exposure) float64 {
	expected := e.perSecond * r.set.Surge.Seconds()
	return min(max(r.canaryBudget(e)-e.sent, 0)/max(expected, 1), 1)
}

// minCounted is the least time over which a rate is taken.
const minCounted = time.Second

// rate returns how many requests of a route there are in a second, since this instance began to count: what came before may have been
// forgotten by all. It returns 0 where that is not known.
func (r *Rollout) rate(route string, now time.Time) float64 {
	counted := now.Sub(r.began)
	if counted < minCounted {
		return 0
	}
	return float64(r.sent.routes[route]) / counted.Seconds()
}

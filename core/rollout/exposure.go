package rollout

import (
	"math"
	"slices"
	"time"
)

// exposure is how many requests the target has got, and how many it may get until the order's
// deadline.
type exposure struct {
	// bound is how many requests the target may get in all. sent is how many it has got.
	bound, sent float64
	// perSecond is the service's requests per second; 0 if that is not known.
	perSecond float64
}

// exposure returns an estimate of the exposure. Before requests were counted for [minRatePeriod],
// the bound covers the reserve and only those requests that were already sent.
func (r *Rollout) exposure(now time.Time) exposure {
	counted, age := now.Sub(r.countingSince), r.Age(now)
	if r.sent.total() == 0 || counted < minRatePeriod {
		return exposure{bound: r.settings.ExposureShare*float64(r.sent.total()) + r.settings.ExposureReserve, sent: float64(r.sent.target)}
	}
	averageRate := float64(r.sent.total()) / counted.Seconds()
	uncounted, left := max(age-counted, 0).Seconds(), max(r.order.Duration-age, 0).Seconds()
	e := exposure{
		bound: r.settings.ExposureShare*(float64(r.sent.total())+averageRate*(uncounted+left)) + r.settings.ExposureReserve, sent: float64(r.sent.target),
		perSecond: max(averageRate, r.recentRate(now)),
	}
	// If all instances restarted, their earlier counts are lost. The target is then assumed to have
	// got the budget of a usual canary in that time. Requests of the last [reportDelay] are not
	// reported yet and are added as well.
	e.sent += r.canaryBudget(&e) * min(uncounted/r.schedule.earliestMove.Seconds(), 1)
	e.sent += float64(r.sent.target) / counted.Seconds() * reportDelay.Seconds()
	return e
}

// reportDelay is how long it takes until all instances know what one has counted.
const reportDelay = 500 * time.Millisecond

// recentRate returns the service's requests per second over the kept snapshots; 0 if that is not
// known.
func (r *Rollout) recentRate(now time.Time) float64 {
	if len(r.snapshots) == 0 {
		return 0
	}
	first := &r.snapshots[0]
	passed := now.Sub(first.at)
	if passed < minRatePeriod {
		return 0
	}
	return float64(r.sent.total()-min(first.sent, r.sent.total())) / passed.Seconds()
}

// remaining returns how many more requests the target may get.
func (e *exposure) remaining() float64 { return e.bound - e.sent }

// requestsDuring returns an upper estimate of how many requests the target gets in d if it gets all
// of them. stdDevs is the safety margin in standard deviations.
func (e *exposure) requestsDuring(d time.Duration, stdDevs float64) float64 {
	n := e.perSecond * max(d, 0).Seconds()
	return n + stdDevs*math.Sqrt(n)
}

// moveWithinBound reports whether requests may begin to move now, so that the target stays within
// the bound until the deadline.
func (r *Rollout) moveWithinBound(now time.Time) bool {
	e := r.exposure(now)
	saved := time.Duration(r.settings.unmovedRampShare() * float64(r.settings.Ramp))
	return e.requestsDuring(r.order.Duration-r.Age(now)-saved, r.settings.MoveStdDevs) <= e.remaining()
}

// completionWithinBound reports whether the baseline may be stopped. From then on all requests go
// to the target. After the deadline nothing bounds them.
func (r *Rollout) completionWithinBound(now time.Time) bool {
	e := r.exposure(now)
	left := r.order.Duration - r.Age(now)
	return left <= 0 || e.requestsDuring(left, 0) <= e.bound-float64(r.sent.target)
}

// canaryBudget returns how many requests a canary may use. The rest of the bound is kept for the
// shortest move.
func (r *Rollout) canaryBudget(e *exposure) float64 {
	saved := time.Duration(r.settings.unmovedRampShare() * float64(r.settings.Ramp))
	return max(e.bound-e.requestsDuring(r.schedule.minMoveTime-saved, r.settings.MoveStdDevs), minCanaryShare*e.bound)
}

// minCanaryShare is the share of the bound that a canary gets even if the rest is too small for a
// move. A target of which nothing is known never gets all requests.
const minCanaryShare = 0.25

// canaryShare returns the share of a route's requests that uses up the canary's budget evenly until
// requests move. Each route gets the same number of requests, as far as it has them. So a fault on
// a route with little traffic shows as soon as one on a busy route.
func (r *Rollout) canaryShare(now time.Time, route string, e *exposure) float64 {
	rate := r.routeRate(route, now)
	if rate == 0 {
		return r.settings.UnknownRateShare * r.settings.ExposureShare
	}
	budget := r.canaryBudget(e)
	if r.schedule.loadTest > 0 && r.Age(now) < r.schedule.loadTest {
		budget *= 1 - loadTestBudgetShare
	}
	left := max(r.schedule.earliestMove-r.Age(now), minBudgetPeriod).Seconds()
	var limits []float64 // the most that each route can use
	for name := range r.sent.routes {
		limits = append(limits, r.settings.MaxRouteShare*r.routeRate(name, now)*left)
	}
	return min(r.settings.MaxRouteShare, maxMinLevel(budget-e.sent, limits)/(rate*left))
}

// minBudgetPeriod is the least time over which the rest of a canary's budget is used.
const minBudgetPeriod = 500 * time.Millisecond

// maxMinLevel returns the level of a max-min fair division: each part gets its limit or the level,
// whichever is less, and together they get the amount. It returns +Inf if the limits add up to less
// than the amount.
func maxMinLevel(amount float64, limits []float64) float64 {
	slices.Sort(limits)
	for i, m := range limits {
		level := amount / float64(len(limits)-i)
		if level <= m {
			return max(level, 0)
		}
		amount -= m
	}
	return math.Inf(1)
}

package health

import (
	"math"
	"time"
)

const (
	// speedHalfLife is the time after which an observation counts half as much. An engine gets a
	// prompt about every two seconds from all instances together, so some five observations count.
	speedHalfLife = 20 * time.Second
	// maxSpeedWeight bounds the weight of the earlier observations in a [Speed]. A new observation
	// then moves the mean by at least a seventh, so that a change shows within a few of them.
	maxSpeedWeight = 6.0
	// maxUnknownWeight is the weight up to which a speed counts as unknown. Three observations exceed
	// it, unless they are old or uncertain; two never do.
	maxUnknownWeight = 2.0
	// priorSpeedWeight is the weight of an assumed observation of the usual speed. It moves the speed
	// back to the usual one as the observations decay.
	priorSpeedWeight = 0.5
	// MinSpeedFactor and MaxSpeedFactor bound a speed relative to the usual one. Beyond them, the
	// reason is not the engine: a cached prompt that was not known, or a wait for a slot.
	MinSpeedFactor, MaxSpeedFactor = 0.3, 8.0
)

// Speed is the time that a unit of work takes at one endpoint, from observations that decay. It is an
// absolute time, since each instance has its own estimate of the usual one: factors of instances
// with different estimates could not be combined. The zero value has no observations.
type Speed struct {
	estimate  SpeedEstimate
	decayedAt time.Time
}

// SpeedEstimate is the geometric mean of the time that a unit of work takes at an endpoint, and the
// weight of the observations behind it: their number, with old and uncertain ones counted in part.
type SpeedEstimate struct {
	// LogPerUnit is the natural logarithm of the time in nanoseconds.
	LogPerUnit float64
	Weight     float64
}

// Observe records that a unit of work took a time, in nanoseconds. weight is 1 for an observation
// without disturbance.
func (s *Speed) Observe(now time.Time, perUnit, weight float64) {
	if perUnit <= 0 || weight <= 0 {
		return
	}
	s.Merge(now, SpeedEstimate{math.Log(perUnit), min(weight, 1)})
}

// Merge adds the observations of others.
func (s *Speed) Merge(now time.Time, e SpeedEstimate) {
	s.decay(now)
	s.estimate.Weight = min(s.estimate.Weight, maxSpeedWeight)
	s.estimate = s.estimate.Add(e)
}

// Estimate returns the observations, decayed to now.
func (s Speed) Estimate(now time.Time) SpeedEstimate {
	s.decay(now)
	return s.estimate
}

// ObservedAt returns when the last observation was made; zero if there was none.
func (s Speed) ObservedAt() time.Time { return s.decayedAt }

func (s *Speed) decay(now time.Time) {
	s.estimate.Weight *= decayFactor(now.Sub(s.decayedAt), speedHalfLife)
	s.decayedAt = now
}

// Add returns the mean of two estimates by weight.
func (e SpeedEstimate) Add(o SpeedEstimate) SpeedEstimate {
	sum := e.Weight + o.Weight
	if sum <= 0 {
		return SpeedEstimate{}
	}
	return SpeedEstimate{(e.LogPerUnit*e.Weight + o.LogPerUnit*o.Weight) / sum, sum}
}

// PerUnit returns the time that a unit of work takes, in nanoseconds; 0 without observations.
func (e SpeedEstimate) PerUnit() float64 {
	if e.Weight <= 0 {
		return 0
	}
	return math.Exp(e.LogPerUnit)
}

// Factor returns how many times the usual time a unit of work takes, moved towards 1 where there are
// few observations; 1 and false if there are too few or the usual time is not known.
func (e SpeedEstimate) Factor(usual *Baseline) (float64, bool) {
	if e.Weight <= maxUnknownWeight || usual.perUnit <= 0 {
		return 1, false
	}
	excess := e.LogPerUnit - math.Log(usual.perUnit)
	factor := math.Exp(excess * e.Weight / (e.Weight + priorSpeedWeight))
	return min(max(factor, MinSpeedFactor), MaxSpeedFactor), true
}

package health

import (
	"math"
	"time"
)

const (
	// paceHalfLife is the time after which the logarithm of the factor is halved. An endpoint that
	// took four times as long as usual then counts as twice as slow, and gets requests again while
	// the others read a prompt.
	paceHalfLife = 10 * time.Second
	// paceObservationWeight is the weight of a new observation in the moving average of the
	// logarithm.
	paceObservationWeight = 0.6
	// minPaceFactor and maxPaceFactor bound one observation. A request that waited for a lost
	// connection may take far longer, and that says nothing about the endpoint's pace.
	minPaceFactor, maxPaceFactor = 0.5, 8.0
)

// Pace is the latency of an endpoint relative to the usual one of its service. It decays towards 1.
// The zero value is the usual pace.
type Pace struct {
	// logFactor is the natural logarithm of the factor at decayedAt.
	logFactor float64
	decayedAt time.Time
}

// Observe records that a request took factor times as long as usual.
func (p *Pace) Observe(now time.Time, factor float64) {
	p.decay(now)
	p.logFactor += paceObservationWeight * (math.Log(min(max(factor, minPaceFactor), maxPaceFactor)) - p.logFactor)
}

// AtLeast records that a request has taken factor times as long as usual so far and is still
// running. It can only raise the pace.
func (p *Pace) AtLeast(now time.Time, factor float64) {
	p.decay(now)
	p.logFactor = max(p.logFactor, math.Log(min(max(factor, minPaceFactor), maxPaceFactor)))
}

// Factor returns how many times as long as usual the endpoint takes, decayed to now.
func (p Pace) Factor(now time.Time) float64 {
	p.decay(now)
	return math.Exp(p.logFactor)
}

func (p *Pace) decay(now time.Time) {
	p.logFactor *= decayFactor(now.Sub(p.decayedAt), paceHalfLife)
	p.decayedAt = now
}

// baselineStep is the factor by which one observation moves the baseline. Fifteen of them double
// it.
const baselineStep = 1.05

// Baseline estimates the time that a unit of work usually takes at the endpoints of a service. It
// approximates the median, so that some slow endpoints don't shift it. The zero value has no
// estimate.
type Baseline struct{ perUnit float64 }

// Observe records how long some units of work took. It returns how many times as long as usual that
// was; false if there is no estimate to compare it with.
func (u *Baseline) Observe(units int, took time.Duration) (float64, bool) {
	if units <= 0 || took <= 0 {
		return 0, false
	}
	perUnit := float64(took) / float64(units)
	if u.perUnit == 0 {
		u.perUnit = perUnit
		return 0, false
	}
	factor := perUnit / u.perUnit
	if factor > 1 {
		u.perUnit *= baselineStep
	} else {
		u.perUnit /= baselineStep
	}
	return factor, true
}

// Factor returns how many times as long as usual some units of work took, without recording it;
// false if there is no estimate to compare it with.
func (u *Baseline) Factor(units int, took time.Duration) (float64, bool) {
	if u.perUnit == 0 || units <= 0 {
		return 0, false
	}
	return float64(took) / float64(units) / u.perUnit, true
}

// Expected returns how long some units of work usually take; false if there is no estimate.
func (u *Baseline) Expected(units int) (time.Duration, bool) {
	return time.Duration(u.perUnit * float64(units)), u.perUnit > 0 && units > 0
}

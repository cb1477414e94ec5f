package health

import (
	"math"
	"time"
)

const (
	// baselineStep is the factor by which one observation moves the expected time of its own work.
	// Fifteen of them double it.
	baselineStep = 1.05
	// assumedFixedUnits is the fixed part of a time before observations of different amounts of work
	// tell it from the rest, in units of work. Engines take about as long for the first token of a
	// prompt as for prefilling some hundred tokens to some thousand.
	assumedFixedUnits = 1000
	// minEvidenceShare is the share of the expected time that the units have in an observation that shows
	// the time per unit.
	minEvidenceShare = 0.5
)

// Baseline estimates the time that work usually takes at the endpoints of a service: a fixed part, and a
// part for each unit. It approximates the median, so that some slow endpoints don't shift it.
//
// An observation moves each part in proportion to its share of the expected time. Small work, whose time
// is mostly fixed, thus says little of the time per unit, and large work little of the fixed part. The
// zero value has no estimate.
type Baseline struct {
	fixed, perUnit float64 // nanoseconds
	evidenceAt     time.Time
}

// Observe records how long some units of work took. It returns how many times as long as usual that
// was; false if there is no estimate to compare it with.
func (u *Baseline) Observe(now time.Time, units int, took time.Duration) (float64, bool) {
	if units <= 0 || took <= 0 {
		return 0, false
	}
	factor, known := u.Factor(units, took)
	if known {
		u.move(units, factor > 1)
	} else {
		u.initialise(float64(took) / float64(units+assumedFixedUnits))
	}
	if u.unitShare(units) >= minEvidenceShare {
		u.evidenceAt = now
	}
	return factor, known
}

// initialise sets the time per unit, and the fixed part in the assumed proportion.
func (u *Baseline) initialise(perUnit float64) {
	u.perUnit, u.fixed = perUnit, assumedFixedUnits*perUnit
}

// move changes the expected time of some units of work by baselineStep, and thereby each part by its share.
func (u *Baseline) move(units int, up bool) {
	unitShare := u.unitShare(units)
	fixedShare := 1 - unitShare
	step := math.Log(baselineStep) / (fixedShare*fixedShare + unitShare*unitShare)
	if !up {
		step = -step
	}
	u.fixed *= math.Exp(step * fixedShare)
	u.perUnit *= math.Exp(step * unitShare)
}

func (u *Baseline) expected(units int) float64 { return u.fixed + u.perUnit*float64(units) }

// unitShare is the share of the expected time of some units of work that is not fixed.
func (u *Baseline) unitShare(units int) float64 {
	return u.perUnit * float64(units) / u.expected(units)
}

// EvidenceAt returns when work that shows the time per unit was last observed; zero for never. Without it,
// the estimate for large work is extrapolated.
func (u *Baseline) EvidenceAt() time.Time { return u.evidenceAt }

// Factor returns how many times as long as usual some units of work took, without recording it;
// false if there is no estimate to compare it with.
func (u *Baseline) Factor(units int, took time.Duration) (float64, bool) {
	if u.perUnit == 0 || units <= 0 {
		return 0, false
	}
	return float64(took) / u.expected(units), true
}

// Expected returns how long some units of work usually take; false if there is no estimate.
func (u *Baseline) Expected(units int) (time.Duration, bool) {
	if u.perUnit == 0 || units <= 0 {
		return 0, false
	}
	return time.Duration(u.expected(units)), true
}

// PerUnit returns the usual time of a unit of work without the fixed part, in nanoseconds; 0 if there is
// no estimate.
func (u *Baseline) PerUnit() float64 { return u.perUnit }

// Speed returns the time per unit of some units of work, more than 0, that took a time, in nanoseconds. The
// fixed part is left out, and the result is bounded to what an endpoint of the service can plausibly take.
// weight is the share of the expected time that is not fixed: the smaller it is, the less the observation says
// of the time per unit. Without an estimate, all of the time is taken as that of the units.
func (u *Baseline) Speed(units int, took time.Duration) (perUnit, weight float64) {
	if u.perUnit == 0 {
		return float64(took) / float64(units), 1
	}
	return u.ClampPerUnit((float64(took) - u.fixed) / float64(units)), u.unitShare(units)
}

// ClampPerUnit returns the time per unit, in nanoseconds, bounded to what an engine of the service
// can plausibly take. Without an estimate of the usual time it is returned as it is.
func (u *Baseline) ClampPerUnit(perUnit float64) float64 {
	if u.perUnit <= 0 {
		return perUnit
	}
	return min(max(perUnit, MinSpeedFactor*u.perUnit), MaxSpeedFactor*u.perUnit)
}

// ObservePerUnit moves the estimate by the time per unit that another instance observed, in
// nanoseconds. weight is how much its observations have gained in weight.
func (u *Baseline) ObservePerUnit(now time.Time, perUnit, weight float64) {
	if perUnit <= 0 || weight <= 0 {
		return
	}
	if weight >= minEvidenceShare {
		u.evidenceAt = now
	}
	step := math.Pow(baselineStep, min(weight, 1))
	switch {
	case u.perUnit == 0:
		u.initialise(perUnit)
	case perUnit > u.perUnit:
		u.perUnit *= step
	default:
		u.perUnit /= step
	}
}

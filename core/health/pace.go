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

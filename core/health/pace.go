package health

import (
	"math"
	"time"
)

// How the pace of an endpoint is learned.
const (
	// paceHalfLife is after how long an endpoint that was slow counts as half as much slower, as a power: one that
	// took four times as long counts as twice as slow then, and gets work again when the others read a prompt.
	paceHalfLife = 10 * time.Second
	// paceWeight is the part of a new observation in the pace.
	paceWeight = 0.6
	// paceLeast and paceMost bound one observation: one that waited for a lost connection says nothing more.
	paceLeast, paceMost = 0.5, 8.0
)

// Pace is how long an endpoint takes, compared with what is usual. The zero value is the usual pace.
type Pace struct {
	// log is the logarithm of the factor.
	log float64
	at  time.Time
}

// Observe takes that something took factor times as long as is usual.
func (p *Pace) Observe(now time.Time, factor float64) {
	p.decay(now)
	p.log += paceWeight * (math.Log(min(max(factor, paceLeast), paceMost)) - p.log)
}

// AtLeast takes that something has taken factor times as long as is usual and goes on.
func (p *Pace) AtLeast(now time.Time, factor float64) {
	p.decay(now)
	p.log = max(p.log, math.Log(min(max(factor, paceLeast), paceMost)))
}

// Factor returns how many times as long as usual the endpoint takes.
func (p *Pace) Factor(now time.Time) float64 {
	p.decay(now)
	return math.Exp(p.log)
}

func (p *Pace) decay(now time.Time) {
	p.log *= decayed(now.Sub(p.at), paceHalfLife)
	p.at = now
}

// usualStep is by how much one observation moves what is usual: fifteen of them double it.
const usualStep = 1.05

// Usual is the time that a unit of work usually takes at the endpoints of a service: the median, so that some
// slow endpoints do not change it. The zero value knows nothing.
type Usual struct{ perUnit float64 }

// Observe takes how long some units of work took. It returns how many times as long as usual that was, and false
// where nothing is known to compare it with.
func (u *Usual) Observe(units int, took time.Duration) (float64, bool) {
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
		u.perUnit *= usualStep
	} else {
		u.perUnit /= usualStep
	}
	return factor, true
}

// Factor returns how many times as long as usual some units of work took; false where nothing is known to compare
// it with.
func (u *Usual) Factor(units int, took time.Duration) (float64, bool) {
	if u.perUnit == 0 || units <= 0 {
		return 0, false
	}
	return float64(took) / float64(units) / u.perUnit, true
}

// Expected returns how long some units of work usually take; false where nothing is known.
func (u *Usual) Expected(units int) (time.Duration, bool) {
	return time.Duration(u.perUnit * float64(units)), u.perUnit > 0 && units > 0
}

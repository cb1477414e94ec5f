package health

import (
	"math"
	"time"
)

// outcomeHalfLife is after how long an outcome counts half as much: long enough for a few outcomes at ten
// requests a second over three endpoints, short enough that an endpoint which failed all that it got is tried
// again within ten seconds.
const outcomeHalfLife = 4 * time.Second

// Outcomes are how requests at an endpoint ended lately. The zero value has none.
type Outcomes struct {
	counts Counts
	at     time.Time
}

// Counts are outcomes, old ones in part.
type Counts struct{ Good, Bad float64 }

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts { return Counts{c.Good + o.Good, c.Bad + o.Bad} }

// Sub returns the difference of two counts, nowhere below zero.
func (c Counts) Sub(o Counts) Counts {
	return Counts{max(c.Good-o.Good, 0), max(c.Bad-o.Bad, 0)}
}

// rate is the share of bad outcomes; 0 where there are none.
func (c Counts) rate() float64 {
	if c.Good+c.Bad == 0 {
		return 0
	}
	return c.Bad / (c.Good + c.Bad)
}

// Good records that a request was answered.
func (o *Outcomes) Good(now time.Time) {
	o.decay(now)
	o.counts.Good++
}

// Bad records that a request was failed, or lost with its answer.
func (o *Outcomes) Bad(now time.Time) {
	o.decay(now)
	o.counts.Bad++
}

// Counts returns the outcomes as they count now.
func (o *Outcomes) Counts(now time.Time) Counts {
	o.decay(now)
	return o.counts
}

func (o *Outcomes) decay(now time.Time) {
	f := decayed(now.Sub(o.at), outcomeHalfLife)
	o.counts.Good *= f
	o.counts.Bad *= f
	o.at = now
}

// decayed is the part that is left after some time.
func decayed(passed, halfLife time.Duration) float64 {
	return math.Exp2(-max(passed, 0).Seconds() / halfLife.Seconds())
}

// How an endpoint is compared with the others of its service.
const (
	// priorOutcomes are taken to have ended as at the others before any of the endpoint's own: one failure of
	// two requests does not condemn.
	priorOutcomes = 4
	// tolerance is by how much an endpoint may fail more often than the others.
	tolerance = 0.04
)

// Excess returns by how much an endpoint fails more often than the others of its service, from 0 to 1.
func Excess(endpoint, others Counts) float64 {
	usual := others.rate()
	rate := (endpoint.Bad + priorOutcomes*usual) / (endpoint.Good + endpoint.Bad + priorOutcomes)
	return max(rate-usual-tolerance, 0)
}

package health

import (
	"math"
	"time"
)

// outcomeHalfLife is the time after which an outcome counts half as much. It is long enough to
// gather a few outcomes at ten requests a second over three endpoints. It is short enough that an
// endpoint that failed all its requests is tried again within ten seconds.
const outcomeHalfLife = 4 * time.Second

// Outcomes counts how requests at an endpoint ended, with exponential decay. The zero value has no
// outcomes.
type Outcomes struct {
	counts    Counts
	decayedAt time.Time
}

// Counts are numbers of good and bad outcomes. They are fractions, since old outcomes count in
// part.
type Counts struct{ Good, Bad float64 }

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts { return Counts{c.Good + o.Good, c.Bad + o.Bad} }

// Sub returns the difference of two counts, each at least zero.
func (c Counts) Sub(o Counts) Counts {
	return Counts{max(c.Good-o.Good, 0), max(c.Bad-o.Bad, 0)}
}

// failureRate returns the share of bad outcomes; 0 if there are no outcomes.
func (c Counts) failureRate() float64 {
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

// Bad records that a request failed, or that its answer was lost.
func (o *Outcomes) Bad(now time.Time) {
	o.decay(now)
	o.counts.Bad++
}

// Counts returns the outcomes, decayed to now.
func (o Outcomes) Counts(now time.Time) Counts {
	o.decay(now)
	return o.counts
}

func (o *Outcomes) decay(now time.Time) {
	f := decayFactor(now.Sub(o.decayedAt), outcomeHalfLife)
	o.counts.Good *= f
	o.counts.Bad *= f
	o.decayedAt = now
}

// decayFactor returns the part of a value that is left after the elapsed time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
}

const (
	// priorOutcomes is the number of outcomes at the failure rate of the others that are added to
	// those of the endpoint. With them, one failure of two requests leads to a small excess only.
	priorOutcomes = 4
	// toleratedExcess is the excess of the failure rate over that of the others that is ignored.
	toleratedExcess = 0.04
)

// ExcessFailureRate returns by how much the failure rate of an endpoint exceeds that of the others
// of its service, from 0 to 1, less the tolerated excess.
func ExcessFailureRate(endpoint, others Counts) float64 {
	baseline := others.failureRate()
	rate := (endpoint.Bad + priorOutcomes*baseline) / (endpoint.Good + endpoint.Bad + priorOutcomes)
	return max(rate-baseline-toleratedExcess, 0)
}

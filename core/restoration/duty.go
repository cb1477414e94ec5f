// Package restoration decides when an instance writes again what instances had written to the
// platform's store, after that has returned from an older copy of itself.
//
// The instances that have run longest do so: one that started after the return does not know what is
// lost. Each of the first [Writers] of them takes its turn, whatever the ones before it did. The later
// ones find all written, as a rule, and only list. So what is lost is written although instances end,
// restart or lose the store meanwhile, and the calls do not grow with the fleet.
//
// Turns are taken while the store answers: they begin anew when it answers again after an outage.
//
// The package does no I/O and reads no clock. A Duty is not safe for concurrent use.
package restoration

import "time"

const (
	// Writers is how many instances take a turn.
	Writers = 3
	// turnInterval is the time from one turn to the next.
	turnInterval = 2 * time.Second
	// standbyTime is how long after the last turn another instance takes over from a writer that
	// ends. It covers the detection of its end.
	standbyTime = 4 * time.Second
	// minRetryInterval is the time from a failed turn to the next try. It doubles with each failure up
	// to maxRetryInterval: the store may answer all instances but this one.
	minRetryInterval = 2 * time.Second
	maxRetryInterval = 32 * time.Second
)

// Step is what an instance does next.
type Step int

// Values of Step.
const (
	// Wait means that Next is to be called again later.
	Wait Step = iota
	// Write means that the instance writes what is missing, and reports a failure with Failed.
	Write
	// Done means that nothing is left to be done by this instance.
	Done
)

// Duty is what one instance owes after one return of the store.
type Duty struct {
	// notBefore is the earliest time of the next try.
	notBefore time.Time
	// answersSince is since when the store has answered without a break; zero if it does not.
	answersSince time.Time
	// retryInterval is the time from the next failure to the try after it.
	retryInterval time.Duration
}

// New returns the duty of an instance after the store's return. The operator and the endpoints write
// theirs until holdEnds.
func New(holdEnds time.Time) *Duty {
	return &Duty{notBefore: holdEnds, retryInterval: minRetryInterval}
}

// Next returns what the instance does now. rank is the number of instances that are alive and have run
// longer, and answers reports whether the store answers this instance or the one that it follows.
func (d *Duty) Next(now time.Time, rank int, answers bool) Step {
	if !answers {
		d.answersSince = time.Time{}
		return Wait
	}
	if now.Before(d.notBefore) {
		return Wait
	}
	if d.answersSince.IsZero() {
		d.answersSince = now
	}
	elapsed := now.Sub(d.answersSince)
	switch {
	case rank < Writers && elapsed >= time.Duration(rank)*turnInterval:
		return Write
	case rank >= Writers && elapsed >= Writers*turnInterval+standbyTime:
		return Done
	}
	return Wait
}

// Failed records that the instance could not write all.
func (d *Duty) Failed(now time.Time) {
	d.notBefore = now.Add(d.retryInterval)
	d.retryInterval = min(2*d.retryInterval, maxRetryInterval)
}

package soak

import (
	"context"
	"time"
)

// Regression is a soak that once found a fault.
type Regression struct {
	Seed   uint64
	Length time.Duration
	// Only, Work and Callers are those of [Options]; zero for the usual ones.
	Only    []string
	Work    time.Duration
	Callers int
	// Cause is the fault that it found.
	Cause string
}

// slowWork is how long plain requests take where shutdowns are provoked: nearly as long as callers wait.
const slowWork = 1300 * time.Millisecond

var shutdowns = []string{"stop", "stop-in-a-row"}

// Regressions returns all soaks that once found a fault of the daemon or of the soak, the oldest first.
func Regressions() []Regression {
	return []Regression{
		{Seed: 1, Length: 12 * time.Second, Cause: "instances did not become ready: another soak beside it had taken their ports"},
		{Seed: 2, Length: 12 * time.Second, Cause: "as seed 1"},
		{Seed: 805, Length: 12 * time.Second, Cause: "a team with four requests that end endpoints was held back at all services"},
		{Seed: 908, Length: 10 * time.Second, Cause: "a call that came shortly before a drain ended by force was passed on and cut"},
		{Seed: 1011, Length: 10 * time.Second, Cause: "a bad build was completed: all instances had lost what the canary had counted"},
		{Seed: 1023, Length: 10 * time.Second, Cause: "a bad build got 88 of 318 requests: the pace was taken over a time that nobody had counted"},
		{Seed: 2037, Length: 10 * time.Second, Cause: "the check that all is served asked while two requests ended three of four endpoints, as they may"},
		{Seed: 1, Length: 10 * time.Second, Only: shutdowns, Work: slowWork, Callers: 60, Cause: "calls taken early in a drain outlasted the instance"},
		{Seed: 908, Length: 10 * time.Second, Only: shutdowns, Work: slowWork, Callers: 60, Cause: "as seed 908, provoked"},
	}
}

// options returns the options of the regression, where base says what it does not.
func (r *Regression) options(base Options) Options {
	base.Seed, base.Length, base.Only = r.Seed, r.Length, r.Only
	if r.Work > 0 {
		base.Work = r.Work
	}
	if r.Callers > 0 {
		base.Callers = r.Callers
	}
	return base
}

// Run plays the regression.
func (r *Regression) Run(ctx context.Context, base Options) (Report, error) {
	return Run(ctx, r.options(base))
}

package soak

import (
	"context"
	"time"
)

// Regression is a soak that once found a fault.
type Regression struct {
	Seed          uint64
	FaultDuration time.Duration
	// FaultNames, WorkTime and Callers are those of [Options]. Zero WorkTime or Callers means that
	// of the base options; empty FaultNames means those of the seed.
	FaultNames []string
	WorkTime   time.Duration
	Callers    int
	// Cause is the fault that it found.
	Cause string
}

// slowWorkTime is how long plain requests take in soaks of shutdowns: nearly as long as callers
// wait.
const slowWorkTime = 1300 * time.Millisecond

var shutdownFaults = []string{"stop", "stop-in-a-row"}

// Regressions returns all soaks that once found a fault in the daemon or in the soak itself, the
// oldest first.
func Regressions() []Regression {
	return []Regression{
		{Seed: 1, FaultDuration: 12 * time.Second, Cause: "instances did not become ready: another soak beside it had taken their ports"},
		{Seed: 2, FaultDuration: 12 * time.Second, Cause: "as seed 1"},
		{Seed: 805, FaultDuration: 12 * time.Second, Cause: "a team with four requests that end endpoints was held back at all services"},
		{Seed: 908, FaultDuration: 10 * time.Second, Cause: "a call that came shortly before a drain ended by force was passed on and cut"},
		{Seed: 1011, FaultDuration: 10 * time.Second, Cause: "a bad build was completed: all instances had lost what the canary had counted"},
		{Seed: 1023, FaultDuration: 10 * time.Second, Cause: "a bad build got 88 of 318 requests: the pace was taken over a time that nobody had counted"},
		{Seed: 2037, FaultDuration: 10 * time.Second, Cause: "the check that all is served asked while two requests ended three of four endpoints, as they may"},
		{Seed: 1, FaultDuration: 10 * time.Second, FaultNames: shutdownFaults, WorkTime: slowWorkTime, Callers: 60, Cause: "calls taken early in a drain outlasted the instance"},
		{Seed: 908, FaultDuration: 10 * time.Second, FaultNames: shutdownFaults, WorkTime: slowWorkTime, Callers: 60, Cause: "as seed 908, provoked"},
		{Seed: 957620553, FaultDuration: 10 * time.Second, Cause: "a bad build was completed: no endpoint of the baseline was up when requests were to move"},
		{Seed: 6046, FaultDuration: 8 * time.Second, Cause: "an order that was given again after a return of the store counted as a new one, and its bad build got requests"},
		{Seed: 62, FaultDuration: 5 * time.Second, FaultNames: []string{"refuse-most"}, Cause: "instances that started counted retries from zero, and sent nearly twice as many as allowed"},
		{Seed: 65, FaultDuration: 5 * time.Second, FaultNames: []string{cutLinksFault}, Cause: "instances whose counts did not arrive counted as reporting, and each one used the whole bound on retries"},
		{Seed: 68, FaultDuration: 5 * time.Second, FaultNames: []string{crowdFault, crowdFault, "kill", "stop"}, Cause: "requests that stopped short of their end took three times the memory of an instance"},
		{Seed: 6137, FaultDuration: 10 * time.Second, Cause: "the check of keys counted from a write that was lost before anyone could read it"},
	}
}

// options returns the options of the regression; base supplies those that it doesn't set.
func (r *Regression) options(base Options) Options {
	base.Seed, base.FaultDuration, base.FaultNames = r.Seed, r.FaultDuration, r.FaultNames
	if r.WorkTime > 0 {
		base.WorkTime = r.WorkTime
	}
	if r.Callers > 0 {
		base.Callers = r.Callers
	}
	return base
}

// Run runs the regression with base for all other options. It returns the same errors as [Run].
func (r *Regression) Run(ctx context.Context, base Options) (Report, error) {
	return Run(ctx, r.options(base))
}

package crashers

import (
	"cmp"
	"slices"
	"time"
)

// Fact is what one instance tells others of a request. Times are those of the clock of whoever holds it.
type Fact struct {
	Request Request
	// Service is whose endpoints ended.
	Service string
	Ends    []End
	// Cleared is when it was cleared last; zero for never.
	Cleared time.Time
	Stop    Stop
	// Trying tells that who tells it is trying the request now.
	Trying bool
}

// Fact returns what is to be told of a request; false when nothing is known of it. who is the name of this
// instance.
func (r *Register) Fact(now time.Time, req Request, who string) (Fact, bool) {
	e := r.entries[req]
	if e == nil {
		return Fact{}, false
	}
	return Fact{Request: req, Service: e.service, Ends: sorted(e.ends), Cleared: e.cleared, Stop: e.stop, Trying: now.Before(e.trials[who])}, true
}

// Stopped returns the requests that are or were stopped and have not been cleared since, in a fixed order.
func (r *Register) Stopped() []Request {
	var out []Request
	for req, e := range r.entries {
		if e.stop.Times > 0 {
			out = append(out, req)
		}
	}
	slices.SortFunc(out, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), slices.Compare(a.Content[:], b.Content[:]))
	})
	return out
}

// Heard takes what another instance, or the place where stops are kept, told. It returns what that changed.
func (r *Register) Heard(now time.Time, from string, f Fact) Change {
	before := r.isStopped(now, f.Request)
	if r.entries[f.Request] == nil && len(f.Ends) == 0 && f.Stop.Times == 0 && !f.Trying {
		return Change{} // it was cleared, and nothing is held against it here
	}
	e := r.entry(now, f.Request)
	if e == nil {
		return Change{}
	}
	e.service = f.Service
	cleared := f.Cleared.After(e.cleared) && !f.Cleared.After(now)
	if cleared {
		r.clear(f.Request, f.Cleared)
	}
	for _, end := range f.Ends[:min(len(f.Ends), endsKept*r.set.Ends)] {
		if !end.At.After(now) && end.Sign.weight() > 0 {
			end.Service = f.Service
			r.add(now, f.Request, end)
		}
	}
	e.heardStop(r.bounded(now, f.Stop))
	e.heardTrial(from, f.Trying, now.Add(r.set.TrialMost))
	return Change{Cleared: cleared, Stopped: r.decide(now, f.Request) && !before}
}

// Change is what a fact changed: the request was cleared, or it was not stopped and is now.
type Change struct{ Cleared, Stopped bool }

// bounded keeps a stop within what this register would decide itself.
func (r *Register) bounded(now time.Time, s Stop) Stop {
	if s.Times <= 0 || s.At.After(now) {
		return Stop{}
	}
	if until := s.At.Add(r.stopFor(min(s.Times, stopsMost))); s.Until.After(until) {
		s.Until = until
	}
	return s
}

// stopsMost bounds how often a request counts as stopped.
const stopsMost = 32

// heardStop takes a stop that is not older than the last clearing.
func (e *entry) heardStop(s Stop) {
	if s.Times == 0 || !s.At.After(e.cleared) {
		return
	}
	switch {
	case s.Times > e.stop.Times:
		e.stop = s
	case s.Times == e.stop.Times:
		e.stop.Until = latest(e.stop.Until, s.Until)
		e.stop.Stored = e.stop.Stored || s.Stored
	}
}

func (e *entry) heardTrial(from string, trying bool, until time.Time) {
	if trying {
		e.try(from, until)
		return
	}
	delete(e.trials, from)
}

// Forget drops the trials of an instance that is gone.
func (r *Register) Forget(who string) {
	for _, e := range r.entries {
		delete(e.trials, who)
	}
}

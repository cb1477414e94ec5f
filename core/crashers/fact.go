package crashers

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateway/agateway/core/times"
)

// Fact is what one instance tells the others about a request. Its times are on the clock of the
// instance that holds it.
type Fact struct {
	Subject Subject
	// Service is the service whose endpoints crashed.
	Service string
	Crashes []Crash
	// ClearedAt is when the request was cleared last; zero if never.
	ClearedAt time.Time
	Stop      Stop
	// Trying reports whether the sender of the fact is trying the request now.
	Trying bool
}

// Fact returns what to tell other instances about a request; false if nothing is known of it.
// instance is the name of this instance.
func (r *Registry) Fact(now time.Time, req Subject, instance string) (Fact, bool) {
	e := r.entries[req]
	if e == nil {
		return Fact{}, false
	}
	return Fact{Subject: req, Service: e.service, Crashes: sortedByTime(e.crashes), ClearedAt: e.clearedAt, Stop: e.stop, Trying: now.Before(e.trials[instance])}, true
}

// StoppedRequests returns the requests that are or were stopped and have not been cleared since,
// ordered by team and content.
func (r *Registry) StoppedRequests() []Subject {
	var out []Subject
	for req, e := range r.entries {
		if e.stop.Count > 0 {
			out = append(out, req)
		}
	}
	slices.SortFunc(out, func(a, b Subject) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), slices.Compare(a.Content[:], b.Content[:]))
	})
	return out
}

// Merge merges a fact from another instance or from the platform's store, and returns what that
// changed. from is the sender, whose trial the fact reports. It ignores a crash, clearing or stop
// that is in the future.
func (r *Registry) Merge(now time.Time, from string, f Fact) Change {
	wasStopped := r.isStopped(now, f.Subject)
	if r.entries[f.Subject] == nil && len(f.Crashes) == 0 && f.Stop.Count == 0 && !f.Trying {
		return Change{} // the fact only reports a clearing, and there is nothing to clear here
	}
	e := r.getOrCreate(now, f.Subject)
	if e == nil {
		return Change{}
	}
	e.service = f.Service
	cleared := f.ClearedAt.After(e.clearedAt) && !f.ClearedAt.After(now)
	if cleared {
		r.clear(f.Subject, f.ClearedAt)
	}
	for _, crash := range f.Crashes[:min(len(f.Crashes), historyFactor*r.set.CrashThreshold)] {
		if !crash.At.After(now) && crash.Phase.strength() > 0 {
			crash.Service = f.Service
			r.addCrash(now, f.Subject, crash)
		}
	}
	e.mergeStop(r.clampStop(now, f.Stop))
	e.mergeTrial(from, f.Trying, now.Add(r.set.TrialTimeout))
	return Change{Cleared: cleared, Stopped: r.stopIfNeeded(now, f.Subject) && !wasStopped}
}

// Change says what a fact changed: the request was cleared, or it became stopped.
type Change struct{ Cleared, Stopped bool }

// clampStop limits a stop to the duration that this registry would decide itself. It returns the
// zero value for a stop in the future.
func (r *Registry) clampStop(now time.Time, s Stop) Stop {
	if s.Count <= 0 || s.At.After(now) {
		return Stop{}
	}
	if until := s.At.Add(r.stopDuration(min(s.Count, maxStopCount))); s.Until.After(until) {
		s.Until = until
	}
	return s
}

// maxStopCount bounds the stop count of another instance before it is used to compute a duration.
const maxStopCount = 32

// mergeStop merges a stop that is later than the last clearing: the higher count wins, and of equal
// counts the later expiry.
func (e *entry) mergeStop(s Stop) {
	if s.Count == 0 || !s.At.After(e.clearedAt) {
		return
	}
	switch {
	case s.Count > e.stop.Count:
		e.stop = s
	case s.Count == e.stop.Count:
		e.stop.Until = times.Later(e.stop.Until, s.Until)
		e.stop.Stored = e.stop.Stored || s.Stored
	}
}

func (e *entry) mergeTrial(from string, trying bool, until time.Time) {
	if trying {
		e.startTrial(from, until)
		return
	}
	delete(e.trials, from)
}

// DropTrials drops all trials of an instance that is gone.
func (r *Registry) DropTrials(instance string) {
	for _, e := range r.entries {
		delete(e.trials, instance)
	}
}

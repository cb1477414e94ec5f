package crashers

import (
	"slices"
	"time"
)

// Verdict returns how a request may be sent to a service.
func (r *Registry) Verdict(now time.Time, req Subject, service string) Verdict {
	e := r.entries[req]
	if e == nil {
		e = &entry{}
	}
	if e.stopped(now) {
		return Stopped
	}
	missing, begun := r.evaluate(now, req, e)
	switch {
	case e.clearedAt.IsZero() && r.isHarmfulTeam(now, req.Team, service):
		return Careful
	case begun > 0, missing <= 1:
		return Careful
	case missing < r.set.CrashThreshold:
		return Suspect
	}
	return Free
}

// Stop returns the stop of a request; the zero value if the request is unknown or not stopped since
// it was cleared.
func (r *Registry) Stop(req Subject) Stop {
	if e := r.entries[req]; e != nil {
		return e.stop
	}
	return Stop{}
}

// MarkStored records that the stop of a request is in the platform's store, where it outlives all
// instances.
func (r *Registry) MarkStored(req Subject) {
	if e := r.entries[req]; e != nil {
		e.stop.Stored = true
	}
}

// Clear drops the crashes and the stop of a request that was served, or that an operator released.
// It returns true if there were any.
func (r *Registry) Clear(now time.Time, req Subject) bool {
	e := r.entries[req]
	if e == nil || len(e.crashes) == 0 && e.stop.Count == 0 {
		return false
	}
	r.clear(req, now)
	return true
}

// ClearOnProgress clears a request that has been served for a while but not to its end. It does
// nothing if a late crash is recorded, since this progress does not disprove it. It returns true if
// it cleared anything.
func (r *Registry) ClearOnProgress(now time.Time, req Subject) bool {
	if e := r.entries[req]; e != nil && slices.ContainsFunc(e.crashes, func(crash Crash) bool { return crash.Phase == Late }) {
		return false
	}
	return r.Clear(now, req)
}

// clear drops the stop, the trials, and all crashes up to a time.
func (r *Registry) clear(req Subject, at time.Time) {
	e := r.entries[req]
	e.clearedAt, e.stop, e.trials = at, Stop{}, nil
	kept := e.crashes[:0]
	for _, crash := range e.crashes {
		if crash.At.After(at) {
			kept = append(kept, crash)
		} else {
			r.unlinkEndpoint(req, &crash)
		}
	}
	e.crashes = kept
}

// AcquireTrial starts the trial of a [Careful] request at a service, for this instance. It returns
// false while another instance tries the request. If its team is harmful, it also returns false
// while any other request of the team to the service is tried, by whatever instance. If the
// registry has no room, the trial is granted but not recorded. The caller ends it with
// [Registry.ReleaseTrial].
func (r *Registry) AcquireTrial(now time.Time, req Subject, service, instance string) bool {
	harmful := r.isHarmfulTeam(now, req.Team, service)
	for other, e := range r.entries {
		if other == req || harmful && other.Team == req.Team && e.service == service {
			if e.hasActiveTrial(now, instance, other == req) {
				return false
			}
		}
	}
	if e := r.getOrCreate(now, req); e != nil {
		e.service = service
		e.startTrial(instance, now.Add(r.set.TrialTimeout))
	}
	return true
}

// hasActiveTrial reports whether a trial of a request is in progress. Trials of the given instance
// itself don't count if sameRequest is set.
func (e *entry) hasActiveTrial(now time.Time, instance string, sameRequest bool) bool {
	for by, until := range e.trials {
		if now.Before(until) && !(sameRequest && by == instance) {
			return true
		}
	}
	return false
}

func (e *entry) startTrial(instance string, until time.Time) {
	if e.trials == nil {
		e.trials = map[string]time.Time{}
	}
	e.trials[instance] = until
}

// ReleaseTrial ends the trial of a request by an instance.
func (r *Registry) ReleaseTrial(req Subject, instance string) {
	if e := r.entries[req]; e != nil {
		delete(e.trials, instance)
	}
}

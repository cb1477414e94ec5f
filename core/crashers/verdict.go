package crashers

import (
	"slices"
	"time"
)

// Decision says how a request may be sent, and what that is for.
type Decision struct {
	Verdict Verdict
	// Subject is the request or the part of its prompt that the verdict is for.
	Subject Subject
	// Until is when the stop of a [Stopped] subject expires.
	Until time.Time
}

// Decide returns how a request may be sent to a service. Of the request and the parts of its prompt, the one
// with the strictest verdict decides.
func (r *Registry) Decide(now time.Time, req *Request, service string) Decision {
	d := Decision{Verdict: r.wholeVerdict(now, req, service), Subject: req.Whole}
	for _, p := range req.Parts {
		if v := r.partVerdict(now, p, req); v > d.Verdict {
			d = Decision{Verdict: v, Subject: p}
		}
	}
	if d.Verdict == Stopped {
		d.Until = r.Stop(d.Subject).Until
		return d
	}
	if stop, stopped := r.stopForAllTeams(now, req); stopped {
		return stop
	}
	return d
}

// wholeVerdict returns how a request may be sent as far as the request as a whole is concerned.
func (r *Registry) wholeVerdict(now time.Time, req *Request, service string) Verdict {
	e := r.entries[req.Whole]
	if e == nil {
		e = &entry{}
	}
	if e.stopped(now) {
		return Stopped
	}
	missing, begun := r.evaluate(now, req.Whole, e)
	switch {
	case e.clearedAt.IsZero() && r.isHarmful(now, req, service):
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

// AcquireTrial starts the trial of a [Careful] request at a service, for this instance. It fails while
// another instance tries the request, or one that shares a part with it that has to be tried. If the request
// is harmful, it also fails while any other request of the team to the service is tried, by whatever
// instance. If the registry has no room, the trial is granted but not recorded. The caller ends the trial of
// each of [Registry.TrialSubjects] with [Registry.ReleaseTrial], and makes sure that this instance tries one
// request at a time for each of them.
func (r *Registry) AcquireTrial(now time.Time, req *Request, service, instance string) bool {
	tried := r.TrialSubjects(now, req)
	for _, s := range tried {
		if e := r.entries[s]; e != nil && e.hasActiveTrial(now, instance, true) {
			return false
		}
	}
	if r.isHarmful(now, req, service) && r.isTeamTried(now, req, service, instance) {
		return false
	}
	for _, s := range tried {
		if e := r.getOrCreate(now, s); e != nil {
			e.service = service
			e.startTrial(instance, now.Add(r.set.TrialTimeout))
		}
	}
	return true
}

// isTeamTried reports whether another request of a request's team to a service is tried.
func (r *Registry) isTeamTried(now time.Time, req *Request, service, instance string) bool {
	for other, e := range r.entries {
		if other != req.Whole && other.Part == "" && other.Team == req.Whole.Team && e.service == service && e.hasActiveTrial(now, instance, false) {
			return true
		}
	}
	return false
}

// TrialSubjects returns what the trial of a request is for: the request, and the parts of its prompt that are
// tried by one request at a time.
func (r *Registry) TrialSubjects(now time.Time, req *Request) []Subject {
	out := []Subject{req.Whole}
	for _, p := range req.Parts {
		if r.partVerdict(now, p, req) == Careful {
			out = append(out, p)
		}
	}
	return out
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

// ReleaseTrial ends the trial of a subject by an instance.
func (r *Registry) ReleaseTrial(s Subject, instance string) {
	if e := r.entries[s]; e != nil {
		delete(e.trials, instance)
	}
}

// Cleared is a subject that had crashes or a stop and has been cleared.
type Cleared struct {
	Subject Subject
	// Stored reports whether its stop was known to be in the platform's store.
	Stored bool
}

// Answered records that a request was answered to its end, and clears it and the parts of its prompt.
func (r *Registry) Answered(now time.Time, req *Request) []Cleared {
	return r.clearServed(now, req, r.Clear)
}

// Progressed records that a request has been served for a while but not to its end, and clears it and the
// parts of its prompt that have no late crash.
func (r *Registry) Progressed(now time.Time, req *Request) []Cleared {
	return r.clearServed(now, req, r.ClearOnProgress)
}

// Release clears a subject on behalf of an operator, and with a request the parts of prompts whose crashes
// are all those of that request. Without its record these crashes would count against the parts.
func (r *Registry) Release(now time.Time, s Subject) []Cleared {
	return r.clearEach(now, append([]Subject{s}, r.partsExplainedBy(s)...), r.Clear)
}

// clearServed clears a request that was served by clear, and remembers that its parts were answered.
func (r *Registry) clearServed(now time.Time, req *Request, clear func(time.Time, Subject) bool) []Cleared {
	for _, p := range req.Parts {
		r.answered.add(p, now)
	}
	return r.clearEach(now, req.Subjects(), clear)
}

func (r *Registry) clearEach(now time.Time, subjects []Subject, clear func(time.Time, Subject) bool) []Cleared {
	var out []Cleared
	for _, s := range subjects {
		stored := r.Stop(s).Stored
		if clear(now, s) {
			out = append(out, Cleared{Subject: s, Stored: stored})
		}
	}
	return out
}

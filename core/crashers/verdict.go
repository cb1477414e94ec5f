package crashers

import (
	"slices"
	"time"
)

// Verdict returns what may be done with a request to a service.
func (r *Register) Verdict(now time.Time, req Request, service string) Verdict {
	e := r.entries[req]
	if e == nil {
		e = &entry{}
	}
	if e.stopped(now) {
		return Stopped
	}
	missing, begun := r.weigh(now, req, e)
	switch {
	case e.cleared.IsZero() && r.watched(now, req.Team, service):
		return Careful
	case begun > 0, missing <= 1:
		return Careful
	case missing < r.set.Ends:
		return Suspect
	}
	return Free
}

// Stop returns how a request is stopped; the zero value when it is not known.
func (r *Register) Stop(req Request) Stop {
	if e := r.entries[req]; e != nil {
		return e.stop
	}
	return Stop{}
}

// Stored notes that the stop of a request is kept where it outlasts all instances.
func (r *Register) Stored(req Request) {
	if e := r.entries[req]; e != nil {
		e.stop.Stored = true
	}
}

// Clear forgets what is held against a request: it was served, or an operator lets it go. It returns true when
// there was anything.
func (r *Register) Clear(now time.Time, req Request) bool {
	e := r.entries[req]
	if e == nil || len(e.ends) == 0 && e.stop.Times == 0 {
		return false
	}
	r.clear(req, now)
	return true
}

// Progress forgets what is held against a request that has been served for a while, unless endpoints ended under it later than that. It
// returns true when there was anything.
func (r *Register) Progress(now time.Time, req Request) bool {
	if e := r.entries[req]; e != nil && slices.ContainsFunc(e.ends, func(end End) bool { return end.Sign == Late }) {
		return false
	}
	return r.Clear(now, req)
}

// clear forgets what was held against a request up to a time.
func (r *Register) clear(req Request, at time.Time) {
	e := r.entries[req]
	e.cleared, e.stop, e.trials = at, Stop{}, nil
	kept := e.ends[:0]
	for _, end := range e.ends {
		if end.At.After(at) {
			kept = append(kept, end)
		} else {
			r.unhad(req, &end)
		}
	}
	e.ends = kept
}

// Try asks for the trial of a request to a service that is to be handled with care. It returns false while another one is
// tried.
func (r *Register) Try(now time.Time, req Request, service, who string) bool {
	watched := r.watched(now, req.Team, service)
	for other, e := range r.entries {
		if other == req || watched && other.Team == req.Team && e.service == service {
			if e.tried(now, who, other == req) {
				return false
			}
		}
	}
	if e := r.entry(now, req); e != nil {
		e.service = service
		e.try(who, now.Add(r.set.TrialMost))
	}
	return true
}

// tried tells whether anybody is trying a request; not counting who asks, where it is the same one.
func (e *entry) tried(now time.Time, who string, same bool) bool {
	for by, until := range e.trials {
		if now.Before(until) && !(same && by == who) {
			return true
		}
	}
	return false
}

func (e *entry) try(who string, until time.Time) {
	if e.trials == nil {
		e.trials = map[string]time.Time{}
	}
	e.trials[who] = until
}

// Tried reports the end of a trial.
func (r *Register) Tried(req Request, who string) {
	if e := r.entries[req]; e != nil {
		delete(e.trials, who)
	}
}

package crashers

import (
	"slices"
	"time"
)

// evaluatePart returns how many more incidents stop a part of prompts. A part whose crashes are all those of
// one request is not stopped, since that request may be the cause, unless one crash is enough.
func (r *Registry) evaluatePart(now time.Time, part Subject, e *entry) int {
	counted, threshold, missing := r.partIncidents(now, part, e)
	if missing == 0 && threshold > 1 && r.isCrashOfOneRequest(counted, nil) {
		return 1
	}
	return missing
}

// partIncidents returns the crashes that count against a part, how many incidents stop it, and how many of them
// are missing.
func (r *Registry) partIncidents(now time.Time, part Subject, e *entry) (counted []Crash, threshold, missing int) {
	counted, threshold = r.countedCrashes(now, part, e), r.partThreshold(now, part, e)
	return counted, threshold, r.missingIncidents(threshold, e, r.countIncidents(counted))
}

// partThreshold returns how many incidents stop a part. It takes more of them if the part was answered
// before, and only one if another team's requests with that part are stopped.
func (r *Registry) partThreshold(now time.Time, part Subject, e *entry) int {
	switch {
	case e.stop.Count > 0:
		return 1
	case !e.clearedAt.IsZero():
		return r.set.LateCrashThreshold
	case r.isStoppedElsewhere(now, part):
		return 1
	}
	return r.set.CrashThreshold
}

// isStoppedElsewhere reports whether a part is stopped for another team.
func (r *Registry) isStoppedElsewhere(now time.Time, part Subject) bool {
	for s, e := range r.entries {
		if s.Part == part.Part && s.Team != part.Team && e.stopped(now) {
			return true
		}
	}
	return false
}

// teamsOfSharedStop is the number of teams for which a part of prompts has to be stopped for it to be stopped for
// all teams.
const teamsOfSharedStop = 2

// stopForAllTeams returns the decision to stop a request for a part of its prompt that is stopped for several other
// teams, each on its own evidence. A part that was answered for the request's team is not stopped on that of others.
func (r *Registry) stopForAllTeams(now time.Time, req *Request) (Decision, bool) {
	stops := map[Subject][]time.Time{} // until when parts of the request are stopped for other teams
	for s, e := range r.entries {
		if s.Part == "" || s.Team == req.Whole.Team || !e.stopped(now) {
			continue
		}
		part, ok := req.partWithID(s.Part)
		if !ok || len(stops[part]) >= teamsOfSharedStop {
			continue
		}
		if as := req.asTeam(s.Team); !r.mayBeInnocent(s, &as) {
			stops[part] = append(stops[part], e.stop.Until)
		}
	}
	for _, p := range req.Parts {
		if until := stops[p]; len(until) >= teamsOfSharedStop && !r.wasAnswered(p) {
			return Decision{Verdict: Stopped, Subject: p, Until: slices.MinFunc(until, time.Time.Compare)}, true
		}
	}
	return Decision{}, false
}

// wasAnswered reports whether a part was ever answered for its team, as far as is known.
func (r *Registry) wasAnswered(part Subject) bool {
	if e := r.entries[part]; e != nil && !e.clearedAt.IsZero() {
		return true
	}
	return !r.answered.last(part).IsZero()
}

// isCrashOfOneRequest reports whether a single request other than except had all of the crashed endpoints,
// so that it may be the cause of all of these crashes. except may be nil.
func (r *Registry) isCrashOfOneRequest(crashes []Crash, except *Request) bool {
	if len(crashes) == 0 {
		return false
	}
	for s := range r.byEndpoint[crashes[0].Endpoint] {
		if s.Part != "" || except != nil && except.Whole == s {
			continue
		}
		if hasAllCrashes(r.entries[s].crashes, crashes) {
			return true
		}
	}
	return false
}

// partsExplainedBy returns the parts of prompts that are not stopped and whose crashes are all those of a
// request.
func (r *Registry) partsExplainedBy(req Subject) []Subject {
	e := r.entries[req]
	if e == nil || req.Part != "" {
		return nil
	}
	var out []Subject
	for s, part := range r.entries {
		if s.Part != "" && s.Team == req.Team && part.stop.Count == 0 && len(part.crashes) > 0 && hasAllCrashes(e.crashes, part.crashes) {
			out = append(out, s)
		}
	}
	return out
}

// hasAllCrashes reports whether all endpoints of the crashes in want are among those in have.
func hasAllCrashes(have, want []Crash) bool {
	endpoints := map[string]bool{}
	for i := range have {
		endpoints[have[i].Endpoint] = true
	}
	for i := range want {
		if !endpoints[want[i].Endpoint] {
			return false
		}
	}
	return true
}

// partVerdict returns how a request may be sent as far as one part of its prompt is concerned. A request
// that lacks another possible cause of the crashes tells the two apart, so it is tried.
func (r *Registry) partVerdict(now time.Time, part Subject, req *Request) Verdict {
	e := r.entries[part]
	if e == nil || len(e.crashes) == 0 && e.stop.Count == 0 {
		return Free
	}
	counted, _, missing := r.partIncidents(now, part, e)
	switch {
	case e.stopped(now) && !r.mayBeInnocent(part, req):
		return Stopped
	case e.stop.Count > 0, missing == 0:
		return Careful
	case len(counted) > 0:
		return Suspect
	}
	return Free
}

// mayBeInnocent reports whether the crashes under a part may have causes that a request does not have: one
// request that had all of the crashed endpoints, or other parts that are suspected themselves. A few crashes
// without another cause do not count against a part that was answered before.
func (r *Registry) mayBeInnocent(part Subject, req *Request) bool {
	e := r.entries[part]
	crashes := sortedByTime(e.crashes)
	if len(crashes) == 0 { // the stop is all that is known
		return false
	}
	if len(crashes) > 1 && r.isCrashOfOneRequest(crashes, req) {
		return true
	}
	allowed := 0
	if !e.clearedAt.IsZero() {
		allowed = r.set.CrashThreshold - 1
	}
	for i := range crashes {
		if r.hasOtherCause(&crashes[i], part, req) {
			continue
		}
		if allowed--; allowed < 0 {
			return false
		}
	}
	return true
}

// hasOtherCause reports whether an endpoint that crashed had a part, outside of a request, that was at other
// crashes as well. It has to be as far with that part as with the first one, or to have begun with it at
// several crashes: the head of an answer may be lost with its connection, so that a crash looks weaker than it is.
func (r *Registry) hasOtherCause(crash *Crash, part Subject, req *Request) bool {
	for s := range r.byEndpoint[crash.Endpoint] {
		e := r.entries[s]
		if s.Part == "" || s.Part == part.Part || req.Has(s) || e == nil || len(e.crashes) < 2 {
			continue
		}
		if e.phaseAt(crash.Endpoint).strength() >= crash.Phase.strength() || e.begunCrashes() > 1 {
			return true
		}
	}
	return false
}

// begunCrashes returns how many crashes are in phase Begun.
func (e *entry) begunCrashes() (n int) {
	for i := range e.crashes {
		if e.crashes[i].Phase == Begun {
			n++
		}
	}
	return n
}

// isProven reports whether a part was answered since the last crash under it.
func (r *Registry) isProven(part Subject) bool {
	e := r.entries[part]
	if e == nil {
		return !r.answered.last(part).IsZero()
	}
	return !e.clearedAt.IsZero() && len(e.crashes) == 0 && e.stop.Count == 0
}

// areProven reports whether the prompt of a request has shared parts and all of them are proven.
func (r *Registry) areProven(req *Request) bool {
	for _, p := range req.Parts {
		if !r.isProven(p) {
			return false
		}
	}
	return len(req.Parts) > 0
}

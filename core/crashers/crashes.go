package crashers

import (
	"slices"
	"time"

	"github.com/agateway/agateway/core/times"
)

// RecordCrash records that an endpoint crashed while it had a request. It returns the subjects that this
// stops, which were not stopped before: the request, or parts of its prompt.
func (r *Registry) RecordCrash(now time.Time, req Request, crash Crash) (stopped []Subject) {
	subjects := req.Subjects()
	for _, s := range subjects {
		r.addCrash(now, s, crash)
	}
	for _, s := range subjects {
		if !r.isStopped(now, s) && r.stopIfNeeded(now, s) {
			stopped = append(stopped, s)
		}
	}
	return stopped
}

func (r *Registry) isStopped(now time.Time, req Subject) bool {
	e := r.entries[req]
	return e != nil && e.stopped(now)
}

func (e *entry) stopped(now time.Time) bool { return now.Before(e.stop.Until) }

// addCrash adds a crash to a request, once for each endpoint; of repeated ones the strongest phase
// counts. It ignores crashes that have expired or are not later than the last clearing.
func (r *Registry) addCrash(now time.Time, req Subject, crash Crash) {
	if now.Sub(crash.At) >= r.set.Retention {
		return
	}
	e := r.getOrCreate(now, req)
	if e == nil || !crash.At.After(e.clearedAt) {
		return
	}
	e.service = crash.Service
	r.linkEndpoint(req, &crash)
	for i := range e.crashes {
		if e.crashes[i].Endpoint == crash.Endpoint {
			if crash.Phase.strength() > e.crashes[i].Phase.strength() {
				e.crashes[i].Phase = crash.Phase
			}
			return
		}
	}
	e.crashes = append(e.crashes, crash)
	for len(e.crashes) > historyFactor*r.set.CrashThreshold {
		r.unlinkEndpoint(req, &e.crashes[0])
		e.crashes = e.crashes[1:]
	}
}

// historyFactor times [Settings.CrashThreshold] is the number of crashes that are remembered for a
// request.
const historyFactor = 4

// linkEndpoint records in the index of crashed endpoints that this one had the request.
func (r *Registry) linkEndpoint(req Subject, crash *Crash) {
	if r.byEndpoint[crash.Endpoint] == nil {
		r.byEndpoint[crash.Endpoint] = map[Subject]bool{}
	}
	r.byEndpoint[crash.Endpoint][req] = true
}

// unlinkEndpoint removes the request from the index of crashed endpoints.
func (r *Registry) unlinkEndpoint(req Subject, crash *Crash) {
	delete(r.byEndpoint[crash.Endpoint], req)
	if len(r.byEndpoint[crash.Endpoint]) == 0 {
		delete(r.byEndpoint, crash.Endpoint)
	}
}

// stopIfNeeded stops a request that has enough crashes, and reports whether it is stopped now.
func (r *Registry) stopIfNeeded(now time.Time, req Subject) bool {
	e := r.entries[req]
	if e == nil {
		return false
	}
	if e.stopped(now) {
		return true
	}
	if missing, _ := r.evaluate(now, req, e); missing > 0 {
		return false
	}
	count := e.stop.Count + 1
	e.stop = Stop{At: now, Until: now.Add(r.stopDuration(count)), Count: count}
	return true
}

// stopDuration returns how long the count-th stop of a request lasts.
func (r *Registry) stopDuration(count int) time.Duration {
	d := r.set.MinStop
	for range count - 1 {
		if d = 2 * d; d >= r.set.MaxStop {
			return r.set.MaxStop
		}
	}
	return d
}

// evaluate returns how many more incidents stop a request, and how many of its counted crashes are
// in phase Begun.
func (r *Registry) evaluate(now time.Time, req Subject, e *entry) (missing, begun int) {
	if req.Part != "" {
		return r.evaluatePart(now, req, e), 0
	}
	counted := r.countedCrashes(now, req, e)
	n := r.countIncidents(counted)
	if n.begun > 0 && r.isHarmfulTeam(now, req.Team, e.service) {
		return 0, n.begun
	}
	return r.missingIncidents(r.set.CrashThreshold, e, n), n.begun
}

// missingIncidents returns how many incidents are missing of a threshold, or of the threshold that counts
// late crashes too. One is enough for a subject that was stopped and may be tried again.
func (r *Registry) missingIncidents(threshold int, e *entry, n incidentCounts) int {
	lateThreshold := r.set.LateCrashThreshold
	if e.stop.Count > 0 {
		threshold, lateThreshold = 1, 1
	}
	missing := threshold - n.early
	if n.all > n.early {
		missing = min(missing, lateThreshold-n.all)
	}
	return max(missing, 0)
}

// incidentCounts are the incidents of a request: all of them, those without late crashes, and its
// crashes in phase Begun. Crashes that coincide are one incident.
type incidentCounts struct{ all, early, begun int }

// isHarmfulTeam reports whether so many requests of a team crashed endpoints of a service lately
// that its next one is likely to do the same.
func (r *Registry) isHarmfulTeam(now time.Time, team, service string) bool {
	all, _ := r.countHarmful(now, team, service)
	return all >= r.set.HarmfulThreshold
}

// isHarmful reports the same of a request. If all shared parts of its prompt are proven, only requests
// without a suspected part count.
func (r *Registry) isHarmful(now time.Time, req *Request, service string) bool {
	all, ofSoundParts := r.countHarmful(now, req.Whole.Team, service)
	if r.areProven(req) {
		return ofSoundParts >= r.set.HarmfulThreshold
	}
	return all >= r.set.HarmfulThreshold
}

// countedCrashes returns the crashes that count against a subject, ordered by time: those within the
// retention time and after its last clearing or stop, without a more likely cause.
func (r *Registry) countedCrashes(now time.Time, s Subject, e *entry) []Crash {
	since := e.clearedAt
	if e.stop.Count > 0 {
		since = times.Later(e.stop.Until, e.clearedAt)
	}
	var out []Crash
	for _, crash := range sortedByTime(e.crashes) {
		if crash.At.After(since) && now.Sub(crash.At) < r.set.Retention && r.implicates(s, &crash) {
			out = append(out, crash)
		}
	}
	return out
}

// countIncidents counts the incidents of crashes that are ordered by time.
func (r *Registry) countIncidents(crashes []Crash) (n incidentCounts) {
	var last, lastEarly time.Time
	for i := range crashes {
		crash := &crashes[i]
		if crash.Phase == Begun {
			n.begun++
		}
		if r.isSeparateIncident(last, crash) {
			n.all, last = n.all+1, crash.At
		}
		if crash.Phase != Late && r.isSeparateIncident(lastEarly, crash) {
			n.early, lastEarly = n.early+1, crash.At
		}
	}
	return n
}

// isSeparateIncident reports whether a crash belongs to another incident than the one before, which
// was at the time last; zero if there is none.
func (r *Registry) isSeparateIncident(last time.Time, crash *Crash) bool {
	return last.IsZero() || !crash.Sent.Before(last) || crash.At.Sub(last) > r.set.CoincidenceWindow
}

// implicates reports whether a crash counts against a subject. It does not if another one at the endpoint is
// a more likely cause.
func (r *Registry) implicates(s Subject, crash *Crash) bool {
	if crash.Phase == Begun {
		return true
	}
	ownCrashes := len(r.entries[s].crashes)
	for other := range r.byEndpoint[crash.Endpoint] {
		e := r.entries[other]
		if other == s || e == nil {
			continue
		}
		phase := e.phaseAt(crash.Endpoint)
		if phase == 0 {
			continue
		}
		if e.stop.Count > 0 || other.Part == "" && (phase == Begun || len(e.crashes) > ownCrashes) {
			return false
		}
	}
	return true
}

// phaseAt returns the phase of the request at a crashed endpoint; 0 if no such crash is recorded
// for it.
func (e *entry) phaseAt(endpoint string) Phase {
	for i := range e.crashes {
		if e.crashes[i].Endpoint == endpoint {
			return e.crashes[i].Phase
		}
	}
	return 0
}

// countHarmful returns how many requests of a team had begun at endpoints of a service that crashed
// within [Settings.HarmfulWindow], and have not been cleared since. Those with a stopped part in their
// prompts don't count. ofSoundParts is how many of them have no suspected part either.
func (r *Registry) countHarmful(now time.Time, team, service string) (all, ofSoundParts int) {
	since := now.Add(-r.set.HarmfulWindow)
	for s, e := range r.entries {
		if s.Part != "" || s.Team != team || e.service != service || !e.crashedAtBeginSince(since) {
			continue
		}
		suspected, stopped := r.suspectedParts(s, e)
		if stopped {
			continue
		}
		all++
		if !suspected {
			ofSoundParts++
		}
	}
	return all, ofSoundParts
}

// suspectedParts reports whether a part of the team's prompts had begun at an endpoint that crashed when a
// request had begun there, and whether such a part is or was stopped.
func (r *Registry) suspectedParts(s Subject, e *entry) (suspected, stopped bool) {
	for i := range e.crashes {
		if e.crashes[i].Phase != Begun {
			continue
		}
		for other := range r.byEndpoint[e.crashes[i].Endpoint] {
			p := r.entries[other]
			if other.Part == "" || other.Team != s.Team || p == nil || p.phaseAt(e.crashes[i].Endpoint) != Begun {
				continue
			}
			suspected, stopped = true, stopped || p.stop.Count > 0
		}
	}
	return suspected, stopped
}

// crashedAtBeginSince reports whether a crash in phase Begun is later than a time.
func (e *entry) crashedAtBeginSince(at time.Time) bool {
	return slices.ContainsFunc(e.crashes, func(crash Crash) bool { return crash.Phase == Begun && crash.At.After(at) })
}

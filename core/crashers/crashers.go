package crashers

import (
	"slices"
	"time"
)

// Request names a request that may come again.
type Request struct {
	// Team is who sends it; empty on public routes.
	Team string
	// Content is a hash of what it asks for.
	Content Content
}

// Content is a cryptographic hash, so that nobody can make two requests share one.
type Content [16]byte

// Sign says how far an endpoint was with a request when it ended.
type Sign uint8

// Signs, the stronger ones larger.
const (
	// Present: it had the request, and may not have begun to run it.
	Present Sign = iota + 1
	// Begun: its answer had begun a moment before.
	Begun
)

// End is the end of an endpoint that had a request.
type End struct {
	// Endpoint is the incarnation that ended.
	Endpoint string
	// Service is what the endpoint belongs to.
	Service string
	Sign    Sign
	// Sent is when the request was sent there, and At when the endpoint ended.
	Sent, At time.Time
}

// Verdict says what may be done with a request.
type Verdict uint8

// Verdicts.
const (
	// Free: nothing is held against it.
	Free Verdict = iota
	// Suspect: endpoints ended under it.
	Suspect
	// Careful: one more end stops it, so it is tried by one instance at a time.
	Careful
	// Stopped: it is not sent to any endpoint.
	Stopped
)

// String returns the verdict's name, for logs.
func (v Verdict) String() string {
	return [...]string{"free", "suspect", "careful", "stopped"}[v]
}

// Settings of a register. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// Ends is how many endpoints may end under a request before it is stopped.
	Ends int
	// Moment is how far apart ends may be that count as one, where the request was at both endpoints at once.
	Moment time.Duration
	// Keep is how long an end counts.
	Keep time.Duration
	// StopFirst is how long a request is stopped; each time after that twice as long, up to StopMost.
	StopFirst, StopMost time.Duration
	// TrialMost is how long a trial counts whose end is not heard.
	TrialMost time.Duration
	// PerTeam and Most bound the requests in a register.
	PerTeam, Most int
	// Harmful is how many requests of a team that had begun where an endpoint of a service ended, within HarmfulWithin, make each
	// other one to that service be handled with care, one of the team at a time, and one end at which it had begun
	// enough to stop it.
	Harmful       int
	HarmfulWithin time.Duration
}

// DefaultSettings returns the usual settings.
func DefaultSettings() Settings {
	return Settings{
		Ends: 3, Moment: 300 * time.Millisecond, Keep: time.Hour,
		StopFirst: 10 * time.Minute, StopMost: 4 * time.Hour, TrialMost: 30 * time.Second,
		PerTeam: 64, Most: 1024, Harmful: 4, HarmfulWithin: 30 * time.Second,
	}
}

// Register is what one instance knows of requests that end endpoints.
type Register struct {
	set     Settings
	entries map[Request]*entry
	// ended are the endpoints that ended, each with the requests that were there.
	ended map[string]*ended
	teams map[string]int // entries by team
}

// entry is what is known of a request.
type entry struct {
	service string // whose endpoints ended
	ends    []End
	cleared time.Time
	stop    Stop
	trials  map[string]time.Time // by who tries it, with the time from which on that counts no more
}

// Stop is the stopping of a request.
type Stop struct {
	// At is when it was stopped last, and Until for how long.
	At, Until time.Time
	// Times is how often it was stopped since it was served last.
	Times int
	// Stored tells that the stop is known to be kept where it outlasts all instances.
	Stored bool
}

// ended is an endpoint that ended.
type ended struct {
	at  time.Time
	had map[Request]bool
}

// New returns an empty register.
func New(s Settings) *Register {
	return &Register{set: s, entries: map[Request]*entry{}, ended: map[string]*ended{}, teams: map[string]int{}}
}

// Len returns how many requests the register holds, and how many of them are stopped.
func (r *Register) Len(now time.Time) (all, stopped int) {
	for _, e := range r.entries {
		if now.Before(e.stop.Until) {
			stopped++
		}
	}
	return len(r.entries), stopped
}

// Ended reports that an endpoint ended under a request. It returns true when that stops the request.
func (r *Register) Ended(now time.Time, req Request, end End) bool {
	before := r.isStopped(now, req)
	r.add(now, req, end)
	return r.decide(now, req) && !before
}

func (r *Register) isStopped(now time.Time, req Request) bool {
	e := r.entries[req]
	return e != nil && now.Before(e.stop.Until)
}

// add takes an end, once for each endpoint and request.
func (r *Register) add(now time.Time, req Request, end End) {
	if now.Sub(end.At) >= r.set.Keep {
		return
	}
	e := r.entry(now, req)
	if e == nil || !end.At.After(e.cleared) {
		return
	}
	e.service = end.Service
	r.had(req, &end)
	for i := range e.ends {
		if e.ends[i].Endpoint == end.Endpoint {
			e.ends[i].Sign = max(e.ends[i].Sign, end.Sign)
			return
		}
	}
	e.ends = append(e.ends, end)
	if most := endsKept * r.set.Ends; len(e.ends) > most {
		e.ends = e.ends[len(e.ends)-most:]
	}
}

// endsKept times the ends that stop a request are remembered of it.
const endsKept = 4

// had notes that an endpoint had a request when it ended.
func (r *Register) had(req Request, end *End) {
	if r.ended[end.Endpoint] == nil {
		r.ended[end.Endpoint] = &ended{at: end.At, had: map[Request]bool{}}
	}
	r.ended[end.Endpoint].had[req] = true
}

// decide stops a request under which enough endpoints have ended, and tells whether it is stopped.
func (r *Register) decide(now time.Time, req Request) bool {
	e := r.entries[req]
	if e == nil {
		return false
	}
	if now.Before(e.stop.Until) {
		return true
	}
	if r.missing(now, req, e) > 0 {
		return false
	}
	times := e.stop.Times + 1
	e.stop = Stop{At: now, Until: now.Add(r.stopFor(times)), Times: times}
	return true
}

// stopFor returns for how long a request is stopped the given time.
func (r *Register) stopFor(times int) time.Duration {
	d := r.set.StopFirst
	for range times - 1 {
		if d = 2 * d; d >= r.set.StopMost {
			return r.set.StopMost
		}
	}
	return d
}

// missing returns how many more ends stop a request.
func (r *Register) missing(now time.Time, req Request, e *entry) int {
	need, since := r.set.Ends, e.cleared
	if e.stop.Times > 0 { // it was stopped and may be tried again
		need, since = 1, latest(e.stop.Until, e.cleared)
	}
	all, begun := r.occasions(now, req, e, since)
	if begun > 0 && r.watched(now, req.Team, e.service) {
		return 0
	}
	return max(need-all, 0)
}

// watched tells whether a team sends so many requests that end endpoints of a service that its next one is likely to do the
// same.
func (r *Register) watched(now time.Time, team, service string) bool {
	return r.harmfulOf(now, team, service) >= r.set.Harmful
}

// occasions counts the moments at which endpoints ended under a request, and the endpoints at which it had begun.
func (r *Register) occasions(now time.Time, req Request, e *entry, since time.Time) (all, begun int) {
	var last time.Time
	for _, end := range sorted(e.ends) {
		if !end.At.After(since) || now.Sub(end.At) >= r.set.Keep || !r.counts(req, &end) {
			continue
		}
		if end.Sign == Begun {
			begun++
		}
		if last.IsZero() || end.Sent.After(last) || end.At.Sub(last) > r.set.Moment {
			all, last = all+1, end.At
		}
	}
	return all, begun
}

// counts tells whether an end says anything about a request: it does not where another one is a better reason for it.
func (r *Register) counts(req Request, end *End) bool {
	if end.Sign == Begun {
		return true
	}
	mine := len(r.entries[req].ends)
	for other := range r.ended[end.Endpoint].had {
		e := r.entries[other]
		if other == req || e == nil {
			continue
		}
		sign := e.signAt(end.Endpoint)
		if sign == Begun || sign == Present && (e.stop.Times > 0 || len(e.ends) > mine) {
			return false
		}
	}
	return true
}

// signAt returns how far an endpoint was with the request when it ended; 0 where that is not held against it.
func (e *entry) signAt(endpoint string) Sign {
	for i := range e.ends {
		if e.ends[i].Endpoint == endpoint {
			return e.ends[i].Sign
		}
	}
	return 0
}

// harmfulOf returns how many requests of a team had begun lately at endpoints of a service that ended, and were not served
// since.
func (r *Register) harmfulOf(now time.Time, team, service string) int {
	n := 0
	for req, e := range r.entries {
		if req.Team == team && e.service == service && e.begunSince(now.Add(-r.set.HarmfulWithin)) {
			n++
		}
	}
	return n
}

// begunSince tells whether an endpoint ended at which the request had begun.
func (e *entry) begunSince(at time.Time) bool {
	return slices.ContainsFunc(e.ends, func(end End) bool { return end.Sign == Begun && end.At.After(at) })
}

// Verdict returns what may be done with a request to a service.
func (r *Register) Verdict(now time.Time, req Request, service string) Verdict {
	e := r.entries[req]
	if e == nil {
		e = &entry{}
	}
	if now.Before(e.stop.Until) {
		return Stopped
	}
	missing := r.missing(now, req, e)
	switch {
	case e.cleared.IsZero() && r.watched(now, req.Team, service):
		return Careful
	case missing <= 1 && (len(e.ends) > 0 || e.stop.Times > 0):
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

// Ends returns the ends that are remembered of a request.
func (r *Register) Ends(req Request) []End {
	if e := r.entries[req]; e != nil {
		return sorted(e.ends)
	}
	return nil
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
	e.clear(now)
	return true
}

func (e *entry) clear(at time.Time) {
	e.cleared, e.stop, e.trials = at, Stop{}, nil
	kept := e.ends[:0]
	for _, end := range e.ends {
		if end.At.After(at) {
			kept = append(kept, end)
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

package crashers

import (
	"time"
)

// Subject is what crashes are blamed on: a request with all its attempts, whatever their ids, or a part of
// prompts that requests of a team share.
type Subject struct {
	// Team is the team that sends it; empty on public routes.
	Team string
	// Content is a hash of everything that the request asks for, or of the part's id.
	Content ContentHash
	// Part is the id of the part in hexadecimal; empty for a request as a whole.
	Part string
}

// Phase says how far an endpoint was with a request when it crashed. Zero is not a phase.
type Phase uint8

// Phases. Their values are sent between instances and don't order them; see [Phase.strength].
const (
	// Present: the endpoint had the request and may not have begun to run it.
	Present Phase = iota + 1
	// Begun: the answer had begun a moment before.
	Begun
	// Late: the endpoint had been answering for a while.
	Late
)

// strength ranks phases by how strongly a crash implicates the request; 0 for an unknown phase.
func (p Phase) strength() int {
	switch p {
	case Begun:
		return 3
	case Present:
		return 2
	case Late:
		return 1
	}
	return 0
}

// Crash records that an endpoint crashed while it had a request.
type Crash struct {
	// Endpoint is the id of the incarnation that crashed.
	Endpoint string
	// Service is the service of the endpoint.
	Service string
	Phase   Phase
	// Sent is when the request was sent to the endpoint, and At when the endpoint crashed.
	Sent, At time.Time
}

// Verdict says how a request may be sent. Higher values are stricter.
type Verdict uint8

// Verdicts.
const (
	// Free: no crash counts against it.
	Free Verdict = iota
	// Suspect: crashes count against it, and it is sent as usual.
	Suspect
	// Careful: it is tried by one instance at a time, since it had begun at a crashed endpoint, one
	// more crash stops it, or its team sends many harmful requests.
	Careful
	// Stopped: it is not sent to any endpoint.
	Stopped
)

// String returns the name of the verdict, as operator tools, logs and metrics show it.
func (v Verdict) String() string {
	return [...]string{"free", "suspect", "careful", "stopped"}[v]
}

// Settings configure a [Registry]. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// CrashThreshold is the number of incidents that stop a request, not counting late crashes.
	// LateCrashThreshold is the number of incidents that stop it if late crashes are counted too.
	CrashThreshold, LateCrashThreshold int
	// CoincidenceWindow is how far apart crashes may be to count as one incident, if both endpoints
	// had the request at the same time.
	CoincidenceWindow time.Duration
	// Retention is how long a crash counts.
	Retention time.Duration
	// MinStop is how long a request is stopped the first time. Each further stop is twice as long,
	// up to MaxStop.
	MinStop, MaxStop time.Duration
	// TrialTimeout is how long a trial blocks others if its end is never reported.
	TrialTimeout time.Duration
	// MaxPerTeam and MaxRequests bound the requests and parts of prompts in a registry.
	MaxPerTeam, MaxRequests int
	// HarmfulThreshold is the number of requests that make a team harmful to a service: requests
	// that had begun at an endpoint of the service that crashed within HarmfulWindow. Requests of a
	// harmful team that have not been served yet are tried one at a time, and one Begun crash stops
	// a request.
	HarmfulThreshold int
	HarmfulWindow    time.Duration
}

// DefaultSettings returns the settings used by the daemon. The first stop lasts about as long as an
// operator takes to look at the request. Crashes count for an hour, so that a request that comes a
// few times an hour is detected.
func DefaultSettings() Settings {
	return Settings{
		CrashThreshold: 3, LateCrashThreshold: 5, CoincidenceWindow: 300 * time.Millisecond, Retention: time.Hour,
		MinStop: 10 * time.Minute, MaxStop: 4 * time.Hour, TrialTimeout: 30 * time.Second,
		MaxPerTeam: 256, MaxRequests: 2048, HarmfulThreshold: 4, HarmfulWindow: 30 * time.Second,
	}
}

// Registry holds what one instance knows of requests that crash endpoints.
type Registry struct {
	set     Settings
	entries map[Subject]*entry
	// byEndpoint maps each crashed endpoint to the requests that it had.
	byEndpoint map[string]map[Subject]bool
	teamSizes  map[string]int // number of entries by team
	answered   answeredParts
}

// entry is what is known of one request.
type entry struct {
	service   string // of the endpoints that crashed, or of the last trial
	crashes   []Crash
	clearedAt time.Time // crashes up to this time don't count; zero if never cleared
	stop      Stop
	trials    map[string]time.Time // when each trial expires, by instance
}

// Stop says when and for how long a request is stopped. The zero value means that it has not been
// stopped since it was cleared last.
type Stop struct {
	// At is when it was stopped last, and Until is when that stop expires.
	At, Until time.Time
	// Count is how often it was stopped since it was cleared last.
	Count int
	// Stored reports whether the stop is known to be in the platform's store, where it outlives all
	// instances.
	Stored bool
}

// New returns an empty registry.
func New(s Settings) *Registry {
	return &Registry{set: s, entries: map[Subject]*entry{}, byEndpoint: map[string]map[Subject]bool{}, teamSizes: map[string]int{}}
}

// Len returns the number of requests in the registry, and how many of them are stopped.
func (r *Registry) Len(now time.Time) (all, stopped int) {
	for _, e := range r.entries {
		if e.stopped(now) {
			stopped++
		}
	}
	return len(r.entries), stopped
}

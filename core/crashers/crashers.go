package crashers

import (
	"time"
)

// Request names a request that may come again.
type Request struct {
	// Team is who sends it; empty on public routes.
	Team string
	// Content is a hash of what it asks for.
	Content Content
}

// Sign says how far an endpoint was with a request when it ended.
type Sign uint8

// Signs. Their values are sent between instances; [Sign.weight] orders them.
const (
	// Present: it had the request, and may not have begun to run it.
	Present Sign = iota + 1
	// Begun: its answer had begun a moment before.
	Begun
	// Late: it had been answering for a while.
	Late
)

// weight orders signs by how much they say.
func (s Sign) weight() int {
	switch s {
	case Begun:
		return 3
	case Present:
		return 2
	case Late:
		return 1
	}
	return 0
}

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
	// Careful: it had begun at an endpoint that ended, or one more end stops it, so it is tried by one instance at a time.
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
	// Ends is how many endpoints may end under a request before it is stopped, LateEnds how many where late ones count as well.
	Ends, LateEnds int
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

// DefaultSettings returns the usual settings. A request is stopped for about as long as it takes an operator to look at it; an
// hour of ends finds out one that comes a few times an hour.
func DefaultSettings() Settings {
	return Settings{
		Ends: 3, LateEnds: 5, Moment: 300 * time.Millisecond, Keep: time.Hour,
		StopFirst: 10 * time.Minute, StopMost: 4 * time.Hour, TrialMost: 30 * time.Second,
		PerTeam: 64, Most: 1024, Harmful: 4, HarmfulWithin: 30 * time.Second,
	}
}

// Register is what one instance knows of requests that end endpoints.
type Register struct {
	set     Settings
	entries map[Request]*entry
	// ended are the endpoints that ended, each with the requests that were there.
	ended map[string]map[Request]bool
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

// New returns an empty register.
func New(s Settings) *Register {
	return &Register{set: s, entries: map[Request]*entry{}, ended: map[string]map[Request]bool{}, teams: map[string]int{}}
}

// Len returns how many requests the register holds, and how many of them are stopped.
func (r *Register) Len(now time.Time) (all, stopped int) {
	for _, e := range r.entries {
		if e.stopped(now) {
			stopped++
		}
	}
	return len(r.entries), stopped
}

package routing

import (
	"time"

	"github.com/agateway/agateway/core/cooldown"
	"github.com/agateway/agateway/core/health"
)

// State is the state of an endpoint, as far as this instance knows.
type State int

// States of an endpoint.
const (
	Live State = iota
	// Leaving endpoints get no new work; running streams finish.
	Leaving
)

// Model is a model that an endpoint has loaded.
type Model struct {
	Name, Version string
	Adapters      []string
}

// Endpoint describes one back end.
type Endpoint struct {
	// ID identifies one incarnation. After a restart, even under the same name, the endpoint has a
	// new ID, and nothing that was known of the former one applies to it.
	ID string
	// Name is the endpoint's own name; empty if it is the same as ID.
	Name                string
	Address, DataCentre string
	// StartedUnixMS is when the endpoint started, in milliseconds of Unix time; 0 if unknown.
	StartedUnixMS int64
	// Build is the version of the endpoint's software; empty if it reports none. ColdFor is how
	// much longer the endpoint was slow after its start, at the time when it was listed.
	Build   string
	ColdFor time.Duration
	// Service groups endpoints that serve the same deployments.
	Service string
	Slots   int
	State   State
	// Sequence rises with each entry that this incarnation writes to the list; 0 if unknown.
	Sequence uint64
	// Models are the models that are loaded; nil where the list does not say.
	Models []Model
	// Role is the role that the engine reports of itself.
	Role string
	// Memory is the capacity that running requests and copies share at an engine, in tokens; 0
	// where only slots count.
	Memory int
	// ChecksFencing reports whether the endpoint refuses orders with an old fencing number.
	ChecksFencing bool
}

// RequestName returns the name that requests to the endpoint carry: its Name, or its ID if it has
// none.
func (e *Endpoint) RequestName() string {
	if e.Name == "" {
		return e.ID
	}
	return e.Name
}

func (e *Endpoint) serves(model, adapter, version string) bool {
	if model == "" {
		return true
	}
	for i := range e.Models {
		m := &e.Models[i]
		if m.Name == model && (version == "" || m.Version == version) && m.hasAdapter(adapter) {
			return true
		}
	}
	return false
}

func (m *Model) hasAdapter(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, a := range m.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}

// Load is an endpoint's own load report, in requests.
type Load struct {
	Running, Queued int
	// Age is how old the report was when it was received.
	Age time.Duration
}

// node is an endpoint with this instance's knowledge of its load and health.
type node struct {
	hash uint64 // of the ID, for rendezvous hashing
	Endpoint
	view     *View
	inSubset bool // it is in this instance's own subset
	// saysLeaving is set while it counts as leaving because of its answers, and saidLeavingAt is when that
	// was learned.
	saysLeaving   bool
	saidLeavingAt time.Time
	// owned is the result of [View.Owned] at ownedVersion of the view.
	owned        bool
	ownedVersion uint64
	// groupIndexes are the node's positions in the groups of groupKeys.
	groupIndexes [maxGroups]int
	*observations
}

// observations are what this instance has observed of an endpoint, and what others have told of it.
// Most endpoints of a large fleet have none. They share noObservations; [View.observe] returns a
// node whose observations may be written.
type observations struct {
	load           Load
	loadAt         time.Time    // when the endpoint took the load report
	open           int          // requests of this instance in progress
	recent         []openChange // requests sent (+1) and finished (-1) since loadAt
	trust          health.Breaker
	openAtFailure  int             // requests in progress since before the last failure
	outcomes       health.Outcomes // of requests of this instance
	pace           health.Pace     // as observed by this instance
	speed          health.Speed    // the same for the time per prompt token
	lastAnswerLost bool            // the last answer did not arrive
	failedAt       time.Time       // when it last failed this instance, or a peer first reported a failure
	silence        silence
	fullUntil      time.Time // end of the backoff after a refusal
	cooldown       cooldown.Cooldown
	claimableAt    time.Time      // when room may be claimed there again; recoveries may claim it at any time
	reportsLeaving bool           // the endpoint itself reports that it is leaving
	ended          bool           // its address answers for another incarnation, or a peer reported so
	own            Placed         // placed by this instance, except for the number of requests (open)
	peerPlaced     Placed         // sum of what other instances reported as placed
	claims         []grantedClaim // granted to other instances that are about to place
	suspectedBy    int            // number of other instances that reported it as suspect
	// streams are those of this instance that have a deadline, and peerSlacks the shortest slacks that
	// other instances announced. prefilled counts the prompt tokens that ended since the endpoint is
	// known.
	streams    map[uint64]ownStream
	peerSlacks map[string]peerSlack
	prefilled  int64
	// peerOutcomes is the sum of the outcomes that other instances reported, peerPace the slowest
	// pace that one of them reported.
	peerOutcomes health.Counts
	peerPace     float64
	// peerSpeed is the sum of what other instances report of its speed, formerSpeed what they no longer
	// report.
	peerSpeed   speedSum
	formerSpeed health.Speed
	// ownerSummary is the last summary that an owner sent; see [View.Owned].
	ownerSummary receivedSummary
	// touched is the number of the sweep before which they were last written; see [View.Sweep].
	touched uint64
}

// noObservations are those of endpoints of which nothing is known. They are never written.
var noObservations = &observations{}

// observe returns an endpoint whose observations may be written; nil if it is not listed.
func (v *View) observe(id string) *node {
	n := v.nodes[id]
	if n == nil {
		return nil
	}
	if n.observations == noObservations {
		n.observations = &observations{}
		v.observed[id] = n
	}
	n.touched = v.sweeps
	return n
}

// sweepInterval is the least time between two sweeps.
const sweepInterval = 30 * time.Second

// Sweep drops the observations that say nothing any more. Without it, the memory of an instance
// would grow until it has met each endpoint once.
func (v *View) Sweep(now time.Time) {
	if now.Sub(v.sweptAt) < sweepInterval {
		return
	}
	v.sweptAt = now
	v.sweeps++
	v.sweepGates(now)
	v.expireUnlisted(now)
	v.departures.Expire(now, func(id string) bool { return v.nodes[id] != nil })
	for id, n := range v.observed {
		if n.touched+1 < v.sweeps && n.idle(now) {
			n.observations = noObservations
			delete(v.observed, id)
		}
	}
}

// negligibleCount is the decayed number of outcomes that is too small to matter.
const negligibleCount = 0.01

// idle reports whether the observations of an endpoint differ from none in nothing that matters.
func (n *node) idle(now time.Time) bool {
	placed := n.open > 0 || n.silence.awaited > 0 || n.own != Placed{} || n.peerPlaced != Placed{} || len(n.claims) > 0 || len(n.streams)+len(n.peerSlacks) > 0
	health := n.ended || n.reportsLeaving || n.lastAnswerLost || n.suspectedBy > 0 || n.trust.Suspected(now) || n.trust.OnTrial() || n.cooldown.OnTrial()
	counts := n.outcomes.Counts(now).Add(n.peerOutcomes)
	return !placed && !health && counts.Good+counts.Bad < negligibleCount && n.peerPace == 0 && n.pace.Factor(now) < slowFactor &&
		n.peerSpeed == speedSum{} && n.speed.Estimate(now).Add(n.formerSpeed.Estimate(now)).Weight < negligibleCount
}

// openChange is a change of the number of this instance's requests in progress.
type openChange struct {
	at    time.Time
	delta int
}

// maxRecentChanges bounds node.recent; older changes are added to the reported load.
const maxRecentChanges = 256

func (n *node) recordChange(now time.Time, delta int) {
	n.open += delta
	if len(n.recent) == maxRecentChanges {
		n.load.Running += n.recent[0].delta
		copy(n.recent, n.recent[1:])
		n.recent = n.recent[:maxRecentChanges-1]
	}
	n.recent = append(n.recent, openChange{now, delta})
}

func (n *node) report(now time.Time, l Load) {
	at := now.Add(-l.Age)
	if at.Before(n.loadAt) {
		return // a newer report has already arrived
	}
	n.load, n.loadAt = l, at
	kept := n.recent[:0]
	for _, c := range n.recent {
		if c.at.After(at) {
			kept = append(kept, c)
		}
	}
	n.recent = kept
}

// estimate returns the number of requests believed to be at the endpoint. It is the last load
// report, if that is younger than ttl, corrected by what this instance sent and finished since. It
// is never less than what this instance has there plus what others reported.
func (n *node) estimate(now time.Time, ttl time.Duration) int {
	known := n.open + n.othersPlaced(now).Open
	if now.Sub(n.loadAt) >= ttl {
		return known
	}
	total := n.load.Running + n.load.Queued
	for _, c := range n.recent {
		total += c.delta
	}
	return max(total, known)
}

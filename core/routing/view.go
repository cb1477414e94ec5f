package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/departure"
	"github.com/agateway/agateway/core/health"
)

// Settings configure a [View]. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// BaseSuspicion and MaxSuspicion bound how long an endpoint is excluded after failures. The
	// time doubles with each failure; older failures count less.
	BaseSuspicion, MaxSuspicion time.Duration
	// ReportTTL is how long an endpoint's own load report is used. An endpoint that looks full gets
	// no work. Where reports arrive with answers, it then sends no newer report, so the old one has
	// to expire.
	ReportTTL time.Duration
	// CacheTTL is how long a cache event is used.
	CacheTTL time.Duration
	// CacheEntries is the maximum number of prefixes in the cache index; the oldest entries are
	// evicted first.
	CacheEntries int
	// Choices is how many candidates a pick compares. SubsetChoices is how many of the instance's
	// own subset it compares in addition when it samples at random.
	Choices, SubsetChoices int
	// ByPrompt selects as candidates the endpoints that rank highest for the prompt by rendezvous
	// hash, in place of random ones. All instances then compare the same few endpoints for a
	// prompt. An instance that knows nothing can therefore find the endpoint that has the prompt,
	// however many endpoints there are. Requests without a prompt still use random candidates.
	ByPrompt bool
	// SubsetBonus is subtracted from the score of endpoints in the instance's own subset. Other
	// endpoints win only if their load is lower by more than that.
	SubsetBonus float64
	// QueueFactor times its slots is how many requests an endpoint may hold before new work goes
	// elsewhere. For recoveries the limit is RecoveryFactor times its slots.
	QueueFactor, RecoveryFactor float64
	// FallBackToSuspected allows a suspected endpoint when no other is left. Where all endpoints
	// fail now and then, most requests are still served.
	FallBackToSuspected bool
	// SharedSilence makes [View.TimedOut] report a silence that an endpoint shares with others.
	SharedSilence bool
	// SilencePenalty is added to the score of an endpoint at which a request timed out and that has not
	// answered since.
	SilencePenalty float64
	// UnknownLoadPenalty is added to the score of an engine for which the placements of other
	// instances are not known.
	UnknownLoadPenalty float64
	// SuspicionPenalty is added to the score of an endpoint that failed another instance, and of
	// every endpoint in a degraded data centre. DegradedShare is the share of failing endpoints
	// from which a data centre counts as degraded.
	SuspicionPenalty, DegradedShare float64
	// Deadlines refuses prompts for which a stream that runs at the engine would miss its deadline.
	Deadlines bool
	// DeadlinesOnlyRanked restricts Deadlines to ranked requests.
	DeadlinesOnlyRanked bool
	// Speeds measures the speeds of engines, announces them and uses them.
	Speeds bool
	// MemoryFactor times an engine's memory is the limit for what requests and copies placed there
	// may need at their largest. Estimates of output are upper bounds, so all of the memory may be
	// allocated.
	MemoryFactor float64
	// CopyFactor times an engine's memory is the limit up to which copies may fill it. Above it
	// only new requests are placed, not copies of running ones.
	CopyFactor float64
	// CopyFactorWhileWaiting replaces CopyFactor while requests wait for room.
	CopyFactorWhileWaiting float64
}

// reportTTL is three reads of an endpoint's state, which is read twice a second, and ten times the
// usual duration of a request to a plain service.
const reportTTL = 1500 * time.Millisecond

// DefaultSettings returns the settings that docs/CAPACITY.md describes.
func DefaultSettings() Settings {
	return Settings{
		BaseSuspicion: time.Second, MaxSuspicion: 15 * time.Second,
		ReportTTL: reportTTL, CacheTTL: 60 * time.Second, CacheEntries: 1 << 16,
		Choices: 5, SubsetChoices: 3, SubsetBonus: 0.25, QueueFactor: 1.25, RecoveryFactor: 2, MemoryFactor: 1, CopyFactor: 0.5, CopyFactorWhileWaiting: 0.4,
		SharedSilence: true, SilencePenalty: 1, UnknownLoadPenalty: 1, SuspicionPenalty: 1, DegradedShare: 0.25,
	}
}

// View is what one instance knows of the endpoints. It is not safe for concurrent use.
type View struct {
	settings         Settings
	nodes            map[string]*node
	observed         map[string]*node     // the nodes with observations of their own
	unlisted         map[string]*unlisted // by endpoint
	groups           map[groupKey][]*node
	dataCentreSizes  map[string]int        // number of nodes by data centre
	subsets          map[string][]*node    // this instance's own subset, by service
	peerReports      map[string]PeerReport // by instance
	degraded         degradedGroups
	claimedEndpoints map[string]bool             // endpoints with granted claims
	endedAt          map[string]time.Time        // endpoints that this instance found to have ended, and when
	totals           map[string]serviceOutcomes  // by service
	usualPrefill     map[string]*health.Baseline // usual time to prefill one token, by service
	cache            cacheIndex
	heldBack         map[string]heldBack // by service
	outputTimes      map[outputKey]outputTime
	statements       admission.Statements // limits that endpoints state
	departures       departure.Register   // endpoints that said in answers that they leave
	departureEvents  []DepartureEvent     // not yet taken
	lastCooldownEnd  time.Time            // when the last pause of any endpoint ends
	// rateGates admit what all instances send to endpoints that state a rate and that this instance
	// owns.
	rateGates map[string]*admission.RateGate
	// roomGates are the same for fragile endpoints, and fragility is what is known by service.
	roomGates map[string]*admission.RoomGate
	fragility map[string]*admission.Fragility
	// owned tells for which endpoints this instance receives all reports of other instances; nil
	// for all. ownedVersion is raised each time that it is replaced.
	owned        func(id string) bool
	ownedVersion uint64
	// sweeps counts the calls of Sweep that took effect, and sweptAt is the time of the last one.
	sweeps  uint64
	sweptAt time.Time
}

// NewView returns an empty view.
func NewView(s Settings) *View {
	return &View{
		settings: s, nodes: map[string]*node{}, observed: map[string]*node{}, unlisted: map[string]*unlisted{}, groups: map[groupKey][]*node{}, dataCentreSizes: map[string]int{}, subsets: map[string][]*node{}, peerReports: map[string]PeerReport{}, claimedEndpoints: map[string]bool{}, endedAt: map[string]time.Time{}, rateGates: map[string]*admission.RateGate{}, roomGates: map[string]*admission.RoomGate{}, fragility: map[string]*admission.Fragility{},
		totals: map[string]serviceOutcomes{}, usualPrefill: map[string]*health.Baseline{}, heldBack: map[string]heldBack{}, outputTimes: map[outputKey]outputTime{}, cache: newCacheIndex(s.CacheEntries, s.CacheTTL),
	}
}

// Upsert adds an endpoint as it is listed, or updates a known one. What the endpoint reported of
// itself is kept where the list says nothing of it.
func (v *View) Upsert(e Endpoint) {
	n := v.nodes[e.ID]
	switch {
	case n == nil:
		n = &node{Endpoint: Endpoint{Slots: 1}, view: v, observations: noObservations}
		v.nodes[e.ID] = n
		n.ID, n.Service, n.DataCentre, n.hash = e.ID, e.Service, e.DataCentre, xxhash.Sum64String(e.ID)
		v.relist(n)
		v.applyPeerReports(e.ID)
		v.addToGroups(n)
	case n.Service != e.Service || n.DataCentre != e.DataCentre:
		v.removeFromGroups(n)
		n.Service, n.DataCentre = e.Service, e.DataCentre
		v.addToGroups(n)
	}
	n.ID, n.Address, n.State, n.Sequence, n.ChecksFencing = e.ID, e.Address, e.State, e.Sequence, e.ChecksFencing
	n.Name, n.StartedUnixMS, n.Build, n.ColdFor = e.Name, e.StartedUnixMS, e.Build, e.ColdFor
	if e.Slots > 0 {
		n.Slots = e.Slots
	}
	if e.Models != nil {
		n.Models = e.Models
	}
	n.Memory = e.Memory
}

// SetSubset sets which of the known endpoints are in this instance's own subset. The instance
// prefers them, so that instances with outdated knowledge of each other do not fill the same
// endpoints.
func (v *View) SetSubset(inSubset func(id string) bool) {
	clear(v.subsets)
	for id, n := range v.nodes {
		if n.inSubset = inSubset(id); n.inSubset {
			v.subsets[n.Service] = append(v.subsets[n.Service], n)
		}
	}
	for _, h := range v.subsets {
		sort.Slice(h, func(i, j int) bool { return h[i].ID < h[j].ID })
	}
}

// UpdateStatus records what an endpoint reports of itself: its slots, models and role, and whether
// it is leaving. An endpoint counts as leaving as soon as either it or the list says so.
func (v *View) UpdateStatus(id string, slots int, models []Model, role string, leaving bool) {
	n := v.nodes[id]
	if n == nil {
		return
	}
	n.Slots, n.Models, n.Role = max(slots, 1), models, role
	if n.reportsLeaving != leaving {
		v.observe(id).reportsLeaving = leaving
	}
}

// Forget drops the health and cache state of an endpoint that was replaced under the same name.
func (v *View) Forget(id string) {
	if n := v.observe(id); n != nil {
		n.reportsLeaving, n.lastAnswerLost = false, false
		n.trust.Reset()
		n.outcomes, n.pace, n.speed, n.formerSpeed = health.Outcomes{}, health.Pace{}, health.Speed{}, health.Speed{}
		v.CacheCleared(id)
	}
	v.statements.Remove(id)
}

func (n *node) takesWork(now time.Time) bool { return n.inService() && !n.trust.Suspected(now) }

// trialInProgress reports whether an endpoint on trial already has a request beyond those that it
// had when it failed. Until a request succeeds, such an endpoint gets only one at a time.
func (n *node) trialInProgress() bool { return n.trust.OnTrial() && n.open > n.openAtFailure }

// returnInProgress is the same for an endpoint after a pause that it asked for.
func (n *node) returnInProgress() bool { return n.cooldown.OnTrial() && n.open > n.openAtFailure }

// inService reports whether an endpoint is live and neither leaving nor ended. It may be suspected.
func (n *node) inService() bool { return !n.leaving() && !n.ended }

// leaving reports whether the list, the endpoint itself or a peer says that it is leaving.
func (n *node) leaving() bool { return n.State != Live || n.reportsLeaving || n.saysLeaving }

// groupKey identifies the endpoints of a service in one data centre; an empty data centre stands
// for all of them.
type groupKey struct{ service, dataCentre string }

// maxGroups is the largest number of groups that a node is in.
const maxGroups = 2

// groupKeys returns the groups of a node. A node of which the data centre is not known is in one.
func groupKeys(n *node) []groupKey {
	if n.DataCentre == "" {
		return []groupKey{{n.Service, ""}}
	}
	return []groupKey{{n.Service, ""}, {n.Service, n.DataCentre}}
}

func (v *View) addToGroups(n *node) {
	v.dataCentreSizes[n.DataCentre]++
	for i, k := range groupKeys(n) {
		n.groupIndexes[i] = len(v.groups[k])
		v.groups[k] = append(v.groups[k], n)
	}
}

// removeFromGroups fills the gaps that the node leaves with the last node of each group.
func (v *View) removeFromGroups(n *node) {
	v.dataCentreSizes[n.DataCentre]--
	for i, k := range groupKeys(n) {
		g := v.groups[k]
		last := len(g) - 1
		g[n.groupIndexes[i]] = g[last]
		g[last].groupIndexes[i] = n.groupIndexes[i]
		g[last] = nil
		v.groups[k] = g[:last]
	}
}

// Retain drops all endpoints that are not in keep, along with the load of requests that are still
// open there.
func (v *View) Retain(keep map[string]bool) {
	for id := range v.nodes {
		if !keep[id] {
			v.Remove(id)
		}
	}
}

// Remove drops an endpoint, along with the load of requests that are still open there.
func (v *View) Remove(id string) {
	n := v.nodes[id]
	if n == nil {
		return
	}
	v.removeFromGroups(n)
	v.unlist(n)
	v.statements.Remove(id)
	delete(v.roomGates, id)
	delete(v.nodes, id)
	delete(v.observed, id)
}

// Len returns the number of endpoints.
func (v *View) Len() int { return len(v.nodes) }

// SetMemory sets the memory of all endpoints of a service; see [Endpoint.Memory].
func (v *View) SetMemory(service string, tokens int) {
	for _, n := range v.groups[groupKey{service, ""}] {
		n.Memory = tokens
	}
}

// Report records an endpoint's load report.
func (v *View) Report(now time.Time, id string, l Load) {
	if n := v.observe(id); n != nil {
		n.report(now, l)
		n.silence.answered(now)
	}
}

// Sent records that this instance sent a request to an endpoint.
func (v *View) Sent(now time.Time, id string) {
	if n := v.observe(id); n != nil {
		n.recordChange(now, 1)
	}
}

// Finished records that a request of this instance at an endpoint ended.
func (v *View) Finished(now time.Time, id string) {
	if n := v.nodes[id]; n != nil && n.open > 0 {
		n.recordChange(now, -1)
		n.openAtFailure = max(n.openAtFailure-1, 0) // requests that were open at the failure are assumed to end first
	}
}

// Get returns an endpoint; false if it is not listed.
func (v *View) Get(id string) (Endpoint, bool) {
	n := v.nodes[id]
	if n == nil {
		return Endpoint{}, false
	}
	return n.snapshot(), true
}

// snapshot returns the endpoint with the state that this instance believes it to be in.
func (n *node) snapshot() Endpoint {
	e := n.Endpoint
	if !n.inService() {
		e.State = Leaving
	}
	return e
}

// Sample returns up to n random endpoints in service, without those in except.
func (v *View) Sample(n int, except map[string]bool, rnd *rand.Rand) []Endpoint {
	var out []Endpoint
	seen := 0
	for id, node := range v.nodes {
		if except[id] || !node.inService() {
			continue
		}
		seen++
		if len(out) < n {
			out = append(out, node.snapshot())
		} else if i := rnd.IntN(seen); i < n {
			out[i] = node.snapshot()
		}
	}
	return out
}

// Status is an endpoint with this instance's knowledge of it. Estimate is the number of requests
// believed to be there, Open the number of those of this instance.
type Status struct {
	Endpoint
	Estimate, Open int
	Suspected      bool
	// Limits is what it states, or others of its service do.
	Limits admission.Limits
}

// List returns all endpoints, sorted by ID.
func (v *View) List(now time.Time) []Status {
	out := make([]Status, 0, len(v.nodes))
	for _, n := range v.nodes {
		out = append(out, Status{n.snapshot(), n.estimate(now, v.settings.ReportTTL), n.open, n.trust.Suspected(now), v.limitsOf(now, n).Limits})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Slots returns the total number of slots at the endpoints of a service that take work.
func (v *View) Slots(now time.Time, service string) int {
	total := 0
	for _, n := range v.groups[groupKey{service, ""}] {
		if n.takesWork(now) {
			total += n.Slots
		}
	}
	return total
}

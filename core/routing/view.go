package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateway/agateway/core/health"
)

// Settings of a view. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// SuspectFirst and SuspectMost bound how long an endpoint is left out after
	// failures; the time doubles with each failure, of which old ones count less.
	SuspectFirst, SuspectMost time.Duration
	// ReportTTL is how long an endpoint's own word on its load is believed. One that looks full gets no work, and
	// where reports come with answers it then says nothing more.
	ReportTTL time.Duration
	// CacheTTL is how long a cache event is believed.
	CacheTTL time.Duration
	// CacheEntries bounds the cache index; the oldest entries go first.
	CacheEntries int
	// Choices is how many random candidates a pick compares, and HomeChoices how many of
	// the instance's own part besides.
	Choices, HomeChoices int
	// ByPrompt tells that the candidates for a request with a prompt are those that rank highest for the prompt, in
	// place of random ones. All instances then compare the same few endpoints for a prompt, so one that knows nothing
	// knows where to ask for it, however many endpoints there are.
	ByPrompt bool
	// HomeWorth is by how much less load an endpoint of another part has to have.
	HomeWorth float64
	// QueueFactor times the slots is what an endpoint may hold before new work goes
	// elsewhere; recoveries may go RecoveryFactor times the slots.
	QueueFactor, RecoveryFactor float64
	// LastResort tells that a suspected endpoint is taken when no other is left: where all fail now
	// and then, most requests are served even so.
	LastResort bool
	// Unknown is added to the score of an engine of which it is not known what others have placed there.
	Unknown float64
	// Doubt is added to the score of an endpoint that failed another instance, and to those of a
	// data centre in which many fail at once. DoubtShare is how many are many.
	Doubt, DoubtShare float64
	// MemoryFactor times an engine's memory is what requests and copies placed there may need
	// at their largest. Estimates of output are upper bounds, so all of it may be given away.
	MemoryFactor float64
	// CopyFactor times an engine's memory is up to where copies may fill it: beyond it new requests go
	// before copies of running ones.
	CopyFactor float64
	// ShortCopyFactor is the same while requests wait for room.
	ShortCopyFactor float64
}

// reportTTL is three reads of an endpoint's state, of which there are two a second, and ten times what a usual
// request to a plain service takes.
const reportTTL = 1500 * time.Millisecond

// DefaultSettings returns the settings measured in docs/CAPACITY.md.
func DefaultSettings() Settings {
	return Settings{
		SuspectFirst: time.Second, SuspectMost: 15 * time.Second,
		ReportTTL: reportTTL, CacheTTL: 60 * time.Second, CacheEntries: 1 << 16,
		Choices: 5, HomeChoices: 3, HomeWorth: 0.25, QueueFactor: 1.25, RecoveryFactor: 2, MemoryFactor: 1, CopyFactor: 0.5, ShortCopyFactor: 0.4,
		Unknown: 1, Doubt: 1, DoubtShare: 0.25,
	}
}

// View is what one instance knows of the endpoints.
type View struct {
	set      Settings
	nodes    map[string]*node
	groups   map[groupKey][]*node
	homes    map[string][]*node // by service
	peers    map[string]Told
	doubt    doubt
	claiming map[string]bool      // endpoints with claims
	ended    map[string]time.Time // endpoints that this instance found ended, and when
	totals   map[string]totals
	usual    map[string]*health.Baseline // time to read a prompt token, by service
	cache    cacheIndex
	// owned tells of which endpoints this instance hears all that others place there; nil for all.
	owned func(id string) bool
}

// NewView returns an empty view.
func NewView(s Settings) *View {
	return &View{
		set: s, nodes: map[string]*node{}, groups: map[groupKey][]*node{}, homes: map[string][]*node{}, peers: map[string]Told{}, claiming: map[string]bool{}, ended: map[string]time.Time{},
		totals: map[string]totals{}, usual: map[string]*health.Baseline{}, cache: newCacheIndex(s.CacheEntries, s.CacheTTL),
	}
}

// Upsert adds an endpoint as the list has it, or brings its place up to date. What the
// endpoint says of itself is kept.
func (v *View) Upsert(e Endpoint) {
	n := v.nodes[e.ID]
	switch {
	case n == nil:
		n = &node{Endpoint: Endpoint{Slots: 1}}
		v.nodes[e.ID] = n
		n.Service, n.DataCentre, n.hash = e.Service, e.DataCentre, xxhash.Sum64String(e.ID)
		n.owned = v.Owned(e.ID)
		v.recall(n, e.ID)
		v.link(n)
	case n.Service != e.Service || n.DataCentre != e.DataCentre:
		v.unlink(n)
		n.Service, n.DataCentre = e.Service, e.DataCentre
		v.link(n)
	}
	n.ID, n.Address, n.State, n.ChecksFencing = e.ID, e.Address, e.State, e.ChecksFencing
	n.Name, n.Born, n.Build, n.Cold = e.Name, e.Born, e.Build, e.Cold
	if e.Slots > 0 {
		n.Slots = e.Slots
	}
	if e.Models != nil {
		n.Models = e.Models
	}
	n.Memory = e.Memory
}

// SetHomes says which endpoints are this instance's own part. It prefers them, so that
// instances whose knowledge of each other lags do not fill the same endpoints.
func (v *View) SetHomes(home func(id string) bool) {
	clear(v.homes)
	for id, n := range v.nodes {
		if n.home = home(id); n.home {
			v.homes[n.Service] = append(v.homes[n.Service], n)
		}
	}
	for _, h := range v.homes {
		sort.Slice(h, func(i, j int) bool { return h[i].ID < h[j].ID })
	}
}

// Describe takes what an endpoint says of itself: its slots, its models, its role,
// and whether it leaves. It leaves when it says so itself or the list does, whichever is first.
func (v *View) Describe(id string, slots int, models []Model, role string, leaving bool) {
	if n := v.nodes[id]; n != nil {
		n.Slots, n.Models, n.Role, n.leaving = max(slots, 1), models, role, leaving
	}
}

// Forget drops what was learned of an endpoint that was replaced under the same name.
func (v *View) Forget(id string) {
	if n := v.nodes[id]; n != nil {
		n.leaving, n.lost = false, false
		n.trust.Reset()
		n.outcomes, n.pace = health.Outcomes{}, health.Pace{}
		v.CacheLost(id)
	}
}

func (n *node) takesWork(now time.Time) bool { return n.stays() && !n.trust.Suspected(now) }

// tried tells that an endpoint that failed is being tried: besides what it had then, it is given one request at a
// time, until one succeeds.
func (n *node) tried() bool { return n.trust.OnTrial() && n.open > n.before }

func (n *node) stays() bool { return n.State == Live && !n.leaving && !n.ended }

// groupKey names the endpoints of a service, in one data centre or (empty) in all.
type groupKey struct{ service, dataCentre string }

func (v *View) keys(n *node) [2]groupKey {
	return [2]groupKey{{n.Service, ""}, {n.Service, n.DataCentre}}
}

func (v *View) link(n *node) {
	for _, k := range v.keys(n) {
		v.groups[k] = append(v.groups[k], n)
	}
}

func (v *View) unlink(n *node) {
	for _, k := range v.keys(n) {
		g := v.groups[k]
		i := slices.Index(g, n)
		v.groups[k] = slices.Delete(g, i, i+1)
	}
}

// Retain drops the endpoints that keep does not hold. Load of requests that are
// still open there is forgotten with them.
func (v *View) Retain(keep map[string]bool) {
	for id, n := range v.nodes {
		if !keep[id] {
			v.unlink(n)
			delete(v.nodes, id)
		}
	}
}

// Report takes an endpoint's load report.
func (v *View) Report(now time.Time, id string, l Load) {
	if n := v.nodes[id]; n != nil {
		n.report(now, l)
	}
}

// Sent records that a request went to an endpoint.
func (v *View) Sent(now time.Time, id string) {
	if n := v.nodes[id]; n != nil {
		n.note(now, 1)
	}
}

// Finished records the end of a request at an endpoint.
func (v *View) Finished(now time.Time, id string) {
	if n := v.nodes[id]; n != nil && n.open > 0 {
		n.note(now, -1)
		n.before = max(n.before-1, 0) // those that were there are taken to end first
	}
}

// Failed records that an endpoint failed a request; it is left out for a while.
func (v *View) Failed(now time.Time, id string) {
	n := v.nodes[id]
	if n == nil {
		return
	}
	n.before, n.failedAt = n.open, now
	n.trust.Failed(now, health.BreakerSettings{MinPause: v.set.SuspectFirst, MaxPause: v.set.SuspectMost})
	v.doubt.stale = true
}

// refusedPause is how long an endpoint that refused a request gets no other one. Requests last from 60 ms to some
// seconds, so a place is free again soon; without the pause a request that can go nowhere else tries the same full
// endpoints 150 times a second, and each try counts as one more arrival.
const refusedPause = 200 * time.Millisecond

// Refused records that an endpoint had no room for a request.
func (v *View) Refused(now time.Time, id string) {
	if n := v.nodes[id]; n != nil {
		n.fullTill = now.Add(refusedPause)
	}
}

// Lost records that an endpoint lost an answer: one that happens once is cleared by the next success,
// a second one in a row is a failure.
func (v *View) Lost(now time.Time, id string) {
	n := v.nodes[id]
	if n == nil {
		return
	}
	if n.lost {
		v.Failed(now, id)
	}
	n.lost = true
}

// Succeeded clears the suspicion of an endpoint.
func (v *View) Succeeded(id string) {
	if n := v.nodes[id]; n != nil {
		n.trust.Succeeded()
		n.lost = false
		v.doubt.stale = true
	}
}

// Suspected tells whether an endpoint is left out because of failures.
func (v *View) Suspected(now time.Time, id string) bool {
	n := v.nodes[id]
	return n != nil && n.trust.Suspected(now)
}

// Get returns an endpoint.
func (v *View) Get(id string) (Endpoint, bool) {
	n := v.nodes[id]
	if n == nil {
		return Endpoint{}, false
	}
	return n.described(), true
}

// described returns the endpoint with its state as it is believed.
func (n *node) described() Endpoint {
	e := n.Endpoint
	if n.leaving || n.ended {
		e.State = Leaving
	}
	return e
}

// Status is an endpoint with what is believed of it.
type Status struct {
	Endpoint
	Estimate, Open int
	Suspected      bool
}

// List returns all endpoints by id.
func (v *View) List(now time.Time) []Status {
	out := make([]Status, 0, len(v.nodes))
	for _, n := range v.nodes {
		out = append(out, Status{n.described(), n.estimate(now, v.set.ReportTTL), n.open, n.trust.Suspected(now)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Slots returns the slots of all endpoints of a service that take work.
func (v *View) Slots(now time.Time, service string) int {
	total := 0
	for _, n := range v.groups[groupKey{service, ""}] {
		if n.takesWork(now) {
			total += n.Slots
		}
	}
	return total
}

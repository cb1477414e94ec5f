package routing

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Errors of [View.Pick].
var (
	// ErrNone: no endpoint of the service serves the model, or all are gone.
	ErrNone = errors.New("routing: no eligible endpoint")
	// ErrFull: eligible endpoints exist, and all hold as much as they may.
	ErrFull = errors.New("routing: all eligible endpoints are full")
)

// Request describes what a pick is for.
type Request struct {
	Service, Model, Adapter, Version string
	// DataCentre is where the instance runs; endpoints elsewhere score worse.
	DataCentre string
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Avoid names endpoints that already failed this request.
	Avoid []string
	// Builds leaves out endpoints of some builds.
	Builds Builds
	// Away is a data centre to stay out of; empty for none.
	Away string
	// Tokens is the memory that the request needs at an engine, and Prompt the part of it that
	// has to be read first.
	Tokens, Prompt int
	// Within is the time in which the prompt has to be read, with those that are to be read before it; 0 for any.
	Within time.Duration
	// Copy asks for room for a copy of a request's memory: it takes no slot.
	Copy bool
	// Short tells that requests wait for room: copies leave more of it.
	Short bool
	// Moves tells that the request will go on where its copy is: the copy may take as much room as the request.
	Moves bool
	// Recovery marks work that was lost once; it may use the reserve.
	Recovery bool
	// Key breaks ties, so that equal requests meet the same endpoint.
	Key     string
	Weights Weights
}

// Builds restricts a choice by the builds of the endpoints. The zero value allows all.
type Builds struct {
	// Only is the build to use, Except one not to use; empty for none.
	Only, Except string
	// Among are the endpoints of Only to use; nil for all.
	Among map[string]bool
}

// Allow tells whether an endpoint may be chosen.
func (b *Builds) Allow(e *Endpoint) bool {
	if b.Except != "" && e.Build == b.Except {
		return false
	}
	return b.Only == "" || e.Build == b.Only && (b.Among == nil || b.Among[e.ID])
}

// Weights say how a deployment ranks endpoints. Scores are in units of full load:
// 1 is the worth of an idle endpoint against a full one.
type Weights struct {
	// Load is the weight of the estimated load per slot.
	Load float64
	// Cache is the weight of the cached share of the prompt.
	Cache float64
	// Remote is the cost of another data centre.
	Remote float64
	// Unread is the weight of the prompts that are still to be read at the endpoint, in
	// prompts as long as the request's own: each delays the request by its own reading time,
	// and the reading delays all that run there.
	Unread float64
	// Running is the weight of each request that runs at an engine, in prompts as above: reading the new
	// prompt delays every one of them.
	Running float64
	// Memory is the weight of the share of the engine's memory in use.
	Memory float64
	// Health is the cost of an endpoint that fails all of its requests while the others of its service fail none.
	Health float64
	// Pace is the cost of reading the own prompt once more, which an engine costs that takes twice as long.
	Pace float64
}

// DefaultWeights returns the weights used where a deployment names none.
func DefaultWeights() Weights { return Weights{Load: 1, Cache: 0.5, Remote: 0.1} }

// Decision is a chosen endpoint and why.
type Decision struct {
	Endpoint Endpoint
	Score    float64
	// Cached is the share of the prefixes believed to be in its cache.
	Cached float64
	// Candidates is how many endpoints were compared.
	Candidates int
}

// typicalPrompt bounds from below what counts as one prompt in a score, in tokens: short prompts
// do not make a long one that is being read look like a hundred.
const typicalPrompt = 1000

// attemptsPerChoice bounds the draws for each candidate wanted.
const attemptsPerChoice = 3

// Pick chooses an endpoint. It samples; when the sample holds no eligible endpoint
// it looks at the whole group before it says that there is none.
func (v *View) Pick(now time.Time, r *Request, rnd *rand.Rand) (Decision, error) {
	group := v.groups[groupKey{r.Service, ""}]
	if len(group) == 0 {
		return Decision{}, ErrNone
	}
	p := picker{v: v, now: now, r: r}
	p.considerCacheHolders()
	if prompt, ok := r.prompt(); ok && v.set.ByPrompt {
		p.likely(group, prompt, v.set.Choices)
	} else {
		p.sample(v.groups[groupKey{r.Service, r.DataCentre}], 1, rnd)
		p.sample(v.homes[r.Service], v.set.HomeChoices, rnd)
		p.sample(group, v.set.Choices-1, rnd)
	}
	if p.best == nil {
		p.all(group, rnd)
	}
	if p.best == nil && p.unknown && !p.known {
		p.unknownToo = true
		p.all(group, rnd)
	}
	if p.best == nil && v.set.LastResort && !p.fullEngine {
		p.suspectsToo = true
		p.all(group, rnd)
	}
	if p.best == nil {
		if p.full {
			return Decision{}, ErrFull
		}
		return Decision{}, ErrNone
	}
	return Decision{p.best.Endpoint, p.score, p.cached, p.n}, nil
}

// all compares all members of a group, beginning anywhere.
func (p *picker) all(group []*node, rnd *rand.Rand) {
	start := rnd.IntN(len(group))
	for i := range group {
		p.consider(group[(start+i)%len(group)])
	}
}

// sample compares n random members of a group.
func (p *picker) sample(group []*node, n int, rnd *rand.Rand) {
	if len(group) == 0 {
		return
	}
	want := p.n + n
	for i := 0; p.n < want && i < n*attemptsPerChoice; i++ {
		p.consider(group[rnd.IntN(len(group))])
	}
}

// picker is one pick in progress.
type picker struct {
	v             *View
	now           time.Time
	r             *Request
	best          *node
	score, cached float64
	tie           uint64
	n             int
	full          bool
	suspectsToo   bool
	// fullEngine is set when an engine that takes work has no room: requests wait for it, and suspected engines are not tried.
	fullEngine bool
	// unknown is set when an engine was left out since it is not known what others have placed there, known when that is known of
	// another one. unknownToo takes such engines as well.
	unknown, known, unknownToo bool
	// holders is set while the engines that keep the prompt are compared: they are eligible though nothing else is known of them.
	holders bool
}

func (p *picker) considerCacheHolders() {
	if p.r.Weights.Cache == 0 {
		return
	}
	for i := len(p.r.Prefixes) - 1; i >= 0; i-- {
		e := p.v.cache.entries[p.r.Prefixes[i]]
		if e == nil || e.common {
			continue
		}
		p.holders = true
		for j := range e.holders {
			if n := p.v.nodes[e.holders[j].endpoint]; n != nil && n.Service == p.r.Service {
				p.consider(n)
			}
		}
		p.holders = false
		return
	}
}

func (p *picker) consider(n *node) {
	if n == p.best || !p.eligible(n) {
		return
	}
	p.n++
	cached := p.v.cached(p.now, n.ID, p.r.Prefixes)
	score := p.rank(n, cached)
	if p.best == nil || score < p.score || score == p.score && p.tieOf(n) > p.tie {
		p.best, p.score, p.cached, p.tie = n, score, cached, p.tieOf(n)
	}
}

func (p *picker) rank(n *node, cached float64) float64 {
	w := &p.r.Weights
	score := w.Load*float64(p.load(n))/float64(n.Slots) - w.Cache*cached
	if n.DataCentre != p.r.DataCentre {
		score += w.Remote
	}
	if n.home {
		score -= p.v.set.HomeWorth
	}
	if n.othersDoubt(p.now) > 0 || p.v.doubted(p.now, n) {
		score += p.v.set.Doubt
	}
	if w.Health > 0 {
		score += w.Health * p.v.excess(p.now, n)
	}
	if n.Memory > 0 {
		score += p.rankEngine(n)
	}
	return score
}

// rankEngine is what prompts to be read, requests that run and memory in use cost. All of it takes longer at a slow
// engine, and so does the own prompt.
func (p *picker) rankEngine(n *node) float64 {
	w := &p.r.Weights
	pace := 1.0
	if w.Pace > 0 {
		pace = n.paceOf(p.now)
	}
	unread := float64(n.unread(p.now)) / float64(max(p.r.Prompt, typicalPrompt))
	score := w.Unread*unread*pace + w.Pace*(pace-1)
	if !n.known(p.now) {
		score += p.v.set.Unknown
	}
	score += w.Running * float64(p.load(n)) * pace
	return score + w.Memory*float64(n.used(p.now))/float64(n.Memory)
}

// load returns the requests believed to be at an endpoint.
func (p *picker) load(n *node) int { return n.estimate(p.now, p.v.set.ReportTTL) }

func (p *picker) tieOf(n *node) uint64 {
	return xxhash.Sum64String(p.r.Key) ^ xxhash.Sum64String(n.ID)
}

// readingTime returns how long an engine is expected to take to read the request's prompt and those that are to be read before it; 0
// where that is not known.
func (p *picker) readingTime(n *node) time.Duration {
	usual, known := p.v.usualOf(n.Service).Expected(n.unread(p.now) + p.r.Prompt)
	if !known {
		return 0
	}
	return time.Duration(n.paceOf(p.now) * float64(usual))
}

// eligible is the filter: state, suspicion, earlier failures, model, room.
func (p *picker) eligible(n *node) bool {
	takes := n.takesWork(p.now) && !p.v.lost(p.now, n) || p.suspectsToo && n.stays()
	if !takes || !n.serves(p.r.Model, p.r.Adapter, p.r.Version) || !p.r.Builds.Allow(&n.Endpoint) {
		return false
	}
	if p.r.Away != "" && n.DataCentre == p.r.Away {
		return false
	}
	for _, a := range p.r.Avoid {
		if a == n.ID {
			return false
		}
	}
	if p.r.Copy && n.othersDoubt(p.now) > doubtersMost {
		return false // a copy there would be given up at once
	}
	if n.Memory > 0 {
		if !p.unknownToo && !p.holders && !p.spare() && !n.known(p.now) {
			p.unknown = true
			return false
		}
		p.known = true
	}
	if p.isFull(n) {
		p.full = true
		p.fullEngine = p.fullEngine || n.Memory > 0 && !n.tried()
		return false
	}
	return true
}

// spare tells whether the request is for a copy while nobody waits for room: what is not known then has room, most likely.
func (p *picker) spare() bool { return p.r.Copy && (!p.r.Short || p.r.Moves) }

// isFull tells whether an endpoint has no room for the request: too little memory, too many prompts to be read before its own, or too
// many requests.
func (p *picker) isFull(n *node) bool {
	memory := p.v.set.MemoryFactor
	switch {
	case !p.r.Copy || p.r.Moves:
	case p.r.Short:
		memory = p.v.set.ShortCopyFactor
	default:
		memory = p.v.set.CopyFactor
	}
	if n.Memory > 0 && float64(n.used(p.now)+p.r.Tokens) > memory*float64(n.Memory) {
		return true
	}
	if p.r.Copy {
		return false
	}
	if p.r.Within > 0 && n.Memory > 0 && p.readingTime(n) > p.r.Within {
		return true
	}
	if p.now.Before(n.fullTill) || n.tried() && !p.suspectsToo {
		return true
	}
	factor := p.v.set.QueueFactor
	if p.r.Recovery {
		factor = p.v.set.RecoveryFactor
	}
	return float64(p.load(n)) >= factor*float64(n.Slots)
}

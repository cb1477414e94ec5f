package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/route"
)

// Errors of [View.Pick].
var (
	// ErrNoEndpoint is returned if no endpoint of the service is able to take the request: none
	// serves the model, or all that do are excluded.
	ErrNoEndpoint = errors.New("routing: no eligible endpoint")
	// ErrAllLeaving is the [ErrNoEndpoint] for a service whose endpoints are all leaving.
	ErrAllLeaving = fmt.Errorf("%w: all are leaving", ErrNoEndpoint)
	// ErrFull is returned if eligible endpoints exist, but none has room.
	ErrFull = errors.New("routing: all eligible endpoints are full")
)

// Request describes the request that an endpoint is picked for.
type Request struct {
	Service, Model, Adapter, Version string
	// DataCentre is where the instance runs; endpoints in other data centres score worse.
	DataCentre string
	// Prefixes are the hashes of the prompt's prefixes, shortest first; the last one stands for the
	// whole prompt.
	Prefixes []uint64
	// Avoid lists the IDs of endpoints that already failed this request.
	Avoid []string
	// Builds restricts the choice to endpoints of some builds.
	Builds BuildFilter
	// AnsweredSince restricts it to endpoints that have answered since then; zero for no restriction.
	AnsweredSince time.Time
	// ExcludeDataCentre is a data centre whose endpoints are not eligible; empty for none.
	ExcludeDataCentre string
	// Tokens is the memory that the request needs at an engine. PromptTokens is the part of it that
	// has to be prefilled first.
	Tokens, PromptTokens int
	// PrefillWithin is the time within which the prompt has to be prefilled, including those that
	// are ahead of it; 0 for no limit.
	PrefillWithin time.Duration
	// OutputWithin is the time from the end of the prefill until the deadline, if the prompt is the only
	// one at the engine; 0 if unknown.
	OutputWithin time.Duration
	// Priority is the order among the requests of the service. Of ranked requests, the more urgent
	// ones find room where others find none.
	Priority route.Priority
	// Copy asks for room for a copy of a request's memory, which takes no slot.
	Copy bool
	// RequestsWaiting reports that requests wait for room: copies then leave more of it free.
	RequestsWaiting bool
	// WillMoveToCopy reports that the request will continue where its copy is. The copy may then
	// take as much room as the request.
	WillMoveToCopy bool
	// Recovery marks work that was lost once. It may use the reserve up to
	// [Settings.RecoveryFactor].
	Recovery bool
	// Key breaks ties, so that equal requests go to the same endpoint.
	Key     string
	Weights Weights
}

// BuildFilter restricts a choice by the builds of the endpoints. The zero value allows all.
type BuildFilter struct {
	// Only is the build to use, Except a build not to use; empty for none.
	Only, Except string
	// Among are the IDs of the endpoints of Only to use; nil for all.
	Among map[string]bool
}

// Allows reports whether an endpoint may be picked.
func (b *BuildFilter) Allows(e *Endpoint) bool {
	if b.Except != "" && e.Build == b.Except {
		return false
	}
	return b.Only == "" || e.Build == b.Only && (b.Among == nil || b.Among[e.ID])
}

// Weights set how a deployment ranks endpoints. Scores are in units of full load: with a Load
// weight of 1, an idle and a full endpoint differ by 1. The lowest score wins.
type Weights struct {
	// Load is the weight of the estimated load per slot.
	Load float64
	// Cache is the weight of the cached share of the prompt, which lowers the score.
	Cache float64
	// Remote is the penalty for another data centre.
	Remote float64
	// PendingPrefill is the weight of the prompts still to be prefilled at the endpoint, in prompts
	// as long as the request's own. Each of them delays the request by its own prefill time, and
	// prefilling delays everything that runs there.
	PendingPrefill float64
	// Running is the weight of each request that runs at an engine, in prompts as for
	// PendingPrefill: prefilling the new prompt delays every one of them.
	Running float64
	// Memory is the weight of the share of the engine's memory in use.
	Memory float64
	// Health is the penalty for an endpoint that fails all of its requests while the others of its
	// service fail none.
	Health float64
	// Pace is the penalty for an engine that takes twice as long as usual: the cost of prefilling
	// the request's own prompt once more.
	Pace float64
}

// DefaultWeights returns the weights of deployments that set none.
func DefaultWeights() Weights { return Weights{Load: 1, Cache: 0.5, Remote: 0.1} }

// Decision is a picked endpoint and the reasons for it.
type Decision struct {
	Endpoint Endpoint
	Score    float64
	// Cached is the share of the prefixes that are believed to be in its cache.
	Cached float64
	// Candidates is how many eligible endpoints were compared.
	Candidates int
	// Limits is what the endpoint stated last.
	Limits admission.Statement
}

// minPromptTokens is the least number of tokens that counts as one prompt in a score. Otherwise one
// long pending prompt would count as a hundred prompts for a request with a short one.
const minPromptTokens = 1000

// drawsPerCandidate bounds the random draws for each candidate wanted.
const drawsPerCandidate = 3

// Pick chooses an endpoint. It compares a sample; if that has no eligible endpoint, it scans the
// whole group. Engines with unknown placements are used only if none is known, and suspected
// endpoints only as [Settings.FallBackToSuspected] allows. It returns [ErrNoEndpoint],
// [ErrAllLeaving] or [ErrFull] if there is none.
func (v *View) Pick(now time.Time, r *Request, rnd *rand.Rand) (Decision, error) {
	group := v.groups[groupKey{r.Service, ""}]
	if len(group) == 0 {
		return Decision{}, ErrNoEndpoint
	}
	p := picker{v: v, now: now, r: r}
	p.considerCacheHolders()
	if prompt, ok := r.promptHash(); ok && v.settings.ByPrompt {
		p.considerByPrompt(group, prompt, v.settings.Choices)
	} else {
		p.considerSample(v.groups[groupKey{r.Service, r.DataCentre}], 1, rnd)
		p.considerSample(v.subsets[r.Service], v.settings.SubsetChoices, rnd)
		p.considerSample(group, v.settings.Choices-1, rnd)
	}
	if p.best == nil {
		p.considerAll(group, rnd)
	}
	if p.best == nil && p.skippedUnknown && !p.sawKnown {
		p.allowUnknown = true
		p.considerAll(group, rnd)
	}
	if p.best == nil && v.settings.FallBackToSuspected && !p.sawFullEngine {
		p.allowSuspected = true
		p.considerAll(group, rnd)
	}
	if p.best == nil {
		switch {
		case p.sawFull:
			return Decision{}, ErrFull
		case !p.sawStaying:
			return Decision{}, ErrAllLeaving
		}
		return Decision{}, ErrNoEndpoint
	}
	return Decision{p.best.Endpoint, p.bestScore, p.bestCached, p.compared, v.limitsOf(now, p.best)}, nil
}

// considerAll compares all members of a group, from a random start.
func (p *picker) considerAll(group []*node, rnd *rand.Rand) {
	start := rnd.IntN(len(group))
	for i := range group {
		p.consider(group[(start+i)%len(group)])
	}
}

// considerSample compares up to n random members of a group.
func (p *picker) considerSample(group []*node, n int, rnd *rand.Rand) {
	if len(group) == 0 {
		return
	}
	want := p.compared + n
	for i := 0; p.compared < want && i < n*drawsPerCandidate; i++ {
		p.consider(group[rnd.IntN(len(group))])
	}
}

// picker is the state of one pick in progress.
type picker struct {
	v                     *View
	now                   time.Time
	r                     *Request
	best                  *node
	bestScore, bestCached float64
	bestTie               uint64
	compared              int
	sawFull               bool
	sawStaying            bool // an endpoint is not leaving
	allowSuspected        bool
	// sawFullEngine is set when an engine that takes work has no room. Requests then wait for it,
	// and suspected engines are not tried.
	sawFullEngine bool
	// skippedUnknown is set when an engine was skipped because the placements of other instances
	// there are not known; sawKnown when they are known for another engine. allowUnknown includes
	// such engines.
	skippedUnknown, sawKnown, allowUnknown bool
	// consideringHolders is set while the engines that cache the prompt are compared. They are
	// eligible even if the placements of other instances there are not known.
	consideringHolders bool
}

// considerCacheHolders compares the endpoints that hold the longest prefix in the cache index. It
// skips widely held prefixes.
func (p *picker) considerCacheHolders() {
	if p.r.Weights.Cache == 0 {
		return
	}
	for i := len(p.r.Prefixes) - 1; i >= 0; i-- {
		e := p.v.cache.entries[p.r.Prefixes[i]]
		if e == nil || e.widelyHeld {
			continue
		}
		p.consideringHolders = true
		for j := range e.holders {
			if n := p.v.nodes[e.holders[j].endpoint]; n != nil && n.Service == p.r.Service {
				p.consider(n)
			}
		}
		p.consideringHolders = false
		return
	}
}

func (p *picker) consider(n *node) {
	if n == p.best || !p.eligible(n) {
		return
	}
	p.compared++
	cached := p.v.cachedShare(p.now, n.ID, p.r.Prefixes)
	score := p.scoreOf(n, cached)
	if p.best == nil || score < p.bestScore || score == p.bestScore && p.tieBreak(n) > p.bestTie {
		p.best, p.bestScore, p.bestCached, p.bestTie = n, score, cached, p.tieBreak(n)
	}
}

// scoreOf returns the score of an endpoint; lower is better.
func (p *picker) scoreOf(n *node, cached float64) float64 {
	w := &p.r.Weights
	score := w.Load*float64(p.load(n))/float64(n.Slots) - w.Cache*cached
	if n.DataCentre != p.r.DataCentre {
		score += w.Remote
	}
	if n.inSubset {
		score -= p.v.settings.SubsetBonus
	}
	if n.suspectedByOthers(p.now) > 0 || p.v.inDegradedDataCentre(p.now, n) {
		score += p.v.settings.SuspicionPenalty
	}
	if n.silence.timedOutLately(p.now) {
		score += p.v.settings.SilencePenalty
	}
	if w.Health > 0 {
		score += w.Health * p.v.excessFailures(p.now, n)
	}
	if n.Memory > 0 {
		score += p.engineScore(n)
	}
	return score
}

// engineScore is the cost of pending prefills, running requests and memory in use. A slow engine
// takes longer for all of it, and for the request's own prompt.
func (p *picker) engineScore(n *node) float64 {
	w := &p.r.Weights
	pace, runPace := 1.0, 1.0
	if w.Pace > 0 {
		pace, runPace = p.scoredPace(n)
	}
	pendingPrompts := float64(n.prefillAhead(p.now, p.r)) / float64(max(p.r.PromptTokens, minPromptTokens))
	score := w.PendingPrefill*pendingPrompts*pace + w.Pace*(runPace-1)
	if !n.othersPlacedKnown(p.now) {
		score += p.v.settings.UnknownLoadPenalty
	}
	score += w.Running * float64(p.load(n)) * runPace
	return score + w.Memory*float64(n.usedMemory(p.now))/float64(n.Memory)
}

// load returns the number of requests believed to be at an endpoint.
func (p *picker) load(n *node) int { return n.estimate(p.now, p.v.settings.ReportTTL) }

func (p *picker) tieBreak(n *node) uint64 {
	return xxhash.Sum64String(p.r.Key) ^ xxhash.Sum64String(n.ID)
}

// prefillTime returns how long an engine is expected to take for the prompts that are ahead and the
// request's own; 0 if unknown.
func (p *picker) prefillTime(n *node) time.Duration {
	usual, known := p.v.usualPrefillOf(n.Service).Expected(n.prefillAhead(p.now, p.r) + p.r.PromptTokens)
	if !known {
		return 0
	}
	return time.Duration(n.effectivePace(p.now) * float64(usual))
}

// tolerableDelay is how many times as long as usual the prefill of a prompt may take that is never on time.
const tolerableDelay = 1.25

// PrefillWithin returns [Request.PrefillWithin] for a prompt. left is the time in which it has to be prefilled
// now, and whole that time at its arrival. A prompt that takes longer than whole by itself finds room where
// little is ahead of it: waiting would not make it faster, and the estimate of its time can only be corrected
// by the result.
func (v *View) PrefillWithin(service string, promptTokens int, left, whole time.Duration) time.Duration {
	usual, _ := v.ExpectedPrefillTime(service, promptTokens)
	if usual = time.Duration(tolerableDelay * float64(usual)); usual > whole && left > 0 {
		return max(left, usual)
	}
	return left
}

// eligible filters by state, pauses, suspicion, earlier failures, model, build, data centre and room.
func (p *picker) eligible(n *node) bool {
	p.sawStaying = p.sawStaying || !n.leaving()
	if n.inService() && (n.cooldown.Active(p.now) || n.returnInProgress()) {
		p.sawFull = true
		return false
	}
	takesWork := n.takesWork(p.now) && !p.v.presumedDown(p.now, n) || p.allowSuspected && n.inService()
	if !takesWork || !n.serves(p.r.Model, p.r.Adapter, p.r.Version) || !p.r.Builds.Allows(&n.Endpoint) {
		return false
	}
	if n.silence.answeredAt.Before(p.r.AnsweredSince) {
		return false
	}
	if p.r.ExcludeDataCentre != "" && n.DataCentre == p.r.ExcludeDataCentre {
		return false
	}
	for _, a := range p.r.Avoid {
		if a == n.ID {
			return false
		}
	}
	if p.r.Copy && n.suspectedByOthers(p.now) > maxSuspectingPeers {
		return false // the caller would drop a copy there at once
	}
	if n.Memory > 0 {
		if !p.allowUnknown && !p.consideringHolders && !p.mayUseUnknown() && !n.othersPlacedKnown(p.now) {
			p.skippedUnknown = true
			return false
		}
		p.sawKnown = true
	}
	if p.isFull(n) || p.now.Before(n.claimableAt) && !p.r.Recovery {
		p.sawFull = true
		p.sawFullEngine = p.sawFullEngine || n.Memory > 0 && !n.trialInProgress()
		return false
	}
	return true
}

// mayUseUnknown reports whether the request is for a copy and need not leave room for waiting
// requests. An engine with unknown placements then most likely has room.
func (p *picker) mayUseUnknown() bool {
	return p.r.Copy && (!p.r.RequestsWaiting || p.r.WillMoveToCopy)
}

// isFull reports whether an endpoint has no room for the request.
func (p *picker) isFull(n *node) bool { return p.boundReached(n) != BoundNone }

// boundReached returns the first bound that keeps the request from an endpoint.
func (p *picker) boundReached(n *node) Bound {
	memory := p.v.settings.MemoryFactor * p.r.memoryShare()
	if p.r.Copy {
		memory = p.copyFactor()
	}
	if n.Memory > 0 && float64(n.usedMemory(p.now)+p.r.Tokens) > memory*float64(n.Memory) {
		return BoundMemory
	}
	if p.r.Copy {
		return BoundNone
	}
	if p.r.PrefillWithin > 0 && n.Memory > 0 && p.prefillTime(n) > p.r.prefillLimit() {
		return BoundPrefill
	}
	if p.now.Before(n.fullUntil) || n.trialInProgress() && !p.allowSuspected {
		return BoundPause
	}
	factor := p.v.settings.QueueFactor
	if p.r.Priority.Ranked() {
		factor = p.r.queueFactor()
	}
	if p.r.Recovery {
		factor = p.v.settings.RecoveryFactor
	}
	if float64(p.load(n)) >= factor*float64(n.Slots) {
		return BoundSlots
	}
	if p.endangersDeadline(n) {
		return BoundDeadline
	}
	return BoundNone
}

// Package placement holds what this instance knows of the endpoints and lets many requests choose at
// once. The decisions are those of package routing.
//
// Failure modes: the list of endpoints lags, so a chosen one may be gone; it refuses or can't be
// reached, and the caller chooses again without it. An endpoint that ended is remembered as gone until
// the list drops it.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agateway/agateway/core/routing"
)

// Placement is the endpoints as this instance knows them. It is safe for concurrent use.
type Placement struct {
	mu   sync.Mutex
	view *routing.View
	rnd  *rand.Rand
}

// New returns an empty placement.
func New(s routing.Settings, seed uint64) *Placement {
	return &Placement{view: routing.NewView(s), rnd: rand.New(rand.NewPCG(seed, seed))}
}

// SetEndpoints takes the list of endpoints; those it does not hold are dropped.
func (p *Placement) SetEndpoints(list []routing.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[string]bool, len(list))
	for _, e := range list {
		keep[e.ID] = true
		p.view.Upsert(e)
	}
	p.view.Retain(keep)
}

// Pick chooses an endpoint.
func (p *Placement) Pick(r *routing.Request) (routing.Decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Pick(time.Now(), r, p.rnd)
}

// Likely returns the n endpoints at which the prompt of a request was most likely placed.
func (p *Placement) Likely(r *routing.Request, n int) []routing.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.LikelyEndpoints(time.Now(), r, n)
}

// Get returns an endpoint.
func (p *Placement) Get(id string) (routing.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Get(id)
}

// InUse tells whether requests of this instance, or copies for them, are at an endpoint.
func (p *Placement) InUse(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.InUse(id)
}

// Known tells whether the list holds an endpoint.
func (p *Placement) Known(id string) bool {
	_, ok := p.Get(id)
	return ok
}

// Sent records a request to an endpoint, and what it takes there.
func (p *Placement) Sent(id string, w routing.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Sent(time.Now(), id)
	p.view.Place(id, w)
}

// Finished records the end of a request at an endpoint, and gives back what it took.
func (p *Placement) Finished(id string, w routing.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Finished(time.Now(), id)
	p.view.Release(id, w)
}

// Place records what a request takes at an endpoint without running there, such as a copy of its
// memory.
func (p *Placement) Place(id string, w routing.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Place(id, w)
}

// Release gives back what [Placement.Place] or [Placement.Sent] recorded, or a part of it.
func (p *Placement) Release(id string, w routing.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Release(id, w)
}

// Report takes an endpoint's own word on its load.
func (p *Placement) Report(id string, running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Report(time.Now(), id, routing.Load{Running: running, Queued: waiting})
}

// Failed records that an endpoint failed a request.
func (p *Placement) Failed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Failed(time.Now(), id)
}

// Refused records that an endpoint had no room for a request.
func (p *Placement) Refused(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Refused(time.Now(), id)
}

// Lost records that an endpoint lost an answer.
func (p *Placement) Lost(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.AnswerLost(time.Now(), id)
}

// Succeeded clears the suspicion of an endpoint.
func (p *Placement) Succeeded(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Succeeded(id)
}

// Outcome records how a request ended at an endpoint: answered, or failed or lost with its answer.
func (p *Placement) Outcome(id string, good bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if good {
		p.view.CountSuccess(time.Now(), id)
	} else {
		p.view.CountFailure(time.Now(), id)
	}
}

// Read records how long an engine took to read prompt tokens.
func (p *Placement) Read(id string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.ObservePrefill(time.Now(), id, tokens, took)
}

// Reading records for how long an engine has been reading prompt tokens.
func (p *Placement) Reading(id string, tokens int, passed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.ObserveOngoingPrefill(time.Now(), id, tokens, passed)
}

// Unread returns how many prompt tokens are believed to be read at an engine before those of a new request.
func (p *Placement) Unread(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.PendingPrefill(time.Now(), id)
}

// At returns what is believed to be placed at an endpoint, by all instances.
func (p *Placement) At(id string) routing.Placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.PlacedAt(time.Now(), id)
}

// Expected returns how long the engines of a service usually take to read some prompt tokens; false where that is not known.
func (p *Placement) Expected(service string, tokens int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.ExpectedPrefillTime(service, tokens)
}

// Forget drops what was learned of an endpoint that started again and is not listed anew yet.
func (p *Placement) Forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Forget(id)
}

// Ended records that this incarnation of an endpoint is gone: its address answered for another one.
func (p *Placement) Ended(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Ended(time.Now(), id)
}

// Stored records that an endpoint has read a prompt.
func (p *Placement) Stored(id string, prompt uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.CacheStored(time.Now(), id, prompt)
}

// Holds tells whether any endpoint is believed to have read a prompt.
func (p *Placement) Holds(prompt uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.HoldsPrefix(time.Now(), prompt)
}

// Told returns what other instances are told: what this one has placed, and what it found out about endpoints.
func (p *Placement) Told() routing.PeerReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return routing.PeerReport{
		Placed: p.view.OwnPlacements(), Suspects: p.view.Suspects(now), Ended: p.view.RecentlyEnded(now),
		Outcomes: p.view.Outcomes(now), Paces: p.view.Paces(now),
	}
}

// SetPeer takes what another instance told; the zero value forgets the instance.
func (p *Placement) SetPeer(peer string, t routing.PeerReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.SetPeerReport(time.Now(), peer, t)
}

// SetOwned says of which endpoints this instance hears all that others place there.
func (p *Placement) SetOwned(owned func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.SetOwned(owned)
}

// Claim grants or refuses a claim at an engine, of another instance or with an empty name of this one; known is false for an engine
// that is not listed here.
func (p *Placement) Claim(id, peer string, c routing.Claim) (granted, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Claim(time.Now(), id, peer, c)
}

// Summary returns what this instance knows of an endpoint that it owns, for another instance that asks.
func (p *Placement) Summary(id, asking string, prompt uint64) (routing.Summary, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Summary(time.Now(), id, asking, prompt)
}

// Learn takes an owner's summary of an endpoint.
func (p *Placement) Learn(s *routing.Summary, prompt uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.ApplySummary(time.Now(), s, prompt)
}

// Usable tells whether an endpoint is listed, does not leave, and is suspected neither by this instance nor
// by several others.
func (p *Placement) Usable(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Usable(time.Now(), id)
}

// Nearby returns how many endpoints there are in the data centre of an endpoint, and how many of them failed last within a
// time.
func (p *Placement) Nearby(id string, from, to time.Time) (failed, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.FailuresInDataCentre(id, from, to)
}

// List returns all endpoints with what is believed of them.
func (p *Placement) List() []routing.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.List(time.Now())
}

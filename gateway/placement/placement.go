// Package placement holds what this instance knows about the endpoints, and chooses endpoints for
// concurrent requests. Package routing makes the decisions; this package adds the lock, the clock
// and the random numbers.
//
// Failure modes: the list of endpoints lags, so a chosen endpoint may be gone. It then refuses or
// can't be reached, and the caller chooses again without it. An endpoint that was replaced is
// remembered as gone until the list drops it.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
)

// Placement is this instance's view of the endpoints. It is safe for concurrent use.
type Placement struct {
	mu     sync.Mutex
	view   *routing.View
	random *rand.Rand
	// onDeparture is called for each event of the view; see [Placement.OnDeparture].
	onDeparture func(routing.DepartureEvent)
}

// New returns a Placement without endpoints. seed seeds the random choices.
func New(s routing.Settings, seed uint64) *Placement {
	return &Placement{view: routing.NewView(s), random: rand.New(rand.NewPCG(seed, seed))}
}

// OnDeparture sets a function that is called, without the lock, each time that an endpoint begins or
// ceases to count as leaving because of its answers. OnDeparture must be called before any other
// method.
func (p *Placement) OnDeparture(call func(routing.DepartureEvent)) { p.onDeparture = call }

// unlockAndReport releases the lock and reports the departures that were recorded under it.
func (p *Placement) unlockAndReport() {
	events := p.view.TakeDepartureEvents()
	p.mu.Unlock()
	if p.onDeparture == nil {
		return
	}
	for i := range events {
		p.onDeparture(events[i])
	}
}

// SetEndpoints replaces the list of endpoints. Endpoints that are not in the list are dropped.
func (p *Placement) SetEndpoints(list []routing.Endpoint) {
	p.mu.Lock()
	defer p.unlockAndReport()
	now := time.Now()
	keep := make(map[string]bool, len(list))
	for _, e := range list {
		keep[e.ID] = true
		p.view.Upsert(e)
		p.view.CompareEntry(now, e.ID)
	}
	p.view.Retain(keep)
}

// Update removes some endpoints, and adds or updates others.
func (p *Placement) Update(changed []routing.Endpoint, removed []string) {
	p.mu.Lock()
	defer p.unlockAndReport()
	for _, id := range removed {
		p.view.Remove(id)
	}
	now := time.Now()
	for _, e := range changed {
		p.view.Upsert(e)
		p.view.CompareEntry(now, e.ID)
	}
}

// SetMemory sets the memory of all endpoints of a service; see [routing.Endpoint.Memory].
func (p *Placement) SetMemory(service string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.SetMemory(service, tokens)
}

// Len returns the number of endpoints.
func (p *Placement) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Len()
}

// Pick chooses an endpoint. The error is [routing.ErrNoEndpoint] when no endpoint is eligible,
// [routing.ErrAllLeaving] when all of the service are leaving, and [routing.ErrFull] when eligible
// endpoints exist but all are full.
func (p *Placement) Pick(r *routing.Request) (routing.Decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Pick(time.Now(), r, p.random)
}

// Sample returns up to n random endpoints in service, without those in except.
func (p *Placement) Sample(n int, except map[string]bool) []routing.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Sample(n, except, p.random)
}

// Likely returns the n endpoints at which the prompt of a request was most likely placed, the most
// likely first. It returns all endpoints when the choice does not go by the prompt, and none for a
// request without a prompt.
func (p *Placement) Likely(r *routing.Request, n int) []routing.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.LikelyEndpoints(time.Now(), r, n)
}

// Get returns an endpoint; false when it is not listed.
func (p *Placement) Get(id string) (routing.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Get(id)
}

// InUse reports whether requests of this instance, or copies for them, are placed at an endpoint.
func (p *Placement) InUse(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.InUse(id)
}

// ServiceSize returns the number of endpoints of a service.
func (p *Placement) ServiceSize(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.ServiceSize(service)
}

// IsListed reports whether an endpoint is in the list.
func (p *Placement) IsListed(id string) bool {
	_, ok := p.Get(id)
	return ok
}

// Sent records that a request was sent to an endpoint, and what it occupies there.
func (p *Placement) Sent(id string, placed routing.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Sent(time.Now(), id)
	p.view.Place(id, placed)
}

// Finished records the end of a request at an endpoint, and releases what it occupied.
func (p *Placement) Finished(id string, placed routing.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Finished(time.Now(), id)
	p.view.Release(id, placed)
}

// Place records what a request occupies at an endpoint without running there, such as the memory of
// a copy.
func (p *Placement) Place(id string, placed routing.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Place(id, placed)
}

// Release releases all or part of what [Placement.Place] or [Placement.Sent] recorded.
func (p *Placement) Release(id string, placed routing.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Release(id, placed)
}

// RecordLoad records the load that an endpoint reports: its running and its waiting requests.
func (p *Placement) RecordLoad(id string, running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Report(time.Now(), id, routing.Load{Running: running, Queued: waiting})
}

// RecordLimits records the limits that an answer of an endpoint states, or that it states none. It
// returns the limits known before, whether they have changed, and how many endpoints state limits.
func (p *Placement) RecordLimits(id string, l admission.Limits) (before admission.Limits, changed bool, limited int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, changed = p.view.RecordLimits(time.Now(), id, l)
	if changed {
		limited = p.view.LimitedEndpoints()
	}
	return before, changed, limited
}

// RecordLeaving records that an answer of an endpoint says that it is leaving.
func (p *Placement) RecordLeaving(id string) {
	p.mu.Lock()
	defer p.unlockAndReport()
	p.view.RecordLeaving(time.Now(), id)
}

// Withholds reports whether requests are withheld from an endpoint, and why.
func (p *Placement) Withholds(id string) routing.Withholding {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Withholds(time.Now(), id)
}

// WithholdsProbe reports whether probes are withheld from an endpoint, and why.
func (p *Placement) WithholdsProbe(id string) routing.Withholding {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.WithholdsProbe(time.Now(), id)
}

// RefusedFor records that an endpoint refused a request and wants no other one of this instance for a
// time. It returns how many endpoints pause now.
func (p *Placement) RefusedFor(id string, pause time.Duration) (paused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.view.RefusedFor(now, id, pause, p.random.Float64())
	return p.view.CoolingDown(now)
}

// CooldownEnd returns when the first pause of an endpoint of a service ends, if all of them asked for
// one.
func (p *Placement) CooldownEnd(service string) (end time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.CooldownEnd(time.Now(), service)
}

// Failed records that an endpoint failed a request. The endpoint is avoided for a while.
func (p *Placement) Failed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Failed(time.Now(), id)
}

// Silent records that an endpoint fell silent by itself though its connections stand. It is avoided for a
// while, or until it answers.
func (p *Placement) Silent(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.view.Silent(now, id) {
		p.view.CountFailure(now, id)
	}
}

// Answered records a sign of life of an endpoint that was silent.
func (p *Placement) Answered(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Answered(time.Now(), id)
}

// ForgetFailures drops the suspicions of all endpoints that failed this instance since a time.
func (p *Placement) ForgetFailures(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.ForgetFailures(since)
}

// Refused records that an endpoint had no room for a request.
func (p *Placement) Refused(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Refused(time.Now(), id)
}

// Lost records that an endpoint lost an answer. A second loss in a row counts as a failure.
func (p *Placement) Lost(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.AnswerLost(time.Now(), id)
}

// AwaitAnswer records that a request was sent to an endpoint that is answered as a whole, until ended is
// called.
func (p *Placement) AwaitAnswer(id string) (ended func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.AwaitAnswer(time.Now(), id)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.view.AnswerEnded(id)
	}
}

// TimedOut records that an endpoint had not answered a request by its deadline. It is no failure if the
// endpoint shares the silence with others; shared reports that.
func (p *Placement) TimedOut(id string, sentAt time.Time) (shared bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if shared = p.view.AnswerTimedOut(now, id, sentAt); !shared {
		p.view.CountFailure(now, id)
	}
	return shared
}

// Succeeded clears the suspicion of an endpoint.
func (p *Placement) Succeeded(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Succeeded(id)
	p.view.Served(time.Now(), id)
}

// RecordOutcome records whether a request succeeded at an endpoint. An error answer and a lost
// answer both count as failures.
func (p *Placement) RecordOutcome(id string, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if succeeded {
		p.view.CountSuccess(time.Now(), id)
	} else {
		p.view.CountFailure(time.Now(), id)
	}
}

// RecordPrefill records how long an engine took to prefill some tokens, with the weight that
// [Placement.PrefillTokens] returned.
func (p *Placement) RecordPrefill(id string, tokens int, weight float64, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.view.ObservePrefill(now, id, tokens, took)
	p.view.ObserveSpeed(now, id, tokens, weight, took)
}

// RecordPrefillProgress records that an engine has not finished prefilling some tokens after the
// elapsed time.
func (p *Placement) RecordPrefillProgress(id string, tokens int, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.ObserveOngoingPrefill(time.Now(), id, tokens, elapsed)
}

// PrefillTokens returns the estimated number of prompt tokens that an engine has to prefill until
// those of a new request are done, and the weight of an observation of how long that takes.
func (p *Placement) PrefillTokens(id string, prompt int, priority route.Priority) (tokens int, weight float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.PrefillTokens(time.Now(), id, prompt, priority)
}

// Speed returns how many times the usual time an engine takes to prefill a token; 1 and false if
// that is not known.
func (p *Placement) Speed(id string) (float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Speed(time.Now(), id)
}

// PlacedAt returns what all instances together are believed to have placed at an endpoint.
func (p *Placement) PlacedAt(id string) routing.Placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.PlacedAt(time.Now(), id)
}

// ExpectedPrefillTime returns how long the engines of a service usually take to prefill some
// tokens; false when that is unknown.
func (p *Placement) ExpectedPrefillTime(service string, tokens int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.ExpectedPrefillTime(service, tokens)
}

// PrefillWithin returns the time in which an engine has to prefill a prompt: left, unless the prompt by itself takes
// longer than whole.
func (p *Placement) PrefillWithin(service string, promptTokens int, left, whole time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.PrefillWithin(service, promptTokens, left, whole)
}

// Forget drops what was learned about an endpoint that restarted and is not listed again yet.
func (p *Placement) Forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Forget(id)
}

// Ended records that this incarnation of an endpoint is gone, because its address answered for
// another one.
func (p *Placement) Ended(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Ended(time.Now(), id)
}

// RecordCachedPrompt records that an endpoint has prefilled a prompt.
func (p *Placement) RecordCachedPrompt(id string, prompt uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.CacheStored(time.Now(), id, prompt)
}

// HoldsPrompt reports whether any endpoint is believed to hold a prompt in its cache.
func (p *Placement) HoldsPrompt(prompt uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.HoldsPrefix(time.Now(), prompt)
}

// PeerReport returns what is announced to the other instances: what this instance has placed, and
// what it learned about endpoints.
func (p *Placement) PeerReport() routing.PeerReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.view.Sweep(now)
	return routing.PeerReport{
		Placed: p.view.OwnPlacements(), Suspects: p.view.Suspects(now), Ended: p.view.RecentlyEnded(now),
		Outcomes: p.view.Outcomes(now), Paces: p.view.Paces(now), Limits: p.view.ObservedLimits(), Departures: p.view.ObservedDepartures(), Slacks: p.view.OwnSlacks(now), Speeds: p.view.Speeds(now),
	}
}

// SetPeer records what another instance announced, and replaces what it announced before. The zero
// value removes the instance.
func (p *Placement) SetPeer(peer string, report routing.PeerReport) {
	p.mu.Lock()
	defer p.unlockAndReport()
	p.view.SetPeerReport(time.Now(), peer, report)
}

// SetOwned sets the endpoints that this instance owns: it receives what all other instances place
// there.
func (p *Placement) SetOwned(owned func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.SetOwned(owned)
}

// Claim grants or refuses a claim at an endpoint. peer is the claiming instance; empty for this one.
func (p *Placement) Claim(id, peer string, c routing.Claim) routing.Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Claim(time.Now(), id, peer, c)
}

// DelayClaims records that no room can be claimed at an endpoint for some time.
func (p *Placement) DelayClaims(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.DelayClaims(time.Now(), id, d)
}

// ReportLimits records the limits of endpoints that a peer reported.
func (p *Placement) ReportLimits(limits map[string]admission.Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.ReportLimits(limits)
}

// KnownLimits returns what an instance that starts has to know of limits, see [routing.View.KnownLimits].
func (p *Placement) KnownLimits() map[string]admission.Statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.KnownLimits()
}

// LimitsOf returns what an endpoint stated last; zero if it states nothing.
func (p *Placement) LimitsOf(id string) admission.Statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.LimitsOf(time.Now(), id)
}

// ReleaseRoom records what became of a request that was admitted to a fragile endpoint.
func (p *Placement) ReleaseRoom(id string, l admission.Lease, o admission.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.ReleaseRoom(time.Now(), id, l, o)
}

// DropLeases drops the room that an instance holds at fragile endpoints.
func (p *Placement) DropLeases(holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.DropLeases(holder)
}

// ServiceLimit returns what the endpoints of a service state together.
func (p *Placement) ServiceLimit(service string) routing.ServiceLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.ServiceLimit(time.Now(), service)
}

// Summary returns what this instance knows about an endpoint that it owns, leaving out what
// askingPeer has placed there; false for an endpoint that is not listed.
func (p *Placement) Summary(id, askingPeer string, prompt uint64) (routing.Summary, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Summary(time.Now(), id, askingPeer, prompt)
}

// ApplySummary records the summary of an endpoint by its owner. prompt is the one that was asked
// about.
func (p *Placement) ApplySummary(s *routing.Summary, prompt uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.ApplySummary(time.Now(), s, prompt)
}

// Usable reports whether an endpoint is listed, is not leaving, and is suspected neither by this
// instance nor by several others.
func (p *Placement) Usable(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Usable(time.Now(), id)
}

// DataCentreFailures returns the number of endpoints in the data centre of an endpoint, and how
// many of them failed last between from and to.
func (p *Placement) DataCentreFailures(id string, from, to time.Time) (failed, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.FailuresInDataCentre(id, from, to)
}

// ServiceFailures returns the same of the service of an endpoint.
func (p *Placement) ServiceFailures(id string, from, to time.Time) (failed, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.FailuresInService(id, from, to)
}

// List returns all endpoints with what is known about them.
func (p *Placement) List() []routing.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.List(time.Now())
}

package routing

import (
	"math/bits"
	"time"
)

// The slack of a running stream is the time until its deadline, less the time that its remaining output
// takes at the engine's best speed. While an engine prefills a prompt, the streams that run there make
// little progress, so each prompt takes its prefill time from their slack. Decoding leaves the slack as
// it is.

const (
	// slackMargin is the slack that a prompt has to leave to each stream. It covers events that are
	// reported late, and prompts that several owners admit at once. A stream whose slack is more than
	// that below zero is taken as lost: keeping prompts away for it would leave slots unused in vain.
	slackMargin = time.Second
	// maxStreamAge is the age of a stream's last report from which the time without events counts
	// against its slack. A running stream reports its events every 250 ms.
	maxStreamAge = 500 * time.Millisecond
)

// RunningStream is what is left of a stream of this instance that runs at an endpoint.
type RunningStream struct {
	Deadline time.Time
	// RemainingEvents is how many events are expected until its end, and TimePerEvent how long each
	// takes at the best speed.
	RemainingEvents int
	TimePerEvent    time.Duration
	// PendingPrefill is how many of its own prompt tokens are still to be prefilled.
	PendingPrefill int
	// OutputTokens is how many output tokens were requested at most, and TimePerOutputToken how long each of
	// them takes at the best speed. Both are used for other requests of the service; 0 if unknown.
	OutputTokens       int
	TimePerOutputToken time.Duration
}

// ownStream is a stream of this instance, with the time of its last report.
type ownStream struct {
	RunningStream
	reportedAt time.Time
}

func (s *ownStream) slack(now time.Time) time.Duration {
	asOf := s.reportedAt
	if oldest := now.Add(-maxStreamAge); oldest.After(asOf) {
		asOf = oldest
	}
	return s.Deadline.Sub(asOf) - time.Duration(s.RemainingEvents)*s.TimePerEvent
}

// peerSlack is the shortest slack that another instance, or an owner, announced. Prompts that end later
// are subtracted from it; prefilledBefore is the node's count of their tokens at the announcement.
type peerSlack struct {
	slack           time.Duration
	prefilledBefore int64
}

// shortest is the shortest of some slacks.
type shortest struct {
	slack time.Duration
	known bool
}

func (s *shortest) include(slack time.Duration) {
	if !s.known || slack < s.slack {
		s.slack, s.known = slack, true
	}
}

// SetStream records what is left of a stream of this instance at an endpoint. key identifies the stream
// there. It returns the prompt tokens that are believed to be still to be prefilled at the endpoint.
func (v *View) SetStream(now time.Time, id string, key uint64, s RunningStream) (pending int) {
	n := v.observe(id)
	if n == nil {
		return 0
	}
	if n.streams == nil {
		n.streams = map[uint64]ownStream{}
	}
	n.streams[key] = ownStream{s, now}
	if s.TimePerOutputToken > 0 {
		v.outputTimes[outputKeyOf(n.Service, s.OutputTokens)] = outputTime{s.TimePerOutputToken, now}
	}
	return n.pendingPrefill(now)
}

// RemoveStream forgets a stream that has ended at an endpoint.
func (v *View) RemoveStream(id string, key uint64) {
	if n := v.nodes[id]; n != nil && n.streams != nil {
		delete(n.streams, key)
	}
}

// OwnSlacks returns the shortest slack of this instance's streams by endpoint, at least zero; nil unless
// [Settings.Deadlines] is set. Streams that can't end in time are left out.
func (v *View) OwnSlacks(now time.Time) map[string]time.Duration {
	if !v.settings.Deadlines {
		return nil
	}
	out := map[string]time.Duration{}
	for id, n := range v.observed {
		if len(n.streams) == 0 {
			continue
		}
		if s := n.ownSlack(now, n.prefillPace(now)); s.known {
			out[id] = max(s.slack, 0)
		}
	}
	return out
}

// ownSlack leaves out the streams that can't end in time. What is left of a stream's own prompt takes
// from its slack like all pending prompts, so a stream is also lost if it can't spare that.
func (n *node) ownSlack(now time.Time, pace prefillPace) (s shortest) {
	for _, stream := range n.streams {
		slack := stream.slack(now)
		if slack-pace.of(stream.PendingPrefill) >= -slackMargin {
			s.include(slack)
		}
	}
	return s
}

// prefillPace is how long an engine is expected to take to prefill a token, in nanoseconds; 0 if unknown. It
// is computed once for all slacks of an engine, since the decay of the observed pace costs more than the rest.
type prefillPace float64

func (n *node) prefillPace(now time.Time) prefillPace {
	return prefillPace(n.effectivePace(now) * n.view.usualPrefillOf(n.Service).PerUnit())
}

func (p prefillPace) of(tokens int) time.Duration { return time.Duration(float64(p) * float64(tokens)) }

// remaining returns what is left of an announced slack. Prompts count as a whole, either while they are
// pending or, as soon as they have ended, here. A prompt that was partly prefilled at the time of the
// announcement thus counts somewhat too much, until the next announcement.
func (n *node) remaining(s peerSlack, pace prefillPace) time.Duration {
	return max(s.slack-pace.of(int(n.prefilled-s.prefilledBefore)), 0)
}

// slackExcept returns the shortest slack at an endpoint that this instance knows of, without the streams
// of one instance.
func (n *node) slackExcept(now time.Time, peer string, pace prefillPace) shortest {
	s := n.ownSlack(now, pace)
	for name, announced := range n.peerSlacks {
		if name != peer {
			s.include(n.remaining(announced, pace))
		}
	}
	for i := range n.claims {
		if c := &n.claims[i]; c.peer != peer && c.slack > 0 && now.Sub(c.at) < claimTTL {
			s.include(c.slack)
		}
	}
	return s
}

// shortestSlack returns the shortest slack of all streams at an endpoint, as far as known.
func (n *node) shortestSlack(now time.Time, pace prefillPace) shortest {
	if n.freshSummary(now) == nil {
		return n.slackExcept(now, "", pace)
	}
	s := n.ownSlack(now, pace)
	if t := &n.ownerSummary; t.SlackKnown {
		s.include(n.remaining(peerSlack{t.Slack, t.prefilledBefore}, pace))
	}
	return s
}

// setPeerSlack records the slack that another instance announced for an endpoint, or that it announced
// none.
func (n *node) setPeerSlack(peer string, slack time.Duration, known bool) {
	if !known {
		delete(n.peerSlacks, peer)
		return
	}
	if n.peerSlacks == nil {
		n.peerSlacks = map[string]peerSlack{}
	}
	n.peerSlacks[peer] = peerSlack{slack, n.prefilled}
}

// updatePeerSlacks replaces the slacks that another instance announced.
func (v *View) updatePeerSlacks(peer string, before, now *PeerReport) {
	if !v.settings.Deadlines {
		return
	}
	for _, slacks := range []map[string]time.Duration{before.Slacks, now.Slacks} {
		for id := range slacks {
			if n := v.observe(id); n != nil {
				slack, known := now.Slacks[id]
				n.setPeerSlack(peer, slack, known)
			}
		}
	}
}

// countEndedPrompts adds the prompts of another instance that ended between two of its reports to what
// was prefilled. It has to be called before the claims that the new report includes are dropped. Prompts
// that end otherwise than by prefill are counted too; the next announcements correct that.
func (v *View) countEndedPrompts(now time.Time, peer string, before, report *PeerReport) {
	if !v.settings.Deadlines {
		return
	}
	ended := map[string]int{}
	for id, p := range before.Placed {
		ended[id] += p.PendingPrefill
	}
	for id := range v.claimedEndpoints {
		if n := v.nodes[id]; n != nil {
			ended[id] += n.reportedClaims(now, peer)
		}
	}
	for id, tokens := range ended {
		if tokens -= report.Placed[id].PendingPrefill; tokens > 0 {
			if n := v.observe(id); n != nil {
				n.prefilled += int64(tokens)
			}
		}
	}
}

// reportedClaims returns the prompt tokens of the claims of an instance that its next report includes.
func (n *node) reportedClaims(now time.Time, peer string) (tokens int) {
	for i := range n.claims {
		if c := &n.claims[i]; c.peer == peer && now.Sub(c.at) >= claimReportedAfter && now.Sub(c.at) < claimTTL {
			tokens += c.placed.PendingPrefill
		}
	}
	return tokens
}

// endangersDeadline reports whether a stream at an engine would miss its deadline if the prompt of the
// request were prefilled there, or the request itself would. An idle engine, recoveries and requests
// without a prompt to prefill pass in any case, and so does all of which too little is known. Where prompts
// are held back by an estimate that nothing confirms, one passes at an engine without other prompts.
func (p *picker) endangersDeadline(n *node) bool {
	r := p.r
	if !p.v.settings.Deadlines || r.Recovery || r.Copy || r.PromptTokens <= 0 || n.Memory == 0 {
		return false
	}
	if p.v.settings.DeadlinesOnlyRanked && !r.Priority.Ranked() {
		return false
	}
	others := n.othersPlaced(p.now)
	open := n.open + others.Open
	if open == 0 || !p.mayEndanger(n) {
		return false
	}
	pace := n.prefillPace(p.now)
	if pace == 0 {
		return false
	}
	// Prompts of lower priority have left the slack that the request needs.
	pending, own := pace.of(n.prefillAhead(p.now, r)), pace.of(r.PromptTokens)
	s := n.shortestSlack(p.now, pace)
	if !(s.known && pending+own > s.slack-r.slackMargin()) && !p.outputTooLong(n, open, pending, own) {
		return false
	}
	return !p.v.holdBackUnconfirmed(p.now, n.Service) || n.pendingPrefill(p.now) > 0
}

// heldBack is since when prompts of a service have been held back for deadlines, and when one was last.
type heldBack struct{ since, last time.Time }

// maxUnconfirmed is how long prompts are held back without an observation of the prefill time.
const maxUnconfirmed = 5 * time.Second

// holdBackUnconfirmed records that a prompt is held back for a deadline. It reports whether that goes on for
// longer than maxUnconfirmed without an observation that could correct the estimate.
func (v *View) holdBackUnconfirmed(now time.Time, service string) bool {
	h := v.heldBack[service]
	if now.Sub(h.last) >= maxUnconfirmed || h.since.Before(v.usualPrefillOf(service).EvidenceAt()) {
		h.since = now
	}
	h.last = now
	v.heldBack[service] = h
	return now.Sub(h.since) >= maxUnconfirmed
}

// mayEndanger reports whether any slack is known at an engine, or how long the output of the request takes.
func (p *picker) mayEndanger(n *node) bool {
	if len(n.streams)+len(n.peerSlacks)+len(n.claims) > 0 || n.ownerSummary.SlackKnown {
		return true
	}
	_, known := p.outputTime(n)
	return known
}

// Load of an engine at which output is expected to take longer than at best.
const (
	// fewStreamsDivisor: an engine with up to 1/fewStreamsDivisor of its slots in use is nearly empty.
	// Requests that may end late are still offered there.
	fewStreamsDivisor = 4
	// replacedShare is the share of the streams at an engine that are expected to be replaced by others
	// while an output is generated. At full load it is about 1; the check of the slack then keeps away
	// what would be too much.
	replacedShare = 0.5
)

// outputTooLong reports whether the output of the request is expected to end after its deadline. It is
// expected to take the best time, and the prefill of a prompt as long as the request's own for a share of
// the streams that run at the engine, since they end and others follow.
func (p *picker) outputTooLong(n *node, open int, pending, own time.Duration) bool {
	best, known := p.outputTime(n)
	if !known || open <= max(n.Slots/fewStreamsDivisor, 1) {
		return false
	}
	interrupted := time.Duration(replacedShare * float64(open) * float64(own))
	return best+interrupted > p.r.OutputWithin-pending
}

// outputKey is a service and a class of requested maxima of output tokens. A caller states the maximum, not
// what it will get: callers that state much more than they need say nothing of others.
type outputKey struct {
	service string
	class   int
}

func outputKeyOf(service string, tokens int) outputKey {
	return outputKey{service, bits.Len(uint(max(tokens, 0)))}
}

// outputTime is the best time that a requested output token takes.
type outputTime struct {
	perToken   time.Duration
	observedAt time.Time
}

// outputTimeTTL is how long an output time counts without a running stream that confirms it.
const outputTimeTTL = 10 * time.Second

// outputTime returns how long the output of the request takes at best; false if that, or the time left
// for it, is unknown.
func (p *picker) outputTime(n *node) (time.Duration, bool) {
	tokens := p.r.Tokens - p.r.PromptTokens
	t, known := p.v.outputTimes[outputKeyOf(n.Service, tokens)]
	known = known && p.now.Sub(t.observedAt) < outputTimeTTL
	return time.Duration(tokens) * t.perToken, known && p.r.OutputWithin > 0
}

// claimSlack returns the slack that the request will have at an engine until its instance announces it;
// 0 if it is unknown or can't end in time.
func (p *picker) claimSlack(n *node) time.Duration {
	best, known := p.outputTime(n)
	if !p.v.settings.Deadlines || !known || p.r.OutputWithin < best {
		return 0
	}
	return p.r.OutputWithin + n.prefillPace(p.now).of(p.r.PromptTokens) - best
}

// SlackCheck is the result of [View.CheckSlack].
type SlackCheck struct {
	// Endangered says that a stream at the endpoint, or the request, would miss its deadline.
	Endangered bool
	// Slack is the shortest slack there, if SlackKnown.
	Slack      time.Duration
	SlackKnown bool
	// PendingPrefill is how many prompt tokens are still to be prefilled there.
	PendingPrefill int
}

// CheckSlack reports whether a request is kept from an endpoint for a deadline, and the inputs to that.
func (v *View) CheckSlack(now time.Time, id string, r *Request) SlackCheck {
	n := v.nodes[id]
	if n == nil {
		return SlackCheck{}
	}
	p := picker{v: v, now: now, r: r}
	s := n.shortestSlack(now, n.prefillPace(now))
	return SlackCheck{p.endangersDeadline(n), s.slack, s.known, n.pendingPrefill(now)}
}

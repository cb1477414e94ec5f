package exchange

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
)

// unansweredRetry is when an endpoint that states limits is claimed again after no owner answered.
const unansweredRetry = 200 * time.Millisecond

// Claim asks the owners of an endpoint in turn for room. Where no owner answers, or the one that
// does has not listed the endpoint, the request goes there on what this instance knows, unless the
// endpoint states limits. If the endpoint is fragile, an owner that has not listed it is passed over.
// Room that is held at a fragile endpoint has to be released.
func (x *Exchange) Claim(ctx context.Context, endpoint string, c routing.Claim) routing.Grant {
	r := x.roster()
	began := time.Now()
	for rank, owner := range r.owners(endpoint) {
		if owner == "" {
			break
		}
		if owner == x.Self.ID {
			c.OwnerRank = rank
			if g := x.claimHere(endpoint, c); knowsRoom(&g, &c) {
				return g
			}
			continue
		}
		if g, answered := x.requestClaim(ctx, r, owner, endpoint, c, ownerTimeouts[rank]); answered && knowsRoom(&g, &c) {
			x.metrics.claimDuration.RecordDuration(time.Since(began))
			return g
		}
	}
	x.metrics.claimsUnanswered.Inc(1)
	if c.Limits.Stated() {
		return routing.Grant{RetryIn: unansweredRetry}
	}
	return routing.Grant{Unknown: true}
}

// knowsRoom reports whether the owner that answered a claim has listed the endpoint, if that is fragile.
func knowsRoom(g *routing.Grant, c *routing.Claim) bool { return !g.Unknown || !c.Limits.Fragile }

// claimHere claims room at an endpoint that this instance owns.
func (x *Exchange) claimHere(endpoint string, c routing.Claim) routing.Grant {
	number := x.nextRequest()
	x.holdRoom(endpoint, number, x.Self.ID, &c)
	g := x.Endpoints.Claim(endpoint, "", c)
	return x.keepRoom(endpoint, number, &c, g)
}

// nextRequest returns a number for a question or a claim.
func (x *Exchange) nextRequest() uint64 {
	x.requestMu.Lock()
	defer x.requestMu.Unlock()
	x.lastRequest++
	return x.lastRequest
}

// holdRoom records that a claim at a fragile endpoint may be granted, and completes the claim.
func (x *Exchange) holdRoom(endpoint string, number uint64, owner string, c *routing.Claim) {
	if !c.Limits.Fragile {
		return
	}
	x.requestMu.Lock()
	defer x.requestMu.Unlock()
	if x.heldRoom[endpoint] == nil {
		x.heldRoom[endpoint] = map[uint64]string{}
	}
	x.heldRoom[endpoint][number] = owner
	c.Lease = admission.Lease{Holder: x.Self.ID, Number: number}
	c.Held = slices.Collect(maps.Keys(x.heldRoom[endpoint]))
}

// keepRoom completes the grant of a claim with its lease, or forgets the claim if it was not
// granted.
func (x *Exchange) keepRoom(endpoint string, number uint64, c *routing.Claim, g routing.Grant) routing.Grant {
	switch {
	case !c.Limits.Fragile:
	case g.MayPlace():
		g.Lease = number
	default:
		x.dropRoom(endpoint, number)
	}
	return g
}

// dropRoom forgets room that was held, and returns the owner that granted it; empty if it was not
// held.
func (x *Exchange) dropRoom(endpoint string, number uint64) (owner string) {
	x.requestMu.Lock()
	defer x.requestMu.Unlock()
	owner = x.heldRoom[endpoint][number]
	delete(x.heldRoom[endpoint], number)
	if len(x.heldRoom[endpoint]) == 0 {
		delete(x.heldRoom, endpoint)
	}
	return owner
}

// Release tells the owner that granted a claim at a fragile endpoint what became of the request.
// lease is the number from the grant; 0 does nothing.
func (x *Exchange) Release(endpoint string, lease uint64, o admission.Outcome) {
	if lease == 0 {
		return
	}
	var owner string
	if o == admission.Begun {
		x.requestMu.Lock()
		owner = x.heldRoom[endpoint][lease]
		x.requestMu.Unlock()
	} else {
		owner = x.dropRoom(endpoint, lease)
	}
	if owner == x.Self.ID {
		x.Endpoints.ReleaseRoom(endpoint, admission.Lease{Holder: x.Self.ID, Number: lease}, o)
		return
	}
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Release{Release: &peerv1.Release{
		Instance: x.Self.ID, Number: lease, Endpoint: endpoint, Outcome: encodeOutcome(o),
	}}}, x.roster().addressesOf(owner)...)
}

// receiveRelease takes what became of a request that this instance granted room.
func (x *Exchange) receiveRelease(r *peerv1.Release) {
	o, ok := decodeOutcome(r.Outcome)
	if r.Instance == "" || !ok {
		x.metrics.malformed.Inc(1)
		return
	}
	x.Endpoints.ReleaseRoom(r.Endpoint, admission.Lease{Holder: r.Instance, Number: r.Number}, o)
}

// requestOutcomes are the outcomes of requests as they are sent.
var requestOutcomes = map[admission.Outcome]peerv1.RequestOutcome{
	admission.Served: peerv1.RequestOutcome_REQUEST_OUTCOME_SERVED, admission.Begun: peerv1.RequestOutcome_REQUEST_OUTCOME_BEGUN,
	admission.Withdrawn: peerv1.RequestOutcome_REQUEST_OUTCOME_NOT_SENT, admission.Refused: peerv1.RequestOutcome_REQUEST_OUTCOME_REFUSED,
	admission.Unreachable: peerv1.RequestOutcome_REQUEST_OUTCOME_UNREACHABLE,
}

func encodeOutcome(o admission.Outcome) peerv1.RequestOutcome { return requestOutcomes[o] }

// decodeOutcome returns false for an outcome that is not known here.
func decodeOutcome(sent peerv1.RequestOutcome) (admission.Outcome, bool) {
	for o, code := range requestOutcomes {
		if code == sent {
			return o, true
		}
	}
	return 0, false
}

// requestClaim asks one owner for room, and waits for its answer.
func (x *Exchange) requestClaim(ctx context.Context, r *roster, owner, endpoint string, c routing.Claim, wait time.Duration) (g routing.Grant, answered bool) {
	reply := make(chan routing.Grant, 1)
	number := x.nextRequest()
	x.requestMu.Lock()
	x.pendingClaims[number] = reply
	x.requestMu.Unlock()
	defer func() {
		x.requestMu.Lock()
		delete(x.pendingClaims, number)
		x.requestMu.Unlock()
	}()
	x.holdRoom(endpoint, number, owner, &c)
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Claim{Claim: x.encodeClaim(number, endpoint, &c)}}, r.addressesOf(owner)...)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case g = <-reply:
		return x.keepRoom(endpoint, number, &c, g), true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return x.keepRoom(endpoint, number, &c, routing.Grant{}), false
}

func (x *Exchange) encodeClaim(number uint64, endpoint string, c *routing.Claim) *peerv1.Claim {
	out := &peerv1.Claim{
		Instance: x.Self.ID, Number: number, Endpoint: endpoint, Tokens: uint32(c.Tokens), Unread: uint32(c.PendingPrefill),
		Within: uint32(c.PrefillWithin.Milliseconds()), Recovery: c.Recovery, Limits: encodeStatement(endpoint, c.Limits, time.Now()),
		LifetimeMs: uint32(c.Lifetime.Milliseconds()), Held: c.Held, OutputWithin: encodeSlack(c.OutputWithin, c.OutputWithin > 0),
	}
	if c.Priority.Ranked() {
		out.Rank, out.Ranks = proto.Uint32(uint32(c.Priority.Level)), uint32(c.Priority.Levels)
	}
	return out
}

// decodePriority returns the zero value for a request without a rank.
func decodePriority(c *peerv1.Claim) route.Priority {
	if c.Rank == nil || c.Ranks == 0 {
		return route.Priority{}
	}
	levels := min(c.Ranks, route.MaxLevels)
	return route.Priority{Level: int(min(c.GetRank(), levels-1)), Levels: int(levels)}
}

// answerClaim answers a claim of another instance. A refusal carries a summary of the engine.
func (x *Exchange) answerClaim(c *peerv1.Claim, from net.Addr) {
	if c.Instance == "" || c.Instance == x.Self.ID {
		x.metrics.malformed.Inc(1)
		return
	}
	now := time.Now()
	_, limits := decodeStatement(c.Limits, now)
	g := x.Endpoints.Claim(c.Endpoint, c.Instance, routing.Claim{
		Tokens: int(c.Tokens), PendingPrefill: int(c.Unread), PrefillWithin: time.Duration(c.Within) * time.Millisecond, Recovery: c.Recovery, Priority: decodePriority(c),
		OutputWithin: decodeOutputWithin(c.OutputWithin), Limits: limits, OwnerRank: x.roster().rankOfSelf(c.Endpoint),
		Lease: admission.Lease{Holder: c.Instance, Number: c.Number}, Lifetime: time.Duration(c.LifetimeMs) * time.Millisecond, Held: c.Held,
	})
	out := &peerv1.Grant{
		Number: c.Number, Granted: g.Granted, Unknown: g.Unknown, RetryMs: uint32(g.RetryIn.Milliseconds()), Limits: encodeStatement(c.Endpoint, g.Limits, now),
	}
	if s, ok := x.Endpoints.Summary(c.Endpoint, c.Instance, 0); ok && !g.Granted {
		out.Summary = encodeSummary(&s)
	}
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Grant{Grant: out}}, from)
}

// receiveGrant takes an owner's answer to a claim.
func (x *Exchange) receiveGrant(g *peerv1.Grant) {
	x.requestMu.Lock()
	reply := x.pendingClaims[g.Number]
	delete(x.pendingClaims, g.Number)
	x.requestMu.Unlock()
	if reply == nil {
		return // the answer came too late
	}
	if g.Summary != nil {
		s := decodeSummary(g.Summary)
		x.Endpoints.ApplySummary(&s, 0)
	}
	out := routing.Grant{Granted: g.Granted, Unknown: g.Unknown, RetryIn: time.Duration(g.RetryMs) * time.Millisecond}
	if endpoint, limits := decodeStatement(g.Limits, time.Now()); endpoint != "" {
		out.Limits = limits
		x.Endpoints.ReportLimits(map[string]admission.Statement{endpoint: limits})
	}
	reply <- out
}

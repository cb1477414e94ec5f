package exchange

import (
	"context"
	"net"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/routing"
)

// unansweredRetry is when an endpoint that states limits is claimed again after no owner answered.
const unansweredRetry = 200 * time.Millisecond

// Claim asks the owners of an endpoint in turn for room. Where no owner answers, or the one that
// does has not listed the endpoint, the request goes there on what this instance knows, unless the
// endpoint states limits.
func (x *Exchange) Claim(ctx context.Context, endpoint string, c routing.Claim) routing.Grant {
	r := x.roster()
	began := time.Now()
	for rank, owner := range r.owners(endpoint) {
		if owner == "" {
			break
		}
		if owner == x.Self.ID {
			c.OwnerRank = rank
			return x.Endpoints.Claim(endpoint, "", c)
		}
		if g, answered := x.requestClaim(ctx, r, owner, endpoint, c, ownerTimeouts[rank]); answered {
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

// requestClaim asks one owner for room, and waits for its answer.
func (x *Exchange) requestClaim(ctx context.Context, r *roster, owner, endpoint string, c routing.Claim, wait time.Duration) (g routing.Grant, answered bool) {
	reply := make(chan routing.Grant, 1)
	x.requestMu.Lock()
	x.lastRequest++
	number := x.lastRequest
	x.pendingClaims[number] = reply
	x.requestMu.Unlock()
	defer func() {
		x.requestMu.Lock()
		delete(x.pendingClaims, number)
		x.requestMu.Unlock()
	}()
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Claim{Claim: &peerv1.Claim{
		Instance: x.Self.ID, Number: number, Endpoint: endpoint, Tokens: uint32(c.Tokens), Unread: uint32(c.PendingPrefill),
		Within: uint32(c.PrefillWithin.Milliseconds()), Recovery: c.Recovery, Limits: encodeStatement(endpoint, c.Limits, time.Now()),
	}}}, r.addressesOf(owner)...)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case g = <-reply:
		return g, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return routing.Grant{}, false
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
		Tokens: int(c.Tokens), PendingPrefill: int(c.Unread), PrefillWithin: time.Duration(c.Within) * time.Millisecond, Recovery: c.Recovery,
		Limits: limits, OwnerRank: x.roster().rankOfSelf(c.Endpoint),
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

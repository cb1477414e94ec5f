package exchange

import (
	"context"
	"net"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/routing"
)

// Claim asks the owners of an engine in turn for room, and returns whether it was granted. It
// returns true where no owner answers, or where the one that does has not listed the engine: the
// request then goes there on what this instance knows.
func (x *Exchange) Claim(ctx context.Context, endpoint string, c routing.Claim) bool {
	r := x.roster()
	began := time.Now()
	for rank, owner := range r.owners(endpoint) {
		if owner == "" {
			break
		}
		if owner == x.Self.ID {
			granted, known := x.Endpoints.Claim(endpoint, "", c)
			return granted || !known
		}
		if granted, answered := x.requestClaim(ctx, r, owner, endpoint, c, ownerTimeouts[rank]); answered {
			x.metrics.claimDuration.RecordDuration(time.Since(began))
			return granted
		}
	}
	x.metrics.claimsUnanswered.Inc(1)
	return true
}

// requestClaim asks one owner for room, and waits for its answer.
func (x *Exchange) requestClaim(ctx context.Context, r *roster, owner, endpoint string, c routing.Claim, wait time.Duration) (granted, answered bool) {
	reply := make(chan bool, 1)
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
		Within: uint32(c.PrefillWithin.Milliseconds()), Recovery: c.Recovery,
	}}}, r.addressesOf(owner)...)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case granted = <-reply:
		return granted, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false, false
}

// answerClaim answers a claim of another instance. A refusal carries a summary of the engine.
func (x *Exchange) answerClaim(c *peerv1.Claim, from net.Addr) {
	if c.Instance == "" || c.Instance == x.Self.ID {
		x.metrics.malformed.Inc(1)
		return
	}
	granted, known := x.Endpoints.Claim(c.Endpoint, c.Instance, routing.Claim{
		Tokens: int(c.Tokens), PendingPrefill: int(c.Unread), PrefillWithin: time.Duration(c.Within) * time.Millisecond, Recovery: c.Recovery,
	})
	out := &peerv1.Grant{Number: c.Number, Granted: granted, Unknown: !known}
	if s, ok := x.Endpoints.Summary(c.Endpoint, c.Instance, 0); ok && !granted {
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
	reply <- g.Granted || g.Unknown
}

package exchange

import (
	"context"
	"net"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/routing"
)

// Claim asks the owners of an engine for room, and returns whether it was granted. Where none of them answers, or knows the engine,
// the request goes there on what this instance knows.
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
		if granted, answered := x.askClaim(ctx, r, owner, endpoint, c, askWaits[rank]); answered {
			x.metrics.claim.RecordDuration(time.Since(began))
			return granted
		}
	}
	x.metrics.unclaimed.Inc(1)
	return true
}

// askClaim asks one owner.
func (x *Exchange) askClaim(ctx context.Context, r *roster, owner, endpoint string, c routing.Claim, wait time.Duration) (granted, answered bool) {
	reply := make(chan bool, 1)
	x.askMu.Lock()
	x.number++
	number := x.number
	x.claims[number] = reply
	x.askMu.Unlock()
	defer func() {
		x.askMu.Lock()
		delete(x.claims, number)
		x.askMu.Unlock()
	}()
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Claim{Claim: &peerv1.Claim{
		Instance: x.Self.ID, Number: number, Endpoint: endpoint, Tokens: uint32(c.Tokens), Unread: uint32(c.PendingPrefill),
		Within: uint32(c.PrefillWithin.Milliseconds()), Recovery: c.Recovery,
	}}}, r.to(owner)...)
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

// claimed answers a claim of another instance.
func (x *Exchange) claimed(c *peerv1.Claim, from net.Addr) {
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

// granted takes the answer to a claim.
func (x *Exchange) granted(g *peerv1.Grant) {
	x.askMu.Lock()
	reply := x.claims[g.Number]
	delete(x.claims, g.Number)
	x.askMu.Unlock()
	if reply == nil {
		return // it comes too late
	}
	if g.Summary != nil {
		s := decodeSummary(g.Summary)
		x.Endpoints.Learn(&s, 0)
	}
	reply <- g.Granted || g.Unknown
}

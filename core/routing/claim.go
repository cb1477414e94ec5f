package routing

import (
	"slices"
	"time"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/route"
)

// Claim asks the owner of an endpoint for room, right before a request is sent there. It is made for
// engines, and for endpoints that state limits. What instances report to each other of their
// placements is some tens of milliseconds old. When engines return or a data centre is lost, many
// requests are placed within that time, and without claims they end up at the same engines.
type Claim struct {
	// Tokens is the memory that the request needs at its largest, PendingPrefill the part of it
	// that has to be prefilled first.
	Tokens, PendingPrefill int
	// PrefillWithin is [Request.PrefillWithin].
	PrefillWithin time.Duration
	// OutputWithin is [Request.OutputWithin].
	OutputWithin time.Duration
	// Recovery marks work that was lost once.
	Recovery bool
	// Priority is [Request.Priority].
	Priority route.Priority
	// Limits is what the endpoint stated last, as far as the claiming instance knows.
	Limits admission.Statement
	// OwnerRank is the rank of this instance among the owners of the endpoint, 0 for the first.
	OwnerRank int
	// Lease identifies the request at a fragile endpoint, and Lifetime is how long it may take. Held
	// are the numbers of the requests that the claiming instance has there, with this one.
	Lease    admission.Lease
	Lifetime time.Duration
	Held     []uint64
}

// Grant is the answer to a claim.
type Grant struct {
	Granted bool
	// Unknown says that the endpoint is not listed, so that nothing is known of its room.
	Unknown bool
	// RetryIn is when the instance may claim again after a refusal; 0 where that is not known.
	RetryIn time.Duration
	// Limits is what the endpoint stated last, as far as this instance knows.
	Limits admission.Statement
	// Lease is the number under which room at a fragile endpoint is held until it is released; 0 for
	// none.
	Lease uint64
}

// MayPlace reports whether the request may go to the endpoint. It may if the endpoint is not listed
// at its owner, is not fragile, and has room at its stated rate.
func (g *Grant) MayPlace() bool { return g.Granted || g.Unknown && g.RetryIn == 0 }

// grantedClaim is a claim of another instance that was granted.
type grantedClaim struct {
	peer   string
	at     time.Time
	placed Placed
	// slack is that of the request; 0 if unknown.
	slack time.Duration
}

const (
	// unlistedRetry is when an instance may claim again at a fragile endpoint that its owner has not listed.
	unlistedRetry = 50 * time.Millisecond
	// claimTTL is how long a claim counts if its instance reports nothing more.
	claimTTL = time.Second
	// claimReportedAfter is the age from which a claim is included in the report of its instance.
	claimReportedAfter = 20 * time.Millisecond
)

// Claim grants or refuses a claim at an endpoint, by another instance or, where peer is empty, by
// this one.
func (v *View) Claim(now time.Time, id, peer string, c Claim) Grant {
	n := v.nodes[id]
	if n == nil && c.Limits.Fragile { // the room that others hold there is not known
		return Grant{Unknown: true, RetryIn: unlistedRetry}
	}
	if n == nil {
		admitted, retryIn := v.admitAtRate(now, id, &c.Limits.Limits, &c)
		return Grant{Unknown: true, RetryIn: retryIn, Granted: admitted && c.Limits.HasRate}
	}
	v.reportLimits(n, c.Limits)
	g := Grant{Limits: v.limitsOf(now, n)}
	r := &Request{Tokens: c.Tokens, PromptTokens: c.PendingPrefill, PrefillWithin: c.PrefillWithin, OutputWithin: c.OutputWithin, Recovery: c.Recovery, Priority: c.Priority}
	p := picker{v: v, now: now, r: r}
	if !n.inService() || p.isFull(n) {
		return g
	}
	if g.Granted, g.RetryIn = v.admitToRoom(now, n, &g.Limits.Limits, &c); g.Granted {
		if g.Granted, g.RetryIn = v.admitAtRate(now, id, &g.Limits.Limits, &c); !g.Granted {
			v.ReleaseRoom(now, id, c.Lease, admission.Withdrawn)
		}
	}
	if g.Granted && peer != "" && n.Memory > 0 { // this instance places its own claims at once
		n = v.observe(id)
		placed := Placed{Open: 1, Tokens: c.Tokens}
		placed.SetPendingPrefill(c.PendingPrefill, c.Priority)
		n.claims = append(n.claims, grantedClaim{peer, now, placed, p.claimSlack(n)})
		v.claimedEndpoints[id] = true
	}
	return g
}

// pruneClaims drops the claims that a new report of an instance includes, and expired claims of any
// instance.
func (v *View) pruneClaims(now time.Time, peer string) {
	for id := range v.claimedEndpoints {
		n := v.nodes[id]
		if n == nil {
			delete(v.claimedEndpoints, id)
			continue
		}
		n.claims = slices.DeleteFunc(n.claims, func(c grantedClaim) bool {
			age := now.Sub(c.at)
			return age >= claimTTL || c.peer == peer && age >= claimReportedAfter
		})
		if len(n.claims) == 0 {
			delete(v.claimedEndpoints, id)
		}
	}
}

// claimedExcept returns the sum of the unexpired claims at an endpoint, except those of one
// instance.
func (n *node) claimedExcept(now time.Time, peer string) (sum Placed) {
	for i := range n.claims {
		if c := &n.claims[i]; c.peer != peer && now.Sub(c.at) < claimTTL {
			sum.add(c.placed)
		}
	}
	return sum
}

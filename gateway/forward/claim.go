package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/routing"
)

// maxClaimAttempts is how many endpoints are tried when claims are refused. Each refusal also
// corrects what is known about the endpoint.
const maxClaimAttempts = 6

// claimEndpoint chooses an endpoint and claims room there. It returns [routing.ErrFull] also when
// the claims at all endpoints it tried were refused.
func (f *Forwarder) claimEndpoint(ctx context.Context, r *routing.Request) (routing.Decision, error) {
	avoid := r.Avoid
	for range maxClaimAttempts {
		d, err := f.Placement.Pick(r)
		if err != nil {
			if len(r.Avoid) > len(avoid) && errors.Is(err, routing.ErrNoEndpoint) {
				err = routing.ErrFull
			}
			return d, err
		}
		if !f.needsClaim(&d) || f.claim(ctx, &d, r) {
			return d, nil
		}
		r.Avoid = append(slices.Clone(r.Avoid), d.Endpoint.ID)
	}
	return routing.Decision{}, routing.ErrFull
}

// needsClaim reports whether room has to be claimed before a request is sent to an endpoint: at
// engines, and at endpoints that state a rate.
func (f *Forwarder) needsClaim(d *routing.Decision) bool {
	return d.Endpoint.Memory > 0 && !f.Settings.Disabled.Claims || d.Limits.HasRate && !f.Settings.Disabled.Limits
}

// claim claims room for a request at a chosen endpoint. After a refusal, the endpoint is not chosen
// until room may be claimed there again.
func (f *Forwarder) claim(ctx context.Context, d *routing.Decision, r *routing.Request) bool {
	c := newClaim(r)
	if !f.Settings.Disabled.Limits {
		c.Limits = d.Limits
	}
	g := f.Peers.Claim(ctx, d.Endpoint.ID, c)
	if d.Limits.HasRate {
		f.metrics.countRateClaim(g.MayPlace())
	}
	if g.MayPlace() {
		return true
	}
	f.metrics.claimsRefused.Inc(1)
	if g.RetryIn > 0 {
		f.Placement.DelayClaims(d.Endpoint.ID, g.RetryIn)
		f.Log.Decision(r.Key, "endpoint at its limit", logrus.Fields{
			"endpoint": d.Endpoint.ID, "rate": rateText(g.Limits.Limits), "stated_ms": time.Since(g.Limits.At).Milliseconds(), "again_ms": g.RetryIn.Milliseconds(),
		})
	}
	return false
}

func newClaim(r *routing.Request) routing.Claim {
	return routing.Claim{Tokens: r.Tokens, PendingPrefill: r.PromptTokens, PrefillWithin: r.PrefillWithin, Recovery: r.Recovery}
}

// claimedEngineTTL is how long a claimed engine is used without choosing again.
const claimedEngineTTL = 100 * time.Millisecond

// claimedEngine takes the engine that was claimed while the request waited. It returns nil when
// there is none, the claim is too old, or the engine may not be used.
func (req *request) claimedEngine(r *routing.Request) *routing.Decision {
	d := req.claimed
	req.claimed = nil
	if d == nil || time.Since(req.claimedAt) >= claimedEngineTTL || !r.Builds.Allows(&d.Endpoint) || slices.Contains(r.Avoid, d.Endpoint.ID) {
		return nil
	}
	return d
}

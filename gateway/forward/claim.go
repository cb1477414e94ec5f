package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
)

// maxClaimAttempts is how many endpoints are tried when claims are refused. Each refusal also
// corrects what is known about the endpoint.
const maxClaimAttempts = 6

// claimed is an endpoint that was chosen for a request, with the room that was claimed there.
type claimed struct {
	routing.Decision
	// lease is the number under which room at a fragile endpoint is held; 0 for none.
	lease uint64
	at    time.Time
}

// claimEndpoint chooses an endpoint and claims room there. It returns [routing.ErrFull] also when
// the claims at all endpoints it tried were refused.
func (f *Forwarder) claimEndpoint(ctx context.Context, r *routing.Request) (*claimed, error) {
	avoid := r.Avoid
	for range maxClaimAttempts {
		d, err := f.Placement.Pick(r)
		if err != nil {
			if len(r.Avoid) > len(avoid) && errors.Is(err, routing.ErrNoEndpoint) {
				err = routing.ErrFull
			}
			return nil, err
		}
		if lease, ok := f.claim(ctx, &d, r); ok {
			return &claimed{Decision: d, lease: lease, at: time.Now()}, nil
		}
		r.Avoid = append(slices.Clone(r.Avoid), d.Endpoint.ID)
	}
	return nil, routing.ErrFull
}

// claim claims room for a request at a chosen endpoint, if that is needed there: at engines, and at
// endpoints that state limits. After a refusal, the endpoint is not chosen until room may be claimed
// there again.
func (f *Forwarder) claim(ctx context.Context, d *routing.Decision, r *routing.Request) (lease uint64, ok bool) {
	limits := f.keptLimits(d.Limits)
	if !limits.Stated() && (d.Endpoint.Memory == 0 || f.Settings.Disabled.Claims) {
		return 0, true
	}
	g := f.Peers.Claim(ctx, d.Endpoint.ID, routing.Claim{
		Tokens: r.Tokens, PendingPrefill: r.PromptTokens, PrefillWithin: r.PrefillWithin, OutputWithin: r.OutputWithin, Recovery: r.Recovery, Priority: r.Priority, Limits: limits, Lifetime: leaseLifetime(ctx),
	})
	f.metrics.countLimitClaim(limits.Limits, g.MayPlace())
	if g.MayPlace() {
		return g.Lease, true
	}
	f.metrics.claimsRefused.Inc(1)
	f.recordDeadlineRefusal(d.Endpoint.ID, r)
	if g.RetryIn > 0 {
		f.Placement.DelayClaims(d.Endpoint.ID, g.RetryIn)
		f.Log.Decision(r.Key, "endpoint at its limit", logrus.Fields{
			"endpoint": d.Endpoint.ID, "rate": rateText(g.Limits.Limits), "max_refusals": refusalsText(g.Limits.Limits),
			"stated_ms": time.Since(g.Limits.At).Milliseconds(), "again_ms": g.RetryIn.Milliseconds(),
		})
	}
	return 0, false
}

// defaultLeaseLifetime is how long room may be held for a request without a deadline.
const defaultLeaseLifetime = time.Minute

// leaseLifetime returns how long room may be held for a request: until its deadline, and a moment
// for the release to arrive.
func leaseLifetime(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline) + writeGrace
	}
	return defaultLeaseLifetime
}

// connectOutcome returns what a failed connection says about an endpoint.
func connectOutcome(err error) admission.Outcome {
	if errorx.IsOfType(err, upstream.ErrBusy) || errorx.IsOfType(err, ErrWithheld) {
		return admission.Withdrawn
	}
	return admission.Unreachable
}

// refusalOutcome returns what a refusal says about an endpoint. With status 421 another endpoint
// refused.
func refusalOutcome(status int) admission.Outcome {
	if status == http.StatusMisdirectedRequest {
		return admission.Withdrawn
	}
	return admission.Refused
}

// claimedEngineTTL is how long a claimed engine is used without choosing again.
const claimedEngineTTL = 100 * time.Millisecond

// claimedEngine takes the engine that was claimed while the request waited. It returns nil when
// there is none, the claim is too old, or the engine may not be used.
func (f *Forwarder) claimedEngine(req *request, r *routing.Request) *claimed {
	c := req.claimed
	if c == nil || time.Since(c.at) >= claimedEngineTTL || !r.Builds.Allows(&c.Endpoint) || slices.Contains(r.Avoid, c.Endpoint.ID) {
		f.dropClaim(req)
		return nil
	}
	req.claimed = nil
	return c
}

// dropClaim gives back the room that was claimed while a request waited, if there is any.
func (f *Forwarder) dropClaim(req *request) {
	if c := req.claimed; c != nil {
		f.Peers.Release(c.Endpoint.ID, c.lease, admission.Withdrawn)
		req.claimed = nil
	}
}

package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/agateway/agateway/core/routing"
)

// maxClaimAttempts is how many engines are tried when claims are refused. Each refusal also
// corrects what is known about the engine.
const maxClaimAttempts = 6

// claimEngine chooses an engine and claims room there. It returns [routing.ErrFull] also when the
// claims at all engines it tried were refused.
func (f *Forwarder) claimEngine(ctx context.Context, r *routing.Request) (routing.Decision, error) {
	avoid := r.Avoid
	for range maxClaimAttempts {
		d, err := f.Placement.Pick(r)
		if err != nil {
			if len(r.Avoid) > len(avoid) && errors.Is(err, routing.ErrNoEndpoint) {
				err = routing.ErrFull
			}
			return d, err
		}
		if d.Endpoint.Memory == 0 || f.Settings.Disabled.Claims || f.Peers.Claim(ctx, d.Endpoint.ID, newClaim(r)) {
			return d, nil
		}
		f.metrics.claimsRefused.Inc(1)
		r.Avoid = append(slices.Clone(r.Avoid), d.Endpoint.ID)
	}
	return routing.Decision{}, routing.ErrFull
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

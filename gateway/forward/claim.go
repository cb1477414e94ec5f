package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/agateway/agateway/core/routing"
)

// claimTries is how many engines are tried that turn out to be full; what is believed of them is mended by each refusal.
const claimTries = 6

// claimEngine chooses an engine and claims room there.
func (f *Forwarder) claimEngine(ctx context.Context, r *routing.Request) (routing.Decision, error) {
	avoid := r.Avoid
	for range claimTries {
		d, err := f.Placement.Pick(r)
		if err != nil {
			if len(r.Avoid) > len(avoid) && errors.Is(err, routing.ErrNoEndpoint) {
				err = routing.ErrFull
			}
			return d, err
		}
		if d.Endpoint.Memory == 0 || f.Settings.Without.Claims || f.Others.Claim(ctx, d.Endpoint.ID, claimOf(r)) {
			return d, nil
		}
		f.metrics.claimsRefused.Inc(1)
		r.Avoid = append(slices.Clone(r.Avoid), d.Endpoint.ID)
	}
	return routing.Decision{}, routing.ErrFull
}

func claimOf(r *routing.Request) routing.Claim {
	return routing.Claim{Tokens: r.Tokens, PendingPrefill: r.PromptTokens, PrefillWithin: r.PrefillWithin, Recovery: r.Recovery}
}

// claimKept is how long an engine claimed for a request that waited is used without another choice.
const claimKept = 100 * time.Millisecond

// claimedEngine returns the engine that was claimed while the request waited; nil when that is too long ago or may not be used.
func (req *request) claimedEngine(r *routing.Request) *routing.Decision {
	d := req.engine
	req.engine = nil
	if d == nil || time.Since(req.claimedAt) >= claimKept || !r.Builds.Allows(&d.Endpoint) || slices.Contains(r.Avoid, d.Endpoint.ID) {
		return nil
	}
	return d
}

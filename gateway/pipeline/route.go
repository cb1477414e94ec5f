package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/endpoint"
)

// route builds the routing request: what an endpoint has to offer. An endpoint is picked for each
// attempt, since each attempt avoids other endpoints.
type route struct{ *Deps }

func (*route) Name() string { return "route" }

func (r *route) Serve(_ context.Context, x *Exchange) error {
	r.retries.recordRequest()
	if x.Form == Plain {
		return nil
	}
	s := newSession(r.Deps, x, r.routingRequest(x.Deployment, x.Generation))
	if err := r.checkStopped(s.request, x.Deployment.Service); err != nil {
		return err
	}
	x.session = s
	return nil
}

// routingRequest returns the routing request for a deployment; g is nil for plain calls.
func (d *Deps) routingRequest(dep *config.Deployment, g *GenerationRequest) routing.Request {
	req := routing.Request{Service: dep.Service, DataCentre: d.Settings.Instance.DataCentre, Weights: dep.Weights}
	if g != nil {
		req.Model, req.Adapter, req.Version = dep.Model, g.Adapter, dep.ModelVersion
		req.Prefixes, req.Key = endpoint.PrefixHashes(dep.Model, g.Prompt), g.Prompt[:min(len(g.Prompt), maxRoutingKeyBytes)]
	}
	return req
}

// maxRoutingKeyBytes bounds the start of a prompt that is used to break ties between endpoints.
const maxRoutingKeyBytes = 64

// pick chooses an endpoint. If none can take the request, it waits for one until the given time.
func (d *Deps) pick(ctx context.Context, req *routing.Request, until time.Time) (routing.Endpoint, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		changed := d.Backends.Changed()
		decision, err := d.Backends.Pick(time.Now(), req)
		if err == nil {
			return decision.Endpoint, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return routing.Endpoint{}, pickError(err)
		case <-ctx.Done():
			return routing.Endpoint{}, pickError(err)
		}
	}
}

// pickError converts an error of routing to an error for the caller.
func pickError(err error) error {
	if errors.Is(err, routing.ErrFull) {
		return apierr.New(apierr.Overloaded, "all endpoints of the deployment are full").WithRetryAfter(time.Second)
	}
	return apierr.New(apierr.Unavailable, "no endpoint of the deployment is able to take the request").WithRetryAfter(time.Second)
}

package forward

import (
	"time"

	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/routing"
)

// engineChoice is an engine for an attempt.
type engineChoice struct {
	endpoint *routing.Endpoint
	// lease is the number under which room at a fragile engine is held; 0 for none.
	lease uint64
	// resumeFrom is the copy of the run's memory there; zero when the prompt has to be prefilled.
	resumeFrom copies.Holder
	// mayBeCached is set when the engine may already have prefilled part of the prompt.
	mayBeCached bool
	// helper is the instance that the request is passed on to, in place of an engine; nil for none.
	helper *Helper
	// contender is set while the current attempt is kept.
	contender bool
}

// chooseEngine returns the engine that holds a copy of the run's memory, with that copy, or else
// the best other engine.
// An instance that is cut off from the engines chooses a helper.
func (s *session) chooseEngine(a generation.Start) (*engineChoice, error) {
	if s.f.usesHelpers(s.req) {
		if h := s.f.pickHelper(a.Avoid); h != nil {
			s.accountCopy("")
			e := h.endpoint()
			return &engineChoice{endpoint: &e, helper: h}, nil
		}
	}
	if choice := s.useCopy(a.Avoid); choice != nil {
		s.f.metrics.movedByCopy.Inc(1)
		return choice, nil
	}
	r := s.routingRequest()
	r.Avoid, r.Recovery = a.Avoid, s.mayHaveRun()
	if s.inCrashTrial {
		r.Weights = carefulWeights()
	}
	if s.inCrashTrial {
		s.f.dropClaim(s.req)
	}
	if c := s.f.claimedEngine(s.req, r); c != nil {
		return &engineChoice{endpoint: &c.Endpoint, lease: c.lease, mayBeCached: c.Cached > 0}, nil
	}
	s.f.queryOwners(s.ctx, s.req)
	c, err := s.f.claimEndpoint(s.ctx, r)
	if err != nil {
		return nil, err
	}
	s.req.ownerQueries = 0
	return &engineChoice{endpoint: &c.Endpoint, lease: c.lease, mayBeCached: c.Cached > 0}, nil
}

// routingRequest describes the stream for the choice of an engine. The time to the first event bounds no
// engine once that event has been relayed.
func (s *session) routingRequest() *routing.Request {
	r := s.f.engineRequest(s.req)
	if s.relayedEvents > 0 {
		r.PrefillWithin = 0
	}
	return r
}

func (f *Forwarder) engineRequest(req *request) *routing.Request {
	return &routing.Request{
		Service: req.service, Model: req.Model, DataCentre: f.Settings.DataCentre, Key: req.ID,
		Prefixes: []uint64{req.promptKey()}, Tokens: req.PromptTokens + req.MaxOutputTokens, PromptTokens: req.PromptTokens, Weights: f.Settings.engineWeights(),
		Builds: f.builds(req), PrefillWithin: f.prefillWithin(req, time.Now()), OutputWithin: f.outputBudget(req, time.Now()), Priority: req.priority,
	}
}

// prefillWithin returns the time in which an engine has to prefill the prompt; 0 for no limit.
func (f *Forwarder) prefillWithin(req *request, now time.Time) time.Duration {
	return f.Placement.PrefillWithin(req.service, req.PromptTokens, req.prefillBudget(now), req.prefillBudget(req.arrivedAt))
}

// prefillBudget returns the time in which an engine has to prefill the prompt so that the first
// event is on time with a margin. It returns 0 when the route has no target latency, the target is
// already missed, or the caller resumes a stream.
func (req *request) prefillBudget(now time.Time) time.Duration {
	if req.route.TargetLatency <= 0 || req.LastEventID != "" {
		return 0
	}
	left := req.route.TargetLatency - now.Sub(req.arrivedAt)
	return max(left*prefillShareNumerator/prefillShareDenominator, 0)
}

// Of the time left until the first event is due, prefillShareNumerator/prefillShareDenominator may
// be spent on prefill. Prompts that arrive meanwhile and streams that run beside it take the rest.
const prefillShareNumerator, prefillShareDenominator = 3, 4

// engineWeights ranks engines. A prompt that is being prefilled delays a new one by its whole
// prefill time. A cached prompt saves as much time, and also work of the engine, so it counts
// twice. Prefilling the new prompt delays each stream that runs there by most of its prefill time;
// half of it is counted, since the new stream itself is not delayed. With these weights streams
// took 6.6 s instead of 6.7 s, and 9.7 s instead of 10.3 s at the 95th percentile.
func (s *Settings) engineWeights() routing.Weights {
	return s.applyDisabled(routing.Weights{Cache: 2, Remote: 0.02, PendingPrefill: 1, Running: 0.5, Memory: 0.3, Health: 1.5, Pace: 1})
}

// carefulWeights ranks engines for a request that may crash them. Engines with few other requests
// lose least.
func carefulWeights() routing.Weights { return routing.Weights{Load: 1, Running: 1, PendingPrefill: 1} }

// applyDisabled zeroes the weights of mechanisms that are switched off.
func (s *Settings) applyDisabled(w routing.Weights) routing.Weights {
	if s.Disabled.Health {
		w.Health = 0
	}
	if s.Disabled.Pace {
		w.Pace = 0
	}
	return w
}

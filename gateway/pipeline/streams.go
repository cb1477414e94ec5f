package pipeline

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/endpoint"
)

// startAttempt registers an attempt and runs it in a goroutine. The caller holds the lock.
func (s *session) startAttempt(number int, run func(context.Context, *attempt)) {
	ctx, cancel := context.WithCancel(s.ctx)
	at := &attempt{cancel: cancel}
	s.attempts[number] = at
	go func() {
		defer cancel()
		run(ctx, at)
	}()
}

// capacityWait is how long an attempt waits for an endpoint with a free slot before it fails with
// NoEndpoint.
const capacityWait = 150 * time.Millisecond

// openStream picks an engine for an attempt and relays its stream until the stream ends.
func (s *session) openStream(ctx context.Context, a generation.Start, at *attempt) {
	req := s.routing
	s.mu.Lock()
	req.Avoid, req.Recovery, req.Version = a.Avoid, a.Recovery, s.x.entry.Version
	s.mu.Unlock()
	weights, ok := s.admitAttempt(a.Attempt)
	if !ok {
		return
	}
	req.Weights = weights
	e, err := s.pick(ctx, &req, time.Now().Add(capacityWait))
	if err != nil {
		s.Crashes.ReleaseTrial(s.request, s)
		s.reportFailure(a.Attempt, generation.NoEndpoint, 0)
		return
	}
	id := e.ID
	defer s.Backends.Finished(id)
	s.mu.Lock()
	at.endpoint, at.sentAt = id, time.Now()
	s.machine.Routed(a.Attempt, id)
	start := s.startRequest(a)
	s.mu.Unlock()
	ctx, span := s.Tracer.Start(ctx, "engine")
	defer span.End()
	sentAt := time.Now()
	stream, err := s.Client.Open(ctx, e.Address, start)
	if err = s.readStream(a.Attempt, id, stream, err); err != nil {
		s.attributeCrash(ctx, &e, sentAt, at, err)
		s.Crashes.ReleaseTrial(s.request, s)
		s.reportEndpointFailure(a.Attempt, id, err)
	}
}

// startRequest returns the request that starts a stream for an attempt. The caller holds the lock.
func (s *session) startRequest(a generation.Start) *endpoint.StartRequest {
	g, dep := s.x.Generation, s.x.Deployment
	r := &endpoint.StartRequest{
		Generation: s.x.entry.Generation, Attempt: a.Attempt, Model: dep.Model, Version: s.x.entry.Version,
		Adapter: g.Adapter, Prompt: g.Prompt, MaxTokens: g.MaxTokens, Seed: s.seed(), Temperature: g.Temperature,
		TopP: g.TopP, Stop: g.Stop, Priority: int(dep.Class),
	}
	if a.Recovery {
		r.Priority = 0
	}
	if a.From > 0 {
		r.Prefix = s.machine.Journal().Tokens()
	}
	return r
}

// seed returns the caller's seed, or one derived from the id of the generation. All instances that
// continue the generation use the same seed.
func (s *session) seed() int64 {
	if s.x.Generation.Seed != nil {
		return *s.x.Generation.Seed
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.x.entry.Generation))
	return int64(h.Sum64() >> 1)
}

// resumeStream continues a running stream on a new connection until it ends.
func (s *session) resumeStream(ctx context.Context, a generation.Resume, at *attempt) {
	id := a.Stream.Endpoint
	address, ok := s.Backends.Address(id)
	if !ok {
		s.reportFailure(a.Attempt, generation.Gone, 0)
		return
	}
	s.mu.Lock()
	at.endpoint, at.sentAt = id, time.Now()
	s.mu.Unlock()
	s.Backends.Sent(id)
	defer s.Backends.Finished(id)
	stream, err := s.Client.Resume(ctx, address, s.x.entry.Generation, a.Stream.ID, a.From, a.Attempt)
	if err = s.readStream(a.Attempt, id, stream, err); err != nil {
		s.reportEndpointFailure(a.Attempt, id, err)
	}
}

// readStream reads a stream to its end. It returns nil if the answer is complete. err is the error
// of opening the stream; it is returned as it is.
func (s *session) readStream(number int, id string, stream *endpoint.Stream, err error) error {
	if err != nil {
		return err
	}
	defer stream.Close()
	return stream.Receive(&receiver{s: s, attempt: number, endpoint: id})
}

// failureFromError converts the error of an endpoint to the failure that is reported to the
// machine.
func failureFromError(err error) generation.Failure {
	switch {
	case errorx.IsOfType(err, endpoint.ErrRefused):
		return generation.Refused
	case errorx.IsOfType(err, endpoint.ErrMismatch):
		return generation.Mismatch
	case errorx.IsOfType(err, endpoint.ErrFenced):
		return generation.Fenced
	case errorx.IsOfType(err, endpoint.ErrInvalid):
		return generation.Invalid
	case errorx.IsOfType(err, endpoint.ErrWrongRequest):
		return generation.Gone
	}
	return generation.Broken
}

// reportEndpointFailure reports the error of an attempt to the machine. It marks the endpoint as
// failed if the connection broke, if the stream carried events of another stream, or if the
// endpoint refused without a time to retry. It does nothing if this instance closed the stream
// itself.
func (s *session) reportEndpointFailure(number int, id string, err error) {
	failure, wait := failureFromError(err), endpoint.RetryAfter(err)
	s.mu.Lock()
	closedByUs := s.closed || s.attempts[number].cancelled
	s.mu.Unlock()
	if closedByUs {
		return // the error follows from our own cancellation
	}
	s.recordMalformed(s.x.entry.Generation, id, err)
	unreachable := failure == generation.Refused && wait == 0
	if failure == generation.Broken || failure == generation.Gone || unreachable {
		s.Backends.Failed(id)
	}
	s.reportFailure(number, failure, wait)
}

// reportFailure reports a failed attempt to the machine and carries out its actions.
func (s *session) reportFailure(number int, failure generation.Failure, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if current, _ := s.machine.Attempt(); current == number && s.machine.Journal().Len() > 0 {
		s.markStreamLost(now)
	}
	s.machine.Failed(now, number, failure, wait)
	s.runActions(now)
}

// probe asks on a new connection whether a stream is still running, and reports that to the
// machine.
func (s *session) probe(a generation.Probe) {
	address, ok := s.Backends.Address(a.Stream.Endpoint)
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, s.x.Deployment.RecoveryConfig(s.recovery).ProbeTimeout)
	defer cancel()
	var state endpoint.StreamState
	var err error
	if ok {
		state, err = s.Client.Probe(ctx, address, a.Stream.ID)
	}
	alive := ok && err == nil
	switch {
	case alive:
		s.Backends.Succeeded(a.Stream.Endpoint)
	case errors.Is(ctx.Err(), context.Canceled): // the session has ended
	case ctx.Err() != nil:
		s.Backends.TimedOut(a.Stream.Endpoint, askedAt)
	default:
		s.Backends.Failed(a.Stream.Endpoint)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.machine.Probed(now, a.Attempt, alive, state.Index)
	s.runActions(now)
}

// cancelAttempt cancels an attempt. The ID of its stream is not known before the engine
// acknowledges it. Until then the connection is kept open, for streamIDTimeout at most, so that the
// stream can be cancelled by its ID and does not keep running unnoticed. The caller holds the lock.
func (s *session) cancelAttempt(a generation.Cancel) {
	at := s.attempts[a.Attempt]
	if at != nil {
		at.cancelled = true
	}
	if a.Stream.ID != "" {
		if at != nil {
			at.cancel()
		}
		s.Backends.Cancel(a.Stream.Endpoint, a.Stream.ID, a.Attempt)
		return
	}
	if at != nil {
		time.AfterFunc(streamIDTimeout, at.cancel)
	}
}

// streamIDTimeout is how long a cancelled attempt waits for the ID of its stream. An engine that
// was frozen processes the request when it recovers. It would generate the whole answer although
// nobody reads it.
const streamIDTimeout = 30 * time.Second

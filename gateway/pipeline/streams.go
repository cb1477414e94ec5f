package pipeline

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/endpoint"
)

func (s *session) begin(number int, run func(context.Context, *attempt)) {
	ctx, cancel := context.WithCancel(s.ctx)
	at := &attempt{cancel: cancel}
	s.attempts[number] = at
	go func() {
		defer cancel()
		run(ctx, at)
	}()
}

// roomWait is how long an attempt waits for room at an endpoint before the machine is
// told that there is none.
const roomWait = 150 * time.Millisecond

// open routes an attempt and starts its stream.
func (s *session) open(ctx context.Context, a generation.Start, at *attempt) {
	req := s.routing
	s.mu.Lock()
	req.Avoid, req.Recovery, req.Version = a.Avoid, a.Recovery, s.x.entry.Version
	s.mu.Unlock()
	weights, ok := s.mayStart(a.Attempt)
	if !ok {
		return
	}
	req.Weights = weights
	e, err := s.pick(ctx, &req, time.Now().Add(roomWait))
	if err != nil {
		s.Crashes.Tried(s.request, s)
		s.failed(a.Attempt, generation.NoEndpoint, 0)
		return
	}
	id := e.ID
	defer s.Backends.Finished(id)
	s.mu.Lock()
	at.endpoint = id
	s.machine.Routed(a.Attempt, id)
	start := s.startRequest(a)
	s.mu.Unlock()
	ctx, span := s.Tracer.Start(ctx, "engine")
	defer span.End()
	sentAt := time.Now()
	stream, err := s.Client.Open(ctx, e.Address, start)
	if err = s.read(a.Attempt, id, stream, err); err != nil {
		s.blame(ctx, &e, sentAt, at, err)
		s.Crashes.Tried(s.request, s)
		s.endpointFailed(a.Attempt, id, err)
	}
}

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

// seed is the caller's, or one made from the generation's name, so that every instance
// that goes on with it uses the same.
func (s *session) seed() int64 {
	if s.x.Generation.Seed != nil {
		return *s.x.Generation.Seed
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.x.entry.Generation))
	return int64(h.Sum64() >> 1)
}

func (s *session) resume(ctx context.Context, a generation.Resume, at *attempt) {
	id := a.Stream.Endpoint
	address, ok := s.Backends.Address(id)
	if !ok {
		s.failed(a.Attempt, generation.Gone, 0)
		return
	}
	s.mu.Lock()
	at.endpoint = id
	s.mu.Unlock()
	s.Backends.Sent(id)
	defer s.Backends.Finished(id)
	stream, err := s.Client.Resume(ctx, address, s.x.entry.Generation, a.Stream.ID, a.From, a.Attempt)
	if err = s.read(a.Attempt, id, stream, err); err != nil {
		s.endpointFailed(a.Attempt, id, err)
	}
}

// read reads a stream to its end; err is why it was not opened. It returns how it ended, nil for well.
func (s *session) read(number int, id string, stream *endpoint.Stream, err error) error {
	if err != nil {
		return err
	}
	defer stream.Close()
	return stream.Receive(&receiver{s: s, number: number, endpoint: id})
}

// failureOf turns an endpoint's error into the machine's.
func failureOf(err error) generation.Failure {
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

func (s *session) endpointFailed(number int, id string, err error) {
	why, wait := failureOf(err), endpoint.RetryAfter(err)
	s.mu.Lock()
	ours := s.closed || s.attempts[number].dropped
	s.mu.Unlock()
	if ours {
		return // we closed it ourselves
	}
	unreachable := why == generation.Refused && wait == 0
	if why == generation.Broken || why == generation.Gone || unreachable {
		s.Backends.Failed(id)
	}
	s.failed(number, why, wait)
}

func (s *session) failed(number int, why generation.Failure, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if current, _ := s.machine.Attempt(); current == number && s.machine.Journal().Len() > 0 {
		s.lost(now)
	}
	s.machine.Failed(now, number, why, wait)
	s.settle(now)
}

// probe asks on a new connection whether a stream still runs.
func (s *session) probe(a generation.Probe) {
	address, ok := s.Backends.Address(a.Stream.Endpoint)
	ctx, cancel := context.WithTimeout(s.ctx, s.x.Deployment.RecoveryConfig(s.recovery).ProbeTimeout)
	defer cancel()
	var st endpoint.StreamState
	var err error
	if ok {
		st, err = s.Client.Probe(ctx, address, a.Stream.ID)
	}
	alive := ok && err == nil
	if alive {
		s.Backends.Succeeded(a.Stream.Endpoint)
	} else {
		s.Backends.Failed(a.Stream.Endpoint)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.machine.Probed(now, a.Attempt, alive, st.Index)
	s.settle(now)
}

// drop cancels an attempt. One that was not acknowledged has no name yet: its connection
// is kept until the engine names the stream, so that it does not run on unnoticed.
func (s *session) drop(a generation.Cancel) {
	at := s.attempts[a.Attempt]
	if at != nil {
		at.dropped = true
	}
	if a.Stream.ID != "" {
		if at != nil {
			at.cancel()
		}
		s.Backends.Cancel(a.Stream.Endpoint, a.Stream.ID, a.Attempt)
		return
	}
	if at != nil {
		time.AfterFunc(unnamedWait, at.cancel)
	}
}

// unnamedWait is how long a cancelled attempt waits for its stream's name. An engine that
// was frozen takes the request up when it returns, and would run it to the end unread.
const unnamedWait = 30 * time.Second

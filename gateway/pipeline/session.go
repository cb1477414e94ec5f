package pipeline

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/endpoint"
)

// session carries out the decisions of one generation's machine: it opens, resumes,
// probes and cancels streams, and hands accepted tokens to the sink. The lock is held
// while the machine is stepped and while a token is written, so that a slow caller holds
// back its own generation only.
type session struct {
	*Deps
	x       *Exchange
	routing routing.Request
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	machine  *generation.Machine
	sink     sink
	attempts map[int]*attempt
	timer    *time.Timer
	timerAt  time.Time
	ended    chan struct{}
	finish   *generation.Finish
	fail     *generation.Fail

	lostAt    time.Time // when the stream that fed the caller was found to be lost
	lastToken time.Time
	announced bool // the directory knows of it
	keepEntry bool // the directory keeps it for a caller that may come back
	closed    bool // nothing is done any more, and the caller's connection is not used
}

// attempt is what the session holds of one attempt.
type attempt struct {
	endpoint string
	cancel   context.CancelFunc
	acked    bool
	dropped  bool
}

func newSession(d *Deps, x *Exchange, r routing.Request) *session {
	return &session{Deps: d, x: x, routing: r, attempts: map[int]*attempt{}, ended: make(chan struct{})}
}

// start makes the machine and carries out its first action. The streams live on when the
// caller goes away, until the session decides what becomes of them.
func (s *session) start(ctx context.Context) {
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.x.atEnd(s.close)
	g := s.x.Generation
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sink = newSink(s.Deps, s.x)
	now := time.Now()
	s.machine = generation.New(s.x.Deployment.RecoveryConfig(s.recovery), s.x.origin, g.Stream, endpoint.PromptTokens(g.Prompt), now, s.x.Deadline)
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.timerAt = now.Add(time.Hour)
	s.settle(now)
	if s.x.Key == "" {
		time.AfterFunc(s.Settings.Peers.Directory, s.announceLate)
	}
}

// settle carries out what the machine decided, and sets the timer. The lock is held.
func (s *session) settle(now time.Time) {
	if s.closed {
		return
	}
	for _, a := range s.machine.Ready() {
		s.perform(a)
	}
	if s.machine.Ended() {
		s.timer.Stop()
		return
	}
	if at := s.machine.Deadline(now); at.Before(s.timerAt) {
		s.timerAt = at
		s.timer.Reset(max(at.Sub(now), 0))
	}
}

// tick lets time pass for the machine. The timer may be early; it is then set again.
func (s *session) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine.Ended() {
		return
	}
	now := time.Now()
	s.timerAt = now.Add(time.Hour)
	before := s.machine.Stats().Silences
	s.machine.Tick(now)
	if s.machine.Stats().Silences > before {
		s.lost(now)
	}
	s.suspectUnacknowledged()
	s.settle(now)
}

// suspectUnacknowledged takes note of engines whose acknowledgement did not come in time:
// the machine has just queued the cancelling of such attempts.
func (s *session) suspectUnacknowledged() {
	for n, a := range s.attempts {
		if !a.acked && !a.dropped && a.endpoint != "" && s.machine.GaveUp(n) {
			s.Backends.Failed(a.endpoint)
		}
	}
}

func (s *session) lost(now time.Time) {
	if s.lostAt.IsZero() {
		s.lostAt = now
	}
}

func (s *session) perform(a generation.Action) {
	switch a := a.(type) {
	case generation.Start:
		s.begin(a.Attempt, func(ctx context.Context, at *attempt) { s.open(ctx, a, at) })
	case generation.Resume:
		s.begin(a.Attempt, func(ctx context.Context, at *attempt) { s.resume(ctx, a, at) })
	case generation.Probe:
		go s.probe(a)
	case generation.Cancel:
		s.drop(a)
	case generation.Finish:
		s.finish = &a
		s.end()
	case generation.Fail:
		s.fail = &a
		s.end()
	}
}

func (s *session) end() {
	s.metrics.generation(s.machine.Stats())
	close(s.ended)
}

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
	req.Avoid, req.Recovery = a.Avoid, a.Recovery
	e, err := s.pick(ctx, &req, time.Now().Add(roomWait))
	if err != nil {
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
	stream, err := s.Client.Open(ctx, e.Address, start)
	s.receive(a.Attempt, id, stream, err)
}

func (s *session) startRequest(a generation.Start) *endpoint.StartRequest {
	g, dep := s.x.Generation, s.x.Deployment
	r := &endpoint.StartRequest{
		Generation: s.x.entry.Generation, Attempt: a.Attempt, Model: dep.Model, Version: dep.ModelVersion,
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
	s.receive(a.Attempt, id, stream, err)
}

// receive reads a stream to its end and reports how it ended.
func (s *session) receive(number int, id string, stream *endpoint.Stream, err error) {
	if err == nil {
		r := &receiver{s: s, number: number, endpoint: id}
		err = stream.Receive(r)
		stream.Close()
	}
	if err != nil {
		s.endpointFailed(number, id, err)
	}
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
	case errorx.IsOfType(err, endpoint.ErrCrossed):
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

// unnamedWait is how long a cancelled attempt waits for its stream's name.
const unnamedWait = 5 * time.Second

// place returns the session's entry for the directory. The lock is held.
func (s *session) place() directory.Entry {
	e := s.x.entry
	number, stream := s.machine.Attempt()
	e.Place = directory.Place{Attempt: number, Endpoint: stream.Endpoint, Stream: stream.ID}
	return e
}

// announce tells the directory where the generation runs. The lock is held.
func (s *session) announce() {
	if s.x.Key == "" && !s.announced && time.Since(s.x.Received) < s.Settings.Peers.Directory {
		return // most generations are over soon
	}
	s.announced = true
	s.Running.Update(s.ctx, s.place())
}

// announceLate enters a generation without a key, once it has run for a while.
func (s *session) announceLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, stream := s.machine.Attempt(); s.machine.Ended() || stream.ID == "" {
		return
	}
	s.announced = true
	s.Running.Update(s.ctx, s.place())
}

// close ends what is left of the session: nothing is sent to the caller any more.
func (s *session) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.machine.Ended() {
		s.metrics.generation(s.machine.Stats())
	}
	s.closed = true
	s.timer.Stop()
	if s.announced || s.x.Key != "" {
		s.Running.Finish(context.WithoutCancel(s.ctx), s.x.entry.Key, s.finish != nil || s.keepEntry)
	}
	for _, at := range s.attempts {
		if at.acked || !at.dropped {
			at.cancel()
		}
	}
	time.AfterFunc(unnamedWait, s.cancel) // cancelled attempts may still learn their stream's name
}

// receiver hands a stream's events to the machine.
type receiver struct {
	s        *session
	number   int
	endpoint string
}

// Acked implements endpoint.Receiver.
func (r *receiver) Acked(a *endpoint.Ack) {
	s := r.s
	s.Backends.Succeeded(r.endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.attempts[r.number].acked = true
	if s.closed {
		s.Backends.Cancel(r.endpoint, a.Stream, r.number)
		return
	}
	s.machine.Acked(now, r.number, generation.Stream{Endpoint: r.endpoint, ID: a.Stream}, a.Index, uint64(a.Hash), a.Cached)
	s.settle(now)
	if number, _ := s.machine.Attempt(); number == r.number && !s.machine.Ended() {
		s.sink.attempt(s.place())
		s.announce()
	}
}

// Token implements endpoint.Receiver. This is the hot path.
func (r *receiver) Token(index int, text []byte) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := time.Now()
	accepted := s.machine.Token(now, r.number, index, text)
	if accepted {
		s.count(now)
		s.sink.token(now, index, text, s.machine.Journal().Hash())
		s.machine.Alive(time.Now(), r.number) // a slow caller is not the engine's silence
	}
	s.settle(now)
}

// count keeps the figures of a token that goes to the caller.
func (s *session) count(now time.Time) {
	s.metrics.tokens.Inc(1)
	if s.lastToken.IsZero() {
		s.metrics.firstToken.Record(now.Sub(s.x.Received))
	}
	if !s.lostAt.IsZero() {
		s.metrics.resume.Record(now.Sub(s.lostAt))
		s.lostAt = time.Time{}
	}
	s.lastToken = now
}

// Alive implements endpoint.Receiver.
func (r *receiver) Alive() {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.machine.Alive(now, r.number)
	s.settle(now)
}

// Ended implements endpoint.Receiver.
func (r *receiver) Ended(e *endpoint.End) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.machine.Done(now, r.number, e.Total, uint64(e.Hash), e.Reason)
	s.settle(now)
}

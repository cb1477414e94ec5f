package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/endpoint"
)

// session carries out the decisions of one generation's machine: it opens, resumes,
// probes and cancels streams, and hands accepted tokens to the sink. The lock is held
// while the machine is stepped and while a token is written, so that a slow caller holds
// back its own generation only.
type session struct {
	*Deps
	x       *Exchange
	request crashers.Request
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

	losses crashes.Losses
}

// attempt is what the session holds of one attempt.
type attempt struct {
	endpoint string
	cancel   context.CancelFunc
	acked    bool
	dropped  bool
	// ackedAt is when its engine took it, and tokenAt when its first token came; zero when they did not.
	ackedAt, tokenAt time.Time
	served           bool // long enough for the request to be cleared
}

func newSession(d *Deps, x *Exchange, r routing.Request) *session {
	return &session{Deps: d, x: x, request: x.identity(), routing: r, attempts: map[int]*attempt{}, ended: make(chan struct{})}
}

// start makes the machine and carries out its first action. The streams live on when the
// caller goes away, until the session decides what becomes of them.
func (s *session) start(ctx context.Context) {
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.x.atEnd(s.close)
	g := s.x.Generation
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sink = newSink(s.x)
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
		if !a.acked && !a.dropped && a.endpoint != "" && s.machine.Abandoned(n) {
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
		s.served()
		s.losses.End(true)
		s.end()
	case generation.Fail:
		s.fail = &a
		s.losses.End(false)
		s.end()
	}
}

func (s *session) end() {
	s.metrics.generation(s.machine.Stats())
	close(s.ended)
}

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
	if _, stream := s.machine.Attempt(); s.closed || s.machine.Ended() || stream.ID == "" {
		return
	}
	s.announced = true
	s.Running.Update(s.ctx, s.place())
}

// close ends what is left of the session: nothing is sent to the caller any more.
func (s *session) close() {
	s.Crashes.Tried(s.request, s)
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

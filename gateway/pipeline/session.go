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

// session carries out the actions of one generation's machine: it opens, resumes, probes and
// cancels streams. It passes accepted tokens to the sink. The lock is held during calls of the
// machine and while a token is written, so a slow caller holds back only its own generation.
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

	streamLostAt time.Time // when the stream that the caller was served from was found lost; zero if it was not
	lastToken    time.Time
	announced    bool // the generation is entered in the directory
	keepEntry    bool // the directory entry is kept at the end, for a caller that may come back
	closed       bool // the session takes no more actions and does not write to the caller

	losses crashes.Losses
}

// attempt is the session's state of one attempt.
type attempt struct {
	endpoint  string
	sentAt    time.Time // when the endpoint was chosen
	cancel    context.CancelFunc
	acked     bool
	cancelled bool
	// ackedAt is when the engine acknowledged the attempt, and tokenAt when its first token
	// arrived; zero if they have not.
	ackedAt, tokenAt time.Time
	progressed       bool // it has produced tokens for crashes.ProgressAfter
}

func newSession(d *Deps, x *Exchange, r routing.Request) *session {
	return &session{Deps: d, x: x, request: x.identity(), routing: r, attempts: map[int]*attempt{}, ended: make(chan struct{})}
}

// start creates the machine and carries out its first actions. Streams don't end when the caller
// disconnects: the session decides how long they go on.
func (s *session) start(ctx context.Context) {
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.x.addCleanup(s.close)
	g := s.x.Generation
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sink = newSink(s.x)
	now := time.Now()
	s.machine = generation.New(s.x.Deployment.RecoveryConfig(s.recovery), s.x.origin, g.Stream, endpoint.PromptTokens(g.Prompt), now, s.x.Deadline)
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.timerAt = now.Add(time.Hour)
	s.runActions(now)
	if s.x.IdempotencyKey == "" {
		time.AfterFunc(s.Settings.Peers.Directory, s.announceDelayed)
	}
}

// runActions carries out the actions that the machine has queued, and sets the timer. The caller
// holds the lock.
func (s *session) runActions(now time.Time) {
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

// tick reports the current time to the machine. The timer may fire early; runActions then sets it
// again.
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
		s.markStreamLost(now)
	}
	s.suspectUnacknowledged()
	s.runActions(now)
}

// suspectUnacknowledged marks engines as failed that did not acknowledge an attempt in time. The
// machine has queued the cancellation of such an attempt, but runActions has not carried it out
// yet. The caller holds the lock.
func (s *session) suspectUnacknowledged() {
	for n, a := range s.attempts {
		if !a.acked && !a.cancelled && a.endpoint != "" && s.machine.Abandoned(n) {
			s.Backends.TimedOut(a.endpoint, a.sentAt)
		}
	}
}

// markStreamLost records when the stream to the caller was interrupted, unless that is recorded
// already. The caller holds the lock.
func (s *session) markStreamLost(now time.Time) {
	if s.streamLostAt.IsZero() {
		s.streamLostAt = now
	}
}

// perform carries out one action. The caller holds the lock.
func (s *session) perform(a generation.Action) {
	switch a := a.(type) {
	case generation.Start:
		s.startAttempt(a.Attempt, func(ctx context.Context, at *attempt) { s.openStream(ctx, a, at) })
	case generation.Resume:
		s.startAttempt(a.Attempt, func(ctx context.Context, at *attempt) { s.resumeStream(ctx, a, at) })
	case generation.Probe:
		go s.probe(a)
	case generation.Cancel:
		s.cancelAttempt(a)
	case generation.Finish:
		s.finish = &a
		s.clearOnAnswer()
		s.losses.End(true)
		s.signalEnd()
	case generation.Fail:
		s.fail = &a
		s.losses.End(false)
		s.signalEnd()
	}
}

// signalEnd records the counters of the generation and wakes the relay filter. The caller holds the
// lock.
func (s *session) signalEnd() {
	s.metrics.recordGeneration(s.machine.Stats())
	close(s.ended)
}

// directoryEntry returns the directory entry for the current attempt. The caller holds the lock.
func (s *session) directoryEntry() directory.Entry {
	e := s.x.entry
	number, stream := s.machine.Attempt()
	e.Place = directory.Place{Attempt: number, Endpoint: stream.Endpoint, Stream: stream.ID}
	return e
}

// announce updates the directory with the current attempt. The caller holds the lock.
func (s *session) announce() {
	if s.x.IdempotencyKey == "" && !s.announced && time.Since(s.x.Received) < s.Settings.Peers.Directory {
		return // most generations end before they need an entry
	}
	s.announced = true
	s.Running.Update(s.ctx, s.directoryEntry())
}

// announceDelayed enters a generation without an idempotency key in the directory, once it has run
// for the configured time.
func (s *session) announceDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, stream := s.machine.Attempt(); s.closed || s.machine.Ended() || stream.ID == "" {
		return
	}
	s.announced = true
	s.Running.Update(s.ctx, s.directoryEntry())
}

// close ends the session. Nothing is sent to the caller after it.
func (s *session) close() {
	s.Crashes.ReleaseTrial(s.request, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.machine.Ended() {
		s.metrics.recordGeneration(s.machine.Stats())
	}
	s.closed = true
	s.timer.Stop()
	if s.announced || s.x.IdempotencyKey != "" {
		s.Running.Finish(context.WithoutCancel(s.ctx), s.x.entry.Key, s.finish != nil || s.keepEntry)
	}
	for _, at := range s.attempts {
		if at.acked || !at.cancelled {
			at.cancel()
		}
	}
	time.AfterFunc(streamIDTimeout, s.cancel) // cancelled attempts may still be waiting for their stream's ID
}

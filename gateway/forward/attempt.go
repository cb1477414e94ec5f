package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/rollouts"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// messagesAhead is how many events an attempt may be ahead of the caller: enough to cover a wake-up,
// few enough that a caller who does not read costs 16 events of memory.
const messagesAhead = 16

// messageKind says what an attempt reports.
type messageKind int

const (
	attemptSent    messageKind = iota // it is connected and being sent
	attemptEvent                      // an event came
	attemptDone                       // the answer ended properly
	attemptFailed                     // it ended otherwise
	attemptProbed                     // its engine was asked whether it is alive
	attemptCopied                     // its engine was asked for a copy of its memory
	sessionStopped                    // its request ends the engines that run it
)

// message is what an attempt reports to its session.
type message struct {
	kind     messageKind
	attempt  int
	endpoint string
	// block and id are an event, where one came; numbered tells whether it has an id.
	block    []byte
	id       uint64
	numbered bool
	// failure and err say how the attempt failed; answer is the engine's own word on it, if any.
	failure generation.Failure
	err     error
	answer  *answer
	// alive and events are an engine's answer to a probe.
	alive  bool
	events int
	// holder is the copy that was made; zero when none was.
	holder copies.Holder
	// headAt is when the answer of an attempt that failed began; zero when it did not.
	headAt time.Time
}

// attempt is one engine's stream for a session. It runs in a goroutine of its own.
type attempt struct {
	session  *session
	number   int
	endpoint routing.Endpoint
	send     platform.Send
	header   http.Header // of the engine's answer; set before the first event is reported
	cancel   context.CancelFunc

	// repeat tells that the request was sent before.
	repeat bool
	// from is the copy of the run's memory from which it goes on; zero when the prompt has to be read.
	from copies.Holder
	// sent tells that it was sent, began that an event of it came, over that it reported its end, and
	// refused that its engine has not run it. They belong to the session's goroutine.
	sent, began, over, refused bool
	events                     int // that came

	placed routing.Placed
	once   sync.Once // the prompt was read
	// reading is how many prompt tokens the engine has to read until the first event, those ahead of the own ones
	// included; 0 where that is not known, and began when it was sent.
	reading int
	sentAt  time.Time
	// silent is set when it was given up since nothing came.
	silent atomic.Bool
	// trial counts the attempt where its service moves to another build; nil elsewhere. firstAt is when its first event came.
	trial   *rollouts.Trial
	firstAt time.Time
	// loss is what it would be if its engine were lost now. Once it is launched it belongs to the goroutine of the attempt.
	loss crashes.Loss
}

// launch sends the request to an engine. from is a copy of the run's memory there; the zero holder
// when the prompt has to be read. cached tells that the engine may have read a part of it already.
func (s *session) launch(number int, e *routing.Endpoint, from copies.Holder, cached bool) {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{session: s, number: number, endpoint: *e, cancel: cancel, repeat: s.sent(), from: from, placed: routing.Placed{Tokens: s.tokens()}}
	if !a.recovery() {
		a.placed.PendingPrefill = s.req.PromptTokens
	}
	if a.placed.PendingPrefill > 0 && !cached {
		a.reading = a.placed.PendingPrefill + s.f.Placement.Unread(e.ID)
	}
	a.sentAt = time.Now()
	a.loss = s.req.loss(e)
	a.loss.Served, a.loss.Async = s.served, s.relayed > 0
	a.send = platform.Send{
		Endpoint: e.RequestName(), Left: s.req.left(time.Now()), Team: s.req.teamName(), Rank: s.req.rank,
		LastEvent: s.lastEvent, CopyFrom: from.Address, CopyName: from.Handle, CopyTo: s.placeCopy(e),
	}
	a.trial = s.f.Rollouts.Begin(s.req.route.Name, e)
	s.attempts[number] = a
	s.f.Placement.Sent(e.ID, a.placed)
	s.f.firstStream.Do(func() { s.f.metrics.startPlaced.RecordDuration(time.Since(s.f.began)) })
	s.f.Others.Changed(e.ID, s.copyAt)
	s.logPlaced(a)
	go a.run(ctx)
}

// recovery tells that the attempt goes on from a copy of the run's memory.
func (a *attempt) recovery() bool { return a.from != copies.Holder{} }

// read records that the engine has read the prompt: it made an event.
func (a *attempt) read() {
	a.began = true
	a.once.Do(func() {
		f, id := a.session.f, a.endpoint.ID
		a.trial.Answered(a.readTime(time.Now()))
		f.Placement.Release(id, routing.Placed{PendingPrefill: a.placed.PendingPrefill})
		f.Placement.Stored(id, a.session.req.promptKey())
		f.Placement.Succeeded(id)
		if a.reading > 0 {
			took := time.Since(a.sentAt)
			f.Placement.Read(id, a.reading, took)
			f.streamTimes.change(a.session.req.service, func(t *limits.StreamTimes) { t.ObservePrefill(a.reading, took) })
		}
		f.reads.add(a.session.req.promptKey(), id)
		f.Others.Freed(id)
	})
}

func (a *attempt) run(ctx context.Context) {
	f := a.session.f
	defer func() {
		a.once.Do(func() { f.Placement.Release(a.endpoint.ID, routing.Placed{PendingPrefill: a.placed.PendingPrefill}) })
		f.Placement.Finished(a.endpoint.ID, routing.Placed{Tokens: a.placed.Tokens})
		f.Others.Freed(a.endpoint.ID)
	}()
	hop, span := f.hop(ctx, &a.endpoint)
	m := a.exchange(hop)
	endHop(span, m.err)
	if m.kind == attemptFailed && m.failure == generation.Broken {
		pause.For(ctx, f.Rollouts.ResumeWait(&a.endpoint))
	}
	a.tell(ctx, m)
}

// tell reports to the session, unless the attempt was given up.
func (a *attempt) tell(ctx context.Context, m message) {
	m.attempt, m.endpoint = a.number, a.endpoint.ID
	select {
	case a.session.messages <- m:
	case <-ctx.Done():
	}
}

// exchange sends the request and reports the events; it returns how the attempt ended.
func (a *attempt) exchange(ctx context.Context) message {
	s := a.session
	if a.repeat && !s.f.hasRoom(s.req.service, a.recovery()) { // a connection would be made in vain
		return a.noRoom()
	}
	conn, err := s.f.connect(ctx, s.req, &a.endpoint)
	if err != nil {
		return message{kind: attemptFailed, failure: generation.Refused, err: err}
	}
	if a.repeat && !s.f.mayRepeat(s.req.service, a.recovery()) {
		conn.PutBack()
		return a.noRoom()
	}
	a.loss.SentAt, a.loss.Reused = time.Now(), conn.Reused()
	a.tell(ctx, message{kind: attemptSent})
	x, err := conn.Do(ctx, s.req.outgoing(&a.send), s.req.mine)
	if err != nil {
		return a.lost(ctx, err)
	}
	defer x.Abort() // no effect after Finish
	told := platform.ReadAnswer(x.Status(), x.Header())
	s.f.learn(a.endpoint.ID, &told)
	switch {
	case told.NotRun:
		return message{kind: attemptFailed, failure: generation.Refused, err: s.f.refusedBy(&a.endpoint, x.Status())}
	case x.Status() != http.StatusOK:
		return a.engineFailed(x)
	case !told.Signed:
		return message{kind: attemptFailed, failure: generation.Broken, err: errUnsigned}
	}
	a.header = platform.ToClient(x.Header())
	a.loss.HeadAt = time.Now()
	m := a.relay(ctx, x)
	m.headAt = a.loss.HeadAt
	return m
}

// noRoom ends an attempt that was not sent, since too much was sent once more lately.
func (a *attempt) noRoom() message {
	return message{kind: attemptFailed, failure: generation.NoEndpoint, err: ErrBudget.New("too much was sent once more lately")}
}

// lost classifies an attempt whose answer did not come.
func (a *attempt) lost(ctx context.Context, err error) message {
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		return message{kind: attemptFailed, failure: generation.Refused, err: err}
	}
	if a.silent.Load() {
		a.session.f.judge.AttributeSilence(a.loss)
	}
	if ctx.Err() == nil {
		a.countLost()
		a.session.f.judge.Attribute(ctx, &a.session.req.losses, a.loss)
	}
	return message{kind: attemptFailed, failure: generation.Broken, err: err}
}

// countLost counts an answer that the engine did not give, or did not end.
func (a *attempt) countLost() {
	p, id := a.session.f.Placement, a.endpoint.ID
	p.Failed(id)
	p.Outcome(id, false)
	a.trial.Lost()
}

// engineFailed takes an engine's own failure. What it says of the request itself is final.
func (a *attempt) engineFailed(x *upstream.Exchange) message {
	body, err := io.ReadAll(io.LimitReader(x, answerKept))
	if err != nil {
		return message{kind: attemptFailed, failure: generation.Broken, err: err}
	}
	m := message{kind: attemptFailed, failure: generation.Gone, err: ErrEngine.New("status %d", x.Status())}
	m.answer = &answer{status: x.Status(), header: x.Header(), body: body}
	if x.Status() < http.StatusInternalServerError {
		m.failure = generation.Invalid
	}
	a.session.f.Placement.Outcome(a.endpoint.ID, m.failure == generation.Invalid)
	if m.failure != generation.Invalid {
		a.trial.Failed()
	}
	return m
}

// relay reports events until the answer ends.
func (a *attempt) relay(ctx context.Context, x *upstream.Exchange) message {
	events := newEventReader(x)
	for {
		e, err := events.next()
		if err == io.EOF {
			a.session.f.Placement.Succeeded(a.endpoint.ID)
			a.session.f.Placement.Outcome(a.endpoint.ID, true)
			x.Finish()
			return message{kind: attemptDone}
		}
		if err != nil {
			return a.lost(ctx, err)
		}
		if a.loss.FirstEventAt.IsZero() {
			a.loss.FirstEventAt = time.Now()
		}
		a.tell(ctx, message{kind: attemptEvent, block: e.block, id: e.id, numbered: e.numbered})
	}
}

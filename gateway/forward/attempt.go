package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/rollouts"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// messageBuffer is how many messages an attempt may be ahead of its session. 16 cover a goroutine
// wake-up, and a caller that does not read costs at most 16 events of memory.
const messageBuffer = 16

// messageKind is the kind of a message to a session.
type messageKind int

const (
	attemptSent     messageKind = iota // connected, and the request is being sent
	attemptEvent                       // an event arrived
	attemptDone                        // the answer ended properly
	attemptFailed                      // the attempt ended in any other way
	attemptProbed                      // a probe of the engine ended
	attemptAssessed                    // an assessment of the engine's silence ended
	attemptGranted                     // the engine has answered since the request was sent
	attemptCopied                      // a copy requested from the engine ended
	requestStopped                     // the request was stopped because it crashes engines
)

// message is a report from an attempt to its session.
type message struct {
	kind     messageKind
	attempt  int
	endpoint string
	// raw and id are the event of an attemptEvent; hasID reports whether the event has a numeric
	// id.
	raw   []byte
	id    uint64
	hasID bool
	// failure and err say how the attempt failed. answer is the engine's own error answer, if any.
	failure generation.Failure
	err     error
	answer  *answer
	// alive and events are the result of a probe.
	alive  bool
	events int
	// assessment is the result of an attemptAssessed.
	assessment *assessment
	// holder is the copy that was made; zero when the copy failed.
	holder copies.Holder
	// headAt is when the answer of a failed attempt began; zero when it did not begin.
	headAt time.Time
}

// attempt is the stream of one engine for a session. It runs in its own goroutine.
type attempt struct {
	session  *session
	number   int
	endpoint routing.Endpoint
	// helper is the instance that the request is passed on to, in place of an engine; nil for none.
	helper *Helper
	// lease is the number under which room at a fragile engine is held; 0 for none. roomOutcome is
	// what is reported when it is released.
	lease       uint64
	roomOutcome admission.Outcome
	send        platform.EndpointRequest
	header      http.Header // of the engine's answer; set before the first event is reported
	cancel      context.CancelFunc

	// isRetry is set when the request was sent before.
	isRetry bool
	// resumeFrom is the copy of the run's memory to resume from; zero when the prompt has to be
	// prefilled.
	resumeFrom copies.Holder
	// sent is set when the request was sent, hasEvent when an event arrived, ended when the attempt
	// reported its end, and refused when the engine has not run the request. They belong to the
	// session's goroutine.
	sent, hasEvent, ended, refused bool
	eventCount                     int // received so far
	// unlisted is set when the engine's last answer did not list the request.
	unlisted bool

	placed      routing.Placed
	prefillOnce sync.Once // runs when the prompt was prefilled, or at the end of the attempt
	// prefillTokens is how many prompt tokens the engine has to prefill before the first event,
	// including the tokens queued ahead of this prompt; 0 when unknown.
	prefillTokens int
	// prefillWeight is the weight of an observation of the engine's speed.
	prefillWeight float64
	sentAt        time.Time
	// unaskedProbes counts the probes that were withheld from the engine.
	unaskedProbes atomic.Int32
	// contender is set until the attempt becomes the current one of its session. left is set when
	// another attempt has replaced it. copies and copyEngineID are those of a contender; see
	// [session].
	contender, left bool
	copies          *copies.Tracker
	copyEngineID    string
	// ownSilence is set when the session gave up the attempt because the engine went silent. It reports
	// whether the silence is the engine's own, and takes a moment to find that out.
	ownSilence atomic.Pointer[func() bool]
	// rolloutTrial counts the attempt when its service moves to another build; nil otherwise.
	// firstEventAt is the arrival time of its first event.
	rolloutTrial *rollouts.Trial
	firstEventAt time.Time
	// lastEventAt is the arrival time of its last event; zero before the first.
	lastEventAt time.Time
	// potentialLoss describes the loss to report if the engine were lost now. After the launch it
	// belongs to the attempt's goroutine.
	potentialLoss crashes.Loss
	// slack reports what is left of the stream.
	slack slackReport
}

// launch starts an attempt at an engine.
func (s *session) launch(number int, choice *engineChoice) {
	ctx, cancel := context.WithCancel(s.ctx)
	e, resumeFrom := choice.endpoint, choice.resumeFrom
	a := &attempt{
		session: s, number: number, endpoint: *e, helper: choice.helper, lease: choice.lease, cancel: cancel, isRetry: s.wasSent(), resumeFrom: resumeFrom, placed: routing.Placed{Tokens: s.peakTokens()},
		contender: choice.contender,
	}
	if choice.helper != nil {
		s.launchAtPeer(ctx, a)
		return
	}
	if !a.resumesFromCopy() {
		a.placed.SetPendingPrefill(s.req.PromptTokens, s.req.priority)
	}
	if a.placed.PendingPrefill > 0 && !choice.mayBeCached {
		a.prefillTokens, a.prefillWeight = s.f.Placement.PrefillTokens(e.ID, a.placed.PendingPrefill, s.req.priority)
	}
	a.sentAt = time.Now()
	a.potentialLoss = s.req.loss(e)
	a.potentialLoss.ServedBefore, a.potentialLoss.Async = s.hasProgressed(), s.relayedEvents > 0
	a.send = platform.EndpointRequest{
		EndpointName: e.RequestName(), TimeLeft: s.req.timeLeft(time.Now()), Team: s.req.teamName(), Priority: s.req.priority.Level,
		LastEventID: s.lastEventID, CopyFrom: resumeFrom.Address, CopyHandle: resumeFrom.Handle, CopyTo: s.placeCopy(a),
	}
	a.rolloutTrial = s.f.Rollouts.Begin(s.req.route.Name, e)
	s.attempts[number] = a
	s.f.Placement.Sent(e.ID, a.placed)
	s.beginSlackReport(a)
	s.f.firstStreamOnce.Do(func() { s.f.metrics.startToFirstStream.RecordDuration(time.Since(s.f.startedAt)) })
	s.f.Peers.Changed(e.ID, s.copyEngineOf(a))
	s.logPlaced(a)
	go a.run(ctx)
}

// launchAtPeer starts an attempt that passes the request on to a helper. The helper places the stream
// and its copy.
func (s *session) launchAtPeer(ctx context.Context, a *attempt) {
	a.placed = routing.Placed{}
	a.sentAt = time.Now()
	a.send = platform.EndpointRequest{LastEventID: s.lastEventID}
	s.trackerFor(a).RunStarted(a.sentAt, copies.Holder{})
	s.attempts[a.number] = a
	s.f.Log.Decision(s.req.ID, "passed on to a peer", logrus.Fields{"attempt": a.number, "peer": a.helper.ID, "data_centre": a.helper.DataCentre, "events": s.relayedEvents})
	s.f.metrics.countPassedOn("stream")
	go func() { a.report(ctx, a.exchangeWithPeer(ctx)) }()
}

// resumesFromCopy reports whether the attempt resumes from a copy of the run's memory.
func (a *attempt) resumesFromCopy() bool { return a.resumeFrom != copies.Holder{} }

// recordPrefilled records at the first event that the engine has prefilled the prompt.
func (a *attempt) recordPrefilled() {
	a.hasEvent = true
	if a.helper != nil {
		return
	}
	a.prefillOnce.Do(func() {
		f, id := a.session.f, a.endpoint.ID
		a.rolloutTrial.Answered(a.prefillTimePerUnit(time.Now()))
		f.Placement.Release(id, a.placed.Prefill())
		f.Placement.RecordCachedPrompt(id, a.session.req.promptKey())
		f.Placement.Succeeded(id)
		if a.prefillTokens > 0 {
			took := time.Since(a.sentAt)
			f.Placement.RecordPrefill(id, a.prefillTokens, a.prefillWeight, took)
			f.streamTimes.update(a.session.req.service, func(t *limits.StreamTimes) { t.ObservePrefill(time.Now(), a.prefillTokens, took) })
		}
		f.Peers.Release(id, a.lease, admission.Begun)
		f.promptLocations.add(a.session.req.promptKey(), id)
		f.Peers.Freed(id)
	})
}

func (a *attempt) run(ctx context.Context) {
	f := a.session.f
	defer func() {
		f.Peers.Release(a.endpoint.ID, a.lease, a.roomOutcome)
		a.slack.end(f.Placement, a.endpoint.ID)
		a.prefillOnce.Do(func() { f.Placement.Release(a.endpoint.ID, a.placed.Prefill()) })
		f.Placement.Finished(a.endpoint.ID, routing.Placed{Tokens: a.placed.Tokens})
		f.Peers.Freed(a.endpoint.ID)
	}()
	hop, span := f.startHop(ctx, &a.endpoint)
	m := a.exchange(hop)
	endHop(span, m.err)
	if m.kind == attemptFailed && m.failure == generation.Broken {
		pause.For(ctx, f.Rollouts.ResumeWait(&a.endpoint))
	}
	a.report(ctx, m)
}

// report sends a message to the session, unless the attempt was cancelled.
func (a *attempt) report(ctx context.Context, m message) {
	m.attempt, m.endpoint = a.number, a.endpoint.ID
	select {
	case a.session.messages <- m:
	case <-ctx.Done():
	}
}

// exchange sends the request and reports the events. It returns how the attempt ended.
func (a *attempt) exchange(ctx context.Context) message {
	s := a.session
	if s.req.reached.Load() && !s.f.mayTakeRetry(s.req, a.resumesFromCopy()) { // avoid a useless connection
		a.roomOutcome = admission.Withdrawn
		return a.failWithoutBudget()
	}
	conn, err := s.f.connect(ctx, s.req, &a.endpoint)
	if err != nil {
		a.roomOutcome = connectOutcome(err)
		if !errorx.IsOfType(err, ErrWithheld) {
			go s.f.checkReach(s.f.shutdownCtx) // the next attempt is to know the result
		}
		return message{kind: attemptFailed, failure: generation.Refused, err: err}
	}
	pass := s.f.admitArrival(s.req, a.resumesFromCopy())
	if pass == nil {
		conn.PutBack()
		a.roomOutcome = admission.Withdrawn
		return a.failWithoutBudget()
	}
	a.potentialLoss.SentAt, a.potentialLoss.Reused = time.Now(), conn.Reused()
	s.req.reached.Store(true)
	a.report(ctx, message{kind: attemptSent})
	x, err := s.f.exchange(ctx, pass, conn, a.endpoint.ID, s.req.upstreamRequest(&a.send), s.req.ownsAnswer)
	if err != nil {
		return a.classifyLoss(ctx, err)
	}
	defer x.Abort() // no effect after Finish
	signals := platform.ReadAnswer(x.Status(), x.Header())
	s.f.recordStatus(a.endpoint.ID, x.Status(), &signals)
	switch {
	case signals.NotRun:
		a.roomOutcome = refusalOutcome(x.Status())
		return message{kind: attemptFailed, failure: generation.Refused, err: s.f.recordRefusal(&a.endpoint, x.Status())}
	case x.Status() != http.StatusOK:
		return a.readEngineFailure(x)
	case !signals.Signed:
		return message{kind: attemptFailed, failure: generation.Broken, err: errUnsigned}
	}
	a.header = platform.HeadersToClient(x.Header())
	a.potentialLoss.HeadAt = time.Now()
	m := a.relayEvents(ctx, x)
	m.headAt = a.potentialLoss.HeadAt
	return m
}

// failWithoutBudget ends an attempt that was not sent because the retry budget is exhausted.
func (a *attempt) failWithoutBudget() message {
	return message{kind: attemptFailed, failure: generation.NoEndpoint, err: ErrBudget.New("too much was sent once more lately")}
}

// classifyLoss classifies an attempt whose answer did not arrive or broke off.
func (a *attempt) classifyLoss(ctx context.Context, err error) message {
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		return message{kind: attemptFailed, failure: generation.Refused, err: err}
	}
	if a.helper != nil {
		return message{kind: attemptFailed, failure: generation.Broken, err: err}
	}
	if own := a.ownSilence.Load(); own != nil {
		go a.attributeSilence(*own, a.potentialLoss)
	}
	if ctx.Err() == nil {
		a.recordLoss()
		a.session.f.attributor.Attribute(ctx, &a.session.req.losses, a.potentialLoss)
	}
	return message{kind: attemptFailed, failure: generation.Broken, err: err}
}

// attributeSilence counts a silence of the engine's own against the engine, and against the request if
// that may have caused it.
func (a *attempt) attributeSilence(own func() bool, loss crashes.Loss) {
	if !own() {
		return
	}
	if a.helper == nil {
		a.session.f.Placement.Silent(a.endpoint.ID)
		a.rolloutTrial.Lost()
	}
	a.session.f.attributor.AttributeSilence(loss)
}

// recordLoss records that the engine lost an answer.
func (a *attempt) recordLoss() {
	if a.helper != nil {
		return
	}
	p, id := a.session.f.Placement, a.endpoint.ID
	p.Failed(id)
	p.RecordOutcome(id, false)
	a.rolloutTrial.Lost()
}

// recordComplete records that the engine has completed an answer.
func (a *attempt) recordComplete() {
	if a.helper == nil {
		a.session.f.Placement.Succeeded(a.endpoint.ID)
		a.session.f.Placement.RecordOutcome(a.endpoint.ID, true)
	}
}

// body returns the body of the attempt's answer.
func (a *attempt) body(x *upstream.Exchange, isStream bool) *answerBody {
	b := &answerBody{Exchange: x, f: a.session.f, isStream: isStream}
	if a.helper == nil {
		b.endpoint = &a.endpoint
	}
	return b
}

// readEngineFailure reads an engine's own error answer. A status below 500 is about the request
// itself, so it is final.
func (a *attempt) readEngineFailure(x *upstream.Exchange) message {
	body, err := limitread.All(a.body(x, false), maxBufferedAnswer)
	if err != nil {
		return message{kind: attemptFailed, failure: generation.Broken, err: err}
	}
	m := message{kind: attemptFailed, failure: generation.Gone, err: ErrEngine.New("status %d", x.Status())}
	m.answer = &answer{status: x.Status(), header: x.Header(), body: body}
	if x.Status() < http.StatusInternalServerError {
		m.failure = generation.Invalid
	}
	a.session.f.Placement.RecordOutcome(a.endpoint.ID, m.failure == generation.Invalid)
	if m.failure != generation.Invalid {
		a.rolloutTrial.Failed()
	}
	return m
}

// relayEvents reports events until the answer ends.
func (a *attempt) relayEvents(ctx context.Context, x *upstream.Exchange) message {
	events := newEventReader(a.body(x, true))
	for {
		e, err := events.next()
		if err == io.EOF {
			a.recordComplete()
			x.Finish()
			return message{kind: attemptDone}
		}
		if err != nil {
			return a.classifyLoss(ctx, err)
		}
		if a.potentialLoss.FirstEventAt.IsZero() {
			a.potentialLoss.FirstEventAt = time.Now()
		}
		a.session.f.liveness.recordAnswer(a.endpoint.ID)
		a.report(ctx, message{kind: attemptEvent, raw: e.raw, id: e.id, hasID: e.hasID})
	}
}

package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/generation"
)

// session relays one stream of events to a caller. Its engine may change. The state machine of
// core/generation decides which attempt is current and which events are relayed. All fields belong
// to the goroutine that runs the session.
type session struct {
	f       *Forwarder
	req     *request
	w       http.ResponseWriter
	ctx     context.Context
	machine *generation.Machine

	messages chan message
	attempts map[int]*attempt
	// firstID is the id of the event with index 0, if firstIDKnown is set.
	firstID      uint64
	firstIDKnown bool
	// lastEventID is the id of the last relayed event, at first the Last-Event-ID of the caller.
	lastEventID   string
	relayedEvents int
	// copies tracks where a copy of the run's memory is held. copyEngineID is the engine at which
	// that memory is accounted, and copyCheckedAt is when that engine was last checked.
	copies        *copies.Tracker
	copyEngineID  string
	copyCheckedAt time.Time
	// lastFailure is an engine's own error answer, delivered when no other engine does better.
	lastFailure *answer
	// silence is the last silence that was assessed, and target the engine that was found to move to.
	silence *silence
	target  *moveTarget
	// lostAt is when a stream with relayed events lost its engine; zero while an engine serves it.
	lostAt time.Time
	// firstEventLatency is the time to the first event, and longestGap the longest gap between
	// events. firstEventAt and lastEventAt are the arrival times of the first and the last event.
	firstEventLatency, longestGap time.Duration
	firstEventAt, lastEventAt     time.Time
	// timerLate is how late the session's timer last fired: how long this process did not run.
	timerLate time.Duration
	// inCrashTrial is set while the session tries a request under which endpoints crashed.
	inCrashTrial bool
	// progressAt is when the request was reported as served for a while last; zero before.
	progressAt time.Time
	// done is closed when the session has ended.
	done chan struct{}
}

// resumeEngineWait is how long a started stream waits when no engine has room to resume it.
const resumeEngineWait = 1500 * time.Millisecond

func (f *Forwarder) serveSession(ctx context.Context, w http.ResponseWriter, req *request) {
	defer f.dropClaim(req)
	if refused := f.admitStream(ctx, req); refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	f.metrics.accepted.Inc(1)
	s := &session{
		f: f, req: req, w: w, ctx: ctx, lastEventID: req.LastEventID,
		messages: make(chan message, messageBuffer), attempts: map[int]*attempt{}, done: make(chan struct{}),
	}
	s.copies = copies.New(s.copySettings())
	if n, err := strconv.ParseUint(req.LastEventID, 10, 64); err == nil {
		s.firstID, s.firstIDKnown = n+1, true
	}
	now := time.Now()
	deadline := req.deadline
	if deadline.IsZero() {
		deadline = now.Add(defaultStreamDeadline)
	}
	s.machine = generation.New(s.generationConfig(), generation.Origin{}, true, req.PromptTokens, now, deadline)
	f.addSession(s)
	defer s.close()
	s.run()
}

// admitStream waits until an engine has room for a stream, or returns a refusal.
func (f *Forwarder) admitStream(ctx context.Context, req *request) *refusal {
	resumed := req.LastEventID != ""
	if refused := f.refuseTooLate(req, resumed || f.Placement.HoldsPrompt(req.promptKey())); refused != nil {
		return refused
	}
	if f.usesHelpers(req) {
		return nil
	}
	if refused := f.awaitEngine(ctx, req); refused != nil {
		return refused
	}
	if !resumed {
		return nil
	}
	f.locatePrompt(ctx, req)
	f.dropClaim(req) // it was claimed before it was known which engine holds the prompt
	return f.refuseTooLate(req, f.Placement.HoldsPrompt(req.promptKey()))
}

// defaultStreamDeadline is the deadline of a stream when neither caller nor route sets one.
const defaultStreamDeadline = 15 * time.Minute

// generationConfig returns the settings for recovery. Silence has to be detected early enough for
// the stream to resume within the gap that its route allows.
func (s *session) generationConfig() generation.Config {
	settings := &s.f.Settings
	c := generation.DefaultConfig(generation.Move)
	c.Unverified = true
	c.SilenceFloor = settings.SilenceFloor
	c.FirstTokenSilence = settings.FirstEventTimeout
	c.ProbeTimeout = settings.ProbeTimeout
	c.AckTimeout = settings.ConnectTimeout + ackMargin
	c.WaitForEndpoint = resumeEngineWait
	c.MaxAttempts = s.req.maxRuns()
	c.KeepSilent = !settings.Disabled.Stay
	c.OwnDelay = s.f.ownDelay()
	return c
}

// ackMargin is how much longer the state machine waits for a connection than the attempt does, so
// that the attempt is first to report that nothing was sent.
const ackMargin = 50 * time.Millisecond

func (s *session) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.adoptContender()
		for actions := s.machine.Ready(); len(actions) > 0; actions = s.machine.Ready() {
			for _, a := range actions {
				if s.perform(a) {
					return
				}
			}
		}
		now := time.Now()
		s.maintainCopy(now)
		s.recordSlowFirstEvent(now)
		wakeAt := s.nextWakeup(now)
		timer.Reset(wakeAt.Sub(now))
		select {
		case m := <-s.messages:
			s.handle(m)
		case <-timer.C:
			s.timerLate = time.Since(wakeAt)
			s.machine.Tick(time.Now())
		case <-s.ctx.Done():
			s.handleContextDone()
		}
	}
}

// nextWakeup returns when the session has to act next if no message arrives.
func (s *session) nextWakeup(now time.Time) time.Time {
	next := s.machine.Deadline(now)
	if due, ok := s.copies.Deadline(); ok && s.canCopy() && due.Before(next) {
		return due
	}
	return next
}

func (s *session) handleContextDone() {
	if errors.Is(s.ctx.Err(), context.DeadlineExceeded) {
		s.machine.Tick(s.req.deadline)
		return
	}
	if !isShutdown(s.ctx) {
		s.f.metrics.callersLeft.Inc(1)
	}
	s.machine.Abort(time.Now())
}

// perform executes an action of the state machine, and reports whether the session has ended.
func (s *session) perform(a generation.Action) bool {
	switch a := a.(type) {
	case generation.Start:
		s.start(a)
	case generation.Probe:
		s.probe(a)
	case generation.Assess:
		s.assess(a)
	case generation.Cancel:
		s.cancel(a.Attempt)
	case generation.Finish:
		s.finish()
		return true
	case generation.Fail:
		s.fail(a)
		return true
	}
	return false
}

// start chooses an engine for an attempt and sends the request there.
func (s *session) start(a generation.Start) {
	if a.Contender {
		s.startContender(a)
		return
	}
	now := time.Now()
	if refused := s.f.revalidate(s.req); refused != nil && !s.mayHaveRun() {
		s.machine.Failed(now, a.Attempt, generation.NoEndpoint, refused.retryAfter)
		return
	}
	if !s.admitAttempt(now, a.Attempt) {
		return
	}
	choice, err := s.chooseEngine(a)
	if err != nil {
		s.endCrashTrial()
		s.f.Log.Decision(s.req.ID, "no engine", logrus.Fields{"error": err.Error(), "avoided": len(a.Avoid)})
		s.machine.Failed(now, a.Attempt, generation.NoEndpoint, 0)
		return
	}
	if a.Attempt > 1 {
		s.f.metrics.moved.Inc(1)
	}
	s.req.rolloutDraw = baselineDraw // for retries
	s.machine.Routed(a.Attempt, choice.endpoint.ID)
	s.launch(a.Attempt, choice)
}

// wasSent reports whether the request was sent to any engine.
func (s *session) wasSent() bool {
	for _, a := range s.attempts {
		if a.sent {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether the request was sent to an engine that did not refuse it.
func (s *session) mayHaveRun() bool {
	for _, a := range s.attempts {
		if a.sent && !a.refused {
			return true
		}
	}
	return false
}

// peakTokens returns the memory that the stream needs at its largest, in tokens.
func (s *session) peakTokens() int { return s.req.PromptTokens + s.req.MaxOutputTokens }

func (s *session) finish() {
	if s.relayedEvents == 0 {
		s.writeHead(s.currentAttempt())
	}
	s.freeCopy()
	s.observeStream()
	s.req.losses.End(true)
	s.f.Crashes.ClearOnAnswer(s.req.identity)
	s.f.metrics.answered.Inc(1)
	s.f.Log.Decision(s.req.ID, "answered", logrus.Fields{
		"events": s.relayedEvents, "attempts": len(s.attempts), "took_ms": time.Since(s.req.arrivedAt).Milliseconds(),
		"first_event_ms": s.firstEventLatency.Milliseconds(), "longest_pause_ms": s.longestGap.Milliseconds(),
	})
}

func (s *session) currentAttempt() *attempt {
	n, _ := s.machine.Attempt()
	return s.attempts[n]
}

// fail ends a stream that can't be completed. Before the first relayed event it sends a refusal.
// After that it closes the connection, so that the caller can't take the answer for complete.
func (s *session) fail(a generation.Fail) {
	if s.relayedEvents > 0 {
		s.f.metrics.brokenOff.Inc(1)
		s.f.Log.Refusal(s.req.ID, "stream broken off", logrus.Fields{"events": s.relayedEvents, "code": string(a.Code), "ending": isShutdown(s.ctx)})
		panic(http.ErrAbortHandler)
	}
	if s.lastFailure != nil && a.Code != generation.CodeCanceled {
		p := plain{f: s.f, req: s.req, w: s.w}
		p.deliver(s.lastFailure)
		return
	}
	s.f.answerRefusal(s.w, s.req, s.refusal(a))
}

func (s *session) refusal(a generation.Fail) *refusal {
	inputs := logrus.Fields{"code": string(a.Code), "attempts": len(s.attempts)}
	switch {
	case isShutdown(s.ctx) && !s.mayHaveRun():
		return refuse(http.StatusServiceUnavailable, reasonShutdown, retrySoon()).with(inputs).elsewhere()
	case isShutdown(s.ctx):
		return refuse(http.StatusBadGateway, reasonShutdown, 0).with(inputs)
	case a.Code == generation.CodeStopped && !s.mayHaveRun():
		return refuse(http.StatusServiceUnavailable, reasonRequestStopped, a.RetryAfter).with(inputs)
	case a.Code == generation.CodeStopped:
		return refuse(http.StatusBadGateway, reasonRequestStopped, 0).with(inputs)
	case !s.mayHaveRun():
		return refuse(http.StatusServiceUnavailable, "no engine took the request", retryWhenRoom(a.RetryAfter)).with(inputs)
	case a.Code == generation.CodeDeadline:
		return refuse(http.StatusGatewayTimeout, "no answer in time", 0).with(inputs)
	}
	return refuse(http.StatusBadGateway, "the engines that had the request were lost", 0).with(inputs)
}

// close cancels the remaining attempts and releases what the session holds.
func (s *session) close() {
	s.req.losses.End(false)
	s.f.removeSession(s)
	s.endCrashTrial()
	for _, a := range s.attempts {
		a.rolloutTrial.SetUndrained(false)
		if a.contender && !a.ended {
			s.dropContenderCopy(a)
		}
		a.cancel()
	}
	s.releaseCopyLater()
	s.f.promptLocations.remove(s.req.promptKey())
}

// logPlaced logs where an attempt goes and from which inputs.
func (s *session) logPlaced(a *attempt) {
	inputs := logrus.Fields{
		"attempt": a.number, "endpoint": a.endpoint.ID, "data_centre": a.endpoint.DataCentre,
		"prompt_tokens": s.req.PromptTokens, "events": s.relayedEvents, "configuration": s.req.table.Version(),
		"content": s.req.contentText(), "parts": s.req.partsText(),
		"rank": s.req.priority.Level, "ranks": s.req.priority.Levels, "team": s.req.teamName(), "waited_ms": time.Since(s.req.arrivedAt).Milliseconds(),
	}
	if a.rolloutTrial != nil {
		inputs["build"] = a.endpoint.Build
	}
	if a.send.CopyFrom != "" {
		inputs["from_copy"] = a.send.CopyFrom
	}
	if copyAt := s.copyEngineOf(a); copyAt != "" {
		inputs["copy_at"] = copyAt
	}
	if a.contender {
		inputs["contender"] = true
	}
	s.recordSpeed(inputs, a.endpoint.ID)
	s.f.Log.Decision(s.req.ID, "placed", inputs)
}

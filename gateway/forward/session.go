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
	"github.com/agateway/agateway/core/routing"
)

// session is one stream of events on its way to a caller. Engines come and go behind it; the
// machine of core/generation decides which one is current and which events may be passed on. All
// fields belong to the goroutine that runs the session.
type session struct {
	f       *Forwarder
	req     *request
	w       http.ResponseWriter
	ctx     context.Context
	machine *generation.Machine

	messages chan message
	attempts map[int]*attempt
	// first is the id of the event with index 0.
	first    uint64
	numbered bool
	// lastEvent is the id of the last event passed on, or what the caller came with.
	lastEvent string
	relayed   int
	// copies knows where a copy of the memory of the run is kept, copyAt is the engine for which it is
	// accounted, and checkedAt when that engine was last looked at.
	copies    *copies.Keeper
	copyAt    string
	checkedAt time.Time
	// last is an engine's own failure, passed on when no other does better.
	last *answer
	// lostAt is when the engine of a stream with events was given up; zero while one serves.
	lostAt time.Time
	// firstAfter is how long the first event took, lastAt when the last one came, and longest the
	// longest pause between two.
	firstAfter, longest time.Duration
	firstAt, lastAt     time.Time
	// careful tells that the session tries a request under which endpoints ended, served that it was served for long enough to be
	// cleared.
	careful, served bool
	// done is closed when the session has ended.
	done chan struct{}
}

// waitForEngine is how long a stream that was begun waits when no engine has room to go on.
const waitForEngine = 1500 * time.Millisecond

func (f *Forwarder) serveSession(ctx context.Context, w http.ResponseWriter, req *request) {
	if refused := f.admitStream(ctx, req); refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	f.metrics.accepted.Inc(1)
	s := &session{
		f: f, req: req, w: w, ctx: ctx, lastEvent: req.LastEvent,
		messages: make(chan message, messagesAhead), attempts: map[int]*attempt{}, done: make(chan struct{}),
	}
	s.copies = copies.New(s.copySettings())
	if n, err := strconv.ParseUint(req.LastEvent, 10, 64); err == nil {
		s.first, s.numbered = n+1, true
	}
	now := time.Now()
	deadline := req.deadline
	if deadline.IsZero() {
		deadline = now.Add(deadlineUnset)
	}
	s.machine = generation.New(s.config(), generation.Origin{}, true, req.PromptTokens, now, deadline)
	f.enter(s)
	defer s.close()
	s.run()
}

// admitStream waits until an engine has room for a stream, or refuses it.
func (f *Forwarder) admitStream(ctx context.Context, req *request) *refusal {
	wentOn := req.LastEvent != ""
	if refused := f.refuseTooLate(req, wentOn || f.Placement.Holds(req.promptKey())); refused != nil {
		return refused
	}
	if refused := f.awaitEngine(ctx, req); refused != nil {
		return refused
	}
	if !wentOn {
		return nil
	}
	f.locate(ctx, req)
	req.engine = nil // claimed before it was known who has read the prompt
	return f.refuseTooLate(req, f.Placement.Holds(req.promptKey()))
}

// deadlineUnset is the deadline of a stream whose caller and route set none.
const deadlineUnset = 15 * time.Minute

// config returns the settings of recovery: silence has to be noticed early enough that the stream
// goes on within the pause its route allows.
func (s *session) config() generation.Config {
	set := &s.f.Settings
	c := generation.DefaultConfig(generation.Move)
	c.Unverified = true
	c.SilenceFloor = set.SilenceFloor
	c.FirstTokenSilence = set.FirstEvent
	c.ProbeTimeout = set.Probe
	c.AckTimeout = set.Connect + connectMargin
	c.WaitForEndpoint = waitForEngine
	c.MaxAttempts = s.req.route.MaxAttempts
	return c
}

// connectMargin is by how much the machine waits longer for a connection than the attempt itself, so that
// the attempt says first that nothing was sent.
const connectMargin = 50 * time.Millisecond

func (s *session) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for actions := s.machine.Ready(); len(actions) > 0; actions = s.machine.Ready() {
			for _, a := range actions {
				if s.do(a) {
					return
				}
			}
		}
		now := time.Now()
		s.renewCopy(now)
		s.overdue(now)
		timer.Reset(s.deadline(now).Sub(now))
		select {
		case m := <-s.messages:
			s.take(m)
		case <-timer.C:
			s.machine.Tick(time.Now())
		case <-s.ctx.Done():
			s.callerOrDeadline()
		}
	}
}

// deadline returns when the session has to look again, if nothing happens before.
func (s *session) deadline(now time.Time) time.Time {
	next := s.machine.Deadline(now)
	if due, ok := s.copies.Deadline(); ok && s.copiable() && due.Before(next) {
		return due
	}
	return next
}

func (s *session) callerOrDeadline() {
	if errors.Is(s.ctx.Err(), context.DeadlineExceeded) {
		s.machine.Tick(s.req.deadline)
		return
	}
	if !isEnding(s.ctx) {
		s.f.metrics.callerLeft.Inc(1)
	}
	s.machine.Abort(time.Now())
}

// do carries out an action of the machine, and tells whether the session has ended.
func (s *session) do(a generation.Action) bool {
	switch a := a.(type) {
	case generation.Start:
		s.start(a)
	case generation.Probe:
		s.probe(a)
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
	now := time.Now()
	if refused := s.f.stillAllowed(s.req); refused != nil && !s.mayHaveRun() {
		s.machine.Failed(now, a.Attempt, generation.NoEndpoint, refused.retryAfter)
		return
	}
	if !s.mayStart(now, a.Attempt) {
		return
	}
	e, from, cached, err := s.choose(a)
	if err != nil {
		s.tried()
		s.f.Log.Decision(s.req.ID, "no engine", logrus.Fields{"error": err.Error(), "avoided": len(a.Avoid)})
		s.machine.Failed(now, a.Attempt, generation.NoEndpoint, 0)
		return
	}
	if a.Attempt > 1 {
		s.f.metrics.moved.Inc(1)
	}
	s.req.draw = atBaseline // of retries
	s.machine.Routed(a.Attempt, e.ID)
	s.launch(a.Attempt, e, from, cached)
}

// choose returns the engine that holds a copy of the run's memory with that copy, or the best other one, and whether
// that is believed to have read the prompt before.
func (s *session) choose(a generation.Start) (e *routing.Endpoint, from copies.Holder, cached bool, err error) {
	if e, from := s.takeCopy(a.Avoid); e != nil {
		s.f.metrics.movedByCopy.Inc(1)
		return e, from, false, nil
	}
	r := s.request()
	r.Avoid, r.Recovery = a.Avoid, s.mayHaveRun()
	if s.careful {
		r.Weights = carefulWeights()
	}
	if d := s.req.claimedEngine(r); d != nil && !s.careful {
		return &d.Endpoint, copies.Holder{}, d.Cached > 0, nil
	}
	s.f.askOwners(s.ctx, s.req)
	d, err := s.f.claimEngine(s.ctx, r)
	if err != nil {
		return nil, copies.Holder{}, false, err
	}
	s.req.asks = 0
	return &d.Endpoint, copies.Holder{}, d.Cached > 0, nil
}

// request describes the stream for a choice of engine.
func (s *session) request() *routing.Request { return s.f.engineRequest(s.req) }

func (f *Forwarder) engineRequest(req *request) *routing.Request {
	return &routing.Request{
		Service: req.service, Model: req.Model, DataCentre: f.Settings.DataCentre, Key: req.ID,
		Prefixes: []uint64{req.promptKey()}, Tokens: req.PromptTokens + req.OutputTokens, PromptTokens: req.PromptTokens, Weights: f.Settings.engineWeights(),
		Builds: f.builds(req), PrefillWithin: req.readWithin(time.Now()),
	}
}

// readWithin returns the time in which an engine has to read the prompt for the first event to be on time, and a little to spare; 0
// where the route has no aim, or it is missed in any case.
func (req *request) readWithin(now time.Time) time.Duration {
	if req.route.TargetLatency <= 0 || req.LastEvent != "" {
		return 0
	}
	left := req.route.TargetLatency - now.Sub(req.arrived)
	return max(left*readParts/readOf, 0)
}

// readParts of readOf the time that is left for the first event may be spent on reading: prompts that come meanwhile, and streams that
// run beside it, take the rest.
const readParts, readOf = 3, 4

// engineWeights ranks engines. A prompt that is being read delays a new one by all of its time; a prompt
// that is kept saves as much, and the engine's work besides, so it counts twice. Reading the new prompt
// delays each stream that runs there, by most of its time; half of it is counted, since the new stream
// itself is not delayed. Streams took 6.6 s instead of 6.7 s, 9.7 s instead of 10.3 s for 95 in 100.
func (s *Settings) engineWeights() routing.Weights {
	return s.without(routing.Weights{Cache: 2, Remote: 0.02, PendingPrefill: 1, Running: 0.5, Memory: 0.3, Health: 1.5, Pace: 1})
}

// carefulWeights ranks engines for a request that may end them: those with few others lose least.
func carefulWeights() routing.Weights { return routing.Weights{Load: 1, Running: 1, PendingPrefill: 1} }

// without leaves out the weights of mechanisms that are switched off.
func (s *Settings) without(w routing.Weights) routing.Weights {
	if s.Without.Health {
		w.Health = 0
	}
	if s.Without.Pace {
		w.Pace = 0
	}
	return w
}

// sent tells whether the request was sent to any engine.
func (s *session) sent() bool {
	for _, a := range s.attempts {
		if a.sent {
			return true
		}
	}
	return false
}

// mayHaveRun tells whether the request was sent to an engine that did not say that it has not run it.
func (s *session) mayHaveRun() bool {
	for _, a := range s.attempts {
		if a.sent && !a.refused {
			return true
		}
	}
	return false
}

// tokens is the memory that the stream needs at its largest.
func (s *session) tokens() int { return s.req.PromptTokens + s.req.OutputTokens }

func (s *session) finish() {
	if s.relayed == 0 {
		s.begin(s.current())
	}
	s.freeCopy()
	s.observeStream()
	s.req.losses.End(true)
	s.f.Crashes.Served(s.req.identity)
	s.f.metrics.answered.Inc(1)
	s.f.Log.Decision(s.req.ID, "answered", logrus.Fields{
		"events": s.relayed, "attempts": len(s.attempts), "took_ms": time.Since(s.req.arrived).Milliseconds(),
		"first_event_ms": s.firstAfter.Milliseconds(), "longest_pause_ms": s.longest.Milliseconds(),
	})
}

func (s *session) current() *attempt {
	n, _ := s.machine.Attempt()
	return s.attempts[n]
}

// fail ends a stream that can't be completed: with a refusal when nothing was passed on yet, else
// with a closed connection, which the caller can't take for a whole answer.
func (s *session) fail(a generation.Fail) {
	if s.relayed > 0 {
		s.f.metrics.brokenOff.Inc(1)
		s.f.Log.Refusal(s.req.ID, "stream broken off", logrus.Fields{"events": s.relayed, "code": string(a.Code), "ending": isEnding(s.ctx)})
		panic(http.ErrAbortHandler)
	}
	if s.last != nil && a.Code != generation.CodeCanceled {
		p := plain{f: s.f, req: s.req, w: s.w}
		p.deliver(s.last)
		return
	}
	s.f.answerRefusal(s.w, s.req, s.refusal(a))
}

func (s *session) refusal(a generation.Fail) *refusal {
	inputs := logrus.Fields{"code": string(a.Code), "attempts": len(s.attempts)}
	switch {
	case isEnding(s.ctx) && !s.mayHaveRun():
		return refuse(http.StatusServiceUnavailable, whyEnding, soon()).with(inputs)
	case isEnding(s.ctx):
		return refuse(http.StatusBadGateway, whyEnding, 0).with(inputs)
	case a.Code == generation.CodeStopped && !s.mayHaveRun():
		return refuse(http.StatusServiceUnavailable, whyStopped, a.RetryAfter).with(inputs)
	case a.Code == generation.CodeStopped:
		return refuse(http.StatusBadGateway, whyStopped, 0).with(inputs)
	case !s.mayHaveRun():
		return refuse(http.StatusServiceUnavailable, "no engine took the request", whenRoom(a.RetryAfter)).with(inputs)
	case a.Code == generation.CodeDeadline:
		return refuse(http.StatusGatewayTimeout, "no answer in time", 0).with(inputs)
	}
	return refuse(http.StatusBadGateway, "the engines that had the request were lost", 0).with(inputs)
}

// close ends what is left of the attempts.
func (s *session) close() {
	s.req.losses.End(false)
	s.f.exit(s)
	s.tried()
	for _, a := range s.attempts {
		a.trial.SetUndrained(false)
		a.cancel()
	}
	s.leaveCopy()
	s.f.reads.remove(s.req.promptKey())
}

// logPlaced logs where an attempt goes and why.
func (s *session) logPlaced(a *attempt) {
	inputs := logrus.Fields{
		"attempt": a.number, "endpoint": a.endpoint.ID, "data_centre": a.endpoint.DataCentre,
		"prompt_tokens": s.req.PromptTokens, "events": s.relayed, "configuration": s.req.table.Version(),
		"content": s.req.contentText(),
	}
	if a.trial != nil {
		inputs["build"] = a.endpoint.Build
	}
	if a.send.CopyFrom != "" {
		inputs["from_copy"] = a.send.CopyFrom
	}
	if s.copyAt != "" {
		inputs["copy_at"] = s.copyAt
	}
	s.f.Log.Decision(s.req.ID, "placed", inputs)
}

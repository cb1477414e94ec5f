package forward

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/liveness"
	"github.com/agateway/agateway/core/routing"
)

// A silent engine is not left before another one is known to be better. An assessment asks, on new
// connections, the engine itself and the one that holds the copy of the run's memory. If neither answers
// at once, it asks some other engines as well: they tell whether the silence is shared, and one of them
// may have room.

const (
	// sampleSize is how many other engines tell whether a silence is shared. If some of them are silent
	// and some are not, up to maxSampleSize are asked.
	sampleSize    = 8
	maxSampleSize = 24
	// maxTargetQuestions is how many engines are asked in turn whether they take a stream over.
	maxTargetQuestions = 3
	// ownAnswerWait is how long the silent engine itself may take to answer before the others are asked. An
	// engine that works answers within a few milliseconds. Its answer is enough to keep the stream there,
	// and under overload most silences are those of engines that prefill prompts: asking the others as
	// well made eight requests of one, which delayed the instances' own messages.
	ownAnswerWait = 50 * time.Millisecond
)

// silence is the situation that an assessment starts from.
type silence struct {
	attempt *attempt
	since   time.Time
	// copyAt is the engine with the copy of the run's memory, and copied identifies the copy there;
	// nil and zero for none.
	copyAt *routing.Endpoint
	copied copies.Holder
	// request describes the stream for the choice of another engine.
	request *routing.Request
	// sample are the other engines that tell whether the silence is shared; see [sampleSize].
	sample []routing.Endpoint
	// countEvents is set if the engine counts the events of the run as this session does, and relayed
	// is their number.
	countEvents bool
	relayed     int
	// beforeFirstEvent is set if the caller has no event yet.
	beforeFirstEvent bool
}

// assessment is the result of assessing a silence.
type assessment struct {
	generation.Assessment
	silence *silence
	// target is the engine to move to; nil for none.
	target *moveTarget
	// evidence is what is known about the other engines of the service.
	evidence liveness.Evidence
	// unasked is set if the silent engine may not be asked now, so that nothing is known of it.
	unasked bool
	// unlisted is set if the engine does not list the request. It may not have read it yet.
	unlisted bool
	// answer is what the silent engine itself answered.
	answer engineAnswer
}

// moveTarget is an engine that has answered and may take a stream over, or an instance that passes the
// stream on.
type moveTarget struct {
	// helper is that instance; nil for an engine.
	helper   *Helper
	decision routing.Decision
	// resumeFrom is the copy of the run's memory there; zero if the prompt has to be prefilled.
	resumeFrom copies.Holder
}

// assess starts an assessment of the current attempt's silence.
func (s *session) assess(p generation.Assess) {
	a := s.attempts[p.Attempt]
	if a == nil {
		s.machine.Assessed(time.Now(), p.Attempt, generation.Assessment{Engine: generation.Ended})
		return
	}
	if a.helper != nil {
		s.machine.Assessed(time.Now(), p.Attempt, s.assessHelper(a, p.SilentSince))
		return
	}
	situation := s.describeSilence(a, p.SilentSince)
	go func() {
		r := s.f.assessSilence(s.ctx, situation)
		a.report(s.ctx, message{kind: attemptAssessed, assessment: r})
	}()
}

// maxHelperSilence is the silence after which the connection to an instance that passes a request on
// counts as lost.
const maxHelperSilence = 6 * time.Second

// assessHelper assesses the silence of an instance that the request was passed on to. That instance
// itself looks after the engine, so its silence counts as the engine's.
func (s *session) assessHelper(a *attempt, since time.Time) generation.Assessment {
	s.target = nil
	if !s.f.helperAlive(a.helper.ID) {
		return generation.Assessment{Engine: generation.Ended}
	}
	if time.Since(since) < maxHelperSilence {
		return generation.Assessment{Engine: generation.Silent, Shared: true}
	}
	if h := s.f.pickHelper([]string{a.endpoint.ID}); h != nil {
		s.target = &moveTarget{helper: h}
	}
	return generation.Assessment{Engine: generation.Silent, Shared: true, Target: s.target != nil}
}

func (s *session) describeSilence(a *attempt, since time.Time) *silence {
	out := &silence{attempt: a, since: since, request: s.routingRequest(), countEvents: s.req.LastEventID == "", relayed: s.relayedEvents, beforeFirstEvent: s.relayedEvents == 0}
	out.request.Recovery = s.mayHaveRun()
	out.sample = s.f.sampleOthers(out.request, &a.endpoint)
	if holder, ok := s.copies.Holder(); ok && s.relayedEvents > 0 {
		if e, known := s.f.Placement.Get(holder.Endpoint); known && e.State == routing.Live && !s.f.Rollouts.RolledBack(&e) {
			out.copyAt, out.copied = &e, holder
		}
	}
	return out
}

// assessSilence asks the silent engine and others, and returns what that shows.
func (f *Forwarder) assessSilence(ctx context.Context, s *silence) *assessment {
	startedAt := time.Now()
	r := &assessment{silence: s}
	own := f.ask(&s.attempt.endpoint)
	if s.copyAt != nil {
		r.target = f.askCopyHolder(ctx, s)
	}
	if r.target == nil && !own.isWorking(ctx, ownAnswerWait) {
		f.askOthers(ctx, s)
	}
	f.awaitEngineAnswer(ctx, s, own, r)
	r.evidence, r.Shared = f.evidence(s.sample), r.unasked || f.isShared(s)
	if r.target == nil && f.seeksTarget(s, r) {
		r.target = f.findTarget(ctx, s)
		if r.target != nil && f.evidence([]routing.Endpoint{r.target.decision.Endpoint}).Returned > 0 {
			r.Inconclusive = true // the silent engine may be about to return too
		}
	}
	if r.target == nil && r.Engine == generation.Unreachable {
		r.target = f.findHelper(ctx, s.attempt)
	}
	r.Target, r.Copy = r.target != nil, r.target != nil && r.target.resumeFrom != copies.Holder{}
	othersReturn := r.evidence.Returned > 0 && r.Engine == generation.Silent && !r.Copy
	r.Inconclusive = r.Inconclusive || othersReturn || r.answer.late || f.tookTooLong(startedAt)
	return r
}

// tookTooLong reports whether an assessment took longer than its questions may, as this process was paused.
func (f *Forwarder) tookTooLong(startedAt time.Time) bool {
	const questions = 3 + maxTargetQuestions // the engine with the copy, two samples, and the targets in turn
	delay := f.ownDelay()
	return delay > 0 && time.Since(startedAt) > questions*f.Settings.ProbeTimeout+delay
}

// askCopyHolder asks the engine with the copy, and returns that engine if it answers.
func (f *Forwarder) askCopyHolder(ctx context.Context, s *silence) *moveTarget {
	if !f.ask(s.copyAt).isWorking(ctx, f.Settings.ProbeTimeout) {
		return nil
	}
	return &moveTarget{decision: routing.Decision{Endpoint: *s.copyAt}, resumeFrom: s.copied}
}

// sampleOthers returns some other engines of the service. They are drawn by the prompt, whatever is
// known about them.
func (f *Forwarder) sampleOthers(r *routing.Request, own *routing.Endpoint) []routing.Endpoint {
	var out []routing.Endpoint
	for _, e := range f.Placement.Likely(r, maxSampleSize+1) {
		if e.ID != own.ID && e.State == routing.Live && len(out) < maxSampleSize {
			out = append(out, e)
		}
	}
	return out
}

// firstSample returns the engines that are asked first.
func (s *silence) firstSample() []routing.Endpoint { return s.sample[:min(len(s.sample), sampleSize)] }

// evidence returns what is known about the sampled engines.
func (f *Forwarder) evidence(sample []routing.Endpoint) liveness.Evidence {
	ids := make([]string, len(sample))
	for i := range sample {
		ids[i] = sample[i].ID
	}
	return f.liveness.evidence(ids)
}

// isShared reports whether a silence is shared: by the sampled engines, or by those of the service that
// were asked for other streams.
func (f *Forwarder) isShared(s *silence) bool {
	if f.Settings.Disabled.SharedSilence {
		return false
	}
	if f.evidence(s.sample).Shared() {
		return true
	}
	own, silent := &s.attempt.endpoint, 0
	for _, id := range f.liveness.silentIDs() {
		if e, ok := f.Placement.Get(id); ok && e.Service == own.Service && id != own.ID {
			silent++
		}
	}
	e := liveness.Evidence{Silent: silent, Answering: f.Placement.ServiceSize(own.Service) - silent}
	return e.Shared()
}

// silenceVerdict returns a function that tells whether a silence is the engine's own. The other engines
// are asked in the background.
func (f *Forwarder) silenceVerdict(s *silence) func() bool {
	if s == nil || f.Settings.Disabled.SharedSilence {
		return func() bool { return true }
	}
	own := false
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.askOthers(f.shutdownCtx, s)
		own = !f.isShared(s)
	}()
	return func() bool {
		<-done
		return own
	}
}

// askOthers asks the sampled engines of which it is not known whether they answer.
func (f *Forwarder) askOthers(ctx context.Context, s *silence) {
	first := s.firstSample()
	f.askAll(ctx, first)
	if e := f.evidence(first); e.Silent > 0 && e.Answering > 0 {
		f.askAll(ctx, s.sample[len(first):])
	}
}

func (f *Forwarder) askAll(ctx context.Context, engines []routing.Endpoint) {
	var questions []*question
	for i := range engines {
		if !f.liveness.hasEvidence(engines[i].ID) {
			questions = append(questions, f.ask(&engines[i]))
		}
	}
	due := time.After(f.Settings.ProbeTimeout)
	for _, q := range questions {
		q.await(ctx, due)
	}
}

// awaitEngineAnswer waits for the answer of the silent engine.
func (f *Forwarder) awaitEngineAnswer(ctx context.Context, s *silence, own *question, r *assessment) {
	wait := f.Settings.ProbeTimeout
	if r.target != nil {
		wait = 0
	}
	answer, ok := own.await(ctx, time.After(wait))
	r.answer, r.Engine = answer, generation.Silent
	if !ok {
		return
	}
	r.Engine = answer.state
	switch {
	case !answer.asked && s.beforeFirstEvent && s.attempt.presumedAlive():
		r.Engine = generation.Working
	case !answer.asked:
		r.Engine, r.unasked = generation.Silent, true
	case answer.err == nil:
		f.judgeReport(s, r)
	}
}

// judgeReport judges the silent engine by its own status.
func (f *Forwarder) judgeReport(s *silence, r *assessment) {
	alive, events := f.mayStillHave(&s.attempt.endpoint, &r.answer.report, s.attempt.session.req.ID, s.countEvents)
	switch {
	case alive:
	case f.Placement.IsListed(s.attempt.endpoint.ID):
		r.unlisted = true
	default:
		r.Engine = generation.Ended
	}
	r.Undelivered = events > s.relayed
	r.Prefilling = r.answer.report.Prefilling()
}

// seeksTarget reports whether another engine is needed, to prefill the prompt there.
func (f *Forwarder) seeksTarget(s *silence, r *assessment) bool {
	switch r.Engine {
	case generation.Unreachable:
		return true
	case generation.Silent:
		return !r.Shared || time.Since(s.since) >= generation.MaxSharedSilence
	case generation.Working:
		return r.Undelivered || time.Since(s.since) >= generation.MaxSharedSilence
	}
	return false
}

// findTarget returns an engine that has room and has answered since the silence began.
func (f *Forwarder) findTarget(ctx context.Context, s *silence) *moveTarget {
	r := *s.request
	r.Avoid = append([]string{s.attempt.endpoint.ID}, f.liveness.silentIDs()...)
	for range maxTargetQuestions {
		d, err := f.Placement.Pick(&r)
		if err != nil {
			return nil
		}
		if f.answers(ctx, &d.Endpoint) {
			return &moveTarget{decision: d}
		}
		r.Avoid = append(slices.Clone(r.Avoid), d.Endpoint.ID)
	}
	return nil
}

// findHelper returns an instance to pass the stream on to, if this one is cut off from the engines.
func (f *Forwarder) findHelper(ctx context.Context, a *attempt) *moveTarget {
	f.checkReach(ctx)
	if !f.usesHelpers(a.session.req) {
		return nil
	}
	if h := f.pickHelper([]string{a.endpoint.ID}); h != nil {
		return &moveTarget{helper: h}
	}
	return nil
}

// answers reports whether an engine has answered just now, or does so when asked.
func (f *Forwarder) answers(ctx context.Context, e *routing.Endpoint) bool {
	if f.liveness.answeredSince(e.ID, time.Now().Add(-f.Settings.ProbeTimeout)) {
		return true
	}
	return f.ask(e).isWorking(ctx, f.Settings.ProbeTimeout)
}

// handleAssessment passes an assessment on to the state machine, and logs what it decided.
func (s *session) handleAssessment(now time.Time, m message) {
	r := m.assessment
	if !s.machine.Awaits(m.attempt) {
		return
	}
	s.judgeUnlisted(r)
	if a := s.attempts[m.attempt]; a != nil && r.answer.err == nil && !a.hasEvent && a.prefillTokens > 0 && r.Engine == generation.Working {
		s.f.Placement.RecordPrefillProgress(a.endpoint.ID, a.prefillTokens, time.Since(a.sentAt))
	}
	s.silence, s.target = r.silence, r.target
	before := s.machine.Stats()
	s.machine.Assessed(now, m.attempt, r.Assessment)
	after := s.machine.Stats()
	s.logAssessment(now, m, r, after.Leaves > before.Leaves)
	if after.Keeps > before.Keeps {
		s.f.metrics.keptSilent.Inc(1)
	}
}

// judgeUnlisted judges an engine that does not list the request. One that has sent events of it has lost
// it. Another one may not have read it yet when it answered, so that the second answer counts.
func (s *session) judgeUnlisted(r *assessment) {
	a := r.silence.attempt
	switch {
	case !r.unlisted:
		a.unlisted = false
	case a.hasEvent || a.unlisted:
		r.Engine = generation.Ended
	default:
		a.unlisted, r.Inconclusive = true, true
	}
}

// logAssessment logs whether a stream is kept at a silent engine, and why.
func (s *session) logAssessment(now time.Time, m message, r *assessment, leaves bool) {
	inputs := logrus.Fields{
		"attempt": m.attempt, "endpoint": m.endpoint, "events": s.relayedEvents, "leaves": leaves, "engine": engineStateNames[r.Engine], "silent_ms": now.Sub(r.silence.since).Milliseconds(),
		"shared": r.Shared, "silent_share": r.evidence.SilentShare(), "others": r.evidence.Known(), "evidence_ms": r.evidence.Age.Milliseconds(), "error": errorText(r.answer.err),
		"inconclusive": r.Inconclusive, "prefilling": r.Prefilling, "own_delays": s.machine.Stats().OwnDelays, "copy": r.Copy,
	}
	if last := s.f.liveness.lastAnswer(m.endpoint); !last.IsZero() {
		inputs["last_sign_ms"] = now.Sub(last).Milliseconds()
	}
	switch {
	case r.target == nil:
	case r.target.helper != nil:
		inputs["to"] = r.target.helper.ID
	default:
		inputs["to"] = r.target.decision.Endpoint.ID
	}
	s.f.Log.Decision(s.req.ID, "engine silent", inputs)
}

var engineStateNames = map[generation.EngineState]string{
	generation.Silent: "silent", generation.Unreachable: "unreachable", generation.Working: "working", generation.Returned: "returned", generation.Ended: "ended",
}

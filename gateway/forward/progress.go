package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/generation"
)

// handle processes a message and passes it on to the state machine.
func (s *session) handle(m message) {
	now := time.Now()
	switch m.kind {
	case attemptSent:
		s.machine.Acked(now, m.attempt, generation.Stream{Endpoint: m.endpoint, ID: m.endpoint}, 0, 0, 0)
		if a := s.attempts[m.attempt]; a != nil {
			a.sent = true
			s.confirmContender(a)
			s.delayProbe(now, a)
		}
	case attemptEvent:
		s.handleEvent(now, m)
	case attemptDone:
		j := s.machine.Journal()
		s.machine.Done(now, m.attempt, j.Len(), j.Hash(), "")
	case attemptFailed:
		s.handleFailure(now, m)
	case attemptProbed:
		s.recordPrefillProgress(m)
		s.machine.Probed(now, m.attempt, m.alive, m.events)
	case attemptGranted:
		s.machine.Granted(m.attempt)
	case attemptAssessed:
		s.handleAssessment(now, m)
	case attemptCopied:
		s.handleCopyResult(now, m)
	case requestStopped:
		d := s.f.Crashes.Decide(s.req.identity, s.req.service)
		if d.Verdict == crashers.Stopped && s.relayedEvents == 0 { // a stream with events has not crashed its engine
			s.machine.Stop(now, d.Remaining)
		}
	}
}

// A prompt counts as late after latePrefillFactor times the usual prefill time. Three of four
// engines take less, even when they prefill another prompt at the same time.
const latePrefillFactor = 1.25

// An engine is probed after the route's target latency divided by probeDelayDivisor at the latest,
// so that the prompt of a silent engine can be prefilled elsewhere in time.
const probeDelayDivisor = 3

// delayProbe delays the probe of an engine that prefills a long prompt until the prompt is late.
// Each probe takes a new connection.
func (s *session) delayProbe(now time.Time, a *attempt) {
	if expected, known := s.f.Placement.ExpectedPrefillTime(s.req.service, a.prefillTokens); known {
		late := time.Duration(latePrefillFactor * float64(expected))
		s.machine.ExpectFirstToken(a.number, now.Add(min(late, s.req.route.TargetLatency/probeDelayDivisor)))
	}
}

// recordPrefillProgress records that an engine is alive and has not prefilled the prompt yet.
func (s *session) recordPrefillProgress(m message) {
	if a := s.attempts[m.attempt]; m.alive && a != nil && !a.hasEvent && a.prefillTokens > 0 {
		s.f.Placement.RecordPrefillProgress(a.endpoint.ID, a.prefillTokens, time.Since(a.sentAt))
	}
}

// handleEvent relays an event if it is the next one of the current attempt.
func (s *session) handleEvent(now time.Time, m message) {
	if !m.hasID {
		s.machine.Alive(now, m.attempt)
		return
	}
	a := s.attempts[m.attempt]
	if a != nil {
		a.eventCount++
		a.lastEventAt = now
		a.recordPrefilled()
		a.recordEventGap(now)
	}
	if !s.firstIDKnown && a != nil && !s.machine.Abandoned(m.attempt) { // the first event of an attempt that was given up may be lost
		s.firstID, s.firstIDKnown = m.id, true
	}
	if !s.firstIDKnown {
		return
	}
	index := int(int64(m.id - s.firstID))
	if a != nil && a.helper == nil && s.machine.Suspects() {
		s.f.Placement.Answered(a.endpoint.ID)
	}
	relay := s.machine.Token(now, m.attempt, index, nil)
	s.adoptContender()
	if !relay {
		return
	}
	if s.relayedEvents == 0 {
		s.writeHead(a)
	}
	s.recordResume(now, m)
	s.recordEventTime(now)
	s.relayedEvents++
	s.recordServingTime(now, a)
	s.lastEventID = strconv.FormatUint(m.id, 10)
	s.updateSlack(now, a)
	if _, err := s.w.Write(m.raw); err != nil {
		s.machine.Abort(now)
		return
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.machine.Abort(now)
	}
}

// recordEventTime records when an event arrived and the gap before it.
func (s *session) recordEventTime(now time.Time) {
	if s.relayedEvents == 0 {
		s.firstEventLatency, s.firstEventAt = now.Sub(s.req.arrivedAt), now
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// writeHead sends the head of the answer, taken from the engine whose event is first.
func (s *session) writeHead(a *attempt) {
	s.f.metrics.firstEvent.RecordDuration(time.Since(s.req.arrivedAt))
	if s.req.LastEventID != "" {
		s.f.metrics.callerResumed.RecordDuration(time.Since(s.req.arrivedAt))
	}
	if a != nil && a.header != nil {
		copyHeader(s.w.Header(), a.header)
	}
	s.w.WriteHeader(http.StatusOK)
}

// recordResume records that a stream whose engine was lost has resumed.
func (s *session) recordResume(now time.Time, m message) {
	if s.lostAt.IsZero() {
		return
	}
	gap := now.Sub(s.lastEventAt)
	s.lostAt = time.Time{}
	s.f.metrics.recovered.Inc(1)
	s.f.metrics.streamMove.RecordDuration(gap)
	s.f.Log.Decision(s.req.ID, "stream resumed", logrus.Fields{"endpoint": m.endpoint, "event": m.id, "pause_ms": gap.Milliseconds()})
}

// handleFailure handles the end of an attempt that gave no complete answer.
func (s *session) handleFailure(now time.Time, m message) {
	if s.machine.Abandoned(m.attempt) {
		return
	}
	if m.answer != nil {
		s.lastFailure = m.answer
	}
	a := s.attempts[m.attempt]
	if a != nil {
		a.ended, a.refused = true, m.failure == generation.Refused
	}
	if a != nil && a.contender {
		s.handleContenderFailure(now, a, m)
		return
	}
	switch {
	case m.failure == generation.Refused:
		s.dropCopy() // the run did not start, so there is nothing to copy
	case m.failure == generation.NoEndpoint && a != nil:
		s.restoreCopy(a.resumeFrom) // it was not sent
	}
	s.markLost(now)
	s.endCrashTrial()
	inputs := logrus.Fields{
		"attempt": m.attempt, "endpoint": m.endpoint, "error": errorText(m.err), "not_run": m.failure == generation.Refused, "events": s.relayedEvents,
	}
	if a != nil && m.failure == generation.Broken {
		inputs["content"], inputs["parts"] = s.req.contentText(), s.req.partsText()
		inputs["after_ms"], inputs["its_events"] = now.Sub(a.sentAt).Milliseconds(), a.eventCount
		if !m.headAt.IsZero() {
			inputs["answering_ms"] = now.Sub(m.headAt).Milliseconds()
		}
	}
	s.f.Log.Decision(s.req.ID, "attempt failed", inputs)
	s.machine.Failed(now, m.attempt, m.failure, 0)
}

func (s *session) markLost(now time.Time) {
	if s.relayedEvents > 0 && s.lostAt.IsZero() {
		s.lostAt = now
	}
}

// silentFor returns how long nothing has come from the engine.
func (a *attempt) silentFor() time.Duration {
	if a.lastEventAt.IsZero() {
		return time.Since(a.sentAt)
	}
	return time.Since(a.lastEventAt)
}

// cancel ends an attempt that is not needed any more. Its engine sees the connection close.
func (s *session) cancel(number int) {
	s.adoptContender()
	a := s.attempts[number]
	if a == nil {
		return
	}
	if a.contender {
		s.cancelContender(a)
		return
	}
	if !s.machine.Ended() && !a.ended && !a.left {
		s.markLost(time.Now())
		s.f.metrics.silences.Inc(1)
		own := func() bool { return true }
		a.ownSilence.Store(&own)
		s.f.Log.Decision(s.req.ID, "engine given up", logrus.Fields{
			"attempt": number, "endpoint": a.endpoint.ID, "events": s.relayedEvents, "silent_ms": a.silentFor().Milliseconds(), "timer_late_ms": s.timerLate.Milliseconds(),
		})
	}
	a.cancel()
}

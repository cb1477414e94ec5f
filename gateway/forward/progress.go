package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/generation"
)

// take hands what an attempt reported to the machine.
func (s *session) take(m message) {
	now := time.Now()
	switch m.kind {
	case attemptSent:
		s.machine.Acked(now, m.attempt, generation.Stream{Endpoint: m.endpoint, ID: m.endpoint}, 0, 0, 0)
		if a := s.attempts[m.attempt]; a != nil {
			a.sent = true
			s.expect(now, a)
		}
	case attemptEvent:
		s.event(now, m)
	case attemptDone:
		j := s.machine.Journal()
		s.machine.Done(now, m.attempt, j.Len(), j.Hash(), "")
	case attemptFailed:
		s.failed(now, m)
	case attemptProbed:
		s.reading(m)
		s.machine.Probed(now, m.attempt, m.alive, m.events)
	case attemptCopied:
		s.copied(now, m)
	case sessionStopped:
		if _, left := s.f.Crashes.Verdict(s.req.identity, s.req.service); s.relayed == 0 { // a stream that runs does no harm
			s.machine.Stop(now, left)
		}
	}
}

// lateBy times as long as usual is when a prompt is read late: three of four engines take less, also where another prompt is
// read beside it.
const lateBy = 1.25

// aimParts: at most one part in so many of the route's aim is waited before an engine is asked, so that a prompt whose engine
// says nothing can be read elsewhere in time.
const aimParts = 3

// expect spares an engine that reads a long prompt the question whether it is alive, until it is late. Each question takes a
// new connection.
func (s *session) expect(now time.Time, a *attempt) {
	if usual, known := s.f.Placement.ExpectedPrefillTime(s.req.service, a.reading); known {
		late := time.Duration(lateBy * float64(usual))
		s.machine.Expect(a.number, now.Add(min(late, s.req.route.TargetLatency/aimParts)))
	}
}

// reading records that an engine which is alive has not read the prompt yet.
func (s *session) reading(m message) {
	if a := s.attempts[m.attempt]; m.alive && a != nil && !a.began && a.reading > 0 {
		s.f.Placement.RecordPrefillProgress(a.endpoint.ID, a.reading, time.Since(a.sentAt))
	}
}

// event passes an event on if it is the next one of the current attempt.
func (s *session) event(now time.Time, m message) {
	if !m.numbered {
		s.machine.Alive(now, m.attempt)
		return
	}
	a := s.attempts[m.attempt]
	if a != nil {
		a.events++
		a.read()
		a.paceEvents(now)
	}
	if !s.numbered && a == s.current() { // of an attempt that was given up, the first event may be lost
		s.first, s.numbered = m.id, true
	}
	if !s.numbered {
		return
	}
	index := int(int64(m.id - s.first))
	if !s.machine.Token(now, m.attempt, index, nil) {
		return
	}
	if s.relayed == 0 {
		s.begin(a)
	}
	s.wentOn(now, m)
	s.paced(now)
	s.relayed++
	s.servedSoFar(now)
	s.lastEvent = strconv.FormatUint(m.id, 10)
	if _, err := s.w.Write(m.block); err != nil {
		s.machine.Abort(now)
		return
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.machine.Abort(now)
	}
}

// paced records the pause before an event.
func (s *session) paced(now time.Time) {
	if s.relayed == 0 {
		s.firstAfter, s.firstAt = now.Sub(s.req.arrived), now
	} else {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// begin sends the head of the answer, that of the engine whose event is first.
func (s *session) begin(a *attempt) {
	s.f.metrics.firstEvent.RecordDuration(time.Since(s.req.arrived))
	if s.req.LastEvent != "" {
		s.f.metrics.callerWentOn.RecordDuration(time.Since(s.req.arrived))
	}
	if a != nil && a.header != nil {
		copyHeader(s.w.Header(), a.header)
	}
	s.w.WriteHeader(http.StatusOK)
}

// wentOn records that a stream whose engine was lost goes on.
func (s *session) wentOn(now time.Time, m message) {
	if s.lostAt.IsZero() {
		return
	}
	pause := now.Sub(s.lastAt)
	s.lostAt = time.Time{}
	s.f.metrics.recovered.Inc(1)
	s.f.metrics.eventMove.RecordDuration(pause)
	s.f.Log.Decision(s.req.ID, "went on", logrus.Fields{"endpoint": m.endpoint, "event": m.id, "pause_ms": pause.Milliseconds()})
}

// failed takes the end of an attempt that brought no whole answer.
func (s *session) failed(now time.Time, m message) {
	if s.machine.GaveUp(m.attempt) {
		return
	}
	if m.answer != nil {
		s.last = m.answer
	}
	a := s.attempts[m.attempt]
	if a != nil {
		a.over, a.refused = true, m.failure == generation.Refused
	}
	switch {
	case m.failure == generation.Refused:
		s.dropCopy() // the run did not begin, so there is nothing to copy
	case m.failure == generation.NoEndpoint && a != nil:
		s.restoreCopy(a.from) // it was not sent
	}
	s.lost(now)
	s.tried()
	inputs := logrus.Fields{
		"attempt": m.attempt, "endpoint": m.endpoint, "error": errorText(m.err), "not_run": m.failure == generation.Refused, "events": s.relayed,
	}
	if a != nil && m.failure == generation.Broken {
		inputs["content"], inputs["after_ms"], inputs["its_events"] = s.req.contentText(), now.Sub(a.sentAt).Milliseconds(), a.events
		if !m.headAt.IsZero() {
			inputs["answering_ms"] = now.Sub(m.headAt).Milliseconds()
		}
	}
	s.f.Log.Decision(s.req.ID, "attempt failed", inputs)
	s.machine.Failed(now, m.attempt, m.failure, 0)
}

func (s *session) lost(now time.Time) {
	if s.relayed > 0 && s.lostAt.IsZero() {
		s.lostAt = now
	}
}

// cancel ends an attempt that is not needed any more. Its engine sees the connection close.
func (s *session) cancel(number int) {
	a := s.attempts[number]
	if a == nil {
		return
	}
	if !s.machine.Ended() && !a.over {
		s.lost(time.Now())
		s.f.metrics.silences.Inc(1)
		a.countLost()
		a.silent.Store(true)
		s.f.Log.Decision(s.req.ID, "engine given up", logrus.Fields{"attempt": number, "endpoint": a.endpoint.ID, "events": s.relayed})
	}
	a.cancel()
}

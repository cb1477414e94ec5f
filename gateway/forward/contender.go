package forward

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/generation"
)

// startContender starts an attempt at the engine that the last assessment found, while the silent
// attempt is kept. When nothing can be sent there, the silent attempt stays the only one.
func (s *session) startContender(a generation.Start) {
	choice, why := s.contenderChoice(a)
	if choice == nil {
		s.f.Log.Decision(s.req.ID, "not moved", logrus.Fields{"attempt": a.Attempt, "why": why, "events": s.relayedEvents})
		s.machine.Failed(time.Now(), a.Attempt, generation.NoEndpoint, 0)
		return
	}
	choice.contender = true
	s.machine.Routed(a.Attempt, choice.endpoint.ID)
	s.launch(a.Attempt, choice)
}

// contenderChoice claims room at the target of the last assessment. It returns nil and the reason if
// the stream can't go there.
func (s *session) contenderChoice(a generation.Start) (*engineChoice, string) {
	target := s.target
	s.target = nil
	if target == nil {
		return nil, "no engine is known to answer"
	}
	if refused := s.f.revalidate(s.req); refused != nil && !s.mayHaveRun() {
		return nil, refused.reason
	}
	if admitted := s.f.Crashes.Admit(s.req.identity, s.req.service, s); admitted.Busy || admitted.Verdict == crashers.Stopped {
		return nil, reasonRequestStopped
	} else if admitted.Verdict == crashers.Careful {
		s.inCrashTrial = true
	}
	if target.helper != nil {
		e := target.helper.endpoint()
		return &engineChoice{endpoint: &e, helper: target.helper}, ""
	}
	e := &target.decision.Endpoint
	if target.resumeFrom != (copies.Holder{}) {
		lease, err := s.f.claimResumption(s.ctx, e.ID)
		if err != nil {
			return nil, err.Error()
		}
		s.f.metrics.movedByCopy.Inc(1)
		return &engineChoice{endpoint: e, lease: lease, resumeFrom: target.resumeFrom}, ""
	}
	r := s.routingRequest()
	r.Recovery = s.mayHaveRun()
	lease, ok := s.f.claim(s.ctx, &target.decision, r)
	if !ok {
		return nil, "the engine has no room"
	}
	return &engineChoice{endpoint: e, lease: lease, mayBeCached: target.decision.Cached > 0}, ""
}

// adoptContender makes the former contender the session's current attempt, if the state machine has
// decided so.
func (s *session) adoptContender() {
	a := s.currentAttempt()
	if a == nil || !a.contender {
		return
	}
	a.contender = false
	s.adoptCopy(a)
	s.f.metrics.moved.Inc(1)
	now := time.Now()
	s.markLost(now)
	for _, old := range s.attempts {
		if old != a && !old.left && !old.contender && !old.ended {
			s.leave(old, a)
		}
	}
}

// leave records that another attempt has replaced a silent one.
func (s *session) leave(old, by *attempt) {
	old.left = true
	s.f.metrics.silences.Inc(1)
	s.f.metrics.leftSilent.Inc(1)
	own := s.f.silenceVerdict(s.silence)
	old.ownSilence.Store(&own)
	s.f.Log.Decision(s.req.ID, "engine given up", logrus.Fields{
		"attempt": old.number, "endpoint": old.endpoint.ID, "events": s.relayedEvents, "for": by.endpoint.ID, "from_copy": by.resumesFromCopy(),
		"silent_ms": old.silence().Milliseconds(), "timer_late_ms": s.timerLate.Milliseconds(),
	})
}

// cancelContender ends a contender that is not needed, since the silent engine has come back, or that
// was not sent in time.
func (s *session) cancelContender(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	s.dropContenderCopy(a)
	a.cancel()
	s.f.Log.Decision(s.req.ID, "not moved", logrus.Fields{"attempt": a.number, "endpoint": a.endpoint.ID, "why": "the engine has come back", "sent": a.sent, "events": s.relayedEvents})
}

// handleContenderFailure handles the end of a contender: the silent attempt stays the only one.
func (s *session) handleContenderFailure(now time.Time, a *attempt, m message) {
	s.dropContenderCopy(a)
	s.endCrashTrial()
	s.f.Log.Decision(s.req.ID, "not moved", logrus.Fields{
		"attempt": a.number, "endpoint": a.endpoint.ID, "why": errorText(m.err), "not_run": a.refused, "events": s.relayedEvents,
	})
	s.machine.Failed(now, m.attempt, m.failure, 0)
}

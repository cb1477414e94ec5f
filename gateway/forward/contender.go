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
	if target.helper != nil {
		e := target.helper.endpoint()
		return &engineChoice{endpoint: &e, helper: target.helper}, ""
	}
	wasInTrial := s.inCrashTrial
	admitted := s.f.Crashes.Admit(s.req.identity, s.req.service, s)
	switch {
	case admitted.Verdict == crashers.Stopped:
		return nil, reasonRequestStopped
	case admitted.Busy:
		return nil, "the request is being tried elsewhere"
	}
	s.inCrashTrial = wasInTrial || admitted.Verdict == crashers.Careful
	choice, why := s.claimContender(target)
	if choice == nil && !wasInTrial {
		s.endCrashTrial()
	}
	return choice, why
}

// claimContender claims room at a target, and returns nil and the reason if there is none.
func (s *session) claimContender(target *moveTarget) (*engineChoice, string) {
	e := &target.decision.Endpoint
	if target.resumeFrom != (copies.Holder{}) {
		lease, err := s.f.claimResumption(s.ctx, e.ID)
		if err != nil {
			return nil, err.Error()
		}
		s.f.metrics.movedByCopy.Inc(1)
		return &engineChoice{endpoint: e, lease: lease, resumeFrom: target.resumeFrom}, ""
	}
	if c := s.claimTarget(target); c != nil {
		return &engineChoice{endpoint: &c.Endpoint, lease: c.lease, mayBeCached: c.Cached > 0}, ""
	}
	return nil, "no engine that answers has room"
}

// claimTarget claims room at a target, or at another engine that has answered lately. It returns nil if
// there is none.
func (s *session) claimTarget(target *moveTarget) *claimed {
	r := s.routingRequest()
	r.Recovery = s.mayHaveRun()
	r.Avoid = append([]string{s.silence.attempt.endpoint.ID}, s.f.liveness.silentIDs()...)
	for d, tries := target.decision, 0; tries < maxClaimAttempts; tries++ {
		if tries == 0 || s.f.liveness.hasAnswered(d.Endpoint.ID) {
			if lease, ok := s.f.claim(s.ctx, &d, r); ok {
				return &claimed{Decision: d, lease: lease, at: time.Now()}
			}
		}
		r.Avoid = append(r.Avoid, d.Endpoint.ID)
		var err error
		if d, err = s.f.Placement.Pick(r); err != nil {
			return nil
		}
	}
	return nil
}

// confirmContender asks the engine of a contender that was sent whether it answers. One that does not may
// have fallen silent too, and the silent attempt is kept.
func (s *session) confirmContender(a *attempt) {
	switch {
	case !a.contender:
		return
	case a.helper != nil:
		s.machine.Granted(a.number)
		return
	}
	go func() {
		answer := s.f.query(s.ctx, &a.endpoint)
		if !answer.asked || answer.err == nil {
			a.report(s.ctx, message{kind: attemptGranted})
		}
	}()
}

// adoptContender makes the former contender the session's current attempt, if the state machine has
// decided so.
func (s *session) adoptContender() {
	a := s.currentAttempt()
	if a == nil || !a.contender || a.ended {
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
		"silent_ms": old.silentFor().Milliseconds(), "timer_late_ms": s.timerLate.Milliseconds(),
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
	s.f.Log.Decision(s.req.ID, "not moved", logrus.Fields{"attempt": a.number, "endpoint": a.endpoint.ID, "why": "the silent engine goes on, or this one did not take the stream", "sent": a.sent, "events": s.relayedEvents})
}

// handleContenderFailure handles the end of a contender: the silent attempt stays the only one.
func (s *session) handleContenderFailure(now time.Time, a *attempt, m message) {
	s.dropContenderCopy(a)
	s.f.Log.Decision(s.req.ID, "not moved", logrus.Fields{
		"attempt": a.number, "endpoint": a.endpoint.ID, "why": errorText(m.err), "not_run": a.refused, "events": s.relayedEvents,
	})
	s.machine.Failed(now, m.attempt, m.failure, 0)
}

package generation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnsentContendersAreNoRuns guards against streams that are broken off as attempts_exhausted after
// one run: contenders that were cancelled before they were sent used up the attempts.
func TestUnsentContendersAreNoRuns(t *testing.T) {
	s := silentScript(t, 3)
	for i := range keepSilentConfig().MaxAttempts - 1 {
		s.advance(2 * time.Second)
		s.assessed(1, Assessment{Target: true, Copy: true})
		s.token(1, 3+i) // the engine is back before the contender was sent
		s.actions = nil
	}
	s.fail(1, Broken)
	for _, a := range s.actions {
		assert.Assert(t, a != "fail attempts_exhausted valid 5 retry true", "%v", s.actions)
	}
}

// TestContenderThatTimesOutUnsentIsNoRun is the same for contenders whose connection takes too long.
func TestContenderThatTimesOutUnsentIsNoRun(t *testing.T) {
	s := silentScript(t, 3)
	for range 40 { // as many as the machine starts
		s.advance(500 * ms)
		for _, a := range s.actions {
			if a == "assess 1" {
				s.assessed(1, Assessment{Target: true, Copy: true})
				break
			}
		}
		s.actions = nil
	}
	s.fail(1, Broken)
	assert.Assert(t, !s.m.Ended(), "%v", s.actions)
}

// TestOwnPauseGrantsNoContender guards against streams that leave an engine that is back: this process
// was paused, and found its own late timer before the engine's events.
func TestOwnPauseGrantsNoContender(t *testing.T) {
	s := silentScript(t, 3)
	s.m.cfg.OwnDelay = 150 * ms
	s.advance(untilAssessed)
	s.assessed(1, Assessment{Target: true, Copy: true})
	s.ack(2, Stream{Endpoint: "e2", ID: "e2"}, 0, 0)
	s.actions = nil
	due := s.m.Deadline(s.now)
	s.now = due.Add(1200 * ms) // this process did nothing meanwhile
	s.m.Tick(s.now)
	s.collect()
	s.wantActions()
	s.token(1, 3) // arrived while it was paused
	s.wantActions("cancel 2 e2")
}

// TestOwnPauseEndsNoAttemptThatStarts is the same for an attempt whose connection was made meanwhile.
func TestOwnPauseEndsNoAttemptThatStarts(t *testing.T) {
	s := &script{t: t, now: epoch}
	c := keepSilentConfig()
	c.OwnDelay = 150 * ms
	s.m = New(c, Origin{}, true, 8000, s.now, epoch.Add(streamDeadline))
	s.collect()
	s.actions = nil
	s.now = s.m.Deadline(s.now).Add(1200 * ms)
	s.m.Tick(s.now)
	s.collect()
	s.wantActions()
}

// TestOnlyContenderNeedsNoGrant guards against a third run, or a broken stream: the silent attempt's
// connection ended while the contender was being sent, and the contender, which was prefilling, was ended
// since nobody had reported a grant.
func TestOnlyContenderNeedsNoGrant(t *testing.T) {
	s := silentScript(t, 3)
	s.advance(untilAssessed)
	s.assessed(1, Assessment{Target: true})
	s.fail(1, Broken)
	s.ack(2, Stream{Endpoint: "e2", ID: "e2"}, 0, 0)
	s.actions = nil
	s.advance(grantTimeout)
	s.wantActions()
}

// TestRunsStayWithinMaxAttempts guards against more runs than allowed: a contender that was cancelled before
// the machine learnt that it had been sent did not count.
func TestRunsStayWithinMaxAttempts(t *testing.T) {
	s := silentScript(t, 3)
	runs := 1
	for i := range 10 {
		s.advance(time.Second)
		s.actions = nil
		s.assessed(1, Assessment{Target: true, Copy: true})
		if len(s.actions) == 0 {
			break
		}
		n := s.m.lastAttempt
		s.token(1, 3+i)                                  // the engine is back
		s.ack(n, Stream{Endpoint: "e2", ID: "e2"}, 0, 0) // it was sent just before
		runs++
	}
	assert.Assert(t, runs <= keepSilentConfig().MaxAttempts, "%d runs", runs)
}

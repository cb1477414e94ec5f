package generation

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNoEndpointFailsWithinWaitForEndpoint(t *testing.T) {
	s := runningScript(t, Frugal, 3)
	s.fail(1, Gone)
	began := s.now
	for n := 2; !s.m.Ended(); n++ {
		s.actions = nil
		s.fail(n, NoEndpoint)
		if !s.m.Ended() {
			s.now = s.m.Deadline(s.now)
			s.m.Tick(s.now)
			s.collect()
		}
	}
	assert.Equal(t, s.actions[len(s.actions)-1], "fail no_endpoint valid 3 retry true")
	assert.Assert(t, s.now.Sub(began) <= 3*time.Second)
}

func TestNoEndpointFailsAtOnceWhenDeadlineIsNear(t *testing.T) {
	m := New(DefaultConfig(Frugal), Origin{}, true, 1, epoch, epoch.Add(5*time.Millisecond))
	m.Ready()
	m.Failed(epoch, 1, NoEndpoint, 0)
	actions := m.Ready()
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(Fail).Code, CodeNoEndpoint) // at once, not at the deadline
}

func TestDeadlineEndsGeneration(t *testing.T) {
	s := runningScript(t, Frugal, 3)
	for !s.m.Ended() {
		s.now = s.now.Add(50 * time.Millisecond)
		s.m.Alive(s.now, 1)
		s.m.Tick(s.now)
	}
	s.collect()
	s.wantActions("cancel 1 s1", "fail deadline_exceeded valid 3 retry false")
	assert.Assert(t, !s.now.Before(epoch.Add(time.Minute)))
}

func TestRestartOnlyWhenNothingWasRelayed(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		t.Run(fmt.Sprint("streamed ", streamed), func(t *testing.T) {
			s := newScript(t, Frugal, streamed, Origin{})
			s.m.Routed(1, "e1")
			s.ack(1, stream1, 0, 0)
			s.tokens(1, 0, 4)
			s.actions = nil
			s.fail(1, Gone)
			for n := 2; n < 2+maxMismatches; n++ {
				s.m.Routed(n, fmt.Sprint("e", n))
				s.fail(n, Mismatch)
			}
			last := s.actions[len(s.actions)-1]
			if streamed {
				assert.Equal(t, last, "fail cannot_continue valid 4 retry false")
				return
			}
			assert.Equal(t, last, "start 5 from 0 avoid [e1 e2 e3 e4]")
			assert.Equal(t, s.m.Stats().DiscardedTokens, 4)
		})
	}
}

func TestIndexGapsRepeatedTokensAndWrongEnds(t *testing.T) {
	t.Run("gap", func(t *testing.T) {
		s := runningScript(t, Frugal, 3)
		s.token(1, 4)
		s.wantActions("cancel 1 s1", "start 2 from 3 avoid [e1]")
		s.wantRelayed(3)
	})
	t.Run("repeat", func(t *testing.T) {
		s := runningScript(t, Frugal, 3)
		s.token(1, 2)
		s.wantActions()
		s.wantRelayed(3)
		assert.Equal(t, s.m.Stats().RepeatedTokens, 1)
	})
	t.Run("end too early", func(t *testing.T) {
		s := runningScript(t, Frugal, 3)
		s.done(1, 5)
		s.wantActions("cancel 1 s1", "start 2 from 3 avoid [e1]")
	})
	t.Run("end of another text", func(t *testing.T) {
		s := runningScript(t, Frugal, 3)
		s.m.Done(s.now, 1, 3, 12345, "length")
		s.collect()
		s.wantActions("cancel 1 s1", "fail cannot_continue valid 3 retry false")
	})
	t.Run("end of an old attempt", func(t *testing.T) {
		s := runningScript(t, Frugal, 3)
		s.fail(1, Gone)
		s.actions = nil
		s.done(1, 3)
		s.wantActions()
	})
}

func TestFencedAndInvalidAreFinal(t *testing.T) {
	s := runningScript(t, Frugal, 3)
	s.fail(1, Fenced)
	s.wantActions("fail superseded valid 3 retry false") // no Cancel: another instance owns the stream now
	s = newScript(t, Frugal, true, Origin{})
	s.actions = nil
	s.fail(1, Invalid)
	s.wantActions("cancel 1 ", "fail invalid_request valid 0 retry false")
}

func TestAttemptsAreBounded(t *testing.T) {
	s := newScript(t, Frugal, true, Origin{Attempt: 5000})
	for n := 5001; !s.m.Ended(); n++ {
		assert.Assert(t, n <= 5000+DefaultConfig(Frugal).MaxAttempts)
		s.fail(n, Gone)
	}
	assert.Equal(t, s.actions[len(s.actions)-1], "fail attempts_exhausted valid 0 retry true")
}

// TestRepeatedRefusalsEndWithinWaitForEndpoint: the only engine refuses each time it is asked. With
// unverified acknowledgements each try is reported as sent before it is refused. That must not
// restart the wait for an endpoint: the generation fails within WaitForEndpoint.
func TestRepeatedRefusalsEndWithinWaitForEndpoint(t *testing.T) {
	cfg := DefaultConfig(Move)
	cfg.Unverified = true
	m := New(cfg, Origin{}, true, 100, epoch, epoch.Add(time.Minute))
	now, refused := epoch, 0
	start := func(s Start) {
		if len(s.Avoid) > 0 { // the only engine was just tried
			m.Failed(now, s.Attempt, NoEndpoint, 0)
			return
		}
		refused++
		m.Routed(s.Attempt, "e1")
		m.Acked(now, s.Attempt, stream1, 0, 0, 0)
		m.Failed(now, s.Attempt, Refused, 0)
	}
	for !m.Ended() && now.Before(epoch.Add(time.Minute)) {
		for actions := m.Ready(); len(actions) > 0; actions = m.Ready() {
			for _, a := range actions {
				if s, ok := a.(Start); ok {
					start(s)
				}
			}
		}
		if !m.Ended() {
			now = m.Deadline(now)
			m.Tick(now)
		}
	}
	assert.Assert(t, now.Sub(epoch) <= cfg.WaitForEndpoint, "failed after %v", now.Sub(epoch))
	assert.Assert(t, refused > 1 && refused < 30, "%d refusals", refused)
}

// TestRefusalsByManyEnginesAreRateLimited: hundreds of engines refuse at once. One request must not
// try all of them: each try counts against the retry limit that all instances share, and an
// instance learns of the others' retries a quarter of a second late.
func TestRefusalsByManyEnginesAreRateLimited(t *testing.T) {
	cfg := DefaultConfig(Move)
	cfg.Unverified = true
	m := New(cfg, Origin{}, true, 100, epoch, epoch.Add(time.Minute))
	const roundTrip = 6 * time.Millisecond
	now, refused := epoch, 0
	for !m.Ended() && now.Before(epoch.Add(time.Second)) {
		actions := m.Ready()
		for _, a := range actions {
			if s, ok := a.(Start); ok {
				refused++
				m.Routed(s.Attempt, "e"+strconv.Itoa(refused))
				now = now.Add(roundTrip)
				m.Acked(now, s.Attempt, stream1, 0, 0, 0)
				m.Failed(now, s.Attempt, Refused, 0)
			}
		}
		if len(actions) == 0 {
			now = m.Deadline(now)
			m.Tick(now)
		}
	}
	assert.Assert(t, refused >= 3 && refused <= 10, "%d refusals in a second", refused)
}

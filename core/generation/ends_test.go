package generation

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAllEnginesGoneEndsInRefusalInTime(t *testing.T) {
	s := running(t, Frugal, 3)
	s.failed(1, Gone)
	began := s.now
	for n := 2; !s.m.Ended(); n++ {
		s.acts = nil
		s.failed(n, NoEndpoint)
		if !s.m.Ended() {
			s.now = s.m.Deadline(s.now)
			s.m.Tick(s.now)
			s.take()
		}
	}
	assert.Equal(t, s.acts[len(s.acts)-1], "fail no_endpoint valid 3 retry true")
	assert.Assert(t, s.now.Sub(began) <= 3*time.Second)
}

func TestNoEndpointIsNotWaitedForBeyondTheDeadline(t *testing.T) {
	m := New(DefaultConfig(Frugal), Origin{}, true, 1, epoch, epoch.Add(5*time.Millisecond))
	m.Ready()
	m.Failed(epoch, 1, NoEndpoint, 0)
	acts := m.Ready()
	assert.Equal(t, len(acts), 1)
	assert.Equal(t, acts[0].(Fail).Code, CodeNoEndpoint) // at once, not at the deadline
}

func TestDeadlineEndsTheGeneration(t *testing.T) {
	s := running(t, Frugal, 3)
	for !s.m.Ended() {
		s.now = s.now.Add(50 * time.Millisecond)
		s.m.Alive(s.now, 1)
		s.m.Tick(s.now)
	}
	s.take()
	s.want("cancel 1 s1", "fail deadline_exceeded valid 3 retry false")
	assert.Assert(t, !s.now.Before(epoch.Add(time.Minute)))
}

func TestRestartOnlyWhenNothingReachedTheCaller(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		t.Run(fmt.Sprint("streamed ", streamed), func(t *testing.T) {
			s := newScript(t, Frugal, streamed, Origin{})
			s.m.Routed(1, "e1")
			s.ack(1, first, 0, 0)
			s.tokens(1, 0, 4)
			s.acts = nil
			s.failed(1, Gone)
			for n := 2; n < 2+maxMisfits; n++ {
				s.m.Routed(n, fmt.Sprint("e", n))
				s.failed(n, Mismatch)
			}
			last := s.acts[len(s.acts)-1]
			if streamed {
				assert.Equal(t, last, "fail cannot_continue valid 4 retry false")
				return
			}
			assert.Equal(t, last, "start 5 from 0 avoid [e1 e2 e3 e4]")
			assert.Equal(t, s.m.Stats().ThrownAway, 4)
		})
	}
}

func TestGapsRepeatsAndWrongEnds(t *testing.T) {
	t.Run("gap", func(t *testing.T) {
		s := running(t, Frugal, 3)
		s.token(1, 4)
		s.want("cancel 1 s1", "start 2 from 3 avoid [e1]")
		s.relayed(3)
	})
	t.Run("repeat", func(t *testing.T) {
		s := running(t, Frugal, 3)
		s.token(1, 2)
		s.want()
		s.relayed(3)
		assert.Equal(t, s.m.Stats().RepeatedTokens, 1)
	})
	t.Run("end too early", func(t *testing.T) {
		s := running(t, Frugal, 3)
		s.done(1, 5)
		s.want("cancel 1 s1", "start 2 from 3 avoid [e1]")
	})
	t.Run("end of another text", func(t *testing.T) {
		s := running(t, Frugal, 3)
		s.m.Done(s.now, 1, 3, 12345, "length")
		s.take()
		s.want("cancel 1 s1", "fail cannot_continue valid 3 retry false")
	})
	t.Run("end of an old attempt", func(t *testing.T) {
		s := running(t, Frugal, 3)
		s.failed(1, Gone)
		s.acts = nil
		s.done(1, 3)
		s.want()
	})
}

func TestFencedAndInvalidAreFinal(t *testing.T) {
	s := running(t, Frugal, 3)
	s.failed(1, Fenced)
	s.want("fail superseded valid 3 retry false") // no cancel: the stream is another's now
	s = newScript(t, Frugal, true, Origin{})
	s.acts = nil
	s.failed(1, Invalid)
	s.want("cancel 1 ", "fail invalid_request valid 0 retry false")
}

func TestAttemptsAreBounded(t *testing.T) {
	s := newScript(t, Frugal, true, Origin{Attempt: 5000})
	for n := 5001; !s.m.Ended(); n++ {
		assert.Assert(t, n <= 5000+DefaultConfig(Frugal).MaxAttempts)
		s.failed(n, Gone)
	}
	assert.Equal(t, s.acts[len(s.acts)-1], "fail attempts_exhausted valid 0 retry true")
}

// TestRefusedAgainAndAgain: all engines refuse, each time that they are asked. That a request was sent is no
// progress: the caller is told within the time that may be waited for an engine.
func TestRefusedAgainAndAgain(t *testing.T) {
	cfg := DefaultConfig(Move)
	cfg.Unverified = true
	m := New(cfg, Origin{}, true, 100, epoch, epoch.Add(time.Minute))
	now, refused := epoch, 0
	start := func(s Start) {
		if len(s.Avoid) > 0 { // the only engine was tried just now
			m.Failed(now, s.Attempt, NoEndpoint, 0)
			return
		}
		refused++
		m.Routed(s.Attempt, "e1")
		m.Acked(now, s.Attempt, first, 0, 0, 0)
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
	assert.Assert(t, now.Sub(epoch) <= cfg.WaitForEndpoint, "%v", now.Sub(epoch))
	assert.Assert(t, refused > 1 && refused < 30, "%d", refused)
}

// TestRefusedByManyEngines: hundreds of engines, of which each refuses at once. A caller's request must not run through all
// of them: each try counts against what all instances may send once more, and they hear of each other a quarter of a second late.
func TestRefusedByManyEngines(t *testing.T) {
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
				m.Acked(now, s.Attempt, first, 0, 0, 0)
				m.Failed(now, s.Attempt, Refused, 0)
			}
		}
		if len(actions) == 0 {
			now = m.Deadline(now)
			m.Tick(now)
		}
	}
	assert.Assert(t, refused >= 3 && refused <= 10, "%d in a second", refused)
}

package generation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRunWithoutFailures(t *testing.T) {
	s := runningScript(t, Latency, 5)
	s.done(1, 5)
	s.wantActions("finish length")
	s.wantRelayed(5)
	assert.Equal(t, s.m.Stats(), Stats{})
}

func TestEngineFailureResumesFromPrefix(t *testing.T) {
	for _, p := range []Policy{Latency, Frugal} {
		t.Run(string(p), func(t *testing.T) {
			s := runningScript(t, p, 5)
			s.fail(1, Broken)
			if p == Latency {
				s.wantActions("probe 1 s1", "start 2 from 5 avoid [e1]")
				s.answerProbe(1, false, 0)
				s.wantActions("cancel 1 s1")
			} else {
				s.wantActions("probe 1 s1")
				s.answerProbe(1, false, 0)
				s.wantActions("cancel 1 s1", "start 2 from 5 avoid [e1]")
			}
			s.m.Routed(2, "e2")
			s.ack(2, stream2, 5, s.m.Journal().Hash())
			s.tokens(2, 5, 8)
			s.done(2, 8)
			s.wantActions("finish length")
			s.wantRelayed(8)
			assert.Equal(t, s.m.Stats().ResumesElsewhere, 1)
			assert.Equal(t, s.m.Stats().PrefilledAgain, 105)
		})
	}
}

func TestNothingIsRelayedWithoutMatchingAck(t *testing.T) {
	for name, ack := range map[string]struct {
		index int
		hash  func(*Machine) uint64
	}{
		"wrong hash":  {5, func(m *Machine) uint64 { return m.Journal().Hash() + 1 }},
		"wrong index": {4, func(m *Machine) uint64 { return m.Journal().Hash() }},
		"from zero":   {0, func(*Machine) uint64 { return 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			s := runningScript(t, Frugal, 5)
			s.fail(1, Gone)
			s.wantActions("cancel 1 s1", "start 2 from 5 avoid [e1]")
			s.m.Routed(2, "e2")
			s.token(2, 5) // before any acknowledgement
			s.wantRelayed(5)
			s.ack(2, stream2, ack.index, ack.hash(s.m))
			s.wantActions("cancel 2 s2", "start 3 from 5 avoid [e1 e2]")
			s.token(2, 5)
			s.wantRelayed(5)
		})
	}
}

func TestPausedEngineIsFencedWhenItReturns(t *testing.T) {
	s := runningScript(t, Frugal, 5)
	s.advance(time.Second) // silent; the probe times out too
	s.wantActions("probe 1 s1", "cancel 1 s1", "start 2 from 5 avoid [e1]", "cancel 2 ", "start 3 from 5 avoid [e1]")
	s.m.Routed(3, "e2")
	s.ack(3, stream2, 5, s.m.Journal().Hash())
	s.tokens(3, 5, 7)
	s.tokens(1, 5, 9) // the paused engine resumes
	s.wantRelayed(7)
	assert.Equal(t, s.m.Stats().StaleTokens, 4)
	s.tokens(3, 7, 9)
	s.wantRelayed(9)
}

func TestSilentConnectionResumesSameStream(t *testing.T) {
	for _, p := range []Policy{Latency, Frugal} {
		t.Run(string(p), func(t *testing.T) {
			s := runningScript(t, p, 5)
			s.advance(210 * time.Millisecond)
			resume := 2
			if p == Latency {
				s.wantActions("probe 1 s1", "start 2 from 5 avoid [e1]")
				resume = 3
			} else {
				s.wantActions("probe 1 s1")
			}
			s.answerProbe(1, true, 9) // the engine has generated more tokens
			if p == Latency {
				s.wantActions("cancel 2 ", "resume 3 s1 from 5")
			} else {
				s.wantActions("resume 2 s1 from 5")
			}
			s.ack(resume, stream1, 5, s.m.Journal().Hash())
			s.tokens(resume, 5, 9)
			s.token(1, 9) // the old connection delivers again
			s.wantRelayed(9)
			assert.Equal(t, s.m.Stats().ResumesSameStream, 1)
			assert.Equal(t, s.m.Stats().PrefilledAgain, 0)
		})
	}
}

// TestStreamWithoutTokensIsAbandoned: an engine delivers every event late. Each probe finds that it
// has generated more tokens, so without a limit its stream was resumed again and again.
func TestStreamWithoutTokensIsAbandoned(t *testing.T) {
	s := runningScript(t, Frugal, 5)
	began, n := s.now, 1
	for ; s.m.Stats().ResumesElsewhere == 0; n = s.m.lastAttempt {
		assert.Assert(t, s.now.Sub(began) < 5*time.Second, "resumes do not stop")
		s.advance(s.m.Deadline(s.now).Sub(s.now))
		s.answerProbe(n, true, 9)
		s.ack(s.m.lastAttempt, stream1, 5, s.m.Journal().Hash())
	}
	assert.Equal(t, s.m.Stats().ResumesSameStream, maxResumesWithoutToken)
}

func TestSlowEngineIsKept(t *testing.T) {
	s := runningScript(t, Frugal, 5)
	s.advance(210 * time.Millisecond)
	s.wantActions("probe 1 s1")
	s.answerProbe(1, true, 5) // alive, no new token
	s.wantActions()
	s.advance(300 * time.Millisecond) // the threshold has doubled
	s.wantActions()
	s.tokens(1, 5, 8)
	s.wantActions()
	s.wantRelayed(8)
	assert.Equal(t, s.m.Stats().ResumesElsewhere, 0)
}

func TestLateTokenClearsSuspicionAndCancelsContender(t *testing.T) {
	s := runningScript(t, Latency, 5)
	s.advance(210 * time.Millisecond)
	s.wantActions("probe 1 s1", "start 2 from 5 avoid [e1]")
	s.token(1, 5)
	s.wantActions("cancel 2 ")
	s.ack(2, stream2, 5, 1) // the cancelled contender is acknowledged too late
	s.wantActions("cancel 2 s2")
	s.token(2, 6)
	s.tokens(1, 6, 8)
	s.wantRelayed(8)
	assert.Equal(t, s.m.Stats().FalseSuspicions, 1)
}

func TestTwoEngineFailures(t *testing.T) {
	s := runningScript(t, Frugal, 3)
	s.fail(1, Gone)
	s.wantActions("cancel 1 s1", "start 2 from 3 avoid [e1]")
	s.m.Routed(2, "e2")
	s.ack(2, stream2, 3, s.m.Journal().Hash())
	s.tokens(2, 3, 6)
	s.fail(2, Gone)
	s.wantActions("cancel 2 s2", "start 3 from 6 avoid [e1 e2]")
	s.m.Routed(3, "e3")
	s.ack(3, Stream{"e3", "s3"}, 6, s.m.Journal().Hash())
	s.tokens(3, 6, 9)
	s.done(3, 9)
	s.wantActions("finish length")
	s.wantRelayed(9)
}

func TestContenderFailureBeforeAck(t *testing.T) {
	s := runningScript(t, Latency, 3)
	s.fail(1, Broken)
	s.wantActions("probe 1 s1", "start 2 from 3 avoid [e1]")
	s.m.Routed(2, "e2")
	s.fail(2, Refused)
	s.wantActions() // the probe of attempt 1 is still pending
	s.answerProbe(1, false, 0)
	s.wantActions("cancel 1 s1", "start 3 from 3 avoid [e1 e2]")
}

func TestKeepalivesBeforeFirstTokenPreventSuspicion(t *testing.T) {
	s := newScript(t, Latency, true, Origin{})
	s.m.Routed(1, "e1")
	s.ack(1, stream1, 0, 0)
	s.actions = nil
	for range 20 { // the request is queued at the engine, which sends keepalives
		s.advance(100 * time.Millisecond)
		s.m.Alive(s.now, 1)
		s.collect()
	}
	s.wantActions()
}

func BenchmarkToken(b *testing.B) {
	now := epoch
	m := New(DefaultConfig(Latency), Origin{}, true, 100, now, epoch.Add(time.Hour))
	m.Ready()
	m.Acked(now, 1, stream1, 0, 0, 0)
	text := []byte(" token")
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if i == 1<<16 { // start over after a long answer
			m.journal.reset()
			i = 0
		}
		m.Token(now, 1, i, text)
		i++
	}
}

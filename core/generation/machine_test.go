package generation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCleanRun(t *testing.T) {
	s := running(t, Latency, 5)
	s.done(1, 5)
	s.want("finish length")
	s.relayed(5)
	assert.Equal(t, s.m.Stats(), Stats{})
}

func TestEngineDeathIsResumedFromThePrefix(t *testing.T) {
	for _, p := range []Policy{Latency, Frugal} {
		t.Run(string(p), func(t *testing.T) {
			s := running(t, p, 5)
			s.failed(1, Broken)
			if p == Latency {
				s.want("probe 1 s1", "start 2 from 5 avoid [e1]")
				s.probed(1, false, 0)
				s.want("cancel 1 s1")
			} else {
				s.want("probe 1 s1")
				s.probed(1, false, 0)
				s.want("cancel 1 s1", "start 2 from 5 avoid [e1]")
			}
			s.m.Routed(2, "e2")
			s.ack(2, second, 5, s.m.Journal().Hash())
			s.tokens(2, 5, 8)
			s.done(2, 8)
			s.want("finish length")
			s.relayed(8)
			assert.Equal(t, s.m.Stats().ResumesElsewhere, 1)
			assert.Equal(t, s.m.Stats().PrefilledAgain, 105)
		})
	}
}

func TestNothingIsRelayedWithoutMatchingAcknowledgement(t *testing.T) {
	for name, ack := range map[string]struct {
		index int
		hash  func(*Machine) uint64
	}{
		"wrong hash":  {5, func(m *Machine) uint64 { return m.Journal().Hash() + 1 }},
		"wrong index": {4, func(m *Machine) uint64 { return m.Journal().Hash() }},
		"from zero":   {0, func(*Machine) uint64 { return 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			s := running(t, Frugal, 5)
			s.failed(1, Gone)
			s.want("cancel 1 s1", "start 2 from 5 avoid [e1]")
			s.m.Routed(2, "e2")
			s.token(2, 5) // before any acknowledgement
			s.relayed(5)
			s.ack(2, second, ack.index, ack.hash(s.m))
			s.want("cancel 2 s2", "start 3 from 5 avoid [e1 e2]")
			s.token(2, 5)
			s.relayed(5)
		})
	}
}

func TestPausedEngineThatReturnsGetsNoTokenThrough(t *testing.T) {
	s := running(t, Frugal, 5)
	s.pass(time.Second) // silent; the probe times out too
	s.want("probe 1 s1", "cancel 1 s1", "start 2 from 5 avoid [e1]", "cancel 2 ", "start 3 from 5 avoid [e1]")
	s.m.Routed(3, "e2")
	s.ack(3, second, 5, s.m.Journal().Hash())
	s.tokens(3, 5, 7)
	s.tokens(1, 5, 9) // it returns
	s.relayed(7)
	assert.Equal(t, s.m.Stats().StaleTokens, 4)
	s.tokens(3, 7, 9)
	s.relayed(9)
}

func TestSilentConnectionIsResumedOnTheSameStream(t *testing.T) {
	for _, p := range []Policy{Latency, Frugal} {
		t.Run(string(p), func(t *testing.T) {
			s := running(t, p, 5)
			s.pass(210 * time.Millisecond)
			resume := 2
			if p == Latency {
				s.want("probe 1 s1", "start 2 from 5 avoid [e1]")
				resume = 3
			} else {
				s.want("probe 1 s1")
			}
			s.probed(1, true, 9) // the engine went on
			if p == Latency {
				s.want("cancel 2 ", "resume 3 s1 from 5")
			} else {
				s.want("resume 2 s1 from 5")
			}
			s.ack(resume, first, 5, s.m.Journal().Hash())
			s.tokens(resume, 5, 9)
			s.token(1, 9) // the old connection wakes up
			s.relayed(9)
			assert.Equal(t, s.m.Stats().ResumesSame, 1)
			assert.Equal(t, s.m.Stats().PrefilledAgain, 0)
		})
	}
}

// TestStreamThatNeverSpeaksIsLeft: found with an engine whose every event came late. It was
// resumed again and again, since each probe said that it had gone on.
func TestStreamThatNeverSpeaksIsLeft(t *testing.T) {
	s := running(t, Frugal, 5)
	began, n := s.now, 1
	for ; s.m.Stats().ResumesElsewhere == 0; n = s.m.number {
		assert.Assert(t, s.now.Sub(began) < 5*time.Second, "no end of resumes")
		s.pass(s.m.Deadline(s.now).Sub(s.now))
		s.probed(n, true, 9)
		s.ack(s.m.number, first, 5, s.m.Journal().Hash())
	}
	assert.Equal(t, s.m.Stats().ResumesSame, maxResumes)
}

func TestSlowEngineIsNotTakenForDead(t *testing.T) {
	s := running(t, Frugal, 5)
	s.pass(210 * time.Millisecond)
	s.want("probe 1 s1")
	s.probed(1, true, 5) // alive, nothing new
	s.want()
	s.pass(300 * time.Millisecond) // the threshold has doubled
	s.want()
	s.tokens(1, 5, 8)
	s.want()
	s.relayed(8)
	assert.Equal(t, s.m.Stats().ResumesElsewhere, 0)
}

func TestLateTokenClearsSuspicionAndCancelsTheContender(t *testing.T) {
	s := running(t, Latency, 5)
	s.pass(210 * time.Millisecond)
	s.want("probe 1 s1", "start 2 from 5 avoid [e1]")
	s.token(1, 5)
	s.want("cancel 2 ")
	s.ack(2, second, 5, 1) // the loser's acknowledgement comes too late
	s.want("cancel 2 s2")
	s.token(2, 6)
	s.tokens(1, 6, 8)
	s.relayed(8)
	assert.Equal(t, s.m.Stats().FalseSuspects, 1)
}

func TestDeathTwice(t *testing.T) {
	s := running(t, Frugal, 3)
	s.failed(1, Gone)
	s.want("cancel 1 s1", "start 2 from 3 avoid [e1]")
	s.m.Routed(2, "e2")
	s.ack(2, second, 3, s.m.Journal().Hash())
	s.tokens(2, 3, 6)
	s.failed(2, Gone)
	s.want("cancel 2 s2", "start 3 from 6 avoid [e1 e2]")
	s.m.Routed(3, "e3")
	s.ack(3, Stream{"e3", "s3"}, 6, s.m.Journal().Hash())
	s.tokens(3, 6, 9)
	s.done(3, 9)
	s.want("finish length")
	s.relayed(9)
}

func TestDeathOfTheEngineResumedOnBeforeItAcknowledged(t *testing.T) {
	s := running(t, Latency, 3)
	s.failed(1, Broken)
	s.want("probe 1 s1", "start 2 from 3 avoid [e1]")
	s.m.Routed(2, "e2")
	s.failed(2, Refused)
	s.want() // the probe of the first is still out
	s.probed(1, false, 0)
	s.want("cancel 1 s1", "start 3 from 3 avoid [e1 e2]")
}

func TestSlowFirstTokenIsProbedAndKept(t *testing.T) {
	s := newScript(t, Latency, true, Origin{})
	s.m.Routed(1, "e1")
	s.ack(1, first, 0, 0)
	s.acts = nil
	for range 20 { // queued at the engine, which sends signs of life
		s.pass(100 * time.Millisecond)
		s.m.Alive(s.now, 1)
		s.take()
	}
	s.want()
}

func BenchmarkToken(b *testing.B) {
	now := epoch
	m := New(DefaultConfig(Latency), Origin{}, true, 100, now, epoch.Add(time.Hour))
	m.Ready()
	m.Acked(now, 1, first, 0, 0, 0)
	text := []byte(" token")
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if i == 1<<16 { // a long answer; start another
			m.journal.reset()
			i = 0
		}
		m.Token(now, 1, i, text)
		i++
	}
}

package generation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

var (
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first  = Stream{Endpoint: "e1", ID: "s1"}
	second = Stream{Endpoint: "e2", ID: "s2"}
)

// script drives a machine by short steps: each line is an event at a time in milliseconds.
type script struct {
	t    *testing.T
	m    *Machine
	now  time.Time
	out  []string // relayed tokens
	acts []string // actions since the last check
}

func newScript(t *testing.T, p Policy, streamed bool, o Origin) *script {
	s := &script{t: t, now: epoch}
	s.m = New(DefaultConfig(p), o, streamed, 100, s.now, epoch.Add(time.Minute))
	s.take()
	return s
}

func (s *script) take() {
	for _, a := range s.m.Ready() {
		switch a := a.(type) {
		case Start:
			s.acts = append(s.acts, fmt.Sprintf("start %d from %d avoid [%s]", a.Attempt, a.From, strings.Join(a.Avoid, " ")))
		case Resume:
			s.acts = append(s.acts, fmt.Sprintf("resume %d %s from %d", a.Attempt, a.Stream.ID, a.From))
		case Probe:
			s.acts = append(s.acts, fmt.Sprintf("probe %d %s", a.Attempt, a.Stream.ID))
		case Cancel:
			s.acts = append(s.acts, fmt.Sprintf("cancel %d %s", a.Attempt, a.Stream.ID))
		case Finish:
			s.acts = append(s.acts, "finish "+a.Reason)
		case Fail:
			s.acts = append(s.acts, fmt.Sprintf("fail %s valid %d retry %v", a.Code, a.Valid, a.RetryAfter > 0))
		}
	}
}

func (s *script) want(acts ...string) {
	s.t.Helper()
	if len(acts) == 0 {
		acts = nil
	}
	assert.DeepEqual(s.t, s.acts, acts)
	s.acts = nil
}

func (s *script) ack(attempt int, st Stream, index int, hash uint64) {
	s.m.Acked(s.now, attempt, st, index, hash, 0)
	s.take()
}

func (s *script) token(attempt, index int) {
	text := []byte(fmt.Sprintf(" t%d", index))
	if s.m.Token(s.now, attempt, index, text) {
		s.out = append(s.out, string(text))
	}
	s.take()
}

// tokens delivers tokens at 10 ms intervals.
func (s *script) tokens(attempt, from, to int) {
	for i := from; i < to; i++ {
		s.now = s.now.Add(10 * time.Millisecond)
		s.token(attempt, i)
	}
}

func (s *script) failed(attempt int, why Failure) {
	s.m.Failed(s.now, attempt, why, 0)
	s.take()
}

func (s *script) probed(attempt int, alive bool, index int) {
	s.m.Probed(s.now, attempt, alive, index)
	s.take()
}

// pass lets time go by, with a tick at each deadline of the machine.
func (s *script) pass(d time.Duration) {
	until := s.now.Add(d)
	for {
		at := s.m.Deadline(s.now)
		if at.After(until) {
			break
		}
		s.now = at
		s.m.Tick(s.now)
		s.take()
		if len(s.acts) > 50 {
			s.t.Fatalf("no end of actions: %v", s.acts[:10])
		}
	}
	s.now = until
}

func (s *script) done(attempt, total int) {
	s.m.Done(s.now, attempt, total, s.m.Journal().Hash(), "length")
	s.take()
}

func (s *script) relayed(n int) {
	s.t.Helper()
	assert.Assert(s.t, is.Len(s.out, n))
	for i, t := range s.out {
		assert.Equal(s.t, t, fmt.Sprintf(" t%d", i))
	}
}

// running returns a script whose attempt 1 has delivered n tokens.
func running(t *testing.T, p Policy, n int) *script {
	s := newScript(t, p, true, Origin{})
	s.want("start 1 from 0 avoid []")
	s.m.Routed(1, "e1")
	s.ack(1, first, 0, 0)
	s.tokens(1, 0, n)
	s.want()
	return s
}

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

func TestTakeoverReplaysAndChecksWhatTheCallerHolds(t *testing.T) {
	var hash uint64
	for i := range 3 {
		hash = Extend(hash, []byte(fmt.Sprintf(" t%d", i)))
	}
	origin := Origin{Attempt: 1000, Stream: first, Have: 3, Hash: hash}
	t.Run("running stream", func(t *testing.T) {
		s := newScript(t, Frugal, true, origin)
		s.want("resume 1001 s1 from 0")
		s.ack(1001, first, 0, 0)
		s.tokens(1001, 0, 6)
		assert.DeepEqual(t, s.out, []string{" t3", " t4", " t5"})
		s.done(1001, 6)
		s.want("finish length")
		assert.Equal(t, s.m.Stats().PrefilledAgain, 0)
	})
	t.Run("stream gone, same text again", func(t *testing.T) {
		s := newScript(t, Frugal, true, origin)
		s.acts = nil
		s.failed(1001, Refused)
		s.want("cancel 1001 s1", "start 1002 from 0 avoid [e1]")
		s.ack(1002, second, 0, 0)
		s.tokens(1002, 0, 5)
		assert.DeepEqual(t, s.out, []string{" t3", " t4"})
	})
	t.Run("stream gone, another text", func(t *testing.T) {
		s := newScript(t, Frugal, true, Origin{Attempt: 1000, Stream: first, Have: 3, Hash: 99})
		s.acts = nil
		s.failed(1001, Refused)
		s.ack(1002, second, 0, 0)
		s.tokens(1002, 0, 5)
		assert.Equal(t, len(s.out), 0)
		assert.Equal(t, s.acts[len(s.acts)-1], "fail cannot_continue valid 3 retry false")
	})
	t.Run("stream gone, tokens sent along", func(t *testing.T) {
		with := origin
		with.Prefix = []string{" t0", " t1", " t2"}
		s := newScript(t, Frugal, true, with)
		s.want("resume 1001 s1 from 3")
		s.failed(1001, Refused)
		s.want("cancel 1001 s1", "start 1002 from 3 avoid [e1]")
		s.ack(1002, second, 3, hash)
		s.tokens(1002, 3, 5)
		assert.DeepEqual(t, s.out, []string{" t3", " t4"})
	})
	t.Run("engine dies during the replay", func(t *testing.T) {
		s := newScript(t, Frugal, true, origin)
		s.ack(1001, first, 0, 0)
		s.tokens(1001, 0, 2)
		s.acts = nil
		s.failed(1001, Gone)
		s.want("cancel 1001 s1", "start 1002 from 2 avoid [e1]")
		s.ack(1002, second, 2, s.m.Journal().Hash())
		s.tokens(1002, 2, 5)
		assert.DeepEqual(t, s.out, []string{" t3", " t4"})
	})
}

func TestRestartBaselineRegeneratesAndSuppresses(t *testing.T) {
	s := running(t, Restart, 4)
	s.failed(1, Broken)
	s.want("cancel 1 s1", "start 2 from 0 avoid [e1]")
	s.ack(2, second, 0, 0)
	s.tokens(2, 0, 6)
	s.relayed(6)
	assert.Equal(t, s.m.Stats().ThrownAway, 4)
}

func TestAttemptsAreBounded(t *testing.T) {
	s := newScript(t, Frugal, true, Origin{Attempt: 5000})
	for n := 5001; !s.m.Ended(); n++ {
		assert.Assert(t, n <= 5000+DefaultConfig(Frugal).MaxAttempts)
		s.failed(n, Gone)
	}
	assert.Equal(t, s.acts[len(s.acts)-1], "fail attempts_exhausted valid 0 retry true")
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

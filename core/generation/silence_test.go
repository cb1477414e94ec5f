package generation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	ms             = time.Millisecond
	silenceFloor   = 400 * ms
	streamDeadline = 25 * time.Second
	// untilAssessed is when a silence has been found, with or without tokens before.
	untilAssessed = 720 * ms
)

func keepSilentConfig() Config {
	c := DefaultConfig(Move)
	c.Unverified, c.KeepSilent = true, true
	c.SilenceFloor, c.FirstTokenSilence, c.MaxAttempts = silenceFloor, 700*ms, 3
	return c
}

// silentScript returns a script whose attempt 1 has delivered n tokens and is silent since then.
func silentScript(t *testing.T, n int) *script {
	s := &script{t: t, now: epoch}
	s.m = New(keepSilentConfig(), Origin{}, true, 8000, s.now, epoch.Add(streamDeadline))
	s.collect()
	s.ack(1, Stream{Endpoint: "e1", ID: "e1"}, 0, 0)
	s.tokens(1, 0, n)
	s.actions = nil
	return s
}

func (s *script) assessed(attempt int, r Assessment) {
	s.m.Assessed(s.now, attempt, r)
	s.collect()
}

// TestSilentAttemptIsKept guards against the loss of streams whose engine is silent for a moment: they
// were given up before another engine was known to be better.
func TestSilentAttemptIsKept(t *testing.T) {
	tests := []struct {
		name   string
		tokens int
		result Assessment
		want   string // the action that follows
	}{
		{"all are silent", 3, Assessment{Shared: true}, ""},
		{"all are silent, before the first token", 0, Assessment{Shared: true}, ""},
		{"others are silent, but one has room", 3, Assessment{Shared: true, Target: true}, ""},
		{"others are silent, but not the one with the copy", 3, Assessment{Shared: true, Target: true, Copy: true}, "contender 2"},
		{"alone, but no other has room", 3, Assessment{}, ""},
		{"alone", 3, Assessment{Target: true}, "contender 2"},
		{"alone, before the first token", 0, Assessment{Target: true}, "contender 2"},
		{"unreachable, as others are", 3, Assessment{Engine: Unreachable, Shared: true, Target: true}, "contender 2"},
		{"unreachable, and no other", 3, Assessment{Engine: Unreachable}, ""},
		{"busy", 3, Assessment{Engine: Working, Target: true}, ""},
		{"busy, before the first token", 0, Assessment{Engine: Working, Target: true, Copy: true}, ""},
		{"busy, and another has the copy", 3, Assessment{Engine: Working, Target: true, Copy: true}, "contender 2"},
		{"busy with prompts, and another has the copy", 3, Assessment{Engine: Working, Prefilling: true, Target: true, Copy: true}, ""},
		{"its connection may be silent", 3, Assessment{Engine: Working, Undelivered: true, Target: true}, ""},
		{"its connection is silent, and no other has room", 3, Assessment{Engine: Working, Undelivered: true}, ""},
		{"it has just returned", 3, Assessment{Engine: Returned, Target: true, Copy: true}, ""},
		{"this process was paused", 3, Assessment{Inconclusive: true, Target: true, Copy: true}, ""},
		{"it does not run the stream any more", 3, Assessment{Engine: Ended}, "start 2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := silentScript(t, tt.tokens)
			s.advance(untilAssessed)
			assert.Equal(t, s.actions[0], "assess 1")
			s.actions = nil
			s.assessed(1, tt.result)
			switch tt.want {
			case "":
				s.wantActions()
				s.wantWholeAnswer(1, tt.tokens)
			case "contender 2":
				s.wantActions(fmt.Sprintf("contender 2 from %d", tt.tokens))
			case "start 2":
				assert.Equal(t, s.actions[0], "cancel 1 e1")
				assert.Equal(t, s.actions[1], fmt.Sprintf("start 2 from %d avoid [e1]", tt.tokens))
			}
		})
	}
}

// TestPrefillingEngineIsLeftInTime guards against moving streams back and forth between engines that prefill
// prompts, and against leaving one for good with an engine that does nothing else.
func TestPrefillingEngineIsLeftInTime(t *testing.T) {
	s := silentScript(t, 3)
	busy := Assessment{Engine: Working, Prefilling: true, Target: true, Copy: true}
	silentSince := s.now
	for s.now.Sub(silentSince) < 3*time.Second {
		s.actions = nil
		s.advance(10 * ms)
		if len(s.actions) == 0 {
			continue
		}
		s.wantActions("assess 1")
		s.actions = nil
		s.assessed(1, busy)
		if len(s.actions) > 0 {
			break
		}
	}
	s.wantActions("contender 2 from 3")
	assert.Assert(t, s.now.Sub(silentSince) >= MaxSharedSilence)
}

// TestSilentConnectionIsLeft covers an engine that generates tokens which do not arrive.
func TestSilentConnectionIsLeft(t *testing.T) {
	s := silentScript(t, 3)
	s.advance(untilAssessed)
	s.assessed(1, Assessment{Engine: Working, Undelivered: true, Target: true})
	s.actions = nil
	s.advance(undeliveredDelay)
	s.wantActions("assess 1")
	s.assessed(1, Assessment{Engine: Working, Undelivered: true, Target: true})
	s.wantActions("contender 2 from 3")
}

// wantWholeAnswer has the engine go on and end its stream.
func (s *script) wantWholeAnswer(attempt, from int) {
	s.t.Helper()
	s.tokens(attempt, from, from+3)
	s.done(attempt, from+3)
	s.wantActions("finish length")
}

// TestSilentAttemptOutlastsAllAttempts guards against streams that are broken off for want of attempts,
// endpoints or waiting time while their engine is only silent.
func TestSilentAttemptOutlastsAllAttempts(t *testing.T) {
	s := silentScript(t, 3)
	for range 200 {
		s.advance(100 * ms)
		if len(s.actions) == 0 {
			continue
		}
		last := s.actions[len(s.actions)-1]
		s.actions = nil
		switch number := s.m.lastAttempt; last {
		case "assess 1":
			s.assessed(1, Assessment{Target: true, Copy: true})
		case fmt.Sprintf("contender %d from 3", number):
			s.ack(number, Stream{Endpoint: "e2", ID: "e2"}, 3, 0)
			s.fail(number, []Failure{Refused, NoEndpoint, Broken}[number%3])
		default:
			t.Fatalf("unexpected action %q", last)
		}
	}
	s.advance(time.Second)
	s.actions = nil
	s.wantWholeAnswer(1, 3)
}

// TestRunsOfMovedStreamOverlapBriefly covers the time in which a stream runs at two engines.
func TestRunsOfMovedStreamOverlapBriefly(t *testing.T) {
	tests := []struct {
		name string
		then func(*script)
		want []string
	}{
		{"the new engine sends a token", func(s *script) { s.token(2, 3) }, []string{"cancel 1 e1"}},
		{"the new engine answers, and has not refused in time", func(s *script) { s.m.Granted(2); s.advance(grantTimeout) }, []string{"cancel 1 e1"}},
		{"the new engine is silent too", func(s *script) { s.advance(grantTimeout) }, []string{"cancel 2 e2"}},
		{"the new engine refuses", func(s *script) { s.fail(2, Refused) }, nil},
		{"the old engine goes on", func(s *script) { s.token(1, 3) }, []string{"cancel 2 e2"}},
		{"the old engine's connection ends", func(s *script) { s.fail(1, Broken) }, []string{"cancel 1 e1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := silentScript(t, 3)
			s.advance(untilAssessed)
			s.assessed(1, Assessment{Target: true, Copy: true})
			s.actions = nil
			s.ack(2, Stream{Endpoint: "e2", ID: "e2"}, 0, 0)
			s.wantActions()
			tt.then(s)
			s.wantActions(tt.want...)
			current, _ := s.m.Attempt()
			s.wantWholeAnswer(current, s.m.Journal().Len())
		})
	}
}

// TestContenderThatCannotConnectIsDropped: the silent attempt stays the current one.
func TestContenderThatCannotConnectIsDropped(t *testing.T) {
	s := silentScript(t, 3)
	s.advance(untilAssessed)
	s.assessed(1, Assessment{Target: true})
	s.actions = nil
	s.advance(keepSilentConfig().AckTimeout)
	s.wantActions("cancel 2 ")
	s.advance(contenderRetryDelay)
	s.wantActions("assess 1")
	s.wantWholeAnswer(1, 3)
}

// TestSharedSilenceEnds covers a silence that lasts: the stream is left once another engine has room.
func TestSharedSilenceEnds(t *testing.T) {
	s := silentScript(t, 3)
	leftAfter := time.Duration(0)
	for range 60 {
		s.advance(50 * ms)
		if len(s.actions) > 0 && s.actions[len(s.actions)-1] == "assess 1" {
			s.actions = nil
			s.assessed(1, Assessment{Shared: true, Target: true})
		}
		if len(s.actions) > 0 {
			leftAfter = s.now.Sub(epoch)
			break
		}
	}
	assert.Assert(t, leftAfter >= MaxSharedSilence, "%v", leftAfter)
	assert.Assert(t, leftAfter <= MaxSharedSilence+maxReassessDelay, "%v", leftAfter)
	assert.Assert(t, s.m.Stats().Probes <= int(leftAfter/(300*ms)), "%d assessments", s.m.Stats().Probes)
}

// TestOwnPauseIsNoSilence guards against taking a pause of this process for silence of its engines.
func TestOwnPauseIsNoSilence(t *testing.T) {
	tests := []struct {
		name     string
		ownDelay time.Duration
		late     time.Duration
		suspects bool
	}{
		{"in time", 150 * ms, 0, true},
		{"a little late", 150 * ms, 149 * ms, true},
		{"paused", 150 * ms, 150 * ms, false},
		{"paused for long", 150 * ms, 3 * time.Second, false},
		{"switched off", 0, 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := silentScript(t, 3)
			s.m.cfg.OwnDelay = tt.ownDelay
			s.now = s.m.Deadline(s.now).Add(tt.late)
			s.m.Tick(s.now)
			s.collect()
			assert.Equal(t, len(s.actions) > 0, tt.suspects)
			s.advance(ownDelayGrace)
			s.wantActions("assess 1") // nothing had arrived meanwhile
		})
	}
}

// TestStartedGenerationWaitsForEndpoint guards against streams that are broken off because all engines
// are full for a moment after their own was lost.
func TestStartedGenerationWaitsForEndpoint(t *testing.T) {
	s := silentScript(t, 3)
	s.fail(1, Broken)
	for s.now.Before(epoch.Add(20 * time.Second)) {
		if n := s.m.lastAttempt; len(s.actions) > 0 && s.m.current != nil {
			s.actions = nil
			s.fail(n, NoEndpoint)
		}
		s.advance(10 * ms)
		assert.Assert(t, !s.m.Ended(), "after %v", s.now.Sub(epoch))
	}
	n := s.m.lastAttempt
	s.actions = nil
	if s.m.current == nil {
		s.advance(maxRetryDelay)
		n = s.m.lastAttempt
		s.actions = nil
	}
	s.ack(n, Stream{Endpoint: "e2", ID: "e2"}, 3, 0)
	s.wantWholeAnswer(n, 3)
}

// TestRandomSilences delivers tokens, silences, assessments and failures in random order. A
// generation whose connections stand is never ended before its deadline, the runs of a stream overlap
// for grantTimeout at most, and no token is lost or repeated.
func TestRandomSilences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		deadline := epoch.Add(streamDeadline)
		cfg := keepSilentConfig()
		m := New(cfg, Origin{}, true, 8000, now, deadline)
		open := map[int]time.Time{} // attempts that were sent, and when
		starting := map[int]bool{}
		relayed, assessing, ended := 0, 0, false
		perform := func() {
			for _, a := range m.Ready() {
				switch a := a.(type) {
				case Start:
					starting[a.Attempt] = true
				case Assess:
					assessing = a.Attempt
				case Cancel:
					delete(open, a.Attempt)
					delete(starting, a.Attempt)
				case Fail:
					ended = true
				}
			}
		}
		perform()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * ms)
			if at := m.Deadline(now); !at.After(now) {
				m.Tick(at)
				perform()
			}
			number := rapid.IntRange(1, max(m.lastAttempt, 1)).Draw(t, "attempt")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				if starting[number] {
					delete(starting, number)
					open[number] = now
					m.Acked(now, number, Stream{Endpoint: fmt.Sprint("e", number), ID: fmt.Sprint("e", number)}, 0, 0, 0)
				}
			case 1, 2:
				if _, sent := open[number]; sent && m.Token(now, number, relayed, nil) {
					relayed++
				}
			case 3:
				if assessing > 0 {
					r := Assessment{
						Engine: EngineState(rapid.IntRange(0, int(Returned)).Draw(t, "engine")), Target: rapid.Bool().Draw(t, "target"),
						Copy: rapid.Bool().Draw(t, "copy"), Shared: rapid.Bool().Draw(t, "shared"), Undelivered: rapid.Bool().Draw(t, "undelivered"),
					}
					m.Assessed(now, assessing, r)
					assessing = 0
				}
			case 4:
				if starting[number] && number > 1 && m.contender != nil && m.contender.number == number {
					delete(starting, number)
					m.Failed(now, number, rapid.SampledFrom([]Failure{Refused, NoEndpoint}).Draw(t, "failure"), 0)
				}
			}
			perform()
			if ended && now.Before(deadline) && len(open) > 0 {
				t.Fatalf("ended after %v with %d open connections", now.Sub(epoch), len(open))
			}
			if m.Journal().Len() != relayed {
				t.Fatalf("%d tokens in the journal, %d relayed", m.Journal().Len(), relayed)
			}
			if len(open) > 2 {
				t.Fatalf("%d runs side by side", len(open))
			}
		}
	})
}

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
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	stream1 = Stream{Endpoint: "e1", ID: "s1"}
	stream2 = Stream{Endpoint: "e2", ID: "s2"}
)

// script drives a machine in short steps and records its actions and relayed tokens. Each step
// reports an event at the current time.
type script struct {
	t             *testing.T
	m             *Machine
	now           time.Time
	relayedTokens []string
	actions       []string // since the last check
}

func newScript(t *testing.T, p Policy, streamed bool, o Origin) *script {
	s := &script{t: t, now: epoch}
	s.m = New(DefaultConfig(p), o, streamed, 100, s.now, epoch.Add(time.Minute))
	s.collect()
	return s
}

func (s *script) collect() {
	for _, a := range s.m.Ready() {
		switch a := a.(type) {
		case Start:
			if a.Contender && s.m.cfg.KeepSilent {
				s.actions = append(s.actions, fmt.Sprintf("contender %d from %d", a.Attempt, a.From))
				continue
			}
			s.actions = append(s.actions, fmt.Sprintf("start %d from %d avoid [%s]", a.Attempt, a.From, strings.Join(a.Avoid, " ")))
		case Resume:
			s.actions = append(s.actions, fmt.Sprintf("resume %d %s from %d", a.Attempt, a.Stream.ID, a.From))
		case Probe:
			s.actions = append(s.actions, fmt.Sprintf("probe %d %s", a.Attempt, a.Stream.ID))
		case Assess:
			s.actions = append(s.actions, fmt.Sprintf("assess %d", a.Attempt))
		case Cancel:
			s.actions = append(s.actions, fmt.Sprintf("cancel %d %s", a.Attempt, a.Stream.ID))
		case Finish:
			s.actions = append(s.actions, "finish "+a.Reason)
		case Fail:
			s.actions = append(s.actions, fmt.Sprintf("fail %s valid %d retry %v", a.Code, a.ValidTokens, a.RetryAfter > 0))
		}
	}
}

func (s *script) wantActions(actions ...string) {
	s.t.Helper()
	if len(actions) == 0 {
		actions = nil
	}
	assert.DeepEqual(s.t, s.actions, actions)
	s.actions = nil
}

func (s *script) ack(attempt int, st Stream, index int, hash uint64) {
	s.m.Acked(s.now, attempt, st, index, hash, 0)
	s.collect()
}

func (s *script) token(attempt, index int) {
	text := []byte(fmt.Sprintf(" t%d", index))
	if s.m.Token(s.now, attempt, index, text) {
		s.relayedTokens = append(s.relayedTokens, string(text))
	}
	s.collect()
}

// tokens delivers tokens at intervals of 10 ms.
func (s *script) tokens(attempt, from, to int) {
	for i := from; i < to; i++ {
		s.now = s.now.Add(10 * time.Millisecond)
		s.token(attempt, i)
	}
}

func (s *script) fail(attempt int, failure Failure) {
	s.m.Failed(s.now, attempt, failure, 0)
	s.collect()
}

func (s *script) answerProbe(attempt int, alive bool, index int) {
	s.m.Probed(s.now, attempt, alive, index)
	s.collect()
}

// advance moves the time forward by d and calls Tick at each deadline of the machine.
func (s *script) advance(d time.Duration) {
	until := s.now.Add(d)
	for {
		at := s.m.Deadline(s.now)
		if at.After(until) {
			break
		}
		s.now = at
		s.m.Tick(s.now)
		s.collect()
		if len(s.actions) > 50 {
			s.t.Fatalf("actions do not stop: %v", s.actions[:10])
		}
	}
	s.now = until
}

func (s *script) done(attempt, total int) {
	s.m.Done(s.now, attempt, total, s.m.Journal().Hash(), "length")
	s.collect()
}

func (s *script) wantRelayed(n int) {
	s.t.Helper()
	assert.Assert(s.t, is.Len(s.relayedTokens, n))
	for i, t := range s.relayedTokens {
		assert.Equal(s.t, t, fmt.Sprintf(" t%d", i))
	}
}

// runningScript returns a script whose attempt 1 has delivered n tokens.
func runningScript(t *testing.T, p Policy, n int) *script {
	s := newScript(t, p, true, Origin{})
	s.wantActions("start 1 from 0 avoid []")
	s.m.Routed(1, "e1")
	s.ack(1, stream1, 0, 0)
	s.tokens(1, 0, n)
	s.wantActions()
	return s
}

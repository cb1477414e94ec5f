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

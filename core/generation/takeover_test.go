package generation

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

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

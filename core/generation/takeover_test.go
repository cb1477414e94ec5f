package generation

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTakeoverReplaysAndVerifiesDeliveredTokens(t *testing.T) {
	var hash uint64
	for i := range 3 {
		hash = ExtendHash(hash, []byte(fmt.Sprintf(" t%d", i)))
	}
	origin := Origin{Attempt: 1000, Stream: stream1, Delivered: 3, DeliveredHash: hash}
	t.Run("running stream", func(t *testing.T) {
		s := newScript(t, Frugal, true, origin)
		s.wantActions("resume 1001 s1 from 0")
		s.ack(1001, stream1, 0, 0)
		s.tokens(1001, 0, 6)
		assert.DeepEqual(t, s.relayedTokens, []string{" t3", " t4", " t5"})
		s.done(1001, 6)
		s.wantActions("finish length")
		assert.Equal(t, s.m.Stats().PrefilledAgain, 0)
	})
	t.Run("stream gone, same text again", func(t *testing.T) {
		s := newScript(t, Frugal, true, origin)
		s.actions = nil
		s.fail(1001, Refused)
		s.wantActions("cancel 1001 s1", "start 1002 from 0 avoid [e1]")
		s.ack(1002, stream2, 0, 0)
		s.tokens(1002, 0, 5)
		assert.DeepEqual(t, s.relayedTokens, []string{" t3", " t4"})
	})
	t.Run("stream gone, another text", func(t *testing.T) {
		s := newScript(t, Frugal, true, Origin{Attempt: 1000, Stream: stream1, Delivered: 3, DeliveredHash: 99})
		s.actions = nil
		s.fail(1001, Refused)
		s.ack(1002, stream2, 0, 0)
		s.tokens(1002, 0, 5)
		assert.Equal(t, len(s.relayedTokens), 0)
		assert.Equal(t, s.actions[len(s.actions)-1], "fail cannot_continue valid 3 retry false")
	})
	t.Run("stream gone, tokens sent along", func(t *testing.T) {
		withPrefix := origin
		withPrefix.Prefix = []string{" t0", " t1", " t2"}
		s := newScript(t, Frugal, true, withPrefix)
		s.wantActions("resume 1001 s1 from 3")
		s.fail(1001, Refused)
		s.wantActions("cancel 1001 s1", "start 1002 from 3 avoid [e1]")
		s.ack(1002, stream2, 3, hash)
		s.tokens(1002, 3, 5)
		assert.DeepEqual(t, s.relayedTokens, []string{" t3", " t4"})
	})
	t.Run("engine dies during the replay", func(t *testing.T) {
		s := newScript(t, Frugal, true, origin)
		s.ack(1001, stream1, 0, 0)
		s.tokens(1001, 0, 2)
		s.actions = nil
		s.fail(1001, Gone)
		s.wantActions("cancel 1001 s1", "start 1002 from 2 avoid [e1]")
		s.ack(1002, stream2, 2, s.m.Journal().Hash())
		s.tokens(1002, 2, 5)
		assert.DeepEqual(t, s.relayedTokens, []string{" t3", " t4"})
	})
}

func TestRestartPolicySuppressesDeliveredTokens(t *testing.T) {
	s := runningScript(t, Restart, 4)
	s.fail(1, Broken)
	s.wantActions("cancel 1 s1", "start 2 from 0 avoid [e1]")
	s.ack(2, stream2, 0, 0)
	s.tokens(2, 0, 6)
	s.wantRelayed(6)
	assert.Equal(t, s.m.Stats().DiscardedTokens, 4)
}

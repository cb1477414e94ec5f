package pause

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSignal(t *testing.T) {
	var s Signal
	s.Notify() // nobody waits
	first := s.Next()
	assert.Assert(t, !Notified(first))
	assert.Equal(t, first, s.Next())
	s.Notify()
	assert.Assert(t, Notified(first))
	assert.Assert(t, !Notified(s.Next()), "the next event has not occurred yet")
	var none *Signal
	none.Notify()
	assert.Assert(t, !Notified(none.Next()))
}

package revision

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestProofCountsFromTheBeginOfTheRead(t *testing.T) {
	var p Proof
	assert.Assert(t, !p.Within(0, time.Hour), "no proof yet")
	p.Confirm(10 * time.Second)
	p.Confirm(9 * time.Second) // an answer that was overtaken
	assert.Assert(t, p.Within(12*time.Second, 3*time.Second))
	assert.Assert(t, !p.Within(13*time.Second, 3*time.Second))
	// A machine that was suspended for an hour: the clock went on, the proof is old.
	assert.Assert(t, !p.Within(time.Hour, 3*time.Second))
}

package cooldown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestPauseIsKeptInFull: neither a shorter pause of a later refusal nor the success of a request that was
// sent before shortens the time that was asked for.
func TestPauseIsKeptInFull(t *testing.T) {
	var c Cooldown
	assert.Assert(t, !c.Active(at(0)) && !c.OnTrial())
	c.Refused(at(0), 3*time.Second, 0)
	c.Refused(at(0.1), time.Second, 0)
	c.Succeeded(at(0.2))
	assert.Assert(t, c.Active(at(2.9)) && !c.Active(at(3)))
	assert.Assert(t, c.OnTrial())
	c.Succeeded(at(3.1))
	assert.Assert(t, !c.OnTrial())
	c.Refused(at(4), 3*time.Second, 0)
	c.Refused(at(6), 3*time.Second, 0)
	assert.Assert(t, c.Active(at(8.9)) && c.OnTrial())
}

// TestReturnIsSpread: instances that were refused at the same moment return over a quarter of the pause,
// and over a second at the most.
func TestReturnIsSpread(t *testing.T) {
	for pause, want := range map[time.Duration]time.Duration{time.Second: 250 * time.Millisecond, 3 * time.Second: 750 * time.Millisecond, time.Hour: time.Second} {
		var first, last Cooldown
		first.Refused(start, pause, 0)
		last.Refused(start, pause, 1)
		assert.Equal(t, first.Until().Sub(start), pause)
		assert.Equal(t, last.Until().Sub(first.Until()), want)
	}
}

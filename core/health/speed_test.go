package health

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const usualNS = 125000.0

func usualBaseline() *Baseline {
	var b Baseline
	b.ObservePerUnit(epoch, usualNS, 1)
	return &b
}

func factorOf(s *Speed, now time.Time) float64 {
	f, _ := s.Estimate(now).Factor(usualBaseline())
	return f
}

// TestSpeedIsKnownFromThreeObservations: one or two observations, which may be chance, must not
// change how an engine is used.
func TestSpeedIsKnownFromThreeObservations(t *testing.T) {
	var s Speed
	for n := range 3 {
		_, known := s.Estimate(epoch).Factor(usualBaseline())
		assert.Assert(t, !known, "%d observations", n)
		s.Observe(epoch, 0.7*usualNS, 1)
	}
	f, known := s.Estimate(epoch).Factor(usualBaseline())
	assert.Assert(t, known && f > 0.65 && f < 0.8, "%.2f", f)
	_, known = s.Estimate(epoch).Factor(&Baseline{})
	assert.Assert(t, !known, "the usual time is not known")
}

// TestSpeedReturnsToUsual: the speed of an engine that nobody uses must not be kept for ever.
func TestSpeedReturnsToUsual(t *testing.T) {
	var s Speed
	for range 20 {
		s.Observe(epoch, 2.5*usualNS, 1)
	}
	assert.Assert(t, factorOf(&s, epoch) > 2.2)
	_, known := s.Estimate(epochPlus(2 * speedHalfLife)).Factor(usualBaseline())
	assert.Assert(t, !known)
}

// TestSpeedFollowsChanges: an engine that becomes 2.5 times slower for 5 s, with two prompts a
// second, counts as slow in that time, and as usual again after some prompts.
func TestSpeedFollowsChanges(t *testing.T) {
	var s Speed
	at := func(i int) time.Time { return epochPlus(time.Duration(i) * 500 * time.Millisecond) }
	i := 0
	observe := func(n int, perUnit float64) float64 {
		for range n {
			s.Observe(at(i), perUnit, 1)
			i++
		}
		return factorOf(&s, at(i))
	}
	before := observe(40, usualNS)
	assert.Assert(t, before > 0.98 && before < 1.02, "%.2f", before)
	slow := observe(10, 2.5*usualNS)
	assert.Assert(t, slow > 1.8, "%.2f", slow)
	after := observe(10, usualNS)
	assert.Assert(t, after < 1.25, "%.2f", after)
}

// TestSpeedIsBounded: a time that can't be right must not exclude an engine or attract all requests.
func TestSpeedIsBounded(t *testing.T) {
	for _, perUnit := range []float64{1e-3, 1e18} {
		var s Speed
		for range 5 {
			s.Observe(epoch, perUnit, 1)
		}
		f := factorOf(&s, epoch)
		assert.Assert(t, f == MinSpeedFactor || f == MaxSpeedFactor, "%.2f", f)
	}
	var s Speed
	s.Observe(epoch, 0, 1)
	s.Observe(epoch, -1, 1)
	s.Observe(epoch, usualNS, 0)
	assert.Equal(t, s.Estimate(epoch).Weight, 0.0)
	assert.Equal(t, SpeedEstimate{}.PerUnit(), 0.0)
}

// TestBaselineOfUnequalSpeeds: at engines of the speeds 0.7, 0.7 and 1.7, the usual time must be that
// of most engines, also where the first observation was made at a slow one.
func TestBaselineOfUnequalSpeeds(t *testing.T) {
	speeds := []float64{0.7, 0.7, 1.7}
	for first := range speeds {
		var b Baseline
		for i := range 90 {
			b.ObservePerUnit(epoch, speeds[(first+i)%3]*usualNS, 1)
		}
		assert.Assert(t, math.Abs(b.perUnit/(0.7*usualNS)-1) < 0.2, "%.0f", b.perUnit)
	}
}

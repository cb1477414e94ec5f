package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func epochPlus(d time.Duration) time.Time { return epoch.Add(d) }

// TestExcessFailureRate checks that an endpoint is rated by how much more often it fails than the
// others.
func TestExcessFailureRate(t *testing.T) {
	for name, c := range map[string]struct {
		endpoint, others Counts
		least, most      float64
	}{
		"nothing known":                            {Counts{}, Counts{}, 0, 0},
		"as good as the others":                    {Counts{40, 0}, Counts{80, 0}, 0, 0},
		"fails as the others do":                   {Counts{34, 6}, Counts{68, 12}, 0, 0},
		"one failure of two":                       {Counts{1, 1}, Counts{80, 2}, 0, 0.15},
		"fails four in ten":                        {Counts{24, 16}, Counts{78, 2}, 0.25, 0.35},
		"fails all":                                {Counts{0, 20}, Counts{80, 0}, 0.75, 0.85},
		"fails all, and so do the others":          {Counts{0, 20}, Counts{0, 40}, 0, 0},
		"fails less than the others":               {Counts{40, 0}, Counts{40, 40}, 0, 0},
		"the only one of its service":              {Counts{10, 10}, Counts{}, 0.3, 0.4},
		"fails four in ten, and so do some others": {Counts{24, 16}, Counts{64, 16}, 0.1, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			got := ExcessFailureRate(c.endpoint, c.others)
			assert.Assert(t, got >= c.least && got <= c.most, "%.3f", got)
		})
	}
}

// TestOutcomesDecay checks that failures no longer count after some ten seconds without requests.
// Otherwise an endpoint that failed once would never be tried again.
func TestOutcomesDecay(t *testing.T) {
	var o Outcomes
	for range 20 {
		o.Bad(epoch)
	}
	assert.Assert(t, ExcessFailureRate(o.Counts(epoch), Counts{80, 0}) > 0.7)
	assert.Assert(t, ExcessFailureRate(o.Counts(epochPlus(outcomeHalfLife)), Counts{80, 0}) < ExcessFailureRate(o.counts.Add(o.counts), Counts{80, 0}))
	assert.Assert(t, ExcessFailureRate(o.Counts(epochPlus(20*time.Second)), Counts{80, 0}) < 0.1)
}

// TestPace checks that one request reveals an engine that takes four times as long, and that its
// pace decays so that it is tried again.
func TestPace(t *testing.T) {
	var p Pace
	assert.Equal(t, p.Factor(epoch), 1.0)
	p.Observe(epoch, 4)
	assert.Assert(t, p.Factor(epoch) > 2)
	p.Observe(epoch, 4)
	assert.Assert(t, p.Factor(epoch) > 3)
	assert.Assert(t, p.Factor(epochPlus(30*time.Second)) < 1.3)
	p.AtLeast(epochPlus(30*time.Second), 6)
	assert.Assert(t, p.Factor(epochPlus(30*time.Second)) > 5.9)
	p.AtLeast(epochPlus(30*time.Second), 2)
	assert.Assert(t, p.Factor(epochPlus(30*time.Second)) > 5.9, "AtLeast must not lower the pace")
	for range 5 {
		p.Observe(epochPlus(31*time.Second), 1)
	}
	assert.Assert(t, p.Factor(epochPlus(31*time.Second)) < 1.1, "the pace is as usual again")
	p.Observe(epochPlus(31*time.Second), 1e9)
	assert.Assert(t, p.Factor(epochPlus(31*time.Second)) <= maxPaceFactor)
}

// TestBaseline checks that three of ten observations that took four times as long don't shift the
// baseline.
func TestBaseline(t *testing.T) {
	var b Baseline
	_, known := b.Observe(epoch, 8000, time.Second)
	assert.Assert(t, !known)
	_, known = b.Factor(0, time.Second)
	assert.Assert(t, !known)
	_, known = (&Baseline{}).Expected(8000)
	assert.Assert(t, !known)
	for i := range 200 {
		took := time.Second
		if i%10 < 3 {
			took *= 4
		}
		b.Observe(epoch, 8000, took)
	}
	factor, known := b.Factor(8000, 4*time.Second)
	assert.Assert(t, known)
	assert.Assert(t, factor > 3 && factor < 5, "%.2f", factor)
	expected, known := b.Expected(16000)
	assert.Assert(t, known)
	assert.Assert(t, expected > 1600*time.Millisecond && expected < 2600*time.Millisecond, "%v", expected)
}

var breakerSettings = BreakerSettings{MinPause: time.Second, MaxPause: 15 * time.Second}

// TestBreaker checks that an endpoint is paused for a second after one failure, and that after
// another one it gets one request at a time once the pause is over.
func TestBreaker(t *testing.T) {
	var b Breaker
	assert.Assert(t, !b.Suspected(epoch))
	b.Failed(epoch, breakerSettings)
	assert.Assert(t, b.Suspected(epochPlus(999*time.Millisecond)))
	assert.Assert(t, !b.Suspected(epochPlus(time.Second)))
	assert.Assert(t, !b.OnTrial())
	b.Failed(epochPlus(time.Second), breakerSettings)
	assert.Assert(t, b.Suspected(epochPlus(2999*time.Millisecond)))
	assert.Assert(t, !b.Suspected(epochPlus(3*time.Second)))
	assert.Assert(t, b.OnTrial())
	b.Succeeded()
	assert.Assert(t, !b.OnTrial())
}

// TestFlapping checks that an endpoint which works for two seconds and fails again in turns gets
// longer and longer pauses, up to the longest one, and that a minute without failures resets the
// pause.
func TestFlapping(t *testing.T) {
	var b Breaker
	now, before := epoch, time.Duration(0)
	for i := range 6 {
		b.Failed(now, breakerSettings)
		pause := b.Until().Sub(now)
		assert.Assert(t, pause >= before, "%v after %v", pause, before)
		assert.Assert(t, pause <= breakerSettings.MaxPause)
		before = pause
		now = b.Until()
		assert.Equal(t, b.OnTrial(), i > 0)
		b.Succeeded()
		now = now.Add(2 * time.Second)
	}
	assert.Assert(t, before >= 4*time.Second, "%v", before)
	now = now.Add(time.Minute)
	b.Failed(now, breakerSettings)
	assert.Equal(t, b.Until().Sub(now), time.Second)
}

// TestHealthyEndpointReturns checks that an endpoint is tried again within 15 s, however often it
// failed.
func TestHealthyEndpointReturns(t *testing.T) {
	var b Breaker
	for range 1000 {
		b.Failed(epoch, breakerSettings)
	}
	assert.Assert(t, !b.Suspected(epochPlus(breakerSettings.MaxPause)))
	b.Reset()
	assert.Assert(t, !b.Suspected(epoch))
}

package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return epoch.Add(d) }

// TestExcess: what counts is by how much an endpoint fails more often than the others.
func TestExcess(t *testing.T) {
	for name, c := range map[string]struct {
		endpoint, others Counts
		least, most      float64
	}{
		"nothing known":                    {Counts{}, Counts{}, 0, 0},
		"as good as the others":            {Counts{40, 0}, Counts{80, 0}, 0, 0},
		"fails as the others do":           {Counts{34, 6}, Counts{68, 12}, 0, 0},
		"one failure of two":               {Counts{1, 1}, Counts{80, 2}, 0, 0.15},
		"fails four in ten":                {Counts{24, 16}, Counts{78, 2}, 0.25, 0.35},
		"fails all":                        {Counts{0, 20}, Counts{80, 0}, 0.75, 0.85},
		"fails all, and so do the others":  {Counts{0, 20}, Counts{0, 40}, 0, 0},
		"fails less than the others":       {Counts{40, 0}, Counts{40, 40}, 0, 0},
		"the only one of its service":      {Counts{10, 10}, Counts{}, 0.3, 0.4},
		"fails four in ten, half are grey": {Counts{24, 16}, Counts{64, 16}, 0.1, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			got := Excess(c.endpoint, c.others)
			assert.Assert(t, got >= c.least && got <= c.most, "%.3f", got)
		})
	}
}

// TestOutcomesFade: an endpoint that failed all that it got is as good as unknown after some ten seconds without
// requests.
func TestOutcomesFade(t *testing.T) {
	var o Outcomes
	for range 20 {
		o.Bad(epoch)
	}
	assert.Assert(t, Excess(o.Counts(epoch), Counts{80, 0}) > 0.7)
	assert.Assert(t, Excess(o.Counts(after(outcomeHalfLife)), Counts{80, 0}) < Excess(o.counts.Add(o.counts), Counts{80, 0}))
	assert.Assert(t, Excess(o.Counts(after(20*time.Second)), Counts{80, 0}) < 0.1)
}

// TestPace: an engine that takes four times as long is known after one request, and is tried again.
func TestPace(t *testing.T) {
	var p Pace
	assert.Equal(t, p.Factor(epoch), 1.0)
	p.Observe(epoch, 4)
	assert.Assert(t, p.Factor(epoch) > 2)
	p.Observe(epoch, 4)
	assert.Assert(t, p.Factor(epoch) > 3)
	assert.Assert(t, p.Factor(after(30*time.Second)) < 1.3)
	p.AtLeast(after(30*time.Second), 6)
	assert.Assert(t, p.Factor(after(30*time.Second)) > 5.9)
	p.AtLeast(after(30*time.Second), 2)
	assert.Assert(t, p.Factor(after(30*time.Second)) > 5.9, "it has been slower")
	for range 5 {
		p.Observe(after(31*time.Second), 1)
	}
	assert.Assert(t, p.Factor(after(31*time.Second)) < 1.1, "it is as usual again")
	p.Observe(after(31*time.Second), 1e9)
	assert.Assert(t, p.Factor(after(31*time.Second)) <= paceMost)
}

// TestUsual: three of ten endpoints that take four times as long do not change what is usual.
func TestUsual(t *testing.T) {
	var u Usual
	_, known := u.Observe(8000, time.Second)
	assert.Assert(t, !known)
	_, known = u.Factor(0, time.Second)
	assert.Assert(t, !known)
	_, known = (&Usual{}).Expected(8000)
	assert.Assert(t, !known)
	for i := range 200 {
		took := time.Second
		if i%10 < 3 {
			took *= 4
		}
		u.Observe(8000, took)
	}
	factor, known := u.Factor(8000, 4*time.Second)
	assert.Assert(t, known)
	assert.Assert(t, factor > 3 && factor < 5, "%.2f", factor)
	expected, known := u.Expected(16000)
	assert.Assert(t, known)
	assert.Assert(t, expected > 1600*time.Millisecond && expected < 2600*time.Millisecond, "%v", expected)
}

var trust = TrustSettings{First: time.Second, Most: 15 * time.Second}

// TestTrust: an endpoint that fails once is left out for a second; one that fails again is given one request at a
// time when its pause is over.
func TestTrust(t *testing.T) {
	var x Trust
	assert.Assert(t, !x.Suspected(epoch))
	x.Failed(epoch, trust)
	assert.Assert(t, x.Suspected(after(999*time.Millisecond)))
	assert.Assert(t, !x.Suspected(after(time.Second)))
	assert.Assert(t, !x.OnTrial())
	x.Failed(after(time.Second), trust)
	assert.Assert(t, x.Suspected(after(2999*time.Millisecond)))
	assert.Assert(t, !x.Suspected(after(3*time.Second)))
	assert.Assert(t, x.OnTrial())
	x.Succeeded()
	assert.Assert(t, !x.OnTrial())
}

// TestFlapping: an endpoint that works for two seconds and fails, again and again, is left out longer each time, up
// to the most; when it has worked for a minute it is as good as new.
func TestFlapping(t *testing.T) {
	var x Trust
	now, before := epoch, time.Duration(0)
	for i := range 6 {
		x.Failed(now, trust)
		pause := x.Until().Sub(now)
		assert.Assert(t, pause >= before, "%v after %v", pause, before)
		assert.Assert(t, pause <= trust.Most)
		before = pause
		now = x.Until()
		assert.Equal(t, x.OnTrial(), i > 0)
		x.Succeeded()
		now = now.Add(2 * time.Second)
	}
	assert.Assert(t, before >= 4*time.Second, "%v", before)
	now = now.Add(time.Minute)
	x.Failed(now, trust)
	assert.Equal(t, x.Until().Sub(now), time.Second)
}

// TestHealthyEndpointReturns: whatever it was blamed for, an endpoint is tried again within 15 s.
func TestHealthyEndpointReturns(t *testing.T) {
	var x Trust
	for range 1000 {
		x.Failed(epoch, trust)
	}
	assert.Assert(t, !x.Suspected(after(trust.Most)))
	x.Forget()
	assert.Assert(t, !x.Suspected(epoch))
}

package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sentWithin returns the largest number of times within a window of 4 s.
func sentWithin(times []time.Duration) int {
	slices.Sort(times)
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] >= 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowedWithin is what an endpoint may get within 4 s.
func allowedWithin(rate float64) int { return int(1.5*4*rate) + 5 }

// TestGateKeepsRateAndUsesIt checks both sides of a gate: it never admits more than an endpoint
// tolerates, and it admits nearly all of the rate if there is enough demand, also for rates below
// one in a window and when some of the work is recoveries.
func TestGateKeepsRateAndUsesIt(t *testing.T) {
	for _, r := range []float64{0, 0.1, 0.5, 2, 6.5, 10.3, 80} {
		for _, recoveries := range []bool{false, true} {
			t.Run(fmt.Sprint(r, " ", recoveries), func(t *testing.T) {
				var g RateGate
				rnd := rand.New(rand.NewPCG(1, 2))
				var sent []time.Duration
				const duration = 60 * time.Second
				for d := time.Duration(0); d < duration; d += time.Duration(rnd.IntN(10)) * time.Millisecond {
					if ok, _ := g.Admit(at(d), r, recoveries && rnd.IntN(2) == 0); ok {
						sent = append(sent, d)
					}
				}
				assert.Assert(t, sentWithin(sent) <= allowedWithin(r), "%d of %d", sentWithin(sent), allowedWithin(r))
				assert.Assert(t, float64(len(sent)) >= r*duration.Seconds()*0.98, "%d admitted", len(sent))
			})
		}
	}
}

// TestGateFollowsRate checks that a rate that changes is kept from then on: a lower one at once, and
// a higher one within a second.
func TestGateFollowsRate(t *testing.T) {
	var g RateGate
	var sent []time.Duration
	for d := time.Duration(0); d < 30*time.Second; d += time.Millisecond {
		r := 0.0
		if d > 10*time.Second && d < 20*time.Second {
			r = 50
		}
		if ok, _ := g.Admit(at(d), r, false); ok {
			sent = append(sent, d)
		}
	}
	high := slices.DeleteFunc(slices.Clone(sent), func(d time.Duration) bool { return d < 11*time.Second || d > 20*time.Second })
	assert.Assert(t, len(high) >= 440, "%d", len(high))
	after := slices.DeleteFunc(slices.Clone(sent), func(d time.Duration) bool { return d < 20*time.Second })
	assert.Assert(t, len(after) <= 4, "%d", len(after))
}

// TestGateAtUnsteadyRate guards against a rate that differs a little from answer to answer and so
// lets a burst through each time.
func TestGateAtUnsteadyRate(t *testing.T) {
	var g RateGate
	rnd := rand.New(rand.NewPCG(5, 6))
	var sent []time.Duration
	for d := time.Duration(0); d < 30*time.Second; d += time.Millisecond {
		if ok, _ := g.Admit(at(d), 8+rnd.Float64(), false); ok {
			sent = append(sent, d)
		}
	}
	assert.Assert(t, sentWithin(sent) <= allowedWithin(8), "%d", sentWithin(sent))
	assert.Assert(t, len(sent) >= 230, "%d", len(sent))
}

// TestRefusedInstancesComeBackInTurn guards against all refused instances asking again at the moment
// at which one of them can be admitted.
func TestRefusedInstancesComeBackInTurn(t *testing.T) {
	var g RateGate
	g.Admit(at(0), 4, false)
	var told []time.Duration
	for range 6 {
		ok, in := g.Admit(at(0), 4, false)
		assert.Assert(t, !ok)
		told = append(told, in.Round(time.Millisecond))
	}
	assert.DeepEqual(t, told, []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond, time.Second, 1250 * time.Millisecond, 1500 * time.Millisecond})
	for range 100 {
		_, in := g.Admit(at(0), 4, false)
		assert.Assert(t, in <= maxRetryIn)
	}
}

// TestFleetsShareOneRate plays fleets in which each instance asks the owner of an endpoint before it
// sends: with rates below the number of instances, callers at a few instances only, answers of the
// first owner that are lost, and an owner that is replaced again and again. What all send together
// stays within what the endpoint tolerates, and what one instance does not use is left to others.
func TestFleetsShareOneRate(t *testing.T) {
	for _, c := range []struct {
		name              string
		instances, asking int
		rate              float64
		lost              float64       // share of the claims that the second owner answers
		replaced          time.Duration // time between two replacements of the first owner
		minShare          float64       // of the rate that has to be used
	}{
		{"six", 6, 6, 8.3, 0, 0, 0.95},
		{"thirty, more than the rate", 30, 30, 8.3, 0, 0, 0.95},
		{"three hundred", 300, 300, 8.3, 0, 0, 0.9},
		{"a thousand", 985, 985, 8.3, 0, 0, 0.9},
		{"a thousand, one sends", 985, 1, 8.3, 0, 0, 0.9},
		{"answers lost", 30, 30, 8.3, 0.2, 0, 0.95},
		{"owner replaced", 30, 30, 8.3, 0, 3 * time.Second, 0.85},
	} {
		t.Run(c.name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(3, 4))
			first, second := &RateGate{}, &RateGate{}
			askAgain := make([]time.Duration, c.instances)
			var sent []time.Duration
			const duration = 40 * time.Second
			claims := 0
			for d := time.Duration(0); d < duration; d += time.Millisecond {
				if c.replaced > 0 && d%c.replaced == 0 {
					first = &RateGate{}
				}
				for range 3 { // three requests a millisecond look for an endpoint
					i := rnd.IntN(c.asking)
					if d < askAgain[i] {
						continue
					}
					claims++
					g, share := first, OwnerShare(0)
					if rnd.Float64() < c.lost {
						g, share = second, OwnerShare(1)
					}
					ok, in := g.Admit(at(d), c.rate*share, false)
					if ok {
						sent = append(sent, d)
					}
					askAgain[i] = d + in
				}
			}
			assert.Check(t, sentWithin(sent) <= allowedWithin(c.rate), "%d of %d", sentWithin(sent), allowedWithin(c.rate))
			assert.Check(t, float64(len(sent)) >= c.minShare*c.rate*duration.Seconds(), "%d sent", len(sent))
			assert.Check(t, claims <= c.instances*int(duration.Seconds())+20*len(sent), "%d claims", claims)
		})
	}
}

// TestReturnsAreSpread checks that refused callers are not told to come back faster than they can be
// served, and not beyond any use.
func TestReturnsAreSpread(t *testing.T) {
	var s ReturnSchedule
	var told []time.Duration
	for range 4 {
		told = append(told, s.Next(at(0), 200*time.Millisecond, 5))
	}
	assert.DeepEqual(t, told, []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond})
	assert.Equal(t, s.Next(at(5*time.Second), 200*time.Millisecond, 5), 200*time.Millisecond, "after a pause it starts again")
	for range 200 {
		assert.Assert(t, s.Next(at(5*time.Second), 0, 5) <= maxReturnIn)
	}
	assert.Equal(t, s.Next(at(60*time.Second), time.Second, 0), time.Second)
}

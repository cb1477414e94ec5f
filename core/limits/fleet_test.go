package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLargeFleetKeepsTheWindow: 295 instances before engines of which all refuse, 77 streams a second. A stream that was refused
// is sent to the next engine after a round trip, three times, and then waits longer each time. What the others sent again is
// heard as sums of five data centres. The bound holds when sums are a quarter of a second old at the most, and would not hold
// with sums that are told twice a second and passed on, a second old.
func TestLargeFleetKeepsTheWindow(t *testing.T) {
	const (
		instances, dataCentres = 295, 5
		perSecond              = 77
		bound                  = 0.8*perSecond*10 + 150
	)
	play := func(heardEach time.Duration) int {
		f, r := newFleet(instances), rand.New(rand.NewPCG(1, 1))
		set := settings()
		set.Margin, set.Kept = 0.75, 0.15
		for i := range f.windows {
			f.windows[i] = NewWindow(set)
		}
		due := map[int][]int{} // instances that try again, by millisecond
		for ms := 0; ms < 15000; ms++ {
			now := time.Duration(ms) * time.Millisecond
			if now%heardEach == 0 {
				f.exchangeSums(now, dataCentres)
			}
			if r.Float64() < perSecond*0.001 {
				i := r.IntN(instances)
				f.windows[i].Request(now)
				for _, after := range []int{6, 12, 18, 40, 80, 160, 320, 570, 820, 1070} {
					due[ms+after] = append(due[ms+after], i)
				}
			}
			for _, i := range due[ms] {
				if f.windows[i].Repeat(now, Sharing{instances, instances}, false) {
					f.sent = append(f.sent, now)
				}
			}
		}
		return f.most()
	}
	soon, late := play(250*time.Millisecond), play(time.Second)
	t.Logf("most in 10 s: %d with sums of 0.25 s, %d with sums of 1 s, %.0f allowed", soon, late, float64(bound))
	assert.Assert(t, soon < bound, "%d", soon)
	assert.Assert(t, late > soon, "the load tells the two apart")
}

// exchangeSums has all instances hear what the data centres have counted.
func (f *fleet) exchangeSums(now time.Duration, dataCentres int) {
	sums := make([]Counted, dataCentres)
	for i, w := range f.windows {
		own := w.Own()
		sums[i%dataCentres].Requests += own.Requests
		sums[i%dataCentres].Repeats += own.Repeats
	}
	for _, w := range f.windows {
		for dc, sum := range sums {
			w.Heard(now, fmt.Sprint(dc), sum)
		}
	}
}

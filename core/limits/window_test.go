package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func settings() WindowSettings {
	return WindowSettings{Share: 0.8, Reserve: 150, Length: 10 * time.Second, Margin: 0.7}
}

func TestWindowSlides(t *testing.T) {
	w := NewWindow(settings())
	n := 0
	for ; w.Repeat(0, Sharing{1, 1}, true); n++ {
	}
	assert.Equal(t, n, 105)
	assert.Assert(t, !w.Repeat(9*time.Second, Sharing{1, 1}, true))
	assert.Assert(t, w.Repeat(11*time.Second, Sharing{1, 1}, true))
	for range 100 {
		w.Request(11 * time.Second)
	}
	for n = 1; w.Repeat(12*time.Second, Sharing{1, 1}, true); n++ {
	}
	assert.Equal(t, n, 161)
}

func TestWindowOfOneThatIsCutOff(t *testing.T) {
	w := NewWindow(settings())
	n := 0
	for ; w.Repeat(0, Sharing{1, 10}, true); n++ {
	}
	assert.Equal(t, n, 10)
}

// fleet is instances that tell each other what they counted.
type fleet struct {
	windows []*Window
	sent    []time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for range n {
		f.windows = append(f.windows, NewWindow(settings()))
	}
	return f
}

func (f *fleet) exchange(now time.Duration) {
	for i, a := range f.windows {
		for j, b := range f.windows {
			if i != j {
				a.Heard(now, fmt.Sprint(j), b.Own())
			}
		}
	}
}

// most returns the most repetitions in any window of 10 s.
func (f *fleet) most() int {
	most := 0
	for i, from := range f.sent {
		n := 0
		for _, at := range f.sent[i:] {
			if at-from < 10*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestFleetKeepsTheWindow: 87 instances before engines of which all refuse: each request would be sent again
// ten times. The bound holds although each hears of the others 400 ms late.
func TestFleetKeepsTheWindow(t *testing.T) {
	f, r := newFleet(87), rand.New(rand.NewPCG(1, 1))
	const perSecond = 27
	for ms := 0; ms < 30000; ms += 10 {
		now := time.Duration(ms) * time.Millisecond
		if ms%400 == 0 {
			f.exchange(now)
		}
		if r.Float64() > perSecond*0.01 {
			continue
		}
		w := f.windows[r.IntN(len(f.windows))]
		w.Request(now)
		for range 10 {
			if w.Repeat(now, Sharing{87, 87}, true) {
				f.sent = append(f.sent, now)
			}
		}
	}
	bound := 0.8*perSecond*10 + 150
	assert.Assert(t, float64(f.most()) < bound, "%d of %.0f", f.most(), bound)
}

// TestFleetRecoversTogether: a data centre is lost, and a third of 190 streams move at once, one repetition
// each. With a budget split among 87 instances half of them were refused.
func TestFleetRecoversTogether(t *testing.T) {
	f := newFleet(87)
	for i := range 190 {
		f.windows[i%87].Request(time.Duration(i) * 37 * time.Millisecond)
	}
	f.exchange(7 * time.Second)
	moved := 0
	for i := range 63 {
		if f.windows[(i*2)%87].Repeat(7100*time.Millisecond, Sharing{87, 87}, true) {
			moved++
		}
	}
	assert.Equal(t, moved, 63)
}

// TestRecoveriesGoFirst: a data centre is lost while engines refuse much of what comes. What is sent again for
// requests of which nothing has arrived leaves room for the streams that have to go on.
func TestRecoveriesGoFirst(t *testing.T) {
	set := settings()
	set.Margin, set.Kept = 0.75, 0.15
	w := NewWindow(set)
	for range 270 {
		w.Request(0)
	}
	all := Sharing{1, 1}
	others := 0
	for ; w.Repeat(time.Second, all, false); others++ {
	}
	assert.Equal(t, others, 219) // 0.6 of 366
	assert.Assert(t, !w.Room(time.Second, all, false))
	recovered := 0
	for ; w.Repeat(time.Second, all, true); recovered++ {
	}
	assert.Equal(t, recovered, 55)
}

// TestRoomTakesNothing: a look at the room does not use it up.
func TestRoomTakesNothing(t *testing.T) {
	w := NewWindow(WindowSettings{Reserve: 1, Length: time.Second, Margin: 1})
	for range 3 {
		assert.Assert(t, w.Room(0, Sharing{1, 1}, true))
	}
	assert.Assert(t, w.Repeat(0, Sharing{1, 1}, true))
	assert.Assert(t, !w.Room(0, Sharing{1, 1}, true))
}

package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sizes of the fleets in the tests below: today's small ones, the large ones, and the target's with room.
func sizes() []int {
	if raceEnabled {
		return []int{30, 100}
	}
	return []int{30, 100, 300, 1000}
}

// TestWhoIsAlive: whatever the size of the fleet, a death is known to all within 3 s and a start within 1 s, and what an
// instance sends in calm times does not grow.
func TestWhoIsAlive(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, true, func(w *fleet) {
				all := func(n *node) bool { return len(n.Others()) == size-1 }
				assert.Equal(w, w.until(time.Second, all), time.Duration(0), "all know all after the start")
				time.Sleep(30 * time.Second) // what is passed on of the start is over
				count, bytes := w.datagrams()
				const calm = 10 * time.Second
				time.Sleep(calm)
				count2, bytes2 := w.datagrams()
				perSecond := float64(size) * calm.Seconds()
				w.Logf("%d instances: %.1f datagrams and %.0f bytes a second each", size, float64(count2-count)/perSecond, float64(bytes2-bytes)/perSecond)
				if size > directMost {
					assert.Assert(w, float64(bytes2-bytes)/perSecond < 2000)
				}
				for _, victim := range []int{0, size / 2, size - 1} {
					id := w.self(victim).ID
					w.kill(victim)
					took := w.until(10*time.Second, func(n *node) bool { return !n.knows(id) }, victim)
					w.Logf("%d instances: a death known to all after %v", size, took)
					assert.Assert(w, took <= 3*time.Second, "%v", took)
					w.start(victim)
					took = w.until(10*time.Second, func(n *node) bool { return n.knows(id) || n.index == victim })
					w.Logf("%d instances: a start known to all after %v", size, took)
					assert.Assert(w, took <= time.Second, "%v", took)
				}
			})
		})
	}
}

// TestHalfOfAFleetDies: the pattern is a kill of many at the same moment, those that sum up among them. All are left out
// by all others within 3 s, and back within 1 s of their start.
func TestHalfOfAFleetDies(t *testing.T) {
	const size = 100
	runFleet(t, size, true, func(w *fleet) {
		var dead []int
		for i := range size {
			if i%2 == 0 {
				dead = append(dead, i)
				w.kill(i)
			}
		}
		left := func(n *node) bool { return len(n.Others()) == size/2-1 }
		took := w.until(10*time.Second, left, dead...)
		assert.Assert(w, took <= 3*time.Second, "%v", took)
		for _, i := range dead {
			w.start(i)
		}
		took = w.until(10*time.Second, func(n *node) bool { return len(n.Others()) == size-1 })
		assert.Assert(w, took <= time.Second, "%v", took)
	})
}

// TestFirstStartOfAFleet: nobody is in the store's list. All find each other, each writes once.
func TestFirstStartOfAFleet(t *testing.T) {
	const size = 60
	runFleet(t, size, false, func(w *fleet) {
		for _, n := range w.nodes {
			assert.Equal(w, len(n.Others()), size-1)
		}
		assert.Equal(w, w.store.calls, size)
	})
}

// TestWhoeverIsCutOffSuspectsNobody: an instance that hears nothing goes on with what it knows, and when it is heard
// again nobody else is doubted.
func TestWhoeverIsCutOffSuspectsNobody(t *testing.T) {
	const size, cut = 80, 7
	runFleet(t, size, true, func(w *fleet) {
		w.net.SetCut(func(a, b string) bool { return (a == fmt.Sprint("f", cut)) != (b == fmt.Sprint("f", cut)) })
		time.Sleep(6 * time.Second)
		assert.Equal(w, len(w.nodes[cut].Others()), size-1)
		for _, n := range w.nodes {
			if n.index != cut {
				assert.Assert(w, !n.knows(w.self(cut).ID))
			}
		}
		w.net.SetCut(func(string, string) bool { return false })
		took := w.until(30*time.Second, func(n *node) bool { return len(n.Others()) == size-1 })
		assert.Assert(w, took <= 5*time.Second, "%v", took)
	})
}

// TestLeavingIsKnownAtOnce: no caller is sent to an instance that has said that it stops.
func TestLeavingIsKnownAtOnce(t *testing.T) {
	const size = 80
	runFleet(t, size, true, func(w *fleet) {
		w.nodes[3].ready.Store(false)
		w.nodes[3].Now()
		took := w.until(time.Second, func(n *node) bool { return !slices.Contains(n.Entry("hall-3", "south"), w.self(3).Callers) })
		assert.Assert(w, took <= 50*time.Millisecond, "%v", took)
	})
}

// TestClockSetBack: an instance that starts again while its clock is behind is believed what it says.
func TestClockSetBack(t *testing.T) {
	const size = 8
	runFleet(t, size, true, func(w *fleet) {
		w.kill(2)
		n := w.start(2)
		n.Exchange.mu.Lock()
		n.members.node.SetIncarnation(1)
		n.Exchange.mu.Unlock()
		time.Sleep(2 * time.Second)
		n.ready.Store(false)
		n.Now()
		took := w.until(time.Second, func(n *node) bool { return !slices.Contains(n.Entry("hall-2", "south"), w.self(2).Callers) })
		assert.Assert(w, took <= 300*time.Millisecond, "%v", took)
	})
}

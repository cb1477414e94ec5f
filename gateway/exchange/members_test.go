package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetSizes returns the sizes of the fleets in the test below: a full mesh, large fleets, and one
// with room above the largest that is planned for. The race detector makes the larger ones too
// slow.
func fleetSizes() []int {
	if raceEnabled {
		return []int{30, 100}
	}
	return []int{30, 100, 300, 1000}
}

// TestWhoIsAlive: whatever the size of the fleet, all instances notice a death within 3 s and a
// start within 1 s. What an instance sends without faults does not grow with the fleet.
func TestWhoIsAlive(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, true, func(w *fleet) {
				knowsAll := func(n *node) bool { return len(n.Others()) == size-1 }
				assert.Equal(w, w.timeUntil(time.Second, knowsAll), time.Duration(0), "all know all others after the start")
				time.Sleep(30 * time.Second) // news of the start is no longer passed on
				count, bytes := w.datagrams()
				const quietTime = 10 * time.Second
				time.Sleep(quietTime)
				count2, bytes2 := w.datagrams()
				perSecond := float64(size) * quietTime.Seconds()
				w.Logf("%d instances: %.1f datagrams and %.0f bytes a second each", size, float64(count2-count)/perSecond, float64(bytes2-bytes)/perSecond)
				if size > maxFullMeshPeers {
					assert.Assert(w, float64(bytes2-bytes)/perSecond < 2000)
				}
				for _, victim := range []int{0, size / 2, size - 1} {
					id := w.peer(victim).ID
					w.kill(victim)
					took := w.timeUntil(10*time.Second, func(n *node) bool { return !n.knows(id) }, victim)
					w.Logf("%d instances: a death known to all after %v", size, took)
					assert.Assert(w, took <= 3*time.Second, "%v", took)
					w.start(victim)
					took = w.timeUntil(10*time.Second, func(n *node) bool { return n.knows(id) || n.index == victim })
					w.Logf("%d instances: a start known to all after %v", size, took)
					assert.Assert(w, took <= time.Second, "%v", took)
				}
			})
		})
	}
}

// TestHalfOfFleetIsKilled: many instances are killed at the same moment, aggregators among them.
// All others leave them out within 3 s, and know them again within 1 s of their start.
func TestHalfOfFleetIsKilled(t *testing.T) {
	const size = 100
	runFleet(t, size, true, func(w *fleet) {
		var killed []int
		for i := range size {
			if i%2 == 0 {
				killed = append(killed, i)
				w.kill(i)
			}
		}
		knowsSurvivors := func(n *node) bool { return len(n.Others()) == size/2-1 }
		took := w.timeUntil(10*time.Second, knowsSurvivors, killed...)
		assert.Assert(w, took <= 3*time.Second, "%v", took)
		for _, i := range killed {
			w.start(i)
		}
		took = w.timeUntil(10*time.Second, func(n *node) bool { return len(n.Others()) == size-1 })
		assert.Assert(w, took <= time.Second, "%v", took)
	})
}

// TestFirstStartWithEmptyList: no instance is in the store's list. All find each other, and each
// writes its entry once.
func TestFirstStartWithEmptyList(t *testing.T) {
	const size = 60
	runFleet(t, size, false, func(w *fleet) {
		for _, n := range w.nodes {
			assert.Equal(w, len(n.Others()), size-1)
		}
		assert.Equal(w, w.store.calls, size)
	})
}

// TestCutOffInstanceSuspectsNobody: an instance that receives nothing must not take all others for
// lost. It keeps what it knows, and within 5 s of the end of the partition all instances know each
// other again.
func TestCutOffInstanceSuspectsNobody(t *testing.T) {
	const size, cut = 80, 7
	runFleet(t, size, true, func(w *fleet) {
		w.net.SetCut(func(a, b string) bool { return (a == fmt.Sprint("f", cut)) != (b == fmt.Sprint("f", cut)) })
		time.Sleep(6 * time.Second)
		assert.Equal(w, len(w.nodes[cut].Others()), size-1)
		for _, n := range w.nodes {
			if n.index != cut {
				assert.Assert(w, !n.knows(w.peer(cut).ID))
			}
		}
		w.net.SetCut(func(string, string) bool { return false })
		took := w.timeUntil(30*time.Second, func(n *node) bool { return len(n.Others()) == size-1 })
		assert.Assert(w, took <= 5*time.Second, "%v", took)
	})
}

// TestNotReadyIsKnownAtOnce: callers must not be sent to an instance that has announced that it
// stops.
func TestNotReadyIsKnownAtOnce(t *testing.T) {
	const size = 80
	runFleet(t, size, true, func(w *fleet) {
		w.nodes[3].ready.Store(false)
		w.nodes[3].PublishStatus()
		took := w.timeUntil(time.Second, func(n *node) bool { return !slices.Contains(n.EntryAddresses("hall-3", "south"), w.peer(3).Callers) })
		assert.Assert(w, took <= 50*time.Millisecond, "%v", took)
	})
}

// TestRestartWithClockSetBack: an instance restarts while its clock is behind, so its incarnation
// is lower than the known one. What it then says of itself must still be accepted.
func TestRestartWithClockSetBack(t *testing.T) {
	const size = 8
	runFleet(t, size, true, func(w *fleet) {
		w.kill(2)
		n := w.start(2)
		n.Exchange.mu.Lock()
		n.members.node.SetIncarnation(1)
		n.Exchange.mu.Unlock()
		time.Sleep(2 * time.Second)
		n.ready.Store(false)
		n.PublishStatus()
		took := w.timeUntil(time.Second, func(n *node) bool { return !slices.Contains(n.EntryAddresses("hall-2", "south"), w.peer(2).Callers) })
		assert.Assert(w, took <= 300*time.Millisecond, "%v", took)
	})
}

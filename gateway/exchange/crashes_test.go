package exchange

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/crashers"
)

// stoppedFact returns a fact about a request that was stopped after three endpoints had ended under
// it.
func stoppedFact(team string) crashers.Fact {
	now := time.Now()
	end := crashers.Crash{Endpoint: "i-1", Phase: crashers.Begun, Sent: now.Add(-2 * time.Second), At: now.Add(-time.Second)}
	return crashers.Fact{
		Subject: crashers.Subject{Team: team, Content: crashers.ContentHash{1, 2, 3}}, Crashes: []crashers.Crash{end, end, end},
		Stop: crashers.Stop{Count: 1, At: now, Until: now.Add(10 * time.Minute)},
	}
}

// TestFactsAreSplitOverDatagrams: 100 facts with twelve ends each do not fit into one datagram.
// Without splitting, some of them would not arrive.
func TestFactsAreSplitOverDatagrams(t *testing.T) {
	runFleet(t, 3, true, func(w *fleet) {
		var facts []crashers.Fact
		for i := range 100 {
			f := stoppedFact("desk")
			f.Subject.Content[15] = byte(i)
			for len(f.Crashes) < 12 {
				f.Crashes = append(f.Crashes, f.Crashes[0])
			}
			f.Crashes = append([]crashers.Crash(nil), f.Crashes...)
			for n := range f.Crashes {
				f.Crashes[n].Endpoint = fmt.Sprint("i-ce052d86f5@mm1n1qpn-", n)
			}
			facts = append(facts, f)
		}
		w.nodes[0].TellCrashes(facts, true)
		time.Sleep(100 * time.Millisecond)
		for i := range facts {
			assert.Assert(w, w.nodes[1].crashes.knows(facts[i].Subject), "%d", i)
		}
	})
}

// TestCrashFactsReachAllInstances: an instance that does not know a stopped request lets it end
// another endpoint. So all reachable instances know of it at once. Those that were cut off, or that
// start, know of it soon after they are heard, within the three seconds that a fleet has to settle.
func TestCrashFactsReachAllInstances(t *testing.T) {
	const settle = 3 * time.Second
	for _, size := range []int{9, 90, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, true, func(w *fleet) {
				fact := stoppedFact("desk")
				knows := func(n *node) bool { return n.crashes.knows(fact.Subject) }
				inCutDataCentre := func(name string) bool {
					var i int
					_, err := fmt.Sscanf(name, "f%d", &i)
					return err == nil && i%fleetDataCentres == 1
				}
				w.net.SetCut(func(a, b string) bool { return inCutDataCentre(a) != inCutDataCentre(b) })
				time.Sleep(8 * time.Second)
				var cutOff []int
				for i := range size {
					if inCutDataCentre(fmt.Sprint("f", i)) {
						cutOff = append(cutOff, i)
					} else {
						w.nodes[i].crashes.setOwn(fact)
					}
				}
				w.nodes[0].TellCrashes([]crashers.Fact{fact}, false)
				took := w.timeUntil(settle, knows, append(cutOff, 0)...)
				assert.Assert(w, took <= 50*time.Millisecond, "%v", took)
				for _, i := range cutOff {
					assert.Assert(w, !knows(w.nodes[i]))
				}
				w.net.SetCut(func(string, string) bool { return false })
				heard := w.timeUntil(time.Minute, func(n *node) bool { return n.knows(w.nodes[1].Self.ID) }, 1)
				took = w.timeUntil(time.Minute, knows, 0)
				w.Logf("heard again after %v, known %v later", heard, took)
				assert.Assert(w, took <= settle, "%v", took)
				w.kill(2)
				time.Sleep(time.Second)
				n := w.start(2)
				took = w.timeUntil(settle, func(n *node) bool { return knows(n) }, 0)
				w.Logf("known to one that starts after %v", took)
				assert.Assert(w, took < settle && knows(n), "%v", took)
			})
		})
	}
}

// TestEveryReturningInstanceIsAskedForStops: when a partition heals, instances are lost and heard
// within moments of each other. A stop that only one of them knows must be asked for, whichever
// others were lost or heard just before.
func TestEveryReturningInstanceIsAskedForStops(t *testing.T) {
	const settle = 3 * time.Second
	for name, before := range map[string][]string{"loss before": {}, "another before": {"front-hall-2-2"}} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, true, func(w *fleet) {
				fact := stoppedFact("desk")
				asking, informed := w.nodes[0], w.nodes[1]
				informed.crashes.setOwn(fact)
				asking.askForCrashes(before)
				asking.askForCrashes([]string{informed.Self.ID})
				took := w.timeUntil(settle, func(n *node) bool { return n.crashes.knows(fact.Subject) }, 1, 2)
				assert.Assert(w, took < settle, "%v", took)
			})
		})
	}
}

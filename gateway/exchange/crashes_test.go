package exchange

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/crashers"
)

// stoppedFact is a stopped request.
func stoppedFact(team string) crashers.Fact {
	now := time.Now()
	end := crashers.End{Endpoint: "i-1", Sign: crashers.Begun, Sent: now.Add(-2 * time.Second), At: now.Add(-time.Second)}
	return crashers.Fact{
		Request: crashers.Request{Team: team, Content: crashers.Content{1, 2, 3}}, Ends: []crashers.End{end, end, end},
		Stop: crashers.Stop{Times: 1, At: now, Until: now.Add(10 * time.Minute)},
	}
}

// TestAllHearOfCrashes: what one instance tells of a request all know at once, and those that were cut off, or start, know soon
// after they are heard: in less time than the three seconds that a fleet has to settle.
func TestAllHearOfCrashes(t *testing.T) {
	const settle = 3 * time.Second
	for _, size := range []int{9, 90, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, true, func(w *fleet) {
				fact := stoppedFact("desk")
				knows := func(n *node) bool { return n.crashes.knows(fact.Request) }
				hall := func(name string) bool {
					var i int
					_, err := fmt.Sscanf(name, "f%d", &i)
					return err == nil && i%fleetDataCentres == 1
				}
				w.net.SetCut(func(a, b string) bool { return hall(a) != hall(b) })
				time.Sleep(8 * time.Second)
				var away []int
				for i := range size {
					if hall(fmt.Sprint("f", i)) {
						away = append(away, i)
					} else {
						w.nodes[i].crashes.own = []crashers.Fact{fact}
					}
				}
				w.nodes[0].TellCrashes([]crashers.Fact{fact}, false)
				took := w.until(settle, knows, append(away, 0)...)
				assert.Assert(w, took <= 50*time.Millisecond, "%v", took)
				for _, i := range away {
					assert.Assert(w, !knows(w.nodes[i]))
				}
				w.net.SetCut(func(string, string) bool { return false })
				heard := w.until(time.Minute, func(n *node) bool { return n.knows(w.nodes[1].Self.ID) }, 1)
				took = w.until(time.Minute, knows, 0)
				w.Logf("heard again after %v, known %v later", heard, took)
				assert.Assert(w, took <= settle, "%v", took)
				w.kill(2)
				time.Sleep(time.Second)
				n := w.start(2)
				took = w.until(settle, func(n *node) bool { return knows(n) }, 0)
				w.Logf("known to one that starts after %v", took)
				assert.Assert(w, took < settle && knows(n), "%v", took)
			})
		})
	}
}

// TestFactsOnTheWire: what is told arrives as it was, to a millisecond.
func TestFactsOnTheWire(t *testing.T) {
	now := time.Now().Truncate(time.Millisecond)
	f := stoppedFact("desk")
	f.Cleared, f.Trying, f.Stop.Stored = now.Add(-time.Minute), true, true
	got := decodeFacts(now, encodeFacts(now, []crashers.Fact{f}))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Request, f.Request)
	assert.Equal(t, len(got[0].Ends), len(f.Ends))
	near := func(a, b time.Time) {
		t.Helper()
		assert.Assert(t, a.Sub(b).Abs() <= time.Millisecond, "%v %v", a, b)
	}
	for i, e := range got[0].Ends {
		assert.Equal(t, e.Endpoint, f.Ends[i].Endpoint)
		assert.Equal(t, e.Sign, f.Ends[i].Sign)
		near(e.Sent, f.Ends[i].Sent)
		near(e.At, f.Ends[i].At)
	}
	near(got[0].Cleared, f.Cleared)
	near(got[0].Stop.Until, f.Stop.Until)
	assert.Equal(t, got[0].Stop.Times, 1)
	assert.Assert(t, got[0].Trying && got[0].Stop.Stored)
	cut := encodeFacts(now, []crashers.Fact{f})
	cut[0].Content = cut[0].Content[1:]
	assert.Equal(t, len(decodeFacts(now, cut)), 0)
	assert.Equal(t, ofMilliseconds(math.MaxUint64), ageMost)
	assert.Equal(t, len(decodeFacts(now, []*peerv1.CrashFact{nil})), 0)
}

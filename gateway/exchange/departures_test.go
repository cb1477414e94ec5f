package exchange

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
)

// list records a list entry of the limited endpoint at an instance.
func (n *node) list(state routing.State, sequence uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Upsert(routing.Endpoint{ID: limitedEndpoint, Service: "s", DataCentre: "hall-0", Slots: 6, State: state, Sequence: sequence})
	n.view.CompareEntry(time.Now(), limitedEndpoint)
	n.report.Departures = n.view.ObservedDepartures()
}

func (n *node) usable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Withholds(time.Now(), limitedEndpoint) == routing.NotWithheld
}

// hearLeaving records an answer that says that the limited endpoint is leaving, and announces it.
func (n *node) hearLeaving() {
	n.mu.Lock()
	n.view.RecordLeaving(time.Now(), limitedEndpoint)
	n.report.Departures = n.view.ObservedDepartures()
	n.mu.Unlock()
	n.Changed(limitedEndpoint)
}

// TestDeparturesSpread measures how long it takes until all instances know that an endpoint is leaving
// if one instance gets an answer that says so. Entries that say that it is ready again reach the
// instances at different times, and reports of the answer do not restore what they take back.
func TestDeparturesSpread(t *testing.T) {
	for size, within := range map[int]time.Duration{6: 100 * time.Millisecond, 30: 100 * time.Millisecond, 100: 2 * time.Second, 300: 2 * time.Second} {
		if raceEnabled && size > 30 {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, true, func(w *fleet) {
				for _, n := range w.nodes {
					n.list(routing.Live, 4)
				}
				w.nodes[1].hearLeaving()
				took := w.timeUntil(within, func(n *node) bool { return !n.usable() })
				assert.Check(t, took < within, "known after %v", took)
				t.Logf("known to all after %v", took)
				for i, n := range w.nodes { // some are told by the list before the others
					n.list(routing.Leaving, 5)
					if i%16 == 0 {
						time.Sleep(20 * time.Millisecond)
					}
				}
				for i, n := range w.nodes {
					n.list(routing.Live, 6)
					if i%16 == 0 {
						time.Sleep(20 * time.Millisecond)
					}
				}
				time.Sleep(3 * time.Second)
				for _, n := range w.nodes {
					assert.Check(t, n.usable(), "an endpoint that is ready again is not used")
				}
			})
		})
	}
}

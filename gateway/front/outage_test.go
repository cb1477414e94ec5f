package front_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestOutageEndsForAll guards against instances that notice the end of an outage of the store late. The
// instance that asks the store may be in a call that the store does not answer. When that call has ended,
// all instances get what has changed, without many more calls.
func TestOutageEndsForAll(t *testing.T) {
	const (
		unansweredCall = time.Second
		applied        = 150 * time.Millisecond
		watchWait      = 900 * time.Millisecond
		maxCalls       = 3 * 3 // of an instance: a watch, a list and another watch of each kind
	)
	for name, c := range map[string]struct {
		outage   standin.Outage
		returned bool
		fronts   int
		rounds   int
	}{
		"silent":             {standin.Silent, false, 6, 10},
		"busy":               {standin.Busy, false, 6, 10},
		"reset":              {standin.Reset, false, 6, 10},
		"silent, and a copy": {standin.Silent, true, 6, 10},
		"busy, and a copy":   {standin.Busy, true, 6, 10},
		"a larger fleet":     {standin.Silent, false, 40, 2},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, c.fronts, 1, 3, func(w *world) {
				for round := range c.rounds {
					time.Sleep(6*time.Second + rand.N(watchWait))
					from := w.store.Copy()
					w.store.SetFault(standin.Fault{Outage: c.outage})
					time.Sleep(drillAway + rand.N(watchWait))
					if c.returned {
						w.store.Return(from)
					}
					path := w.publish()
					w.store.SetFault(standin.Fault{})
					before := w.store.Counts()
					time.Sleep(unansweredCall + applied)
					calls := callsBetween(before, w.store.Counts())
					assert.Check(t, calls <= maxCalls*c.fronts, "round %d: %d calls", round, calls)
					late := w.unserved(path)
					assert.Check(t, len(late) == 0, "round %d: not served by instances %v", round, late)
				}
			})
		})
	}
}

package front_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestInvalidStatuses guards against an answer that is passed on, or awaited until the deadline, although what stands
// in place of its status code is none.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "20", "2000", "+20", "-20", "2x0", "200x"} {
		for _, framing := range []standin.Framing{standin.FramedByLength, standin.FramedByChunks, standin.NotFramed} {
			m := standin.MalformedHead{Status: status, Framing: framing}
			t.Run(fmt.Sprintf("%q/%d", status, framing), func(t *testing.T) { assertMalformedHeadLost(t, m) })
		}
	}
}

// assertMalformedHeadLost checks that an answer with a malformed head counts as a lost one: requests that may be
// repeated are served by other endpoints, and without such the caller is told at once.
func assertMalformedHeadLost(t *testing.T, m standin.MalformedHead) {
	run(t, 2, 3, 3, func(w *world) {
		fault := standin.WorkerFault{MalformedHead: &m}
		w.assertCutHeadsRecovered(fault)
		w.setFaults(fault)
		began := time.Now()
		w.assertCutHeadsFail()
		took := time.Since(began)
		assert.Assert(t, took < 4*time.Second, "four requests took %v", took)
	})
}

// setFaults sets the fault of all endpoints.
func (w *world) setFaults(f standin.WorkerFault) {
	for _, list := range [][]*standin.Worker{w.engines, w.plains} {
		for _, e := range list {
			e.SetFault(f)
		}
	}
}

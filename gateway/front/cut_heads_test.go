package front_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestCutHeads guards against an answer with status 200 and an empty or short body, framed as whole, when an endpoint
// stops in the head of its answer and closes the connection. The cuts begin before the first byte of the head and end
// between the last two.
func TestCutHeads(t *testing.T) {
	cuts := []int{1, 2, 3, 4, 5, 9, 20, 33, 70, 120, 150, 1000}
	for _, framing := range []string{"", "Content-Length: 1000", "Transfer-Encoding: chunked"} {
		for _, bytes := range cuts {
			t.Run(fmt.Sprintf("%s/%d", framing, bytes), func(t *testing.T) {
				run(t, 2, 3, 3, func(w *world) {
					fault := standin.WorkerFault{CutHead: &standin.CutHead{Framing: framing, Bytes: bytes}}
					w.assertLossesRecovered(fault)
					w.setFaults(fault)
					w.assertLossesFail()
				})
			})
		}
	}
}

// assertLossesRecovered checks that requests which may run again are served while one endpoint of each service loses its
// answers.
func (w *world) assertLossesRecovered(fault standin.WorkerFault) {
	w.engines[0].SetFault(fault)
	w.plains[0].SetFault(fault)
	for i := range 4 {
		prompt := fmt.Sprintf("b%x", i)
		assertWhole(w.t, w.answer(i%2, briefRequest(prompt)), prompt, 0)
		ping := pingRequest()
		ping.ID = w.newRequestID()
		a := w.answer(i%2, ping)
		assert.Equal(w.t, a.Status, http.StatusOK)
		assert.Equal(w.t, a.Body, "answer to "+ping.ID)
	}
}

// assertLossesFail checks that no request is answered with success while all endpoints lose their answers, and that
// requests run as often as they may.
func (w *world) assertLossesFail() {
	for name, c := range map[string]struct {
		request standin.Request
		maxRuns int
	}{
		"brief": {briefRequest("b9"), 5}, "note": {onceOnly(briefRequest("ba")), 1}, "log": {logRequest(), 1}, "ping": {pingRequest(), 2},
	} {
		c.request.ID = w.newRequestID()
		a, err := w.send(0, c.request)
		assert.Assert(w.t, err != nil || a.Status >= http.StatusInternalServerError, "%s: %d %q", name, a.Status, a.Body)
		runs := w.runCount(c.request.ID)
		assert.Assert(w.t, runs >= 1 && runs <= c.maxRuns, "%s: %d runs", name, runs)
		assert.Assert(w.t, a.Status != http.StatusServiceUnavailable, "%s: refused as not run", name)
	}
}

// runCount returns how many workers began to run a request.
func (w *world) runCount(id string) int {
	n := 0
	for _, list := range [][]*standin.Worker{w.engines, w.plains} {
		for _, e := range list {
			for _, r := range e.Runs() {
				if r.ID == id {
					n++
				}
			}
		}
	}
	return n
}

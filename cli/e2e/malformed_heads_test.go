package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/standin/plain"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/platform/standin"
)

// TestInvalidStatuses guards against an answer that is passed on although what stands in place of its status code is none.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for _, framing := range []standin.Framing{standin.FramedByLength, standin.FramedByChunks, standin.NotFramed} {
			assertMalformedHeadLost(t, standin.MalformedHead{Status: status, Framing: framing})
		}
	}
}

// assertMalformedHeadLost checks that an answer with a malformed head counts as a lost one: calls that may be repeated
// are answered by another service, and the outcome of others is unknown.
func assertMalformedHeadLost(t *testing.T, m standin.MalformedHead) {
	t.Run(fmt.Sprintf("%q/%d", m.Status+m.Line+m.LastLine, m.Framing), func(t *testing.T) {
		runCluster(t, clusterConfig{gateways: 1, engines: 1, services: 2}, func(w *cluster) {
			get := caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: "/status/1", Timeout: 2 * time.Second}
			w.services[0].SetFault(plain.Fault{MalformedHead: &m})
			for range 3 {
				a, err := w.callerOf(0).CallPlain(w.ctx(), get)
				assert.NilError(w.t, err)
				assert.Assert(w.t, strings.Contains(string(a.Body), "/status/1"), "%q", a.Body)
			}
			time.Sleep(20 * time.Second) // the suspicion has expired
			w.services[1].SetFault(plain.Fault{MalformedHead: &m})
			_, err := w.callerOf(0).CallPlain(w.ctx(), newLiftRequest("", ""))
			w.assertOutcomeUnknown(err)
			time.Sleep(20 * time.Second)
			ticket, err := w.callerOf(0).Ticket(w.ctx())
			assert.NilError(w.t, err)
			_, err = w.callerOf(0).CallPlain(w.ctx(), newLiftRequest(ticket, ""))
			w.assertOutcomeUnknown(err)
			assert.Equal(w.t, w.callRuns(liftCall), 2)
			time.Sleep(20 * time.Second)
			_, err = w.callerOf(0).CallPlain(w.ctx(), get)
			assert.Assert(w.t, err != nil)
		})
	})
}

// assertOutcomeUnknown checks that a call was refused since it may have run.
func (w *cluster) assertOutcomeUnknown(err error) {
	w.t.Helper()
	var refusal *caller.Refusal
	assert.Assert(w.t, errors.As(err, &refusal) && refusal.Code == string(apierr.OutcomeUnknown), "%v", err)
}

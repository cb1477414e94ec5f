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

// TestMalformedHeads guards against an answer that is passed on although the name of a field in its head holds a blank
// or a control byte: the line may have said where the body ends.
func TestMalformedHeads(t *testing.T) {
	for _, m := range []standin.MalformedHead{
		{LastLine: "X Note: 1"}, {LastLine: "X-Note : 1"}, {LastLine: "X-Note\t: 1"}, {LastLine: "X\x01Note: 1"}, {LastLine: "X\rNote: 1"}, {LastLine: "X\x7fNote: 1"},
		{LastLine: "X Note: 1", Framing: standin.FramedByChunks}, {LastLine: "X Note: 1", Framing: standin.NotFramed}, {Line: "X Note: 1"},
		{LastLine: "X Note: 1", Status: "404"}, {LastLine: "X Note: 1", Status: "500"}, {LastLine: "Agateway-Not-Run : 1", Status: "503"},
		{LastLine: " X-Note: 1", Framing: standin.NotFramed}, {LastLine: "\tX-Note: 1", Framing: standin.NotFramed},
		{LastLine: " Transfer-Encoding: chunked", Framing: standin.UnstatedChunks},
		{LastLine: "X-Note: \x01"}, {LastLine: "X-Note: a\rb"},
		{LastLine: "Content-Length : 4", Framing: standin.NotFramed}, {LastLine: "Transfer-Encoding : chunked", Framing: standin.UnstatedChunks},
	} {
		assertMalformedHeadLost(t, m)
	}
}

// TestMalformedTrailers guards against an answer that is complete although the name of a field behind its body is
// malformed. The caller has got the head by then.
func TestMalformedTrailers(t *testing.T) {
	for _, trailer := range []string{"X Note: 1", "X-Note : 1", "X\tNote: 1", "X\x01Note: 1"} {
		t.Run(fmt.Sprintf("%q", trailer), func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 1, engines: 1, services: 1}, func(w *cluster) {
				w.services[0].SetFault(plain.Fault{MalformedHead: &standin.MalformedHead{Trailer: trailer, Framing: standin.FramedByChunks}})
				_, err := w.callerOf(0).CallPlain(w.ctx(), newLiftRequest("", ""))
				assert.Assert(w.t, caller.IsLost(err), "%v", err)
				ticket, err := w.callerOf(0).Ticket(w.ctx())
				assert.NilError(w.t, err)
				_, err = w.callerOf(0).CallPlain(w.ctx(), newLiftRequest(ticket, ""))
				w.assertOutcomeUnknown(err)
				assert.Equal(w.t, w.callRuns(liftCall), 2)
			})
		})
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

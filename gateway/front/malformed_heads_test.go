package front_test

import (
	"fmt"
	"net/http"
	"strings"
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

// malformedLines are lines that no head may have, each behind another line.
var malformedLines = []string{
	"X Note: 1", "X-Note : 1", "X-Note\t: 1", "X\tNote: 1", "X-Note  : 1",
	"X\x00Note: 1", "X\x01Note: 1", "X\x0bNote: 1", "X\x1fNote: 1", "X\x7fNote: 1", "X\rNote: 1", "X\r: 1", "\x01: 1",
	" X-Note: 1", "\tX-Note: 1", " : 1", " a folded value", ": 1", "X-Note", "X-Note: \x01", "X-Note: \x7f", "X-Note: a\rb",
	"Content-Encoding : gzip",
}

// TestMalformedFieldNames guards against an answer that is passed on although the name of a field in its head holds a
// blank or a control byte: its reader may have lost what that line says.
func TestMalformedFieldNames(t *testing.T) {
	for _, line := range malformedLines {
		for name, m := range map[string]standin.MalformedHead{
			"first":       {Line: line},
			"last":        {LastLine: line},
			"chunks":      {LastLine: line, Framing: standin.FramedByChunks},
			"not-framed":  {LastLine: line, Framing: standin.NotFramed},
			"not-found":   {LastLine: line, Status: "404"},
			"error":       {LastLine: line, Status: "500"},
			"refusal":     {LastLine: line, Status: "503", Refuses: true},
			"misdirected": {LastLine: line, Status: "421", Refuses: true},
		} {
			t.Run(fmt.Sprintf("%q/%s", line, name), func(t *testing.T) { assertMalformedHeadLost(t, m) })
		}
	}
}

// TestMalformedFraming guards against a body that is not the endpoint's: the line that says where it ends has a
// malformed name.
func TestMalformedFraming(t *testing.T) {
	for _, line := range []string{"Content-Length : 4", "Content-Length\t: 4", " Content-Length: 4", "Content Length: 4", "Content-Length\x00: 4"} {
		m := standin.MalformedHead{LastLine: line, Framing: standin.NotFramed}
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) { assertMalformedHeadLost(t, m) })
	}
	for _, line := range []string{"Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", " Transfer-Encoding: chunked", "Transfer Encoding: chunked"} {
		m := standin.MalformedHead{LastLine: line, Framing: standin.UnstatedChunks}
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) { assertMalformedHeadLost(t, m) })
	}
}

// TestMalformedTrailers guards against an answer that is complete although the name of a field behind its body is
// malformed.
func TestMalformedTrailers(t *testing.T) {
	for _, trailer := range []string{"X Note: 1", "X-Note : 1", "X\tNote: 1", "X\x01Note: 1", " X-Note: 1", "X-Note: \x01"} {
		m := standin.MalformedHead{Trailer: trailer, Framing: standin.FramedByChunks}
		t.Run(fmt.Sprintf("%q", trailer), func(t *testing.T) {
			run(t, 2, 3, 3, func(w *world) {
				w.setFaults(standin.WorkerFault{MalformedHead: &m})
				for _, r := range []standin.Request{logRequest(), pingRequest(), briefRequest("c1"), onceOnly(briefRequest("c2"))} {
					r.ID = w.newRequestID()
					a, err := w.send(0, r)
					assert.Check(w.t, err != nil || a.Status != http.StatusOK || !a.Complete, "%s: %q", r.Path, a.Body)
				}
			})
		})
	}
}

// TestOddValidHeads checks that answers with unusual heads that HTTP allows are passed on.
func TestOddValidHeads(t *testing.T) {
	for _, line := range []string{"X-Note:1", "X-Note: ", "X-Note:", "X-Note:\t1 \t", "x!#$%&'*+.^_`|~9: 1", "X-Note: \xe9", "X-Note: a\tb", "X-Note: :", "X-Note: " + strings.Repeat("x", 6<<10)} {
		for _, m := range []standin.MalformedHead{{Line: line}, {LastLine: line}, {LastLine: line, Framing: standin.FramedByChunks}} {
			t.Run(fmt.Sprintf("%.20q/%d", line, m.Framing), func(t *testing.T) {
				run(t, 2, 3, 3, func(w *world) {
					w.setFaults(standin.WorkerFault{MalformedHead: &m})
					w.assertServesAll()
				})
			})
		}
	}
}

// assertMalformedHeadLost checks that an answer with a malformed head counts as a lost one: requests that may be
// repeated are served by other endpoints, and are refused at once if no other endpoint is sound.
func assertMalformedHeadLost(t *testing.T, m standin.MalformedHead) {
	run(t, 2, 3, 3, func(w *world) {
		fault := standin.WorkerFault{MalformedHead: &m}
		w.assertLossesRecovered(fault)
		w.setFaults(fault)
		began := time.Now()
		w.assertLossesFail()
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

// assertServesAll checks that requests of each kind are served whole at the first try.
func (w *world) assertServesAll() {
	w.t.Helper()
	for i, prompt := range []string{"c1", "c2"} {
		r := briefRequest(prompt)
		if i == 1 {
			r = onceOnly(r)
		}
		assertWhole(w.t, w.answer(i%2, r), prompt, 0)
	}
	for _, r := range []standin.Request{logRequest(), pingRequest()} {
		r.ID = w.newRequestID()
		a := w.answer(0, r)
		assert.Equal(w.t, a.Status, http.StatusOK)
		assert.Equal(w.t, a.Body, "answer to "+r.ID)
		assert.Equal(w.t, w.runCount(r.ID), 1)
	}
}

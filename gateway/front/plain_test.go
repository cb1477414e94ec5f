package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// setPlainFaults sets a fault at the plain endpoints with index from and above.
func (w *world) setPlainFaults(f standin.WorkerFault, from int) {
	for _, p := range w.plains[from:] {
		p.SetFault(f)
	}
}

// TestPlainRequestOutcomes checks what a caller gets, and how often its request runs, for each way
// in which an endpoint fails.
func TestPlainRequestOutcomes(t *testing.T) {
	type fault = standin.WorkerFault
	for name, c := range map[string]struct {
		request standin.Request
		fault   fault
		spared  int // endpoints without the fault
		status  int
		runs    int
		signed  bool
	}{
		"once":                             {logRequest(), fault{}, 0, 200, 1, true},
		"idempotent":                       {pingRequest(), fault{}, 0, 200, 1, true},
		"once, refused by all":             {logRequest(), fault{RefuseAll: true}, 0, 503, 0, false},
		"once, refused by some":            {logRequest(), fault{RefuseAll: true}, 1, 200, 1, true},
		"once, failed":                     {logRequest(), fault{FailAll: true}, 0, 500, 1, true},
		"idempotent, failed by all":        {pingRequest(), fault{FailAll: true}, 0, 500, 2, true},
		"once, answer lost":                {logRequest(), fault{LoseAnswer: true}, 0, 502, 1, false},
		"idempotent, answer lost by all":   {pingRequest(), fault{LoseAnswer: true}, 0, 502, 2, false},
		"once, broken off":                 {logRequest(), fault{Truncate: true}, 0, 502, 1, false},
		"idempotent, broken off by all":    {pingRequest(), fault{Truncate: true}, 0, 502, 2, false},
		"once, not signed":                 {logRequest(), fault{Unsigned: true}, 0, 502, 1, false},
		"once, nothing said":               {logRequest(), fault{Hang: true}, 0, 504, 1, false},
		"once, more than was asked for":    {logRequest(), fault{ExtraAnswer: true}, 0, 200, 1, true},
		"idempotent, more than was wanted": {pingRequest(), fault{ExtraAnswer: true}, 0, 200, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 1, 3, func(w *world) {
				w.setPlainFaults(c.fault, c.spared)
				for range 4 { // the later ones reuse connections
					r := c.request
					r.ID = w.newRequestID()
					began := time.Now()
					a, err := w.send(0, r)
					assert.NilError(t, err)
					assert.Equal(t, a.Status, c.status)
					assert.Equal(t, a.Signature != "", c.signed)
					assert.Equal(t, w.plainRunCount(r.ID), c.runs)
					assert.Equal(t, a.RetryAfter != "", c.status == 503)
					assert.Assert(t, a.Complete)
					if c.status == 200 {
						assert.Equal(t, a.Body, "answer to "+r.ID)
					}
					assert.Assert(t, time.Since(began) <= 1600*time.Millisecond, "%v", time.Since(began))
				}
			})
		})
	}
}

// TestIdempotentRequestIsRetriedElsewhere checks that callers of idempotent requests do not notice
// when one of three endpoints fails.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	for name, f := range map[string]standin.WorkerFault{
		"fails": {FailAll: true}, "loses": {LoseAnswer: true}, "breaks off": {Truncate: true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 1, 3, func(w *world) {
				w.plains[0].SetFault(f)
				for range 12 {
					a, err := w.send(0, pingRequest())
					assert.NilError(t, err)
					assert.Equal(t, a.Status, 200)
				}
			})
		})
	}
}

// TestForwardedRequest checks that a request is forwarded unchanged, except for the headers that
// only the system may set.
func TestForwardedRequest(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		r := logRequest()
		r.ForgeHeaders, r.ID = true, w.newRequestID()
		a, err := w.send(0, r)
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		got := w.plains[0].Runs()[0]
		assert.Equal(t, got.Target, r.Path)
		assert.Equal(t, got.Body, r.Body)
		assert.Equal(t, got.Team, "desk")
		assert.Equal(t, got.Key+got.Pin+got.Hold+got.CopyTo+got.CopyFrom, "")
		assert.Assert(t, len(got.WaitMS) == 4 && got.WaitMS <= "3000", got.WaitMS)
	})
}

// TestLimitsOnCallers checks that requests above the configured sizes are refused and not
// forwarded.
func TestLimitsOnCallers(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		r := logRequest()
		r.Body = strings.Repeat("x", 3<<20)
		a, err := w.send(0, r)
		if err == nil { // the connection may be closed before the answer arrives, since the body was not read
			assert.Equal(t, a.Status, http.StatusRequestEntityTooLarge)
		}
		r.Body, r.Path = "x", "/log/"+strings.Repeat("y", 64<<10)
		a, err = w.send(0, r)
		if err == nil {
			assert.Equal(t, a.Status, http.StatusRequestHeaderFieldsTooLarge)
		}
		assert.Equal(t, len(w.plains[0].Runs()), 0)
	})
}

// TestLargeBodies checks that bodies that are not held in memory are forwarded unchanged as they
// arrive, with a length or in chunks.
func TestLargeBodies(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		for _, size := range []int{1, 200 << 10, 256 << 10, 900 << 10} {
			r := logRequest()
			r.Body, r.ID = strings.Repeat("0123456789", size/10+1), w.newRequestID()
			a, err := w.send(0, r)
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200)
			runs := w.plains[0].Runs()
			assert.Assert(t, runs[len(runs)-1].Body == r.Body, "%d bytes", len(r.Body))
		}
	})
}

package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// all sets a fault at all plain endpoints, at those from the first one given.
func (w *world) all(f standin.WorkerFault, from int) {
	for _, p := range w.plains[from:] {
		p.SetFault(f)
	}
}

// TestPlain: what a caller gets, and how often its request runs, for each way in which an endpoint fails.
func TestPlain(t *testing.T) {
	type fault = standin.WorkerFault
	for name, c := range map[string]struct {
		request standin.Request
		fault   fault
		spared  int // endpoints without the fault
		status  int
		runs    int
		signed  bool
	}{
		"once":                             {logLift(), fault{}, 0, 200, 1, true},
		"idempotent":                       {ping(), fault{}, 0, 200, 1, true},
		"once, refused by all":             {logLift(), fault{RefuseAll: true}, 0, 503, 0, false},
		"once, refused by some":            {logLift(), fault{RefuseAll: true}, 1, 200, 1, true},
		"once, failed":                     {logLift(), fault{FailAll: true}, 0, 500, 1, true},
		"idempotent, failed by all":        {ping(), fault{FailAll: true}, 0, 500, 2, true},
		"once, answer lost":                {logLift(), fault{LoseAnswer: true}, 0, 502, 1, false},
		"idempotent, answer lost by all":   {ping(), fault{LoseAnswer: true}, 0, 502, 2, false},
		"once, broken off":                 {logLift(), fault{Truncate: true}, 0, 502, 1, false},
		"idempotent, broken off by all":    {ping(), fault{Truncate: true}, 0, 502, 2, false},
		"once, not signed":                 {logLift(), fault{Unsigned: true}, 0, 502, 1, false},
		"once, nothing said":               {logLift(), fault{Hang: true}, 0, 504, 1, false},
		"once, more than was asked for":    {logLift(), fault{ExtraAnswer: true}, 0, 200, 1, true},
		"idempotent, more than was wanted": {ping(), fault{ExtraAnswer: true}, 0, 200, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 1, 3, func(w *world) {
				w.all(c.fault, c.spared)
				for range 4 { // connections are used again
					r := c.request
					r.ID = w.id()
					began := time.Now()
					a, err := w.do(0, r)
					assert.NilError(t, err)
					assert.Equal(t, a.Status, c.status)
					assert.Equal(t, a.Signature != "", c.signed)
					assert.Equal(t, w.plainRuns(r.ID), c.runs)
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

// TestIdempotentGoesElsewhere: one of three endpoints fails; the caller does not notice.
func TestIdempotentGoesElsewhere(t *testing.T) {
	for name, f := range map[string]standin.WorkerFault{
		"fails": {FailAll: true}, "loses": {LoseAnswer: true}, "breaks off": {Truncate: true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 1, 3, func(w *world) {
				w.plains[0].SetFault(f)
				for range 12 {
					a, err := w.do(0, ping())
					assert.NilError(t, err)
					assert.Equal(t, a.Status, 200)
				}
			})
		})
	}
}

// TestWhatIsPassedOn: the request as it came, but for what only the system says.
func TestWhatIsPassedOn(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		r := logLift()
		r.ForgeHeaders, r.ID = true, w.id()
		a, err := w.do(0, r)
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

// TestLimitsOnCallers: what is larger than the configuration allows is refused before it is sent on.
func TestLimitsOnCallers(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		r := logLift()
		r.Body = strings.Repeat("x", 3<<20)
		a, err := w.do(0, r)
		if err == nil { // the answer may be overtaken by the close, since the body was not read
			assert.Equal(t, a.Status, http.StatusRequestEntityTooLarge)
		}
		r.Body, r.Path = "x", "/log/"+strings.Repeat("y", 64<<10)
		a, err = w.do(0, r)
		if err == nil {
			assert.Equal(t, a.Status, http.StatusRequestHeaderFieldsTooLarge)
		}
		assert.Equal(t, len(w.plains[0].Runs()), 0)
	})
}

// TestLargeBodies: what is not kept in memory is passed on as it comes, unchanged, with a length or in chunks.
func TestLargeBodies(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		for _, size := range []int{1, 200 << 10, 256 << 10, 900 << 10} {
			r := logLift()
			r.Body, r.ID = strings.Repeat("0123456789", size/10+1), w.id()
			a, err := w.do(0, r)
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200)
			runs := w.plains[0].Runs()
			assert.Assert(t, runs[len(runs)-1].Body == r.Body, "%d bytes", len(r.Body))
		}
	})
}

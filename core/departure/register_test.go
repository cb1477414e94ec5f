package departure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestOnlyLaterEntryTakesLeavingBack: an entry that was written before an endpoint began to leave
// may arrive long after the answer that said so: the store may take a write that it did not answer when an
// outage ends.
func TestOnlyLaterEntryTakesLeavingBack(t *testing.T) {
	type entry struct {
		at       float64
		leaving  bool
		sequence uint64
	}
	for name, c := range map[string]struct {
		entries []entry
		leaving bool
	}{
		"no entry":                             {nil, true},
		"the same entry, read again":           {[]entry{{1, false, 7}}, true},
		"an entry of before, on its way":       {[]entry{{1, false, 9}}, true},
		"a late entry of before":               {[]entry{{61, false, 6}}, true},
		"an entry of before, after an outage":  {[]entry{{25, false, 9}}, true},
		"leaving":                              {[]entry{{1, true, 8}}, true},
		"leaving, then ready":                  {[]entry{{1, true, 8}, {2, false, 9}}, false},
		"leaving, then an older one":           {[]entry{{1, true, 8}, {2, false, 7}}, true},
		"leaving, then one without a number":   {[]entry{{1, true, 8}, {2, false, 0}}, true},
		"ready long after, without leaving":    {[]entry{{61, false, 9}}, false},
		"the same entry long after":            {[]entry{{61, false, 7}}, true},
		"ready, then an older one that leaves": {[]entry{{1, true, 8}, {2, false, 9}, {3, true, 8}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var r Register
			assert.Assert(t, r.Said(at(0), "e", Statement{At: at(0), Sequence: 7}, true))
			for _, e := range c.entries {
				r.Listed(at(e.at), "e", e.leaving, e.sequence)
			}
			assert.Equal(t, r.Leaving("e"), c.leaving)
		})
	}
}

// TestStaleReportDoesNotRestoreLeaving: a peer that has not seen the entry that says ready goes on
// reporting the answer of before.
func TestStaleReportDoesNotRestoreLeaving(t *testing.T) {
	var r Register
	r.Said(at(0), "e", Statement{At: at(0), Sequence: 7}, true)
	r.Listed(at(1), "e", true, 8)
	assert.Assert(t, r.Listed(at(2), "e", false, 9))
	assert.Assert(t, !r.Said(at(3), "e", Statement{At: at(0), Sequence: 8}, false))
	assert.Assert(t, !r.Leaving("e"))
	assert.Assert(t, r.Said(at(4), "e", Statement{At: at(4), Sequence: 9}, true), "it leaves again")
	assert.Assert(t, r.Leaving("e"))
}

// TestOnlyOwnObservationsAreReported: a reported answer that was passed on would seem newer each
// time, and what the list says is known to all.
func TestOnlyOwnObservationsAreReported(t *testing.T) {
	var r Register
	r.Said(at(0), "own", Statement{At: at(0), Sequence: 1}, true)
	r.Said(at(0), "reported", Statement{At: at(0), Sequence: 1}, false)
	r.Said(at(0), "listed", Statement{At: at(0), Sequence: 1}, true)
	r.Listed(at(1), "listed", true, 2)
	assert.DeepEqual(t, r.Observed(), map[string]Statement{"own": {At: at(0), Sequence: 1}})
	assert.Equal(t, r.Count(), 3)
}

// TestLeavingOutlivesTheEntry: an entry that expires in an outage and returns finds what its
// endpoint said.
func TestLeavingOutlivesTheEntry(t *testing.T) {
	var r Register
	r.Said(at(0), "e", Statement{At: at(0)}, true)
	r.Expire(at(100), func(string) bool { return false })
	assert.Assert(t, r.Leaving("e"))
	r.Expire(at(130), func(string) bool { return true })
	assert.Assert(t, r.Leaving("e"))
	r.Expire(at(130), func(string) bool { return false })
	assert.Assert(t, !r.Leaving("e"))
}

// TestWordsInAnyOrder: an endpoint changes its mind several times. Its entries and answers reach
// several instances with different delays, and reports of answers come late. No instance that has
// seen the last word, and every older one, holds another view than the endpoint.
func TestWordsInAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		var r Register
		now, sequence, leaving := 0.0, uint64(1), false
		r.Listed(at(now), "e", false, sequence)
		for range 1 + rnd.IntN(6) {
			now += 30 * rnd.Float64()
			known := sequence
			leaving = !leaving
			sequence++
			if leaving && rnd.IntN(2) == 0 {
				r.Said(at(now), "e", Statement{At: at(now), Sequence: known}, true)
			}
			if leaving && rnd.IntN(2) == 0 {
				r.Said(at(now+0.1), "e", Statement{At: at(now), Sequence: known}, false)
			}
			now += 0.5
			r.Listed(at(now), "e", leaving, sequence)
			if rnd.IntN(2) == 0 { // an old entry arrives again
				r.Listed(at(now+0.1), "e", rnd.IntN(2) == 0, uint64(rnd.IntN(int(sequence))))
			}
		}
		assert.Assert(t, leaving || !r.Leaving("e"), fmt.Sprint("seed ", seed))
	}
}

package crashers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateCrashes returns n late crashes, one after the other.
func lateCrashes(n, from int) []Crash {
	var out []Crash
	for i := range n {
		sent := from + 2000*i
		out = append(out, crash(string(rune('a'+i)), Late, sent, sent+1900))
	}
	return out
}

// TestLateCrashes checks that more late crashes than others are needed to stop a request, and that
// the two kinds are counted together.
func TestLateCrashes(t *testing.T) {
	mine := request("desk", 1)
	for _, c := range []struct {
		name    string
		crashes []Crash
		want    Verdict
	}{
		{"two", lateCrashes(2, 0), Free},
		{"three", lateCrashes(3, 0), Suspect},
		{"four", lateCrashes(4, 0), Careful},
		{"five", lateCrashes(5, 0), Stopped},
		{"five at one moment", []Crash{
			crash("a", Late, 0, 1900), crash("b", Late, 0, 1910), crash("c", Late, 0, 1920), crash("d", Late, 0, 1930), crash("e", Late, 0, 1940),
		}, Free},
		{"two early crashes", []Crash{crash("a", Present, 0, 900), crash("b", Present, 901, 1800)}, Careful},
		{"two early crashes after three late ones", append(lateCrashes(3, 0), crash("x", Present, 6001, 6900), crash("y", Present, 6901, 7800)), Stopped},
		{"a crash that another instance reports as early", append(lateCrashes(2, 0), crash("a", Begun, 0, 1900)), Careful},
	} {
		r := New(DefaultSettings())
		now := at(20_000)
		for _, e := range c.crashes {
			r.recordWhole(now, mine, e)
		}
		assert.Check(t, r.verdictOf(now, mine, "engines") == c.want, "%s: %v", c.name, r.verdictOf(now, mine, "engines"))
	}
}

// TestProgressKeepsLateCrashes checks that being served for a while clears early crashes and keeps
// late ones, and that a whole answer clears both.
func TestProgressKeepsLateCrashes(t *testing.T) {
	mine := request("desk", 1)
	r := New(DefaultSettings())
	r.recordWhole(at(1000), mine, crash("x", Begun, 0, 1000))
	assert.Assert(t, r.ClearOnProgress(at(2000), mine))
	assert.Equal(t, r.verdictOf(at(2000), mine, "engines"), Free)
	for _, e := range lateCrashes(4, 3000) {
		r.recordWhole(e.At, mine, e)
		assert.Assert(t, !r.ClearOnProgress(e.At.Add(time.Millisecond), mine))
	}
	assert.Equal(t, r.verdictOf(at(12_000), mine, "engines"), Careful)
	assert.Assert(t, r.Clear(at(12_000), mine))
	assert.Equal(t, r.verdictOf(at(12_000), mine, "engines"), Free)
}

// TestBystandersOfLateCrashes checks that a late crash counts against the request with the most
// crashes and not against others at the endpoint.
func TestBystandersOfLateCrashes(t *testing.T) {
	mine, other := request("desk", 1), request("desk", 2)
	r := New(DefaultSettings())
	for i, e := range lateCrashes(5, 0) {
		r.recordWhole(e.At, mine, e)
		if i > 0 {
			r.recordWhole(e.At, other, e)
		}
	}
	assert.Equal(t, r.verdictOf(at(20_000), mine, "engines"), Stopped)
	assert.Equal(t, r.verdictOf(at(20_000), other, "engines"), Free)
}

// TestSentWhenPreviousEndpointCrashed checks that a retry which is sent at the very time at which
// the previous endpoint crashed is a separate incident. Quick crashes of a request one after the
// other were otherwise counted as one.
func TestSentWhenPreviousEndpointCrashed(t *testing.T) {
	mine := request("desk", 1)
	r := New(DefaultSettings())
	for _, e := range []Crash{crash("a", Present, 0, 900), crash("b", Present, 900, 960), crash("c", Present, 960, 1020)} {
		r.recordWhole(e.At, mine, e)
	}
	assert.Equal(t, r.verdictOf(at(1100), mine, "engines"), Stopped)
}

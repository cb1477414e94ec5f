package crashers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateEnds are n ends one after the other, each when the answer had gone on for a while.
func lateEnds(n, from int) []End {
	var out []End
	for i := range n {
		sent := from + 2000*i
		out = append(out, end(string(rune('a'+i)), Late, sent, sent+1900))
	}
	return out
}

// TestLateEnds: it takes more of the ends that come late, and they are not forgotten while the request is being served.
func TestLateEnds(t *testing.T) {
	mine := request("desk", 1)
	for _, c := range []struct {
		name string
		ends []End
		want Verdict
	}{
		{"two", lateEnds(2, 0), Free},
		{"three", lateEnds(3, 0), Suspect},
		{"four", lateEnds(4, 0), Careful},
		{"five", lateEnds(5, 0), Stopped},
		{"five at one moment", []End{
			end("a", Late, 0, 1900), end("b", Late, 0, 1910), end("c", Late, 0, 1920), end("d", Late, 0, 1930), end("e", Late, 0, 1940),
		}, Free},
		{"two early ones", []End{end("a", Present, 0, 900), end("b", Present, 901, 1800)}, Careful},
		{"two early ones after three", append(lateEnds(3, 0), end("x", Present, 6001, 6900), end("y", Present, 6901, 7800)), Stopped},
		{"an end that is early at another instance", append(lateEnds(2, 0), end("a", Begun, 0, 1900)), Careful},
	} {
		r := New(DefaultSettings())
		now := at(20_000)
		for _, e := range c.ends {
			r.Ended(now, mine, e)
		}
		assert.Check(t, r.Verdict(now, mine, "engines") == c.want, "%s: %v", c.name, r.Verdict(now, mine, "engines"))
	}
}

// TestProgressKeepsLateEnds: being served for a while clears what speaks against the start of a request, and not what speaks against its
// end. A whole answer clears both.
func TestProgressKeepsLateEnds(t *testing.T) {
	mine := request("desk", 1)
	r := New(DefaultSettings())
	r.Ended(at(1000), mine, end("x", Begun, 0, 1000))
	assert.Assert(t, r.Progress(at(2000), mine))
	assert.Equal(t, r.Verdict(at(2000), mine, "engines"), Free)
	for _, e := range lateEnds(4, 3000) {
		r.Ended(e.At, mine, e)
		assert.Assert(t, !r.Progress(e.At.Add(time.Millisecond), mine))
	}
	assert.Equal(t, r.Verdict(at(12_000), mine, "engines"), Careful)
	assert.Assert(t, r.Clear(at(12_000), mine))
	assert.Equal(t, r.Verdict(at(12_000), mine, "engines"), Free)
}

// TestBystandersOfLateEnds: a request that is at more endpoints that end is a better reason than one that is there once.
func TestBystandersOfLateEnds(t *testing.T) {
	mine, other := request("desk", 1), request("desk", 2)
	r := New(DefaultSettings())
	for i, e := range lateEnds(5, 0) {
		r.Ended(e.At, mine, e)
		if i > 0 {
			r.Ended(e.At, other, e)
		}
	}
	assert.Equal(t, r.Verdict(at(20_000), mine, "engines"), Stopped)
	assert.Equal(t, r.Verdict(at(20_000), other, "engines"), Free)
}

// TestSentWhenTheOtherEnded: a retry that is sent at the very time at which the endpoint before is known to have ended was not there when that
// one ended.
func TestSentWhenTheOtherEnded(t *testing.T) {
	mine := request("desk", 1)
	r := New(DefaultSettings())
	for _, e := range []End{end("a", Present, 0, 900), end("b", Present, 900, 960), end("c", Present, 960, 1020)} {
		r.Ended(e.At, mine, e)
	}
	assert.Equal(t, r.Verdict(at(1100), mine, "engines"), Stopped)
}

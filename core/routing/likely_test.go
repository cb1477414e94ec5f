package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetOf returns a view of engines that were listed in some order.
func fleetOf(n int, order *rand.Rand) *View {
	s := DefaultSettings()
	s.ByPrompt, s.Choices = true, 6
	v := NewView(s)
	for _, i := range order.Perm(n) {
		v.Upsert(Endpoint{ID: fmt.Sprint("e", i), Service: "s", DataCentre: fmt.Sprint("dc", i%4), Slots: 16, Memory: 88000})
	}
	return v
}

func promptRequest(prompt uint64) *Request {
	return &Request{Service: "s", DataCentre: "dc0", Prefixes: []uint64{prompt}, Tokens: 9000, Prompt: 8000, Weights: Weights{Unread: 1, Running: 0.5, Memory: 0.3}}
}

// TestWhoeverLooksKnowsWhere: the pattern is the return of a fleet in which nobody remembers where prompts were read. An
// instance that chose among 180 engines, each with some load, placed each prompt at one of the eight that any other
// instance asks first.
func TestWhoeverLooksKnowsWhere(t *testing.T) {
	const engines, prompts, asked = 180, 500, 8
	rnd, now := rand.New(rand.NewPCG(1, 1)), time.Unix(0, 0)
	places, looks := fleetOf(engines, rnd), fleetOf(engines, rnd)
	for range prompts {
		r := promptRequest(rnd.Uint64() | 1)
		d, err := places.Pick(now, r, rnd)
		assert.NilError(t, err)
		places.Sent(now, d.Endpoint.ID)
		places.Place(d.Endpoint.ID, Placed{Tokens: 500, Unread: rnd.IntN(2) * 8000})
		found := false
		for _, e := range looks.Likely(now, r, asked) {
			found = found || e.ID == d.Endpoint.ID
		}
		assert.Assert(t, found, "%s is not asked for %x", d.Endpoint.ID, r.Prefixes[0])
	}
}

// TestChoosingByPromptSpreads: choosing by prompts fills engines as evenly as choosing at random does: of 24 engines the fullest
// gets at most a tenth more than the mean.
func TestChoosingByPromptSpreads(t *testing.T) {
	const engines, prompts = 24, 1200
	rnd, now := rand.New(rand.NewPCG(2, 2)), time.Unix(0, 0)
	v := fleetOf(engines, rnd)
	count := map[string]int{}
	for range prompts {
		d, err := v.Pick(now, &Request{Service: "s", Prefixes: []uint64{rnd.Uint64() | 1}, Prompt: 8000, Weights: Weights{Running: 0.5}, Recovery: true}, rnd)
		if err != nil { // all are full: they end
			for id := range count {
				for v.nodes[id].open > 0 {
					v.Finished(now, id)
				}
			}
			continue
		}
		v.Sent(now, d.Endpoint.ID)
		count[d.Endpoint.ID]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	assert.Equal(t, len(count), engines)
	assert.Assert(t, most <= prompts/engines*11/10, "%d", most)
}

// TestOneThatComesMovesFewPrompts: an engine that joins takes its part of the prompts, and changes nothing for the others.
func TestOneThatComesMovesFewPrompts(t *testing.T) {
	const engines, prompts = 24, 1000
	rnd, now := rand.New(rand.NewPCG(3, 3)), time.Unix(0, 0)
	v := fleetOf(engines, rnd)
	first := map[uint64]string{}
	for range prompts {
		p := rnd.Uint64() | 1
		first[p] = v.Likely(now, promptRequest(p), 1)[0].ID
	}
	v.Upsert(Endpoint{ID: "new", Service: "s", DataCentre: "dc0", Slots: 16, Memory: 88000})
	moved := 0
	for p, id := range first {
		if now := v.Likely(now, promptRequest(p), 1)[0].ID; now != id {
			assert.Equal(t, now, "new")
			moved++
		}
	}
	assert.Assert(t, moved > prompts/engines/2 && moved < prompts/engines*2, "%d", moved)
}

// BenchmarkPickByPrompt: a choice among 180 engines.
func BenchmarkPickByPrompt(b *testing.B) {
	rnd, now := rand.New(rand.NewPCG(4, 4)), time.Unix(0, 0)
	v := fleetOf(180, rnd)
	r := promptRequest(0)
	for b.Loop() {
		r.Prefixes[0]++
		_, _ = v.Pick(now, r, rnd)
	}
}

package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newShuffledView returns a view of n engines that were listed in random order.
func newShuffledView(n int, order *rand.Rand) *View {
	s := DefaultSettings()
	s.ByPrompt, s.Choices = true, 6
	v := NewView(s)
	for _, i := range order.Perm(n) {
		v.Upsert(Endpoint{ID: fmt.Sprint("e", i), Service: "s", DataCentre: fmt.Sprint("dc", i%4), Slots: 16, Memory: 88000})
	}
	return v
}

func promptRequest(prompt uint64) *Request {
	return &Request{Service: "s", DataCentre: "dc0", Prefixes: []uint64{prompt}, Tokens: 9000, PromptTokens: 8000, Weights: Weights{PendingPrefill: 1, Running: 0.5, Memory: 0.3}}
}

// TestLikelyEndpointsIncludePlacement guards against prompts that cannot be found after the restart
// of a fleet, when no instance remembers where prompts were prefilled. An instance that chooses
// among 180 engines with some load must place each prompt at one of the eight engines that any
// other instance asks first.
func TestLikelyEndpointsIncludePlacement(t *testing.T) {
	const engines, prompts, asked = 180, 500, 8
	rnd, now := rand.New(rand.NewPCG(1, 1)), time.Unix(0, 0)
	placing, searching := newShuffledView(engines, rnd), newShuffledView(engines, rnd)
	for range prompts {
		r := promptRequest(rnd.Uint64() | 1)
		d, err := placing.Pick(now, r, rnd)
		assert.NilError(t, err)
		placing.Sent(now, d.Endpoint.ID)
		placing.Place(d.Endpoint.ID, Placed{Tokens: 500, PendingPrefill: rnd.IntN(2) * 8000})
		found := false
		for _, e := range searching.LikelyEndpoints(now, r, asked) {
			found = found || e.ID == d.Endpoint.ID
		}
		assert.Assert(t, found, "%s is not asked for %x", d.Endpoint.ID, r.Prefixes[0])
	}
}

// TestPickByPromptSpreadsLoad checks that picking by prompt fills engines about as evenly as random
// picks: of 24 engines the fullest gets at most a tenth more than the mean.
func TestPickByPromptSpreadsLoad(t *testing.T) {
	const engines, prompts = 24, 1200
	rnd, now := rand.New(rand.NewPCG(2, 2)), time.Unix(0, 0)
	v := newShuffledView(engines, rnd)
	count := map[string]int{}
	for range prompts {
		d, err := v.Pick(now, &Request{Service: "s", Prefixes: []uint64{rnd.Uint64() | 1}, PromptTokens: 8000, Weights: Weights{Running: 0.5}, Recovery: true}, rnd)
		if err != nil { // all are full: end all requests
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

// TestNewEngineTakesOverFewPrompts checks that a new engine takes its share of the prompts and that
// all other prompts keep their engine.
func TestNewEngineTakesOverFewPrompts(t *testing.T) {
	const engines, prompts = 24, 1000
	rnd, now := rand.New(rand.NewPCG(3, 3)), time.Unix(0, 0)
	v := newShuffledView(engines, rnd)
	first := map[uint64]string{}
	for range prompts {
		p := rnd.Uint64() | 1
		first[p] = v.LikelyEndpoints(now, promptRequest(p), 1)[0].ID
	}
	v.Upsert(Endpoint{ID: "new", Service: "s", DataCentre: "dc0", Slots: 16, Memory: 88000})
	moved := 0
	for p, id := range first {
		if now := v.LikelyEndpoints(now, promptRequest(p), 1)[0].ID; now != id {
			assert.Equal(t, now, "new")
			moved++
		}
	}
	assert.Assert(t, moved > prompts/engines/2 && moved < prompts/engines*2, "%d", moved)
}

// BenchmarkPickByPrompt measures a pick among 180 engines.
func BenchmarkPickByPrompt(b *testing.B) {
	rnd, now := rand.New(rand.NewPCG(4, 4)), time.Unix(0, 0)
	v := newShuffledView(180, rnd)
	r := promptRequest(0)
	for b.Loop() {
		r.Prefixes[0]++
		_, _ = v.Pick(now, r, rnd)
	}
}

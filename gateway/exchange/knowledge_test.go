package exchange

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// TestSumsAreFresh: what all instances sent again is known to all within two seconds, also when the one that sums up has
// just died.
func TestSumsAreFresh(t *testing.T) {
	const size, sent = 100, 10
	runFleet(t, size, true, func(w *fleet) {
		assert.Equal(w, w.nodes[0].repeats(), uint64(0))
		for _, n := range w.nodes {
			n.mu.Lock()
			n.uses["s"] = limits.RetryCounts{Requests: 100, Retries: sent}
			n.mu.Unlock()
		}
		took := w.until(10*time.Second, func(n *node) bool { return n.repeats() == size*sent })
		w.Logf("sums known to all after %v", took)
		assert.Assert(w, took <= 2*time.Second, "%v", took)
	})
}

// TestRepeatsAreKnownSoon: what is sent again is known to all but for a few a quarter of a second later, since all instances count against one
// bound: with sums told twice a second they exceed it by a third where all engines refuse (limits.TestLargeFleetRetriesStayWithinBound).
func TestRepeatsAreKnownSoon(t *testing.T) {
	const size = 100
	runFleet(t, size, true, func(w *fleet) {
		for round := range 5 {
			for i := round; i < size; i += 10 {
				n := w.nodes[i]
				n.mu.Lock()
				c := n.uses["s"]
				n.uses["s"] = limits.RetryCounts{Requests: c.Requests, Retries: c.Retries + 2}
				n.mu.Unlock()
				n.Changed()
			}
			want := uint64(round+1) * size / 10 * 2
			took := w.until(10*time.Second, func(n *node) bool { return n.repeats()+repeatsSoon > want })
			w.Logf("known to all after %v", took)
			assert.Assert(w, took <= 250*time.Millisecond, "%v", took)
			time.Sleep(130 * time.Millisecond)
		}
	})
}

// TestOwnersKnowAll: in a fleet too large for all to tell all, an instance that asks knows what each other one has placed
// at an engine, a moment after it was placed and a moment after it ended.
func TestOwnersKnowAll(t *testing.T) {
	const size, engine, prompt = 100, "i-engine", 0xb1
	runFleet(t, size, true, func(w *fleet) {
		for _, n := range w.nodes {
			n.mu.Lock()
			n.view.Upsert(routing.Endpoint{ID: engine, Service: "engines", Slots: 6, Memory: 88000})
			n.mu.Unlock()
		}
		place := func(i int, told routing.PeerReport) {
			n := w.nodes[i]
			n.mu.Lock()
			n.told = told
			n.mu.Unlock()
			n.Changed(engine)
		}
		unread := func(i int) int {
			n := w.nodes[i]
			n.Ask(w.Context(), prompt, []string{engine})
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.view.PendingPrefill(time.Now(), engine)
		}
		for i := range 3 {
			place(i, routing.PeerReport{Placed: map[string]routing.Placed{engine: {Open: 1, Tokens: 9400, PendingPrefill: 8000}}})
		}
		time.Sleep(2 * changeGap)
		for i := 3; i < size; i++ {
			assert.Equal(w, unread(i), 3*8000, "instance %d", i)
		}
		assert.Equal(w, unread(0), 2*8000, "its own is not counted twice")
		place(0, routing.PeerReport{Prefilled: []routing.PrefilledPrompt{{Endpoint: engine, Prompt: prompt}}})
		place(1, routing.PeerReport{})
		time.Sleep(2 * changeGap)
		for i := 3; i < size; i++ {
			assert.Equal(w, unread(i), 8000, "instance %d", i)
			assert.Assert(w, w.nodes[i].view.HoldsPrefix(time.Now(), prompt))
		}
		owner := w.nodes[50].roster().owners(engine)[0]
		for i, n := range w.nodes {
			if n.Self.ID == owner {
				w.kill(i)
			}
		}
		for i := 3; i < size; i++ {
			if w.nodes[i].Self.ID != owner {
				assert.Equal(w, unread(i), 8000, "instance %d asks the second owner", i)
			}
		}
	})
}

// TestNoAnswerIsNotWaitedFor: owners that are all lost cost a choice 25 ms.
func TestNoAnswerIsNotWaitedFor(t *testing.T) {
	const size, engine = 100, "i-engine"
	runFleet(t, size, true, func(w *fleet) {
		asking := 0
		for w.nodes[asking].roster().owned(engine) {
			asking++
		}
		w.net.SetCut(func(a, _ string) bool { return a == fmt.Sprint("f", asking) })
		began := time.Now()
		w.nodes[asking].Ask(w.Context(), 1, []string{engine})
		assert.Equal(w, time.Since(began), askTimeout)
	})
}

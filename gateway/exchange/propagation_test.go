package exchange

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// TestDigestsReachAllWithinTwoSeconds: retries count against one limit for the whole fleet, so all
// instances must know the sum of all data centres within two seconds.
func TestDigestsReachAllWithinTwoSeconds(t *testing.T) {
	const size, retriesEach = 100, 10
	runFleet(t, size, true, func(w *fleet) {
		assert.Equal(w, w.nodes[0].peerRetries(), uint64(0))
		for _, n := range w.nodes {
			n.mu.Lock()
			n.counts["s"] = limits.RetryCounts{Requests: 100, Retries: retriesEach}
			n.mu.Unlock()
		}
		took := w.timeUntil(10*time.Second, func(n *node) bool { return n.peerRetries() == size*retriesEach })
		w.Logf("sums known to all after %v", took)
		assert.Assert(w, took <= 2*time.Second, "%v", took)
	})
}

// TestRetriesReachAllWithinQuarterSecond: all retries but a few are known to all instances within
// 250 ms, since all count against one limit. With digests twice a second only, the fleet would
// exceed it by a third when all engines refuse (limits.TestLargeFleetRetriesStayWithinBound).
func TestRetriesReachAllWithinQuarterSecond(t *testing.T) {
	const size = 100
	runFleet(t, size, true, func(w *fleet) {
		for round := range 5 {
			for i := round; i < size; i += 10 {
				n := w.nodes[i]
				n.mu.Lock()
				c := n.counts["s"]
				n.counts["s"] = limits.RetryCounts{Requests: c.Requests, Retries: c.Retries + 2}
				n.mu.Unlock()
				n.Changed()
			}
			want := uint64(round+1) * size / 10 * 2
			took := w.timeUntil(10*time.Second, func(n *node) bool { return n.peerRetries()+urgentRetries > want })
			w.Logf("known to all after %v", took)
			assert.Assert(w, took <= 250*time.Millisecond, "%v", took)
			time.Sleep(130 * time.Millisecond)
		}
	})
}

// TestOwnersKnowAllPlacements: in a fleet too large for a full mesh, an instance that asks the
// owners knows all placements at an engine, shortly after they were made and shortly after they
// ended. It still does when the first owner is killed.
func TestOwnersKnowAllPlacements(t *testing.T) {
	const size, engine, prompt = 100, "i-engine", 0xb1
	runFleet(t, size, true, func(w *fleet) {
		for _, n := range w.nodes {
			n.mu.Lock()
			n.view.Upsert(routing.Endpoint{ID: engine, Service: "engines", Slots: 6, Memory: 88000})
			n.mu.Unlock()
		}
		announce := func(i int, report routing.PeerReport) {
			n := w.nodes[i]
			n.mu.Lock()
			n.report = report
			n.mu.Unlock()
			n.Changed(engine)
		}
		pendingPrefill := func(i int) int {
			n := w.nodes[i]
			n.Ask(w.Context(), prompt, []string{engine})
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.view.PendingPrefill(time.Now(), engine)
		}
		for i := range 3 {
			announce(i, routing.PeerReport{Placed: map[string]routing.Placed{engine: {Open: 1, Tokens: 9400, PendingPrefill: 8000}}})
		}
		time.Sleep(2 * minAnnouncementGap)
		for i := 3; i < size; i++ {
			assert.Equal(w, pendingPrefill(i), 3*8000, "instance %d", i)
		}
		assert.Equal(w, pendingPrefill(0), 2*8000, "its own is not counted twice")
		announce(0, routing.PeerReport{Prefilled: []routing.PrefilledPrompt{{Endpoint: engine, Prompt: prompt}}})
		announce(1, routing.PeerReport{})
		time.Sleep(2 * minAnnouncementGap)
		for i := 3; i < size; i++ {
			assert.Equal(w, pendingPrefill(i), 8000, "instance %d", i)
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
				assert.Equal(w, pendingPrefill(i), 8000, "instance %d asks the second owner", i)
			}
		}
	})
}

// TestAskTimesOutWithoutAnswers: when no owner can be reached, Ask delays a choice by 25 ms and no
// more.
func TestAskTimesOutWithoutAnswers(t *testing.T) {
	const size, engine = 100, "i-engine"
	runFleet(t, size, true, func(w *fleet) {
		asking := 0
		for w.nodes[asking].roster().owns(engine) {
			asking++
		}
		w.net.SetCut(func(a, _ string) bool { return a == fmt.Sprint("f", asking) })
		began := time.Now()
		w.nodes[asking].Ask(w.Context(), 1, []string{engine})
		assert.Equal(w, time.Since(began), askTimeout)
	})
}

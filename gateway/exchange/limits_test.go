package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/routing"
)

const limitedEndpoint = "i-limited"

// listLimited lists the limited endpoint at all instances.
func (w *fleet) listLimited() {
	for _, n := range w.nodes {
		n.mu.Lock()
		n.view.Upsert(routing.Endpoint{ID: limitedEndpoint, Service: "s", DataCentre: "hall-0", Slots: 6})
		n.mu.Unlock()
	}
}

func (n *node) statement() admission.Statement {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.LimitsOf(time.Now(), limitedEndpoint)
}

// observe records an answer of the limited endpoint, and announces what changed.
func (n *node) observe(l admission.Limits) {
	n.mu.Lock()
	_, changed := n.view.RecordLimits(time.Now(), limitedEndpoint, l)
	n.report.Limits = n.view.ObservedLimits()
	n.mu.Unlock()
	if changed {
		n.Changed(limitedEndpoint)
	}
}

// TestFleetKeepsStatedRate plays fleets whose instances claim each request to an endpoint that
// states a rate. What is granted in any 4 s stays within one and a half times the rate and 5
// requests while the owner of the endpoint is killed, and then half of the fleet. What the callers
// of few instances need is not kept back for the others.
func TestFleetKeepsStatedRate(t *testing.T) {
	const rate, played, window = 8.3, 16 * time.Second, 4 * time.Second
	allowed := int(1.5*rate*window.Seconds()) + 5
	for _, size := range []int{6, 30, 300} {
		for name, sending := range map[string]int{"all send": size, "two send": 2} {
			if raceEnabled && size > 30 {
				continue
			}
			t.Run(fmt.Sprint(size, " ", name), func(t *testing.T) {
				runFleet(t, size, true, func(w *fleet) {
					w.listLimited()
					limits := admission.Statement{Limits: admission.Limits{Rate: rate, HasRate: true}, At: time.Now()}
					var mu sync.Mutex
					var granted []time.Duration
					var open sync.WaitGroup
					killed := map[int]bool{}
					began := time.Now()
					for i := range sending {
						open.Go(func() { // instances 0 and 1 stay alive
							rnd := rand.New(rand.NewPCG(1, uint64(i)))
							for time.Since(began) < played {
								time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
								mu.Lock()
								dead := killed[i]
								mu.Unlock()
								if dead {
									return
								}
								g := w.nodes[i].Exchange.Claim(context.Background(), limitedEndpoint, routing.Claim{Limits: limits})
								if g.MayPlace() {
									mu.Lock()
									granted = append(granted, time.Since(began))
									mu.Unlock()
									continue
								}
								time.Sleep(g.RetryIn)
							}
						})
					}
					kill := func(i int) {
						if i < 2 || killed[i] {
							return
						}
						mu.Lock()
						killed[i] = true
						mu.Unlock()
						w.kill(i)
					}
					time.Sleep(5 * time.Second)
					owner := w.nodes[0].roster().owners(limitedEndpoint)[0]
					kill(slices.IndexFunc(w.nodes, func(n *node) bool { return n.Self.ID == owner }))
					time.Sleep(4 * time.Second)
					for i := range size / 2 {
						kill(2*i + 1)
					}
					open.Wait()
					slices.Sort(granted)
					most, first := 0, 0
					for i := range granted {
						for granted[i]-granted[first] >= window {
							first++
						}
						most = max(most, i-first+1)
					}
					assert.Check(t, most <= allowed, "%d requests in 4 s, %d allowed", most, allowed)
					assert.Check(t, float64(len(granted)) >= 0.75*rate*played.Seconds(), "%d requests granted in %v", len(granted), played)
				})
			})
		}
	}
}

// TestLimitsSpread measures how long it takes until all instances know that an endpoint states a
// limit, and that it states none any more, if one instance gets such answers.
func TestLimitsSpread(t *testing.T) {
	for size, within := range map[int]time.Duration{6: 100 * time.Millisecond, 30: 100 * time.Millisecond, 100: 2 * time.Second} {
		if raceEnabled && size > 30 {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, true, func(w *fleet) {
				w.listLimited()
				stated := admission.Limits{Rate: 2.5, HasRate: true}
				w.nodes[1].observe(stated)
				took := w.timeUntil(within, func(n *node) bool { return n.statement().Limits == stated })
				assert.Check(t, took < within, "known after %v", took)
				time.Sleep(time.Second)
				w.nodes[size-1].observe(admission.Limits{})
				took = w.timeUntil(within, func(n *node) bool { return !n.statement().Stated() })
				assert.Check(t, took < within, "withdrawal known after %v", took)
				time.Sleep(3 * time.Second)
				for _, n := range w.nodes {
					assert.Check(t, !n.statement().Stated(), "a withdrawn limit came back")
				}
			})
		})
	}
}

package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/fairqueue"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/placement"
	"github.com/agateway/agateway/gateway/sharedqueue"
	"github.com/agateway/agateway/platform"
)

// TestQueuedRequest guards against a request that is given room too late for its first event, and against
// one that is taken for a late one because its caller states a short deadline: most urgent streams were
// then refused on arrival. A usual prefill time that has risen under overload must not do that either.
func TestQueuedRequest(t *testing.T) {
	arrivedAt := time.Unix(1000, 0)
	for name, c := range map[string]struct{ stated, routeTimeout, target, latest time.Duration }{
		"usual":                  {25 * time.Second, 25 * time.Second, 4 * time.Second, 2 * time.Second},
		"no deadline":            {0, 25 * time.Second, 4 * time.Second, 2 * time.Second},
		"states a shorter one":   {21 * time.Second, 25 * time.Second, 4 * time.Second, 2 * time.Second},
		"states a longer one":    {30 * time.Second, 25 * time.Second, 4 * time.Second, 2 * time.Second},
		"no target":              {25 * time.Second, 25 * time.Second, 0, defaultEngineWait},
		"route has no timeout":   {5 * time.Second, 0, 4 * time.Second, 2 * time.Second},
		"a target of 10 seconds": {25 * time.Second, 25 * time.Second, 10 * time.Second, 5 * time.Second},
	} {
		f := &Forwarder{Options: Options{Placement: placement.New(routing.DefaultSettings(), 1)}}
		f.Placement.Update([]routing.Endpoint{{ID: "e", Service: "s", Slots: 8, Memory: 88000}}, nil)
		for range 50 {
			f.Placement.RecordPrefill("e", 8000, 1, 4*time.Second)
		}
		req := &request{
			ClientRequest: platform.ClientRequest{Timeout: c.stated, PromptTokens: 8000, MaxOutputTokens: 1200, PromptParts: []platform.PromptPart{{ID: 1}, {ID: 77}}},
			service:       "s", arrivedAt: arrivedAt, priority: route.Priority{Level: 1, Levels: 2}, team: &route.Team{Name: "desk"},
			route: &route.Route{Timeout: c.routeTimeout, TargetLatency: c.target},
		}
		r := f.queuedRequest(req)
		assert.Equal(t, r.Since, arrivedAt, name)
		assert.Equal(t, r.Latest.Sub(arrivedAt), c.latest, name)
		assert.Equal(t, r.Tokens, 8600)
		assert.Equal(t, r.Prompt, uint64(77))
		assert.Equal(t, r.Team, "desk")
		assert.Equal(t, r.Level, 1)
	}
}

// noQueue is a shared queue without owners.
type noQueue struct{}

func (noQueue) Join(string, fairqueue.Request) *sharedqueue.Ticket { return nil }

// TestSharedQueueOfRankedRequestsOnly checks that services without ranks keep the queues of their instances where
// the shared queue is restricted to ranked requests.
func TestSharedQueueOfRankedRequestsOnly(t *testing.T) {
	ranked, equal := &request{priority: route.Priority{Level: 1, Levels: 2}}, &request{priority: route.Priority{Level: 1}}
	f := &Forwarder{Options: Options{Queue: noQueue{}, Settings: Settings{Overload: Overload{SharedQueue: true}}}}
	assert.Assert(t, f.usesSharedQueue(ranked) && f.usesSharedQueue(equal))
	f.Settings.Overload.OnlyRanked = true
	assert.Assert(t, f.usesSharedQueue(ranked) && !f.usesSharedQueue(equal))
	f.Settings.Overload.SharedQueue = false
	assert.Assert(t, !f.usesSharedQueue(ranked))
}

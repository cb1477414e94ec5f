package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/placement"
	"github.com/agateway/agateway/platform"
)

// TestQueuedRequest guards against a caller that comes back after a refusal and is queued as a new
// one, and against one that is given room too late for its first event.
func TestQueuedRequest(t *testing.T) {
	arrivedAt := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		stated, routeTimeout, target time.Duration
		since, latest                time.Duration // after the arrival
	}{
		"first attempt":         {25 * time.Second, 25 * time.Second, 4 * time.Second, 0, 2 * time.Second},
		"no deadline":           {0, 25 * time.Second, 4 * time.Second, 0, 2 * time.Second},
		"comes back after 2 s":  {23 * time.Second, 25 * time.Second, 4 * time.Second, -2 * time.Second, time.Second},
		"states a longer one":   {30 * time.Second, 25 * time.Second, 4 * time.Second, 0, 2 * time.Second},
		"no target":             {25 * time.Second, 25 * time.Second, 0, 0, defaultEngineWait},
		"no target, comes back": {24 * time.Second, 25 * time.Second, 0, -time.Second, defaultEngineWait - time.Second},
		"route has no timeout":  {5 * time.Second, 0, 4 * time.Second, 0, 2 * time.Second},
	} {
		f := &Forwarder{Options: Options{Placement: placement.New(routing.DefaultSettings(), 1)}}
		req := &request{
			ClientRequest: platform.ClientRequest{Timeout: c.stated, PromptTokens: 8000, MaxOutputTokens: 1200}, arrivedAt: arrivedAt,
			route: &route.Route{Timeout: c.routeTimeout, TargetLatency: c.target}, priority: route.Priority{Level: 1, Levels: 2}, team: &route.Team{Name: "desk"},
		}
		r := f.queuedRequest(req)
		assert.Equal(t, r.Since.Sub(arrivedAt), c.since, name)
		assert.Equal(t, r.Latest.Sub(arrivedAt), c.latest, name)
		assert.Equal(t, r.Tokens, 8600)
		assert.Equal(t, r.Team, "desk")
		assert.Equal(t, r.Level, 1)
	}
}

// TestSlowPrefillDoesNotMakeRequestsLate guards against urgent requests that are refused on arrival under
// overload: prompts then wait at engines, the usual prefill time rises towards their target latency, and
// they seemed to be late already, behind all requests with a longer target.
func TestSlowPrefillDoesNotMakeRequestsLate(t *testing.T) {
	f := &Forwarder{Options: Options{Placement: placement.New(routing.DefaultSettings(), 1)}}
	f.Placement.Update([]routing.Endpoint{{ID: "e", Service: "s", Slots: 8, Memory: 88000}}, nil)
	for range 50 {
		f.Placement.RecordPrefill("e", 8000, 1, 4*time.Second)
	}
	expected, known := f.Placement.ExpectedPrefillTime("s", 8000)
	assert.Assert(t, known && expected > 3*time.Second, "%v", expected)
	arrivedAt := time.Unix(1000, 0)
	req := &request{ClientRequest: platform.ClientRequest{PromptTokens: 8000}, service: "s", arrivedAt: arrivedAt, route: &route.Route{TargetLatency: 4 * time.Second}}
	assert.Equal(t, f.queuedRequest(req).Latest.Sub(arrivedAt), 2*time.Second)
}

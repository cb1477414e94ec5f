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

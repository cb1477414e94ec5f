package config

import (
	"context"
	"time"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/platform"
)

// Sync says how the configuration follows the platform.
type Sync struct {
	// Wait is how long one watch waits.
	Wait time.Duration
	// Pause is the first pause after a failure; it doubles up to Wait.
	Pause time.Duration
	// Watches tells whether this instance is one of those that watch. The others follow
	// their peers.
	Watches func() bool
}

// Follow keeps the configuration up to date from the platform until ctx ends.
func (c *Config) Follow(ctx context.Context, s Sync) {
	backoff := s.Pause
	var since uint64
	for ctx.Err() == nil {
		if !s.Watches() {
			pause.For(ctx, s.Pause)
			since = 0 // start from a list when the duty comes back
			continue
		}
		next, err := c.pull(ctx, since, s.Wait)
		if err != nil {
			c.scope.Counter("platform_watch_failures").Inc(1)
			pause.For(ctx, backoff)
			backoff = min(2*backoff, s.Wait)
			continue
		}
		since, backoff = next, s.Pause
	}
}

// Load reads everything once.
func (c *Config) Load(ctx context.Context) error {
	_, err := c.pull(ctx, 0, 0)
	return err
}

// pull lists everything when since is 0, and watches from there otherwise.
func (c *Config) pull(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	if since > 0 {
		objects, next, err := c.platform.Watch(ctx, platform.Watched, since, wait)
		if err != nil {
			return since, err
		}
		records := make([]revision.Record, len(objects))
		for i, o := range objects {
			records[i] = recordOf(o)
		}
		c.Apply(records)
		return max(next, since), nil
	}
	var lowest uint64
	for _, kind := range platform.Watched {
		objects, revisionNow, err := c.platform.List(ctx, kind)
		if err != nil {
			return 0, err
		}
		records := make([]revision.Record, len(objects))
		for i, o := range objects {
			records[i] = recordOf(o)
		}
		c.Apply(records)
		if lowest == 0 || revisionNow < lowest {
			lowest = revisionNow
		}
	}
	return max(lowest, 1), nil
}

package config

import (
	"context"
	"time"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/platform"
)

// FollowOptions configures [Config.Follow].
type FollowOptions struct {
	// WatchTimeout is how long one watch waits for a change.
	WatchTimeout time.Duration
	// RetryPause is the pause after the first failure. It doubles with each further failure up to
	// WatchTimeout. It is also the time between two calls of Watches while that returns false.
	RetryPause time.Duration
	// Watches reports whether this instance is one of those that watch the platform. The others
	// get the configuration from their peers.
	Watches func() bool
}

// Follow keeps the configuration up to date from the platform until ctx ends.
func (c *Config) Follow(ctx context.Context, s FollowOptions) {
	backoff := s.RetryPause
	var since uint64
	for ctx.Err() == nil {
		if !s.Watches() {
			pause.For(ctx, s.RetryPause)
			since = 0 // list everything again when this instance resumes watching
			continue
		}
		next, err := c.pull(ctx, since, s.WatchTimeout)
		if err != nil {
			c.scope.Counter("platform_watch_failures").Inc(1)
			pause.For(ctx, backoff)
			backoff = min(2*backoff, s.WatchTimeout)
			continue
		}
		since, backoff = next, s.RetryPause
	}
}

// Load reads all objects from the platform once.
func (c *Config) Load(ctx context.Context) error {
	_, err := c.pull(ctx, 0, 0)
	return err
}

// pull lists all objects if since is 0, and otherwise watches for changes after that revision. It
// returns the revision to watch from next. After listing, that is the lowest revision of the
// lists, so that no change between them is missed.
func (c *Config) pull(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	if since > 0 {
		objects, next, err := c.platform.Watch(ctx, platform.WatchedKinds, since, wait)
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
	for _, kind := range platform.WatchedKinds {
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

package config

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

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
	var since revision.Position
	for ctx.Err() == nil {
		if !s.Watches() {
			pause.For(ctx, s.RetryPause)
			since = revision.Position{} // list everything again when this instance resumes watching
			continue
		}
		next, err := c.pull(ctx, since, s.WatchTimeout)
		if err != nil {
			c.scope.Counter("platform_watch_failures").Inc(1)
			if errorx.IsOfType(err, platform.ErrHistoryGone) {
				c.log.WithError(err).Warn("configuration is listed again")
				since = revision.Position{}
			}
			pause.For(ctx, backoff)
			backoff = min(2*backoff, s.WatchTimeout)
			continue
		}
		since, backoff = next, s.RetryPause
	}
}

// Load reads all objects from the platform once.
func (c *Config) Load(ctx context.Context) error {
	_, err := c.pull(ctx, revision.Position{}, 0)
	return err
}

// pull lists all objects if since is zero, and otherwise watches for changes after that position. It
// returns the position to watch from next. After listing, that is the earliest position of the
// lists, so that no change between them is missed.
func (c *Config) pull(ctx context.Context, since revision.Position, wait time.Duration) (revision.Position, error) {
	if since.Revision > 0 {
		objects, next, err := c.platform.Watch(ctx, platform.WatchedKinds, since, wait)
		if err != nil {
			return since, err
		}
		records := make([]revision.Record, len(objects))
		for i, o := range objects {
			records[i] = recordOf(o)
		}
		c.Apply(records)
		return revision.Latest(next, since), nil
	}
	var earliest revision.Position
	for _, kind := range platform.WatchedKinds {
		objects, listedAt, err := c.platform.List(ctx, kind)
		if err != nil {
			return revision.Position{}, err
		}
		records := make([]revision.Record, len(objects))
		for i, o := range objects {
			records[i] = recordOf(o)
		}
		c.Apply(records)
		if c.returned(listedAt) {
			if err := c.restoreLost(ctx, kind, objects); err != nil {
				return revision.Position{}, err
			}
		}
		if earliest.Revision == 0 || earliest.After(listedAt) {
			earliest = listedAt
		}
	}
	c.noteListed(earliest)
	earliest.Revision = max(earliest.Revision, 1)
	return earliest, nil
}

package atmostonce

import (
	"context"
	"encoding/json"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/platform"
)

// Sweeper deletes old claims from the platform's store at a bounded rate. One instance sweeps: the
// holder of the orders lease. Two at once do no harm, since deletions are conditional on the
// version. A claim that can't be decoded is never deleted.
type Sweeper struct {
	Platform platform.Client
	// Enabled reports whether this instance has to sweep now. It is asked before each deletion.
	Enabled func() bool
	// TTL is the age after which a claim is deleted; its key may then be used again.
	TTL time.Duration
	// Interval is the time between sweeps.
	Interval time.Duration
	// DeletesPerSecond bounds the rate of deletions.
	DeletesPerSecond float64
	Scope            tally.Scope
}

// Run sweeps until ctx is done.
func (s *Sweeper) Run(ctx context.Context) {
	pause.Every(ctx, s.Interval, func() {
		if s.Enabled() {
			s.sweep(ctx)
		}
	})
}

func (s *Sweeper) sweep(ctx context.Context) {
	objects, _, err := s.Platform.List(ctx, KindClaim)
	if err != nil {
		return // the next sweep tries again
	}
	limit := rate.NewLimiter(rate.Limit(s.DeletesPerSecond), 1)
	for _, o := range objects {
		if o.Deleted || !s.expired(o) {
			continue
		}
		if limit.Wait(ctx) != nil || !s.Enabled() {
			return
		}
		if _, err := s.Platform.Delete(ctx, KindClaim, o.Name, o.Version); err == nil {
			s.Scope.Counter("claims_swept").Inc(1)
		}
	}
}

func (s *Sweeper) expired(o platform.Object) bool {
	var c claim
	return json.Unmarshal(o.Value, &c) == nil && time.Since(c.ClaimedAt) > s.TTL
}

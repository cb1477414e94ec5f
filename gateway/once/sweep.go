package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/platform"
)

// Sweeper deletes old claims from the platform, at a bounded rate. One instance does it,
// the holder of the orders lease; two at once do no harm, since deletions are conditional.
type Sweeper struct {
	Platform platform.Client
	// Holds tells whether this instance sweeps now.
	Holds func() bool
	// TTL is the age from which a claim goes; its key may then be used again.
	TTL time.Duration
	// Every is the time between two sweeps.
	Every time.Duration
	// PerSecond bounds the deletions.
	PerSecond float64
	Scope     tally.Scope
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	pause.Every(ctx, s.Every, func() {
		if s.Holds() {
			s.sweep(ctx)
		}
	})
}

func (s *Sweeper) sweep(ctx context.Context) {
	objects, _, err := s.Platform.List(ctx, KindClaim)
	if err != nil {
		return // the next turn tries again
	}
	limit := rate.NewLimiter(rate.Limit(s.PerSecond), 1)
	for _, o := range objects {
		if o.Deleted || !s.old(o) {
			continue
		}
		if limit.Wait(ctx) != nil || !s.Holds() {
			return
		}
		if _, err := s.Platform.Delete(ctx, KindClaim, o.Name, o.Version); err == nil {
			s.Scope.Counter("claims_swept").Inc(1)
		}
	}
}

func (s *Sweeper) old(o platform.Object) bool {
	var c claim
	return json.Unmarshal(o.Value, &c) == nil && time.Since(c.At) > s.TTL
}

package follow

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/platform"
)

// Rollouts are the orders to move services to other builds. It is safe for concurrent use.
type Rollouts struct {
	loop    loop
	changes func(orders map[string]platform.Rollout, proved time.Duration)

	mu     sync.Mutex
	orders map[string]platform.Rollout
	proof  revision.Freshness
}

// NewRollouts returns a follower that knows nothing yet. changes is called with all orders after each answer, also where nothing has
// changed, since each answer says that they are still the newest.
func NewRollouts(o Options, changes func(orders map[string]platform.Rollout, proved time.Duration)) *Rollouts {
	return &Rollouts{loop: loop{Options: o, kind: platform.KindRollout}, changes: changes, orders: map[string]platform.Rollout{}}
}

// Run follows the store until ctx ends.
func (r *Rollouts) Run(ctx context.Context) { r.loop.run(ctx, r) }

// Age returns how long ago the orders were known to be the newest; false when they are not known.
func (r *Rollouts) Age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proof.Age(r.loop.Now())
}

func (r *Rollouts) replace(proved time.Duration, objects []platform.Object) {
	r.mu.Lock()
	clear(r.orders)
	r.mu.Unlock()
	r.changed(proved, objects)
}

func (r *Rollouts) changed(proved time.Duration, objects []platform.Object) {
	r.mu.Lock()
	for i := range objects {
		r.take(&objects[i])
	}
	r.proof.Confirm(proved)
	orders := maps.Clone(r.orders)
	r.mu.Unlock()
	r.changes(orders, proved)
}

func (r *Rollouts) unreachable(time.Duration) {}

// take takes one object. One that can't be followed moves nothing. The caller holds mu.
func (r *Rollouts) take(o *platform.Object) {
	if o.Deleted {
		delete(r.orders, o.Name)
		return
	}
	decoded, err := platform.DecodeRollout(*o)
	if err != nil {
		r.loop.Log.WithError(err).WithField("object", o.Name).Error("rollout can't be followed; nothing is moved")
		delete(r.orders, o.Name)
		return
	}
	r.orders[o.Name] = decoded
}

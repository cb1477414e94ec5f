package follow

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/platform"
)

// Rollouts holds the orders to move services to other builds. It is safe for concurrent use.
type Rollouts struct {
	loop     loop
	onChange func(orders map[string]platform.Rollout, currentAt time.Duration)

	mu        sync.Mutex
	orders    map[string]platform.Rollout
	freshness revision.Freshness
}

// NewRollouts returns a Rollouts that holds no orders yet. onChange is called with all orders after
// each answer, even if nothing has changed, since each answer confirms that they are the newest.
// currentAt is the latest time at which they certainly were.
func NewRollouts(o Options, onChange func(orders map[string]platform.Rollout, currentAt time.Duration)) *Rollouts {
	return &Rollouts{loop: loop{Options: o, kind: platform.KindRollout}, onChange: onChange, orders: map[string]platform.Rollout{}}
}

// Run keeps the orders up to date until ctx ends.
func (r *Rollouts) Run(ctx context.Context) { r.loop.run(ctx, r) }

// Age returns the time since the orders were last known to be the newest. It returns false if they
// never were.
func (r *Rollouts) Age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freshness.Age(r.loop.Now())
}

func (r *Rollouts) replace(currentAt time.Duration, objects []platform.Object) {
	r.mu.Lock()
	clear(r.orders)
	r.mu.Unlock()
	r.update(currentAt, objects)
}

func (r *Rollouts) update(currentAt time.Duration, objects []platform.Object) {
	r.mu.Lock()
	for i := range objects {
		r.apply(&objects[i])
	}
	r.freshness.Confirm(currentAt)
	orders := maps.Clone(r.orders)
	r.mu.Unlock()
	r.onChange(orders, currentAt)
}

func (r *Rollouts) readFailed(time.Duration) {}

// apply updates one order. An invalid object deletes the order, so that no requests are moved. The
// caller holds mu.
func (r *Rollouts) apply(o *platform.Object) {
	if o.Deleted {
		delete(r.orders, o.Name)
		r.loop.Unusable.Gone(platform.KindRollout, o.Name)
		return
	}
	decoded, err := platform.DecodeRollout(*o)
	if err != nil {
		r.loop.Unusable.Found(platform.KindRollout, o, err, "no requests are moved")
		delete(r.orders, o.Name)
		return
	}
	r.loop.Unusable.Gone(platform.KindRollout, o.Name)
	r.orders[o.Name] = decoded
}

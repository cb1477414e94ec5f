package follow

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/agateway/agateway/core/listing"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/platform"
)

// Endpoints is the platform's list of endpoints. It is safe for concurrent use.
type Endpoints struct {
	loop    loop
	known   func(service string) bool
	inUse   func(id string) bool
	changes func([]routing.Endpoint)

	mu   sync.Mutex
	list *listing.List
	due  *time.Timer // of what is missing since an outage
	seen map[string]routing.State
}

// endpointsGap bounds the calls that a run of changes costs, to five a second of each instance that asks
// the store. A change is in force that much later at the most, a tenth of the time that a leaving endpoint may
// still be used.
const endpointsGap = 200 * time.Millisecond

// NewEndpoints returns a follower that knows nothing yet. known tells whether the configuration names a service, inUse
// whether requests of this instance are at an endpoint; changes is called with the whole list when it changed.
func NewEndpoints(o Options, known func(service string) bool, inUse func(id string) bool, changes func([]routing.Endpoint)) *Endpoints {
	return &Endpoints{
		loop:  loop{Options: o, kind: platform.KindEndpoint, gap: endpointsGap},
		known: known, inUse: inUse, changes: changes, list: listing.New(listing.DefaultSettings()), seen: map[string]routing.State{},
	}
}

// Run follows the store until ctx ends.
func (e *Endpoints) Run(ctx context.Context) { e.loop.run(ctx, e) }

func (e *Endpoints) replace(_ time.Duration, objects []platform.Object) {
	now := e.loop.Now()
	// Of two entries with one address, the one that was written last is put last, and so counts.
	sort.Slice(objects, func(i, j int) bool { return objects[i].Revision < objects[j].Revision })
	e.mu.Lock()
	e.list.ReadSucceeded(now)
	var all []routing.Endpoint
	for i := range objects {
		if d, ok := e.decode(&objects[i]); ok {
			all = append(all, d)
		} else {
			e.list.Forget(objects[i].Name)
		}
	}
	e.list.Replace(now, all)
	e.mu.Unlock()
	e.publish(true)
}

func (e *Endpoints) changed(_ time.Duration, objects []platform.Object) {
	now := e.loop.Now()
	e.mu.Lock()
	e.list.ReadSucceeded(now)
	for i := range objects {
		e.take(now, &objects[i])
	}
	e.mu.Unlock()
	e.publish(len(objects) > 0)
}

// take takes what a watch told of one entry.
func (e *Endpoints) take(now time.Duration, o *platform.Object) {
	if o.Deleted {
		e.list.Remove(now, o.Name)
		return
	}
	if d, ok := e.decode(o); ok {
		e.list.Put(d)
		return
	}
	e.list.Forget(o.Name)
}

func (e *Endpoints) decode(o *platform.Object) (routing.Endpoint, bool) {
	d, err := platform.DecodeEndpoint(*o)
	if err != nil {
		e.loop.Log.WithError(err).WithField("endpoint", o.Name).Warn("entry of the list names no endpoint to use")
		return d, false
	}
	return d, true
}

func (e *Endpoints) unreachable(began time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.ReadFailed(began)
}

// Ended takes endpoints, by id, whose addresses answered for others.
func (e *Endpoints) Ended(ids ...string) {
	e.mu.Lock()
	news := e.list.MarkEnded(ids...)
	e.mu.Unlock()
	if news {
		e.publish(true)
	}
}

// Publish tells the list again.
func (e *Endpoints) Publish() { e.publish(true) }

// publish tells the list where it changed, and sees to what is still missing.
func (e *Endpoints) publish(changed bool) {
	now := e.loop.Now()
	e.mu.Lock()
	changed = e.list.Tick(now) || changed
	if at, missing := e.list.Deadline(); missing && e.due == nil {
		e.due = time.AfterFunc(at-now, func() {
			e.mu.Lock()
			e.due = nil
			e.mu.Unlock()
			e.publish(false)
		})
	}
	all := e.list.Endpoints(e.known)
	e.mu.Unlock()
	if !changed {
		return
	}
	moved := e.compare(all)
	e.changes(all)
	moved.log(e.loop.Log)
}

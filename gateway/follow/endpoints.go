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

// Endpoints holds the platform's list of endpoints. It is safe for concurrent use.
type Endpoints struct {
	loop         loop
	knownService func(service string) bool
	inUse        func(id string) bool
	onChange     func([]routing.Endpoint)

	mu         sync.Mutex
	list       *listing.List
	expiry     *time.Timer // calls publish when missing entries expire; nil if not set
	lastStates map[string]routing.State
}

// endpointsPauseAfterChange bounds the calls to the store during a run of changes to five a second
// for each instance that asks the store. It delays a change by at most a tenth of the time for
// which an endpoint that is leaving may still be used.
const endpointsPauseAfterChange = 200 * time.Millisecond

// NewEndpoints returns an empty list. knownService reports whether the configuration names a
// service. inUse reports whether requests of this instance are at the endpoint with an ID. onChange
// is called with the whole list when it has changed.
func NewEndpoints(o Options, knownService func(service string) bool, inUse func(id string) bool, onChange func([]routing.Endpoint)) *Endpoints {
	return &Endpoints{
		loop:         loop{Options: o, kind: platform.KindEndpoint, pauseAfterChange: endpointsPauseAfterChange},
		knownService: knownService, inUse: inUse, onChange: onChange, list: listing.New(listing.DefaultSettings()), lastStates: map[string]routing.State{},
	}
}

// Run keeps the list up to date until ctx ends.
func (e *Endpoints) Run(ctx context.Context) { e.loop.run(ctx, e) }

func (e *Endpoints) replace(_ time.Duration, objects []platform.Object) {
	now := e.loop.Now()
	// If two entries have the same address, the one that was written last is put last and is used.
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

func (e *Endpoints) update(_ time.Duration, objects []platform.Object) {
	now := e.loop.Now()
	e.mu.Lock()
	e.list.ReadSucceeded(now)
	for i := range objects {
		e.apply(now, &objects[i])
	}
	e.mu.Unlock()
	e.publish(len(objects) > 0)
}

// apply updates one entry with an object that a watch returned. The caller holds mu.
func (e *Endpoints) apply(now time.Duration, o *platform.Object) {
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
		e.loop.Log.WithError(err).WithField("endpoint", o.Name).Warn("ignoring an unusable entry of the endpoint list")
		return d, false
	}
	return d, true
}

func (e *Endpoints) readFailed(began time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.ReadFailed(began)
}

// MarkEnded records that the addresses of the endpoints with these IDs answered for other
// endpoints, so that the former have ended.
func (e *Endpoints) MarkEnded(ids ...string) {
	e.mu.Lock()
	changed := e.list.MarkEnded(ids...)
	e.mu.Unlock()
	if changed {
		e.publish(true)
	}
}

// Publish calls onChange with the list even if it has not changed.
func (e *Endpoints) Publish() { e.publish(true) }

// publish drops the missing entries that have expired, and sets a timer for those that are left. It
// calls onChange if changed is set or an entry was dropped.
func (e *Endpoints) publish(changed bool) {
	now := e.loop.Now()
	e.mu.Lock()
	changed = e.list.Tick(now) || changed
	if at, missing := e.list.Deadline(); missing && e.expiry == nil {
		e.expiry = time.AfterFunc(at-now, func() {
			e.mu.Lock()
			e.expiry = nil
			e.mu.Unlock()
			e.publish(false)
		})
	}
	all := e.list.Endpoints(e.knownService)
	e.mu.Unlock()
	if !changed {
		return
	}
	diff := e.diffFromLast(all)
	e.onChange(all)
	diff.log(e.loop.Log)
}

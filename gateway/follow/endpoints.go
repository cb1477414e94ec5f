package follow

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/agateway/agateway/core/listing"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/platform"
)

// Endpoints holds the platform's list of endpoints. It is safe for concurrent use.
type Endpoints struct {
	loop         loop
	knownService func(service string) bool
	inUse        func(id string) bool
	onChange     func(Update)

	// publishMu makes calls of onChange come one after the other, in the order of the changes.
	publishMu sync.Mutex

	mu     sync.Mutex
	list   *listing.List
	expiry *time.Timer // calls publish when missing entries expire; nil if not set
	// decoded holds the positions of the listed objects, by name. Most objects of a list that is
	// read again are known.
	decoded  map[string]revision.Position
	interner *interner
}

// Update tells how the endpoints in use have changed.
type Update struct {
	// Changes are those since the last update.
	Changes []listing.Change
	// Republished is set for a call of [Endpoints.Publish]: what depends on more than the list may
	// have changed for any endpoint.
	Republished bool
	// All returns all endpoints in use, sorted by ID. It takes work in proportion to their number.
	All func() []routing.Endpoint
}

// endpointsPauseAfterChange bounds the calls to the store during a run of changes to five a second
// for each instance that asks the store. It delays a change by at most a tenth of the time for
// which an endpoint that is leaving may still be used.
const endpointsPauseAfterChange = 200 * time.Millisecond

// NewEndpoints returns an empty list. knownService reports whether the configuration names a
// service. inUse reports whether requests of this instance are at the endpoint with an ID. onChange
// is called when the list has changed. It must not call back.
func NewEndpoints(o Options, knownService func(service string) bool, inUse func(id string) bool, onChange func(Update)) *Endpoints {
	return &Endpoints{
		loop:         loop{Options: o, kind: platform.KindEndpoint, pauseAfterChange: endpointsPauseAfterChange},
		knownService: knownService, inUse: inUse, onChange: onChange, list: listing.New(listing.DefaultSettings()), decoded: map[string]revision.Position{}, interner: newInterner(),
	}
}

// Run keeps the list up to date until ctx ends.
func (e *Endpoints) Run(ctx context.Context) { e.loop.run(ctx, e) }

func (e *Endpoints) replace(_ time.Duration, objects []platform.Object) {
	now := e.loop.Now()
	// If two entries have the same address, the one that was written last is put last and is used.
	sort.Slice(objects, func(i, j int) bool { return objects[j].Position().After(objects[i].Position()) })
	e.mu.Lock()
	e.list.ReadSucceeded(now)
	var all []routing.Endpoint
	before := e.decoded
	e.decoded = make(map[string]revision.Position, len(objects))
	for i := range objects {
		o := &objects[i]
		e.decoded[o.Name] = o.Position()
		if before[o.Name] == o.Position() {
			if known, ok := e.list.Get(o.Name); ok {
				all = append(all, known)
				continue
			}
		}
		if d, ok := e.decode(o); ok {
			all = append(all, d)
		} else {
			e.list.Forget(o.Name)
		}
	}
	e.list.Replace(now, all)
	e.mu.Unlock()
	e.publish(false)
}

func (e *Endpoints) update(_ time.Duration, objects []platform.Object) {
	now := e.loop.Now()
	e.mu.Lock()
	e.list.ReadSucceeded(now)
	for i := range objects {
		e.apply(now, &objects[i])
	}
	e.mu.Unlock()
	e.publish(false)
}

// apply updates one entry with an object that a watch returned. The caller holds mu.
func (e *Endpoints) apply(now time.Duration, o *platform.Object) {
	if o.Deleted {
		delete(e.decoded, o.Name)
		e.loop.Unusable.Gone(platform.KindEndpoint, o.Name)
		e.list.Remove(now, o.Name)
		return
	}
	e.decoded[o.Name] = o.Position()
	if d, ok := e.decode(o); ok {
		e.list.Put(d)
		return
	}
	e.list.Forget(o.Name)
}

func (e *Endpoints) decode(o *platform.Object) (routing.Endpoint, bool) {
	d, err := platform.DecodeEndpoint(*o)
	if err != nil {
		e.loop.Unusable.Found(platform.KindEndpoint, o, err, "the endpoint is left out")
		return d, false
	}
	e.loop.Unusable.Gone(platform.KindEndpoint, o.Name)
	e.interner.intern(&d)
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
		e.publish(false)
	}
}

// Publish looks at all entries anew and calls onChange even if nothing has changed.
func (e *Endpoints) Publish() {
	e.mu.Lock()
	e.list.Recheck()
	e.mu.Unlock()
	e.publish(true)
}

// publish calls onChange if the endpoints in use have changed, or if republish is set.
func (e *Endpoints) publish(republish bool) {
	e.publishMu.Lock()
	defer e.publishMu.Unlock()
	changes := e.takeChanges()
	if len(changes) == 0 && !republish {
		return
	}
	diff := e.describe(changes)
	e.onChange(Update{Changes: changes, Republished: republish, All: e.all})
	diff.log(e.loop.Log)
}

// takeChanges drops the missing entries that have expired, sets a timer for those that are left,
// and returns what has changed.
func (e *Endpoints) takeChanges() []listing.Change {
	now := e.loop.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.Tick(now)
	if at, missing := e.list.Deadline(); missing && e.expiry == nil {
		e.expiry = time.AfterFunc(at-now, func() {
			e.mu.Lock()
			e.expiry = nil
			e.mu.Unlock()
			e.publish(false)
		})
	}
	return e.list.Changes(e.knownService)
}

// all returns all endpoints in use, sorted by ID.
func (e *Endpoints) all() []routing.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list.Endpoints(e.knownService)
}

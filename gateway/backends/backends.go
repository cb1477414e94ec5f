// Package backends watches the endpoints and picks among them: the platform's list (a
// hint that lags), each endpoint's own status, and what this instance sees of them.
//
// Failure modes: the list is old or missing (the last one stays in use); an endpoint
// does not answer its status reads (suspected after a few, then left out until it
// answers); an endpoint says that it leaves (no new work at once, whatever the list says).
package backends

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/rendezvous"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/platform"
)

// Options of the backends.
type Options struct {
	Client        *endpoint.Client
	Settings      routing.Settings
	Poll          time.Duration
	StatusTimeout time.Duration
	// Subset bounds the endpoints used per service; 0 uses all.
	Subset int
	// Instance names this instance, for the choice of the subset.
	Instance string
	Log      *logrus.Entry
	Scope    tally.Scope
	Seed     uint64
}

// Backends is this instance's view of the endpoints. It is safe for concurrent use.
type Backends struct {
	opt Options

	mu       sync.Mutex
	view     *routing.View
	rnd      *rand.Rand
	watchers map[string]*watcher
	address  map[string]string // of all listed endpoints, by id
	changed  chan struct{}     // closed when an endpoint may have become free
	phase    time.Time         // turns of status reads are counted from here
}

// New returns a view without endpoints.
func New(opt Options) *Backends {
	return &Backends{
		phase: time.Now(), opt: opt, view: routing.NewView(opt.Settings), rnd: rand.New(rand.NewPCG(opt.Seed, 2)),
		watchers: map[string]*watcher{}, changed: make(chan struct{}),
	}
}

// SetList takes the platform's list. Endpoints that it no longer names go; those that
// this instance knows to be leaving stay so.
func (b *Backends) SetList(ctx context.Context, listed []platform.Listed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = make(map[string]string, len(listed))
	for _, l := range listed {
		b.address[l.ID] = l.Address
	}
	listed = chooseSubset(listed, b.opt.Instance, b.opt.Subset)
	keep := map[string]bool{}
	for _, l := range listed {
		if l.Role != platform.RoleEngine && l.Role != platform.RolePlain {
			continue
		}
		keep[l.ID] = true
		b.take(ctx, l)
	}
	b.view.Retain(keep)
	for id, w := range b.watchers {
		if !keep[id] {
			w.stop()
			delete(b.watchers, id)
		}
	}
}

func (b *Backends) take(ctx context.Context, l platform.Listed) {
	e, known := b.view.Get(l.ID)
	if known && e.Address != l.Address {
		b.view.Forget(l.ID)
	}
	listed := routing.Endpoint{ID: l.ID, Address: l.Address, DataCentre: l.DataCentre, Service: l.Service, ChecksFencing: l.ChecksFencing}
	if l.Leaving {
		listed.State = routing.Leaving
	}
	b.view.Upsert(listed)
	w := b.watchers[l.ID]
	if w != nil && w.address == l.Address {
		return
	}
	if w != nil {
		w.stop()
	}
	b.watchers[l.ID] = b.watch(ctx, l.ID, l.Address)
}

// SetMembers tells which instances are alive. Each endpoint is in the subset of the one that
// ranks highest for it by rendezvous hash.
func (b *Backends) SetMembers(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.SetSubset(func(endpoint string) bool {
		own := rendezvous.Weight(b.opt.Instance, endpoint)
		for _, id := range ids {
			if rendezvous.Weight(id, endpoint) > own {
				return false
			}
		}
		return true
	})
}

// Pick chooses an endpoint and counts the request as sent; [Backends.Finished] has to
// follow.
func (b *Backends) Pick(now time.Time, r *routing.Request) (routing.Decision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, err := b.view.Pick(now, r, b.rnd)
	if err == nil {
		b.view.Sent(now, d.Endpoint.ID)
	}
	return d, err
}

// Sent counts a request at an endpoint that was not picked, such as a stream taken over.
func (b *Backends) Sent(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Sent(time.Now(), id)
}

// Finished counts the end of a request.
func (b *Backends) Finished(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Finished(time.Now(), id)
	b.wake()
}

// Failed records that an endpoint failed a request.
func (b *Backends) Failed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !b.view.Suspected(now, id) {
		b.opt.Scope.Counter("endpoints_suspected").Inc(1)
		b.opt.Log.WithField("endpoint", id).Warn("endpoint suspected")
	}
	b.view.Failed(now, id)
}

// Succeeded clears the suspicion of an endpoint.
func (b *Backends) Succeeded(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Succeeded(id)
}

// Get returns an endpoint.
func (b *Backends) Get(id string) (routing.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Get(id)
}

// Address returns the address of a listed endpoint, also of one that is not in the subset
// that this instance picks from.
func (b *Backends) Address(id string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.address[id]
	return a, ok
}

// List returns all endpoints with what is believed of them.
func (b *Backends) List() []routing.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.List(time.Now())
}

// Nearby returns how many endpoints there are in the data centre of an endpoint, and how many of them failed last within a
// time.
func (b *Backends) Nearby(id string, from, to time.Time) (failed, all int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.FailuresInDataCentre(id, from, to)
}

// Slots returns the slots of a service's endpoints that take work.
func (b *Backends) Slots(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Slots(time.Now(), service)
}

// wake tells those that wait for room to try again.
func (b *Backends) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Changed returns a channel that is closed when an endpoint may have become free.
func (b *Backends) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

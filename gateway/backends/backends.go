// Package backends keeps this instance's view of the endpoints and picks among them. The view
// combines the platform's list, which is only a hint since it lags, the status that each endpoint
// reports, and the results of this instance's own requests.
//
// Failure modes: if the list is outdated or missing, the last one stays in use. An endpoint whose
// status can't be read several times in a row becomes suspected, and is not picked until it
// answers again. An endpoint that reports that it is leaving gets no new work, whatever the list
// says.
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

// Options configures Backends. Poll is the interval between two status reads of an endpoint, and
// StatusTimeout bounds one read. Seed seeds the random choice among endpoints.
type Options struct {
	Client        *endpoint.Client
	Settings      routing.Settings
	Poll          time.Duration
	StatusTimeout time.Duration
	// Subset bounds the number of endpoints used per service; 0 uses all.
	Subset int
	// Instance is the id of this instance. The choice of the subset depends on it.
	Instance string
	Log      *logrus.Entry
	Scope    tally.Scope
	Seed     uint64
}

// Backends is this instance's view of the endpoints. It is safe for concurrent use.
type Backends struct {
	opt Options

	mu        sync.Mutex
	view      *routing.View
	rnd       *rand.Rand
	watchers  map[string]*watcher
	addresses map[string]string // of all entries of the list, by id, including those outside the subset
	changed   chan struct{}     // closed when an endpoint may have become free
	// confirming holds the ids of silent endpoints while others are asked whether they answer.
	confirming map[string]bool
	pollEpoch  time.Time // status reads happen at multiples of the poll interval from here
}

// New returns Backends without endpoints.
func New(opt Options) *Backends {
	return &Backends{
		pollEpoch: time.Now(), opt: opt, view: routing.NewView(opt.Settings), rnd: rand.New(rand.NewPCG(opt.Seed, 2)),
		watchers: map[string]*watcher{}, changed: make(chan struct{}), confirming: map[string]bool{},
	}
}

// SetList applies the platform's list. Endpoints that are not in it are removed. An endpoint that
// reported that it is leaving stays in that state.
func (b *Backends) SetList(ctx context.Context, listed []platform.Listed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = make(map[string]string, len(listed))
	for _, l := range listed {
		b.addresses[l.ID] = l.Address
	}
	listed = chooseSubset(listed, b.opt.Instance, b.opt.Subset)
	kept := map[string]bool{}
	for _, l := range listed {
		if l.Role != platform.RoleEngine && l.Role != platform.RolePlain {
			continue
		}
		kept[l.ID] = true
		b.upsertListed(ctx, l)
	}
	b.view.Retain(kept)
	for id, w := range b.watchers {
		if !kept[id] {
			w.stop()
			delete(b.watchers, id)
		}
	}
}

func (b *Backends) upsertListed(ctx context.Context, l platform.Listed) {
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
	b.watchers[l.ID] = b.startWatcher(ctx, l.ID, l.Address)
}

// SetMembers sets the other live instances. An endpoint is in this instance's subset unless one of
// them ranks higher for the endpoint by rendezvous hash.
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

// Pick chooses an endpoint for a request and counts the request as sent to it. The caller has to
// call [Backends.Finished] afterwards. If no endpoint fits, Pick returns the error of
// [routing.View.Pick] and counts nothing.
func (b *Backends) Pick(now time.Time, r *routing.Request) (routing.Decision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, err := b.view.Pick(now, r, b.rnd)
	if err == nil {
		b.view.Sent(now, d.Endpoint.ID)
	}
	return d, err
}

// Sent counts a request as sent to an endpoint that was not picked, such as that of a stream taken
// over.
func (b *Backends) Sent(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Sent(time.Now(), id)
}

// Finished records that a request at an endpoint has ended.
func (b *Backends) Finished(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Finished(time.Now(), id)
	b.notifyChanged()
}

// Failed records that an endpoint failed a request or did not answer its status reads. The
// endpoint becomes suspected.
func (b *Backends) Failed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.noteSuspicion(now, id)
	b.view.Failed(now, id)
}

// noteSuspicion counts and logs that an endpoint becomes suspected. The caller holds b.mu.
func (b *Backends) noteSuspicion(now time.Time, id string) {
	if !b.view.Suspected(now, id) {
		b.opt.Scope.Counter("endpoints_suspected").Inc(1)
		b.opt.Log.WithField("endpoint", id).Warn("endpoint became suspected")
	}
}

// Succeeded records that an endpoint worked, which ends its suspicion.
func (b *Backends) Succeeded(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Succeeded(id)
}

// Get returns an endpoint of the view, and whether it exists.
func (b *Backends) Get(id string) (routing.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Get(id)
}

// Address returns the address of an entry of the list, even if the endpoint is outside the subset
// that this instance picks from.
func (b *Backends) Address(id string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.addresses[id]
	return a, ok
}

// List returns the current status of all endpoints of the view.
func (b *Backends) List() []routing.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.List(time.Now())
}

// DataCentreFailures returns how many endpoints the data centre of an endpoint has, and how many
// of them had their last failure between from and to.
func (b *Backends) DataCentreFailures(id string, from, to time.Time) (failed, all int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.FailuresInDataCentre(id, from, to)
}

// Slots returns the total slots of a service's endpoints that accept work.
func (b *Backends) Slots(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Slots(time.Now(), service)
}

// notifyChanged wakes up the requests that wait for free capacity. The caller holds b.mu.
func (b *Backends) notifyChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Changed returns a channel that is closed when an endpoint may have free capacity. Each such
// event needs a new call.
func (b *Backends) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

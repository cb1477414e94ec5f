package backends

import (
	"context"
	"sort"
	"time"

	"github.com/agateway/agateway/core/rendezvous"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/platform"
)

// watcher reads one endpoint's status again and again.
type watcher struct {
	address string
	stop    context.CancelFunc

	since  uint64 // last cache event seen
	boot   string
	misses int
}

// missesToSuspect is how many status reads in a row may fail.
const missesToSuspect = 2

func (b *Backends) watch(ctx context.Context, id, address string) *watcher {
	ctx, stop := context.WithCancel(ctx)
	w := &watcher{address: address, stop: stop}
	go b.poll(ctx, id, w)
	return w
}

func (b *Backends) poll(ctx context.Context, id string, w *watcher) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, b.opt.StatusTimeout)
		st, err := b.opt.Client.Status(callCtx, w.address, w.since)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			b.missed(id, w)
		} else {
			b.takeStatus(id, w, &st)
		}
		b.pause(ctx)
	}
}

// pause waits for the next turn. All reads of an instance have their turn together, which
// costs less processor time than as many wake-ups; instances differ in their phase.
func (b *Backends) pause(ctx context.Context) {
	since := time.Since(b.phase)
	t := time.NewTimer(b.opt.Poll - since%b.opt.Poll)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (b *Backends) missed(id string, w *watcher) {
	w.misses++
	b.opt.Scope.Counter("status_misses").Inc(1)
	if w.misses >= missesToSuspect {
		b.Failed(id)
	}
}

func (b *Backends) takeStatus(id string, w *watcher, st *endpoint.Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if w.misses >= missesToSuspect {
		b.view.Succeeded(id)
		b.opt.Log.WithField("endpoint", id).Info("endpoint answers again")
	}
	w.misses = 0
	b.describe(id, st)
	b.view.Report(now, id, routing.Load{Running: st.Running, Queued: st.Queued, Age: time.Duration(st.AgeMS) * time.Millisecond})
	if w.boot != st.Boot {
		if w.boot != "" {
			b.view.CacheCleared(id)
		}
		w.boot, w.since = st.Boot, 0
	}
	b.takeCacheEvents(now, id, w, st.Events)
	b.wake()
}

// describe takes the endpoint's own word.
func (b *Backends) describe(id string, st *endpoint.Status) {
	models := make([]routing.Model, 0, len(st.Models))
	for _, m := range st.Models {
		models = append(models, routing.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	if e, ok := b.view.Get(id); ok && st.Leaving && e.State != routing.Leaving {
		b.opt.Log.WithField("endpoint", id).Info("endpoint leaves")
	}
	b.view.UpdateStatus(id, st.Slots, models, st.Role, st.Leaving)
}

// takeCacheEvents applies news of the prefix cache. A gap in the numbers means that some
// were lost; entries that may be wrong expire by themselves, so a gap is only counted.
func (b *Backends) takeCacheEvents(now time.Time, id string, w *watcher, events []endpoint.CacheEvent) {
	for _, ev := range events {
		if w.since > 0 && ev.Sequence > w.since+1 {
			b.opt.Scope.Counter("cache_event_gaps").Inc(1)
		}
		w.since = max(w.since, ev.Sequence)
		if ev.Evicted {
			b.view.CacheEvicted(id, uint64(ev.Prefix))
		} else {
			b.view.CacheStored(now, id, uint64(ev.Prefix))
		}
	}
}

// chooseSubset keeps for each service the n endpoints that rank highest for this instance
// by rendezvous hash, so that connections and status reads do not grow with the fleet.
// Each endpoint is then used by about the same number of instances.
func chooseSubset(listed []platform.Listed, instance string, n int) []platform.Listed {
	if n == 0 {
		return listed
	}
	byService := map[string][]platform.Listed{}
	for _, l := range listed {
		byService[l.Service] = append(byService[l.Service], l)
	}
	var out []platform.Listed
	for _, group := range byService {
		sort.Slice(group, func(i, j int) bool {
			return rendezvous.Weight(instance, group[i].ID) > rendezvous.Weight(instance, group[j].ID)
		})
		out = append(out, group[:min(n, len(group))]...)
	}
	return out
}

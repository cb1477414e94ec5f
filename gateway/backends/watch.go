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

// watcher polls the status of one endpoint.
type watcher struct {
	address string
	stop    context.CancelFunc

	lastCacheEvent uint64 // sequence number of the last cache event received
	boot           string
	misses         int
}

// missesUntilSuspected is the number of status reads that fail in a row before the endpoint
// becomes suspected.
const missesUntilSuspected = 2

func (b *Backends) startWatcher(ctx context.Context, id, address string) *watcher {
	ctx, stop := context.WithCancel(ctx)
	w := &watcher{address: address, stop: stop}
	go b.poll(ctx, id, w)
	return w
}

func (b *Backends) poll(ctx context.Context, id string, w *watcher) {
	for ctx.Err() == nil {
		askedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, b.opt.StatusTimeout)
		st, err := b.opt.Client.Status(callCtx, w.address, w.lastCacheEvent)
		silent := callCtx.Err() != nil
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			b.countMiss(id, w, silent, askedAt)
		} else {
			b.applyStatus(id, w, &st)
		}
		b.waitForNextPoll(ctx)
	}
}

// waitForNextPoll waits until the next poll, or until ctx ends. All status reads of an instance
// happen together, since a wake-up for each costs more processor time. Instances poll at different
// times, since each counts from its own start.
func (b *Backends) waitForNextPoll(ctx context.Context) {
	since := time.Since(b.pollEpoch)
	t := time.NewTimer(b.opt.Poll - since%b.opt.Poll)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// countMiss counts a status read that failed. silent reports whether it was not answered in time, and
// askedAt is when it began.
func (b *Backends) countMiss(id string, w *watcher, silent bool, askedAt time.Time) {
	w.misses++
	b.opt.Scope.Counter("status_misses").Inc(1)
	switch {
	case silent && w.misses < missesUntilSuspected:
		b.noteSilence(id, askedAt)
	case silent:
		b.TimedOut(id, askedAt)
	case w.misses >= missesUntilSuspected:
		b.Failed(id)
	}
}

// noteSilence records a silence that is too short to suspect the endpoint.
func (b *Backends) noteSilence(id string, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.TimedOut(time.Now(), id, sentAt)
}

func (b *Backends) applyStatus(id string, w *watcher, st *endpoint.Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if w.misses >= missesUntilSuspected {
		b.view.Succeeded(id)
		b.opt.Log.WithField("endpoint", id).Info("endpoint answers again")
	}
	w.misses = 0
	b.updateEndpoint(id, st)
	b.view.Answered(now, id)
	b.view.Report(now, id, routing.Load{Running: st.Running, Queued: st.Queued, Age: time.Duration(st.AgeMS) * time.Millisecond})
	if w.boot != st.Boot {
		if w.boot != "" {
			b.view.CacheCleared(id)
		}
		w.boot, w.lastCacheEvent = st.Boot, 0
	}
	b.applyCacheEvents(now, id, w, st.Events)
	b.notifyChanged()
}

// updateEndpoint stores what the endpoint reports about itself. The caller holds b.mu.
func (b *Backends) updateEndpoint(id string, st *endpoint.Status) {
	models := make([]routing.Model, 0, len(st.Models))
	for _, m := range st.Models {
		models = append(models, routing.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	if e, ok := b.view.Get(id); ok && st.Leaving && e.State != routing.Leaving {
		b.opt.Log.WithField("endpoint", id).Info("endpoint is leaving")
	}
	b.view.UpdateStatus(id, st.Slots, models, st.Role, st.Leaving)
}

// applyCacheEvents applies the changes of the endpoint's prefix cache. A gap in the sequence
// numbers means that events were lost. It is only counted, since entries that may be wrong expire
// by themselves.
func (b *Backends) applyCacheEvents(now time.Time, id string, w *watcher, events []endpoint.CacheEvent) {
	for _, ev := range events {
		if w.lastCacheEvent > 0 && ev.Sequence > w.lastCacheEvent+1 {
			b.opt.Scope.Counter("cache_event_gaps").Inc(1)
		}
		w.lastCacheEvent = max(w.lastCacheEvent, ev.Sequence)
		if ev.Evicted {
			b.view.CacheEvicted(id, uint64(ev.Prefix))
		} else {
			b.view.CacheStored(now, id, uint64(ev.Prefix))
		}
	}
}

// chooseSubset returns, for each service, the n endpoints that rank highest for this instance by
// rendezvous hash; n = 0 returns all. The number of connections and status reads therefore does
// not grow with the fleet, and each endpoint is used by about the same number of instances.
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

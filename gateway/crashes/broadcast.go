package crashes

import (
	"context"
	"time"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/gateway/pause"
)

// Broadcasts of facts.
const (
	// broadcastGap is the least time between two broadcasts, so that changes to several requests at
	// one moment are sent together.
	broadcastGap = 20 * time.Millisecond
	// rebroadcastDelay is the time after which a fact is sent again, since datagrams get lost.
	rebroadcastDelay = 300 * time.Millisecond
	// broadcastCount is how often each fact is sent.
	broadcastCount = 3
	// gaugeInterval is how often the gauges are updated while nothing happens.
	gaugeInterval = 5 * time.Second
)

// scheduleBroadcast schedules the broadcast of what is known of a request. The caller holds mu.
func (r *Registry) scheduleBroadcast(req crashers.Subject) {
	r.broadcasts[req] = broadcastCount
	r.updateGauges(time.Now())
	notify(r.wake)
}

// notify wakes the goroutine that waits on a channel with a buffer of one, or the next that will
// wait on it. It does not block.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// updateGauges updates the gauges and hasRecords. The caller holds mu.
func (r *Registry) updateGauges(now time.Time) {
	all, stopped := r.core.Len(now)
	r.hasRecords.Store(all > 0)
	r.metrics.suspects.Update(float64(all - stopped))
	r.metrics.stopped.Update(float64(stopped))
}

// Run broadcasts changes and keeps stops in the store, until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	go r.syncStore(ctx)
	for {
		wait := gaugeInterval
		if r.broadcastNews() {
			wait = rebroadcastDelay
		}
		if !pause.UntilWoken(ctx, wait, r.wake) || !pause.For(ctx, broadcastGap) {
			return
		}
	}
}

// broadcastNews broadcasts the scheduled facts. It returns true if some of them have to be sent
// again.
func (r *Registry) broadcastNews() bool {
	r.mu.Lock()
	now := time.Now()
	var facts []crashers.Fact
	for req, times := range r.broadcasts {
		if f, ok := r.core.Fact(now, req, r.Self); ok {
			facts = append(facts, f)
		}
		if times <= 1 {
			delete(r.broadcasts, req)
		} else {
			r.broadcasts[req] = times - 1
		}
	}
	r.updateGauges(now)
	again, complete := len(r.broadcasts) > 0, r.complete
	r.mu.Unlock()
	if len(facts) > 0 {
		r.Broadcast(facts, complete)
	}
	return again
}

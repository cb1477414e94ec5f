package backends

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/agateway/agateway/core/routing"
)

const (
	// confirmSample is how many other endpoints are asked whether a silence is shared.
	confirmSample = 3
	// confirmTimeout is how long they may take to answer.
	confirmTimeout = 100 * time.Millisecond
)

// TimedOut records that an endpoint did not answer in time what was sent to it at sentAt. It becomes
// suspected, unless it shares the silence with others of its service. Some of these are asked first, since
// what is known of them may be older than the silence.
func (b *Backends) TimedOut(id string, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.view.TimedOut(time.Now(), id, sentAt) {
		b.opt.Scope.Counter("silences_shared").Inc(1)
		return
	}
	if _, listed := b.view.Get(id); !listed || b.confirming[id] {
		return
	}
	others := b.view.SampleOthers(confirmSample, id, b.rnd)
	b.confirming[id] = true
	go b.confirm(id, sentAt, others)
}

// confirm asks others whether they answer, and then suspects a silent endpoint unless they are silent too
// or it has answered meanwhile.
func (b *Backends) confirm(id string, sentAt time.Time, others []routing.Endpoint) {
	var asked sync.WaitGroup
	for i := range others {
		asked.Go(func() { b.ask(&others[i]) })
	}
	asked.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.confirming, id)
	now := time.Now()
	switch {
	case b.view.AnsweredSince(id, sentAt):
	case b.view.TimedOut(now, id, sentAt):
		b.opt.Scope.Counter("silences_shared").Inc(1)
	default:
		b.noteSuspicion(now, id)
		b.view.Silent(now, id)
	}
}

// ask reads the status of an endpoint, to learn whether it answers.
func (b *Backends) ask(e *routing.Endpoint) {
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	st, err := b.opt.Client.Status(ctx, e.Address, math.MaxUint64) // no cache events, which its watcher reads
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		b.view.Report(now, e.ID, routing.Load{Running: st.Running, Queued: st.Queued, Age: time.Duration(st.AgeMS) * time.Millisecond})
	case ctx.Err() != nil:
		b.view.TimedOut(now, e.ID, askedAt)
	}
}

package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/agateway/agateway/core/route"
)

// cutGrace is how long after a cut was found idempotent requests still wait for their endpoints.
// Open connections may live on while new ones are refused.
const cutGrace = 250 * time.Millisecond

// errCutOff is the cancellation cause of a send whose endpoint can't be reached any more.
var errCutOff = errors.New("cut off from the endpoints")

// pendingSends holds the sends of idempotent requests that can be repeated elsewhere. The zero value
// is empty. It is safe for concurrent use.
type pendingSends struct {
	mu      sync.Mutex
	last    uint64
	cancels map[uint64]context.CancelCauseFunc
}

// add adds a send, which remove removes.
func (p *pendingSends) add(cancel context.CancelCauseFunc) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancels == nil {
		p.cancels = map[uint64]context.CancelCauseFunc{}
	}
	p.last++
	id := p.last
	p.cancels[id] = cancel
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.cancels, id)
	}
}

// cancel cancels the sends up to number last.
func (p *pendingSends) cancel(last uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, cancel := range p.cancels {
		if id <= last {
			cancel(errCutOff)
		}
	}
}

func (p *pendingSends) latest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// OnCutOff is called when the instance has found out that it reaches no endpoint. Idempotent requests
// that still wait for an endpoint after a moment are passed on to peers.
func (f *Forwarder) OnCutOff() {
	last := f.pendingSends.latest()
	time.AfterFunc(cutGrace, func() {
		if f.Reach.CutOff() {
			f.pendingSends.cancel(last)
		}
	})
}

// withCutOff returns the context of a send, which is cancelled if the instance is cut off before
// answered is called, and the request may be sent elsewhere. The context lasts beyond that, as the
// rest of a long answer is read later.
func (p *plain) withCutOff(ctx context.Context) (send context.Context, answered func()) {
	if p.req.route.RetryPolicy != route.Idempotent || !p.req.replayable {
		return ctx, func() {}
	}
	send, cancel := context.WithCancelCause(ctx)
	return send, p.f.pendingSends.add(cancel)
}

package backends

import (
	"context"
	"time"
)

// cancelPauses are the times between tries to cancel a stream: its engine may be frozen
// and come back, and a stream that nobody reads is work thrown away.
var cancelPauses = []time.Duration{0, 200 * time.Millisecond, time.Second, 4 * time.Second, 15 * time.Second}

const cancelTimeout = time.Second

// Cancel drops a stream, in the background. The engine ignores it when a higher attempt
// took the stream over.
func (b *Backends) Cancel(id, stream string, attempt int) {
	address, ok := b.Address(id)
	if !ok {
		return
	}
	b.opt.Scope.Counter("streams_cancelled").Inc(1)
	go func() {
		for _, pause := range cancelPauses {
			time.Sleep(pause)
			ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
			err := b.opt.Client.Cancel(ctx, address, stream, attempt)
			done()
			if err == nil {
				return
			}
		}
		b.opt.Scope.Counter("cancels_failed").Inc(1)
	}()
}

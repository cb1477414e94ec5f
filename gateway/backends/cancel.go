package backends

import (
	"context"
	"time"
)

// cancelRetryPauses are the pauses before the attempts to cancel a stream. There are several
// because its engine may be frozen and recover, and would then go on generating a stream that
// nobody reads.
var cancelRetryPauses = []time.Duration{0, 200 * time.Millisecond, time.Second, 4 * time.Second, 15 * time.Second}

const cancelTimeout = time.Second

// Cancel ends a stream in the background. The engine ignores it if a higher attempt has taken the
// stream over. Nothing happens if the endpoint is not in the platform's list.
func (b *Backends) Cancel(id, stream string, attempt int) {
	address, ok := b.Address(id)
	if !ok {
		return
	}
	b.opt.Scope.Counter("streams_cancelled").Inc(1)
	go func() {
		for _, pause := range cancelRetryPauses {
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

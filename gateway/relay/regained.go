package relay

import (
	"context"
	"errors"

	"github.com/agateway/agateway/platform"
)

// errRegained is the cause for which a call is ended once a source answers again.
var errRegained = platform.ErrUnavailable.New("a source answers again")

// untilRegained returns a context that also ends once a source answers again after calls have failed. A call
// that began before may never be answered.
func (r *Relay) untilRegained(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func(regained <-chan struct{}) {
		select {
		case <-regained:
			cancel(errRegained)
		case <-ctx.Done():
		}
	}(r.Regained.Next())
	return ctx, func() { cancel(nil) }
}

// isEndedByRegained reports whether a call failed because a source answers again. It shows nothing of the
// one that was called.
func isEndedByRegained(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errRegained) }

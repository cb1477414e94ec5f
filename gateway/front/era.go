package front

import (
	"context"

	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/gateway/pause"
)

// onEraChange is called when the store has returned from an older copy.
func (f *Front) onEraChange(era uint64) {
	f.telemetry.Scope.Counter("store_returns_total").Inc(1)
	f.telemetry.Scope.Gauge("store_era").Update(float64(era))
	f.telemetry.Log.WithField("era", era).Warn("the store has returned from an older copy")
	select {
	case f.storeReturned <- struct{}{}:
	default: // it is waited for already
	}
}

// restoreObjects writes again what instances had written and the store has lost. The instance that asks the
// store does that, once the operator and the endpoints had the time to write theirs, until all is written.
func (f *Front) restoreObjects(ctx context.Context) {
	for {
		select {
		case <-f.storeReturned:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, follow.ReturnHold) {
			return
		}
		if f.relay.Follows() != "" {
			continue
		}
		for !f.restoreOnce(ctx) && pause.For(ctx, follow.ReturnHold) {
		}
	}
}

// restoreOnce reports whether all was written again. While the store does not answer, it makes no call.
func (f *Front) restoreOnce(ctx context.Context) bool {
	if f.storeAccess() == source.StoreUnreachable {
		return false
	}
	stopsErr := f.crashes.RestoreStops(ctx)
	entriesErr := f.exchange.RestoreEntries(ctx)
	return stopsErr == nil && entriesErr == nil
}

package front

import (
	"context"
	"time"

	"github.com/agateway/agateway/core/restoration"
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

// restoreCheckInterval is the time between two checks whether this instance is to write again what the
// store has lost.
const restoreCheckInterval = 500 * time.Millisecond

// restoreObjects writes again what instances had written and the store has lost; package restoration says
// when.
func (f *Front) restoreObjects(ctx context.Context) {
	for {
		select {
		case <-f.storeReturned:
		case <-ctx.Done():
			return
		}
		f.restoreAfterReturn(ctx)
	}
}

func (f *Front) restoreAfterReturn(ctx context.Context) {
	duty := restoration.New(time.Now().Add(follow.ReturnHold))
	for pause.For(ctx, restoreCheckInterval) {
		switch duty.Next(time.Now(), f.exchange.LongerRunning(), f.storeAnswersFleet()) {
		case restoration.Done:
			return
		case restoration.Write:
			if f.restoreOnce(ctx) {
				return
			}
			duty.Failed(time.Now())
		}
	}
}

// storeAnswersFleet reports whether the store answers this instance, or the one that it follows.
func (f *Front) storeAnswersFleet() bool {
	table, age := f.configuration.Table()
	return table != nil && age < f.keyBound()
}

// restoreOnce reports whether all was written again.
func (f *Front) restoreOnce(ctx context.Context) bool {
	stopsErr := f.crashes.RestoreStops(ctx)
	entriesErr := f.exchange.RestoreEntries(ctx)
	return stopsErr == nil && entriesErr == nil
}

package front

import (
	"context"
	"errors"

	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/gateway/restore"
)

// onEraChange is called when the store has returned from an older copy.
func (f *Front) onEraChange(era uint64) {
	f.telemetry.Scope.Counter("store_returns_total").Inc(1)
	f.telemetry.Scope.Gauge("store_era").Update(float64(era))
	f.telemetry.Log.WithField("era", era).Warn("the store has returned from an older copy")
	f.restore.StoreReturned()
}

// newRestore returns the loop that writes again what instances had written and the store has lost.
func (f *Front) newRestore() *restore.Loop {
	return restore.New(restore.Options{
		Hold: follow.ReturnHold, LongerRunning: f.exchange.LongerRunning, StoreAnswers: f.storeAnswersFleet,
		Write: func(ctx context.Context) error {
			return errors.Join(f.crashes.RestoreStops(ctx), f.exchange.RestoreEntries(ctx))
		},
	})
}

// storeAnswersFleet reports whether the store answers this instance, or the one that it follows.
func (f *Front) storeAnswersFleet() bool {
	table, age := f.configuration.Table()
	return table != nil && age < f.keyBound()
}

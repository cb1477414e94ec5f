package exchange

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// restoreInterval is the time between two entries that are written again.
const restoreInterval = 100 * time.Millisecond

// RestoreEntries writes the entries of instances again that the store has lost by returning from an older
// copy: instances that start find the others by them. One instance does that for all that it knows to be
// alive, with one list and one call for each missing entry. The error says that some are not written.
func (x *Exchange) RestoreEntries(ctx context.Context) error {
	page, err := x.Store.ListStale(ctx, platform.KindInstance)
	if err != nil {
		x.Log.WithError(err).Warn("cannot list instances to restore their entries")
		return err
	}
	listed := page.Names()
	restored := 0
	for _, p := range slices.Concat(x.Others(), []Peer{x.Self}) {
		if listed[p.ID] || ctx.Err() != nil {
			continue
		}
		created, err := x.restoreEntry(ctx, &p)
		if err != nil {
			return err
		}
		if created {
			restored++
		}
		pause.For(ctx, restoreInterval)
	}
	x.Log.WithField("listed", len(listed)).WithField("restored", restored).Info("entries of instances compared after the store returned")
	return nil
}

// restoreEntry reports whether it wrote the entry of an instance, which may be there again already.
func (x *Exchange) restoreEntry(ctx context.Context, p *Peer) (created bool, err error) {
	spec, err := json.Marshal(x.instanceEntryOf(p))
	if err != nil {
		return false, err
	}
	_, err = x.Store.Create(ctx, platform.KindInstance, p.ID, spec)
	if platform.IsConflict(err) {
		return false, nil
	}
	if err != nil {
		x.Log.WithError(err).WithField("peer", p.ID).Warn("cannot restore the entry of an instance")
	}
	return err == nil, err
}

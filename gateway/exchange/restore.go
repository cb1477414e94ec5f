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

// LongerRunning returns how many other instances that are alive have run longer than this one.
func (x *Exchange) LongerRunning() int {
	x.mu.Lock()
	self := x.members.node.Self()
	x.mu.Unlock()
	longer := 0
	for _, p := range x.Others() {
		if p.start.Before(self.Start()) {
			longer++
		}
	}
	return longer
}

// RestoreEntries writes the entries of instances again that the store has lost by returning from an older
// copy: instances that start find the others by them. This instance does that for all that it knows to be
// alive, with one list and one call for each missing entry. It leaves the others to an instance that has
// written one meanwhile. The error says that some may be missing.
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
		if err := x.restoreEntry(ctx, &p); err != nil {
			return err
		}
		restored++
		pause.For(ctx, restoreInterval)
	}
	x.Log.WithField("listed", len(listed)).WithField("restored", restored).Info("entries of instances compared after the store returned")
	return nil
}

// restoreEntry writes the entry of an instance. The error is a conflict if it is there again already.
func (x *Exchange) restoreEntry(ctx context.Context, p *Peer) error {
	spec, err := json.Marshal(x.instanceEntryOf(p))
	if err != nil {
		return err
	}
	_, err = x.Store.Create(ctx, platform.KindInstance, p.ID, spec)
	log := x.Log.WithError(err).WithField("peer", p.ID)
	switch {
	case platform.IsConflict(err):
		log.Info("the entry of an instance is restored already")
	case err != nil:
		log.Warn("cannot restore the entry of an instance")
	}
	return err
}

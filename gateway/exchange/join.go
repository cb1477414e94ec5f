package exchange

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// Pauses between tries to write the own object and read the others': they double up to joinMost, since a
// store that is away would else be asked by each instance again and again. After that the list is read again
// now and then: an instance whose hello was lost is found by it.
const (
	joinPause  = 300 * time.Millisecond
	joinMost   = 2400 * time.Millisecond
	rejoinFrom = 20 * time.Second
)

// joinAfter is how long the others may wait for this instance's entry: until it can serve, since callers who come back
// to a fleet that was killed wait for that alone. The share of a processor that is left is small then.
const joinAfter = 300 * time.Millisecond

// join makes this instance known, and finds the others.
func (x *Exchange) join(ctx context.Context) {
	select {
	case <-x.Known:
	case <-time.After(joinAfter):
	case <-ctx.Done():
	}
	x.until(ctx, x.enter)
	for ctx.Err() == nil {
		x.announce(true)
		pause.For(ctx, rejoinFrom+rand.N(rejoinFrom))
		x.until(ctx, x.findAgain)
	}
}

// enter makes sure that this instance's entry is there, and finds the others. One that starts again finds its entry as it
// left it and writes nothing: a fleet of 90 that was killed asks for 90 stale lists in place of 180 writes and 90 reads.
// One that writes reads afterwards, and not what may be old: of two that write at the same time, one at least then
// finds the other.
func (x *Exchange) enter(ctx context.Context) bool {
	own, read := x.read(ctx, x.Store.ListStale)
	if own || !read {
		return read
	}
	if !x.register(ctx) {
		return false
	}
	x.until(ctx, func(ctx context.Context) bool {
		_, read := x.read(ctx, x.Store.List)
		return read
	})
	return true
}

// findAgain finds instances that came since.
func (x *Exchange) findAgain(ctx context.Context) bool {
	_, read := x.read(ctx, x.Store.ListStale)
	return read
}

// until tries until something works.
func (x *Exchange) until(ctx context.Context, try func(context.Context) bool) {
	backoff := joinPause
	for ctx.Err() == nil && !try(ctx) {
		pause.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, joinMost)
	}
}

// entry is this instance's object in the store.
type entry struct {
	Callers    string `json:"callers"`
	Peers      string `json:"peers"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

func (x *Exchange) register(ctx context.Context) bool {
	spec, err := json.Marshal(x.self())
	if err != nil {
		x.Log.WithError(err).Error("own entry can't be encoded")
		return true
	}
	_, err = x.Store.Create(ctx, platform.KindInstance, x.Self.ID, spec)
	if platform.IsConflict(err) { // from an earlier start
		_, err = x.Store.Replace(ctx, platform.KindInstance, x.Self.ID, spec, 0)
	}
	if err != nil {
		x.Log.WithError(err).Warn("own entry not written yet")
	}
	return err == nil
}

// self returns this instance's own entry.
func (x *Exchange) self() entry {
	return entry{x.Self.Callers, x.Self.Peers, x.Self.DataCentre, x.Self.Region}
}

// read finds the other instances by a list. It tells whether this one's entry is there as it should be, and whether the
// list was to be had.
func (x *Exchange) read(ctx context.Context, list func(ctx context.Context, kind string) (platform.Page, error)) (own, read bool) {
	page, err := list(ctx, platform.KindInstance)
	if err != nil {
		x.Log.WithError(err).Warn("list of instances not read yet")
		return false, false
	}
	return x.take(&page), true
}

// take takes the entries of all instances, and tells whether this one's is among them as it should be.
func (x *Exchange) take(page *platform.Page) (own bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range page.Objects {
		var e entry
		if err := json.Unmarshal(o.Spec, &e); err != nil {
			x.Log.WithError(err).WithField("peer", o.Name).Warn("entry of an instance can't be read")
			continue
		}
		own = own || o.Name == x.Self.ID && e == x.self()
		x.table.known(Peer{ID: o.Name, Callers: e.Callers, Peers: e.Peers, DataCentre: e.DataCentre, Region: e.Region})
	}
	return own
}

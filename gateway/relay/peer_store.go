package relay

import (
	"context"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/peers"
	"github.com/agateway/agateway/platform"
)

// peerStore reads from another instance.
type peerStore struct {
	relay       *Relay
	id, address string
}

const (
	// extraWaitDivisor makes a watch of another instance wait longer than one of the store, by the
	// wait divided by it. The other instance answers when its own watch has ended, which takes a
	// little longer than the wait.
	extraWaitDivisor = 4
	// peerWatchTimeout is the time that an instance has to answer a watch, in addition to the wait.
	// An answer takes 3 ms, and a change of 200 kB on a link of 10 Mbit/s takes 160 ms.
	peerWatchTimeout = 400 * time.Millisecond
	// peerListTimeout is the time that an instance has to answer a list. A megabyte takes 0.8 s on
	// such a link.
	peerListTimeout = 1500 * time.Millisecond
)

var watchStore = peerv1connect.PeerServiceClient.WatchStore

// List implements [follow.Store].
func (r *peerStore) List(ctx context.Context, kind string) (platform.Page, error) {
	return r.call(ctx, &peerv1.WatchStoreRequest{Kind: kind, All: true}, peerListTimeout)
}

// Watch implements [follow.Store].
func (r *peerStore) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platform.Page, error) {
	wait += wait / extraWaitDivisor
	req := &peerv1.WatchStoreRequest{Kind: kind, Since: since, WaitMs: uint32(wait.Milliseconds())}
	if age, known := r.relay.Mirror.Age(kind); known {
		req.KnownAgeMs = uint32(age.Milliseconds())
	}
	return r.call(ctx, req, wait+peerWatchTimeout)
}

func (r *peerStore) call(ctx context.Context, req *peerv1.WatchStoreRequest, timeout time.Duration) (platform.Page, error) {
	resp, err := peers.Call(ctx, r.relay.Pool, r.address, timeout, watchStore, req)
	if err != nil {
		r.relay.report(func(c *source.Chooser, now time.Duration) { c.PeerFailed(now, r.id) })
		return platform.Page{}, platform.ErrUnavailable.Wrap(err, "no answer from instance %s", r.id)
	}
	if resp.Stale || resp.CutOff {
		r.relay.report(func(c *source.Chooser, now time.Duration) { c.PeerStale(now, r.id) })
	}
	if resp.Stale {
		return platform.Page{}, platform.ErrUnavailable.New("instance %s has no fresh data", r.id)
	}
	if resp.Gone {
		return platform.Page{}, platform.ErrHistoryGone.New("instance %s does not keep the changes since the revision any more", r.id)
	}
	r.relay.setStoreLatency(time.Duration(resp.StoreTookMs) * time.Millisecond)
	return decode(resp), nil
}

func decode(resp *peerv1.WatchStoreResponse) platform.Page {
	page := platform.Page{
		Revision: resp.Revision, Age: time.Duration(resp.AgeMs) * time.Millisecond, MinWait: time.Duration(resp.HeldMs) * time.Millisecond,
	}
	for _, o := range resp.Objects {
		page.Objects = append(page.Objects, platform.Object{
			Name: o.Name, Revision: o.Revision, Created: o.Created, Spec: o.Spec, Status: o.Status, Deleted: o.Deleted,
		})
	}
	return page
}

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

// remote follows another instance.
type remote struct {
	relay       *Relay
	id, address string
}

const (
	// waitMore is by which part of its wait a watch of another instance waits longer than one of the store: that
	// instance answers when its own watch has ended, which takes a little longer than the wait.
	waitMore = 4
	// watchPatience is how long an instance may take to answer a watch besides: an answer takes 3 ms, and a change
	// of 200 kB on a link of 10 Mbit/s 160 ms.
	watchPatience = 400 * time.Millisecond
	// listOfPeerPatience is the same for all objects: a megabyte takes 0.8 s on that link.
	listOfPeerPatience = 1500 * time.Millisecond
)

var watchStore = peerv1connect.PeerServiceClient.WatchStore

// List implements [follow.Store].
func (r *remote) List(ctx context.Context, kind string) (platform.Page, error) {
	return r.call(ctx, &peerv1.WatchStoreRequest{Kind: kind, All: true}, listOfPeerPatience)
}

// Watch implements [follow.Store].
func (r *remote) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platform.Page, error) {
	wait += wait / waitMore
	req := &peerv1.WatchStoreRequest{Kind: kind, Since: since, WaitMs: uint32(wait.Milliseconds())}
	if age, known := r.relay.Mirror.Age(kind); known {
		req.KnownAgeMs = uint32(age.Milliseconds())
	}
	return r.call(ctx, req, wait+watchPatience)
}

func (r *remote) call(ctx context.Context, req *peerv1.WatchStoreRequest, timeout time.Duration) (platform.Page, error) {
	resp, err := peers.Call(ctx, r.relay.Pool, r.address, timeout, watchStore, req)
	if err != nil {
		r.relay.report(func(c *source.Chooser, now time.Duration) { c.PeerFailed(now, r.id) })
		return platform.Page{}, platform.ErrUnavailable.Wrap(err, "no answer from instance %s", r.id)
	}
	if resp.Stale || resp.CutOff {
		r.relay.report(func(c *source.Chooser, now time.Duration) { c.PeerStale(now, r.id) })
	}
	if resp.Stale {
		return platform.Page{}, platform.ErrUnavailable.New("the store does not answer instance %s", r.id)
	}
	if resp.Gone {
		return platform.Page{}, platform.ErrHistoryGone.New("instance %s has forgotten", r.id)
	}
	r.relay.storeTook(time.Duration(resp.StoreTookMs) * time.Millisecond)
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

package relay

import (
	"context"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/peers"
	"github.com/agateway/agateway/platform"
)

// peerStore reads from another instance.
type peerStore struct {
	relay       *Relay
	id, address string
	// anyAge asks for lists of any age, and accepts those of earlier eras.
	anyAge bool
	// awaitFresh makes watches wait for fresh data, for freshWait at least.
	awaitFresh bool
}

const (
	// extraWaitDivisor makes a watch of another instance wait longer than one of the store, by the
	// wait divided by it. The other instance answers when its own watch has ended, which takes a
	// little longer than the wait.
	extraWaitDivisor = 4
	// freshWait is about as long as the pauses between failed calls.
	freshWait = 500 * time.Millisecond
	// peerWatchTimeout is the time that an instance has to answer a watch, in addition to the wait.
	// An answer takes 3 ms, and a change of 200 kB on a link of 10 Mbit/s takes 160 ms.
	peerWatchTimeout = 400 * time.Millisecond
	// peerListTimeout is the time that an instance has to answer with one part of a list. A
	// megabyte takes 0.8 s on such a link.
	peerListTimeout = 1500 * time.Millisecond
	// maxPartObjects is the most objects of one answer. The time that an answer takes then does not
	// grow with the number of objects in the store. A compressed endpoint takes some 50 bytes, so
	// eight followers at once get a part within 0.4 s on a link of 20 Mbit/s.
	maxPartObjects = 2000
)

var watchStore = peerv1connect.PeerServiceClient.WatchStore

// List implements [follow.Store]. It reads the list part by part.
func (r *peerStore) List(ctx context.Context, kind string) (platform.Page, error) {
	req := &peerv1.WatchStoreRequest{Kind: kind, All: true, WithRemoved: true, AnyAge: r.anyAge}
	if r.awaitFresh {
		req.WaitMs = uint32(freshWait.Milliseconds())
	}
	parts := &partList{}
	for {
		resp, page, err := r.call(ctx, req, peerListTimeout)
		if err != nil {
			return platform.Page{}, err
		}
		parts.add(&page)
		if !resp.More {
			return parts.page(&page), nil
		}
		req = &peerv1.WatchStoreRequest{Kind: kind, All: true, WithRemoved: true, AnyAge: r.anyAge, Since: resp.Revision, Era: resp.Era, ListRevision: resp.ListRevision, ListEra: resp.ListEra}
	}
}

// Watch implements [follow.Store].
func (r *peerStore) Watch(ctx context.Context, kind string, since revision.Position, wait time.Duration) (platform.Page, error) {
	wait += wait / extraWaitDivisor
	if r.awaitFresh {
		wait = max(wait, freshWait)
		waiting, cancel := r.relay.untilRegained(ctx)
		defer cancel()
		ctx = waiting
	}
	req := &peerv1.WatchStoreRequest{Kind: kind, Since: since.Revision, Era: since.Era, WaitMs: uint32(wait.Milliseconds()), AwaitFresh: r.awaitFresh}
	if age, known := r.relay.Mirror.Age(kind); known {
		req.KnownAgeMs = uint32(age.Milliseconds())
	}
	_, page, err := r.call(ctx, req, wait+peerWatchTimeout)
	return page, err
}

func (r *peerStore) call(ctx context.Context, req *peerv1.WatchStoreRequest, timeout time.Duration) (*peerv1.WatchStoreResponse, platform.Page, error) {
	req.Limit, req.AcceptsPacked = maxPartObjects, true
	resp, err := peers.Call(ctx, r.relay.Pool, r.address, timeout, watchStore, req)
	if err != nil && isEndedByRegained(ctx) {
		return nil, platform.Page{}, platform.ErrUnavailable.Wrap(err, "instance %s is not waited for", r.id)
	}
	if err != nil {
		r.relay.report(func(c *source.Chooser, now time.Duration) { c.PeerFailed(now, r.id) })
		return nil, platform.Page{}, platform.ErrUnavailable.Wrap(err, "no answer from instance %s", r.id)
	}
	if resp.Stale || resp.CutOff {
		r.relay.report(func(c *source.Chooser, now time.Duration) { c.PeerStale(now, r.id) })
	}
	if resp.Stale {
		return nil, platform.Page{}, platform.ErrUnavailable.New("instance %s has no fresh data", r.id)
	}
	if resp.Gone {
		return nil, platform.Page{}, platform.ErrHistoryGone.New("instance %s does not keep the changes since the revision any more", r.id)
	}
	r.relay.setStoreLatency(time.Duration(resp.StoreTookMs) * time.Millisecond)
	page, err := decode(resp)
	if accepted := err == nil && r.relay.acceptsEra(&page); err != nil || accepted || r.anyAge {
		return resp, page, err
	}
	r.relay.report(func(c *source.Chooser, now time.Duration) { c.PeerStale(now, r.id) })
	return nil, platform.Page{}, platform.ErrUnavailable.New("instance %s has data of an earlier era of the store", r.id)
}

// decode returns [platform.ErrUnavailable] for objects that can't be unpacked.
func decode(resp *peerv1.WatchStoreResponse) (platform.Page, error) {
	objects := resp.Objects
	if len(resp.Packed) > 0 {
		var err error
		if objects, err = unpack(resp.Packed); err != nil {
			return platform.Page{}, platform.ErrUnavailable.Wrap(err, "unusable answer of an instance")
		}
	}
	return platform.Page{
		Objects: decodeObjects(objects), Revision: resp.Revision, Age: time.Duration(resp.AgeMs) * time.Millisecond, MinWait: time.Duration(resp.HeldMs) * time.Millisecond,
		Era: resp.Era, Gap: resp.Gap, ForgottenUpTo: revision.Position{Era: resp.ForgottenEra, Revision: resp.ForgottenUpTo},
	}, nil
}

// partList joins the parts of a list. Later parts may change or remove objects of earlier ones.
type partList struct {
	objects []platform.Object
	index   map[string]int // by name; nil for a list of one part
	parts   int
	maxAge  time.Duration
}

func (l *partList) add(page *platform.Page) {
	l.parts++
	l.maxAge = max(l.maxAge, page.Age)
	if l.parts == 1 {
		l.objects = page.Objects
		return
	}
	if l.index == nil {
		l.index = make(map[string]int, 2*len(l.objects))
		for i := range l.objects {
			l.index[l.objects[i].Name] = i
		}
	}
	for _, o := range page.Objects {
		if i, known := l.index[o.Name]; known {
			l.objects[i] = o
			continue
		}
		l.index[o.Name] = len(l.objects)
		l.objects = append(l.objects, o)
	}
}

// page returns the whole list, given its last part. It counts as current as the oldest part.
func (l *partList) page(last *platform.Page) platform.Page {
	out := *last
	if l.parts == 1 {
		return out
	}
	out.Objects, out.Age, out.MinWait = l.objects, l.maxAge, 0
	return out
}

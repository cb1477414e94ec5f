// Package relay lets instances follow each other in place of the platform's store. Few instances of a data
// centre ask the store; the others ask those, so that what the store is asked grows with the number of data
// centres and not of instances.
//
// Failure modes: an instance that is followed may be cut off from the store; it says so once its knowledge is
// too old, and is left for the store itself, as one that does not answer. Nothing is proved by its word
// alone: the age that it tells counts from the beginning of the call that asked for it. An instance that the
// store does not answer asks any other that it does answer, and so goes on serving.
package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/rendezvous"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/gateway/peers"
	"github.com/agateway/agateway/platform"
)

// Server answers the instances that follow this one.
type Server struct {
	peerv1connect.UnimplementedPeerServiceHandler
	Mirror *follow.Mirror
}

// WatchStore implements the schema's service.
func (s *Server) WatchStore(ctx context.Context, r *connect.Request[peerv1.WatchStoreRequest]) (*connect.Response[peerv1.WatchStoreResponse], error) {
	var page platform.Page
	var err error
	if r.Msg.All {
		page, err = s.Mirror.List(ctx, r.Msg.Kind)
	} else {
		page, err = s.Mirror.Watch(ctx, r.Msg.Kind, r.Msg.Since, time.Duration(r.Msg.WaitMs)*time.Millisecond)
	}
	if errorx.IsOfType(err, platform.ErrHistoryGone) {
		return connect.NewResponse(&peerv1.WatchStoreResponse{Gone: true}), nil
	}
	if err != nil {
		return connect.NewResponse(&peerv1.WatchStoreResponse{Stale: true}), nil
	}
	out := &peerv1.WatchStoreResponse{Revision: page.Revision, AgeMs: uint32(page.Age.Milliseconds()) + 1}
	for _, o := range page.Objects {
		out.Objects = append(out.Objects, &peerv1.StoreObject{Name: o.Name, Revision: o.Revision, Spec: o.Spec, Deleted: o.Deleted})
	}
	return connect.NewResponse(out), nil
}

// Options of a chooser.
type Options struct {
	// Self is the name of this instance, DataCentre where it runs.
	Self, DataCentre string
	Store            follow.Store
	Others           func() []exchange.Peer
	Pool             *peers.Pool
	// Readers is how many instances of a data centre ask the store.
	Readers int
	// Timeout bounds a call besides its wait.
	Timeout time.Duration
	Clock   clock.Now
}

// Chooser decides whom this instance follows. It is safe for concurrent use.
type Chooser struct {
	Options
	mu sync.Mutex
	// direct is until when the store is asked, since another instance was of no use; around is until when
	// others are asked, since the store does not answer this instance.
	// unanswered is until when the one that asks for all is not asked, since it did not answer.
	direct, around, unanswered time.Duration
}

// New returns a chooser.
func New(o Options) *Chooser { return &Chooser{Options: o} }

// directFor is how long the store is asked after another instance was of no use: long enough for one
// that died to be left out of the announcements.
const directFor = 3 * time.Second

// aroundFor is how long others are asked after the store did not answer. It may answer this instance again
// at any time, but others know what it says at most a second later.
const aroundFor = 2 * time.Second

// Source returns whom to ask next.
func (c *Chooser) Source() follow.Store {
	c.mu.Lock()
	now := c.Clock()
	direct, around, unanswered := now < c.direct, now < c.around, now < c.unanswered
	c.mu.Unlock()
	if around {
		if r := c.anyOther(); r != nil {
			return r
		}
	}
	if r := c.outage(); r != nil && !unanswered {
		return r
	}
	if direct {
		return &store{c}
	}
	if r := c.reader(func(p *exchange.Peer) bool { return p.Ready }); r != nil {
		return r
	}
	return &store{c}
}

// reader returns the instance to follow: among those of the data centre that fit and this one, some ask
// the store, and the others spread over them. It returns nil when this instance is one that asks.
func (c *Chooser) reader(fits func(*exchange.Peer) bool) *remote {
	byID := map[string]exchange.Peer{}
	ids := []string{c.Self}
	for _, p := range c.Others() {
		if p.DataCentre == c.DataCentre && fits(&p) {
			byID[p.ID] = p
			ids = append(ids, p.ID)
		}
	}
	readers := rendezvous.Rank("readers", ids, c.Readers)
	if slices.Contains(readers, c.Self) {
		return nil
	}
	at := rendezvous.Rank(c.Self, readers, 1)[0]
	return &remote{chooser: c, address: byID[at].Peers}
}

// ownTry is how often an instance asks the store itself while it answers nobody, one in so many calls: enough
// to find out that it alone can reach it, few enough that an outage is not priced for each instance.
const ownTry = 16

// outage returns whom to ask while no instance is ready, so that the store answers nobody: the one that asks
// for all. It returns nil when some are ready, or when it is this instance's turn.
func (c *Chooser) outage() *remote {
	for _, p := range c.Others() {
		if p.Ready {
			return nil
		}
	}
	if rand.IntN(ownTry) == 0 {
		return nil
	}
	return c.reader(func(*exchange.Peer) bool { return true })
}

// anyOther returns an instance that says it is ready, so that the store answers it; nil when there is none.
func (c *Chooser) anyOther() *remote {
	var ready []exchange.Peer
	for _, p := range c.Others() {
		if p.Ready {
			ready = append(ready, p)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return &remote{chooser: c, address: ready[rand.IntN(len(ready))].Peers}
}

// otherFailed takes that another instance was of no use: the store is asked.
func (c *Chooser) otherFailed(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct, c.around = c.Clock()+directFor, 0
	if silent {
		c.unanswered = c.direct
	}
}

// storeFailed takes that the store did not answer this instance: another one is asked.
func (c *Chooser) storeFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.around = c.Clock() + aroundFor
}

// store asks the store itself.
type store struct{ chooser *Chooser }

// List implements [follow.Store].
func (s *store) List(ctx context.Context, kind string) (platform.Page, error) {
	page, err := s.chooser.Store.List(ctx, kind)
	s.noted(err)
	return page, err
}

// Watch implements [follow.Store].
func (s *store) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platform.Page, error) {
	page, err := s.chooser.Store.Watch(ctx, kind, since, wait)
	s.noted(err)
	return page, err
}

func (s *store) noted(err error) {
	if err != nil && !errorx.IsOfType(err, platform.ErrHistoryGone) {
		s.chooser.storeFailed()
	}
}

// remote follows another instance.
type remote struct {
	chooser *Chooser
	address string
}

var watchStore = peerv1connect.PeerServiceClient.WatchStore

// List implements [follow.Store].
func (r *remote) List(ctx context.Context, kind string) (platform.Page, error) {
	return r.call(ctx, &peerv1.WatchStoreRequest{Kind: kind, All: true}, 0)
}

// Watch implements [follow.Store].
func (r *remote) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platform.Page, error) {
	return r.call(ctx, &peerv1.WatchStoreRequest{Kind: kind, Since: since, WaitMs: uint32(wait.Milliseconds())}, wait)
}

func (r *remote) call(ctx context.Context, req *peerv1.WatchStoreRequest, wait time.Duration) (platform.Page, error) {
	c := r.chooser
	resp, err := peers.Call(ctx, c.Pool, r.address, wait+c.Timeout, watchStore, req)
	if err != nil {
		c.otherFailed(true)
		return platform.Page{}, platform.ErrUnavailable.Wrap(err, "no answer from the instance at %s", r.address)
	}
	if resp.Stale {
		c.otherFailed(false)
		return platform.Page{}, platform.ErrUnavailable.New("the store does not answer the instance at %s", r.address)
	}
	if resp.Gone {
		return platform.Page{}, platform.ErrHistoryGone.New("the instance at %s has forgotten", r.address)
	}
	page := platform.Page{Revision: resp.Revision, Age: time.Duration(resp.AgeMs) * time.Millisecond}
	for _, o := range resp.Objects {
		page.Objects = append(page.Objects, platform.Object{Name: o.Name, Revision: o.Revision, Spec: o.Spec, Deleted: o.Deleted})
	}
	return page, nil
}

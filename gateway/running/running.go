// Package running finds generations that run somewhere in the fleet: this instance's part
// of the directory, and the calls to the instances that hold the rest.
//
// Failure modes: a holder that does not answer is left out, and the generation begins
// anew, which costs extra work and never correctness; an entry whose owner is gone and
// whose caller does not come back leads to the cancelling of its stream.
package running

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/peers"
)

// holders is how many instances hold an entry.
const holders = 2

// Fleet is what the directory needs to know of the members.
type Fleet interface {
	Self() membership.Member
	Members() []membership.Member
	Get(id string) (membership.Member, bool)
}

// Options of a directory.
type Options struct {
	Settings directory.Settings
	Fleet    Fleet
	Pool     *peers.Pool
	Timeout  time.Duration
	Scope    tally.Scope
	// Orphan cancels a stream that nobody owns.
	Orphan func(context.Context, directory.Entry)
}

// Running is the directory of running generations. It is safe for concurrent use.
type Running struct {
	opt Options
	mu  sync.Mutex
	dir *directory.Directory
}

// New returns an empty directory.
func New(opt Options) *Running { return &Running{opt: opt, dir: directory.New(opt.Settings)} }

// Owner returns this instance as an owner.
func (r *Running) Owner() directory.Owner {
	self := r.opt.Fleet.Self()
	return directory.Owner{Instance: self.ID, Process: self.Process}
}

// expireEvery is how often entries are looked through; they are kept for seconds.
const expireEvery = time.Second

// Run lets entries expire until ctx ends.
func (r *Running) Run(ctx context.Context) {
	pause.Every(ctx, expireEvery, func() { r.expire(ctx, time.Now()) })
}

func (r *Running) expire(ctx context.Context, now time.Time) {
	r.mu.Lock()
	r.dir.StartOrphanGrace(now, r.gone)
	orphans := r.dir.Expire(now)
	r.mu.Unlock()
	for _, o := range orphans {
		r.opt.Scope.Counter("orphans_cancelled").Inc(1)
		go r.opt.Orphan(ctx, o)
	}
}

// gone tells whether an owner is dead, or was replaced by another process.
func (r *Running) gone(o directory.Owner) bool {
	m, known := r.opt.Fleet.Get(o.Instance)
	return !known || m.State == membership.Dead || m.Process != 0 && m.Process != o.Process
}

// holdersOf returns the live instances that hold a key, highest rank first.
func (r *Running) holdersOf(k directory.Key) []membership.Member {
	byID := map[string]membership.Member{}
	var ids []string
	for _, m := range r.opt.Fleet.Members() {
		if m.State == membership.Alive && (m.PeerAddress != "" || m.ID == r.opt.Fleet.Self().ID) {
			byID[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	ranked := directory.Rank(k, ids, holders)
	out := make([]membership.Member, len(ranked))
	for i, id := range ranked {
		out[i] = byID[id]
	}
	return out
}

// Register asks the holders to run a request. The highest holder that answers decides;
// when none does, it is granted.
func (r *Running) Register(ctx context.Context, e directory.Entry) (directory.Answer, directory.Entry) {
	for _, h := range r.holdersOf(e.Key) {
		if h.ID == r.opt.Fleet.Self().ID {
			return r.register(e)
		}
		resp, err := peers.Call(ctx, r.opt.Pool, h.PeerAddress, r.opt.Timeout, registerMethod, &peerv1.RegisterRequest{Entry: encode(e)})
		if err == nil {
			return directory.Answer(resp.Answer - 1), decode(resp.Entry)
		}
		r.opt.Scope.Counter("directory_misses").Inc(1)
	}
	return directory.Granted, e
}

func (r *Running) register(e directory.Entry) (directory.Answer, directory.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	a, held := r.dir.Register(now, e.Key, e.Request, e.Generation, e.Owner)
	if a == directory.Exists && held.Place.Stream == "" && r.gone(held.Owner) {
		r.dir.Finish(now, e.Key, held.Owner, false) // it never told of a stream
		return r.dir.Register(now, e.Key, e.Request, e.Generation, e.Owner)
	}
	return a, held
}

// Update tells the holders where a generation runs. It returns at once.
func (r *Running) Update(ctx context.Context, e directory.Entry) {
	for _, h := range r.holdersOf(e.Key) {
		if h.ID == r.opt.Fleet.Self().ID {
			r.update(e)
			continue
		}
		go func() {
			_, err := peers.Call(ctx, r.opt.Pool, h.PeerAddress, r.opt.Timeout, updateMethod, &peerv1.UpdatePlaceRequest{Entry: encode(e)})
			if err != nil {
				r.opt.Scope.Counter("directory_misses").Inc(1)
			}
		}()
	}
}

func (r *Running) update(e directory.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dir.Update(time.Now(), e)
}

// TakeOver asks the holders for a running generation. Only the highest holder that
// answers decides, so that of two re-asks one is fenced.
func (r *Running) TakeOver(ctx context.Context, k directory.Key, request uint64) (directory.Entry, bool) {
	req := &peerv1.TakeOverRequest{Team: k.Team, Key: k.ID, Request: request, Owner: encodeOwner(r.Owner())}
	for _, h := range r.holdersOf(k) {
		var e directory.Entry
		granted := false
		if h.ID == r.opt.Fleet.Self().ID {
			e, granted = r.takeOver(k, request, r.Owner())
		} else if resp, err := peers.Call(ctx, r.opt.Pool, h.PeerAddress, r.opt.Timeout, takeOverMethod, req); err == nil {
			e, granted = decode(resp.Entry), resp.Granted
		}
		if granted {
			return e, true
		}
	}
	return directory.Entry{}, false
}

func (r *Running) takeOver(k directory.Key, request uint64, o directory.Owner) (directory.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dir.TakeOver(time.Now(), k, request, o)
}

// Finish tells the holders that a generation ended. It returns at once.
func (r *Running) Finish(ctx context.Context, k directory.Key, complete bool) {
	req := &peerv1.FinishGenerationRequest{Team: k.Team, Key: k.ID, Owner: encodeOwner(r.Owner()), Complete: complete}
	for _, h := range r.holdersOf(k) {
		if h.ID == r.opt.Fleet.Self().ID {
			r.HandleFinish(req)
			continue
		}
		go func() {
			if _, err := peers.Call(ctx, r.opt.Pool, h.PeerAddress, r.opt.Timeout, finishMethod, req); err != nil {
				r.opt.Scope.Counter("directory_misses").Inc(1)
			}
		}()
	}
}

// HandleRegister answers a peer.
func (r *Running) HandleRegister(req *peerv1.RegisterRequest) *peerv1.RegisterResponse {
	a, e := r.register(decode(req.Entry))
	return &peerv1.RegisterResponse{Answer: peerv1.RegisterAnswer(a + 1), Entry: encode(e)}
}

// HandleUpdate answers a peer.
func (r *Running) HandleUpdate(req *peerv1.UpdatePlaceRequest) { r.update(decode(req.Entry)) }

// HandleTakeOver answers a peer.
func (r *Running) HandleTakeOver(req *peerv1.TakeOverRequest) *peerv1.TakeOverResponse {
	e, ok := r.takeOver(directory.Key{Team: req.Team, ID: req.Key}, req.Request, decodeOwner(req.Owner))
	return &peerv1.TakeOverResponse{Granted: ok, Entry: encode(e)}
}

// HandleFinish answers a peer.
func (r *Running) HandleFinish(req *peerv1.FinishGenerationRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dir.Finish(time.Now(), directory.Key{Team: req.Team, ID: req.Key}, decodeOwner(req.Owner), req.Complete)
}

var (
	registerMethod = peerv1connect.PeerServiceClient.Register
	updateMethod   = peerv1connect.PeerServiceClient.UpdatePlace
	takeOverMethod = peerv1connect.PeerServiceClient.TakeOver
	finishMethod   = peerv1connect.PeerServiceClient.FinishGeneration
)

func encodeOwner(o directory.Owner) *peerv1.Owner {
	return &peerv1.Owner{Instance: o.Instance, Process: o.Process}
}

func decodeOwner(o *peerv1.Owner) directory.Owner {
	return directory.Owner{Instance: o.GetInstance(), Process: o.GetProcess()}
}

func encode(e directory.Entry) *peerv1.Entry {
	return &peerv1.Entry{
		Team: e.Team, Key: e.ID, Request: e.Request, Generation: e.Generation, Owner: encodeOwner(e.Owner), Done: e.Done, Model: e.Model, Version: e.Version,
		Place: &peerv1.Place{Attempt: int32(e.Place.Attempt), Endpoint: e.Place.Endpoint, Stream: e.Place.Stream},
	}
}

func decode(e *peerv1.Entry) directory.Entry {
	return directory.Entry{
		Key: directory.Key{Team: e.GetTeam(), ID: e.GetKey()}, Request: e.GetRequest(), Generation: e.GetGeneration(),
		Owner: decodeOwner(e.GetOwner()), Done: e.GetDone(), Model: e.GetModel(), Version: e.GetVersion(),
		Place: directory.Place{Attempt: int(e.GetPlace().GetAttempt()), Endpoint: e.GetPlace().GetEndpoint(), Stream: e.GetPlace().GetStream()},
	}
}

// Package generations finds generations that run anywhere in the fleet. It keeps this instance's part
// of the directory and calls the instances that hold the other entries.
//
// Failure modes:
//   - A holder does not answer: it is skipped. If no holder knows a generation, the generation
//     starts again, which costs extra work and never correctness.
//   - The owner of an entry is gone and its caller does not return: the stream is cancelled.
package generations

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

// holderCount is the number of instances that hold an entry.
const holderCount = 2

// Fleet gives access to the fleet's members. Members includes Self; Get returns false for an unknown
// id.
type Fleet interface {
	Self() membership.Member
	Members() []membership.Member
	Get(id string) (membership.Member, bool)
}

// Options of a [Directory].
type Options struct {
	Settings directory.Settings
	Fleet    Fleet
	Pool     *peers.Pool
	// Timeout bounds each call to a holder.
	Timeout time.Duration
	Scope   tally.Scope
	// CancelOrphan cancels the stream of an entry whose owner is gone. It is called in a goroutine of
	// its own.
	CancelOrphan func(context.Context, directory.Entry)
}

// Directory is the directory of running generations, held in parts by all instances. It is safe for
// concurrent use.
type Directory struct {
	opt Options
	mu  sync.Mutex
	dir *directory.Directory
}

// New returns a directory whose local part is empty.
func New(opt Options) *Directory { return &Directory{opt: opt, dir: directory.New(opt.Settings)} }

// Owner returns this process as an owner of generations.
func (r *Directory) Owner() directory.Owner {
	self := r.opt.Fleet.Self()
	return directory.Owner{Instance: self.ID, Process: self.Process}
}

// expireInterval is the time between checks of all local entries, which are kept for seconds.
const expireInterval = time.Second

// Run deletes expired entries until ctx is done.
func (r *Directory) Run(ctx context.Context) {
	pause.Every(ctx, expireInterval, func() { r.expire(ctx, time.Now()) })
}

func (r *Directory) expire(ctx context.Context, now time.Time) {
	r.mu.Lock()
	r.dir.StartOrphanGrace(now, r.ownerGone)
	orphans := r.dir.Expire(now)
	r.mu.Unlock()
	for _, o := range orphans {
		r.opt.Scope.Counter("orphans_cancelled").Inc(1)
		go r.opt.CancelOrphan(ctx, o)
	}
}

// ownerGone reports whether an owner is unknown or dead, or was replaced by another process.
func (r *Directory) ownerGone(o directory.Owner) bool {
	m, known := r.opt.Fleet.Get(o.Instance)
	return !known || m.State == membership.Dead || m.Process != 0 && m.Process != o.Process
}

// holdersOf returns the live instances that hold a key, highest rank first.
func (r *Directory) holdersOf(k directory.Key) []membership.Member {
	byID := map[string]membership.Member{}
	var ids []string
	for _, m := range r.opt.Fleet.Members() {
		if m.State == membership.Alive && (m.PeerAddress != "" || m.ID == r.opt.Fleet.Self().ID) {
			byID[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	ranked := directory.Rank(k, ids, holderCount)
	out := make([]membership.Member, len(ranked))
	for i, id := range ranked {
		out[i] = byID[id]
	}
	return out
}

// Register asks the holders for permission to run a request. The highest-ranked holder that answers
// decides. When none answers, the request is granted.
func (r *Directory) Register(ctx context.Context, e directory.Entry) (directory.Answer, directory.Entry) {
	for _, h := range r.holdersOf(e.Key) {
		if h.ID == r.opt.Fleet.Self().ID {
			return r.registerLocally(e)
		}
		resp, err := peers.Call(ctx, r.opt.Pool, h.PeerAddress, r.opt.Timeout, registerMethod, &peerv1.RegisterRequest{Entry: encodeEntry(e)})
		if err == nil {
			return directory.Answer(resp.Answer - 1), decodeEntry(resp.Entry)
		}
		r.opt.Scope.Counter("directory_misses").Inc(1)
	}
	return directory.Granted, e
}

// registerLocally registers e in this instance's part. An entry that has no stream yet is replaced
// if its owner is gone.
func (r *Directory) registerLocally(e directory.Entry) (directory.Answer, directory.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	a, held := r.dir.Register(now, e.Key, e.Request, e.Generation, e.Owner)
	if a == directory.Exists && held.Place.Stream == "" && r.ownerGone(held.Owner) {
		r.dir.Finish(now, e.Key, held.Owner, false) // the owner never reported a stream
		return r.dir.Register(now, e.Key, e.Request, e.Generation, e.Owner)
	}
	return a, held
}

// Update reports to the holders where a generation runs. It does not wait for other instances.
func (r *Directory) Update(ctx context.Context, e directory.Entry) {
	for _, h := range r.holdersOf(e.Key) {
		if h.ID == r.opt.Fleet.Self().ID {
			r.updateLocally(e)
			continue
		}
		go func() {
			_, err := peers.Call(ctx, r.opt.Pool, h.PeerAddress, r.opt.Timeout, updateMethod, &peerv1.UpdatePlaceRequest{Entry: encodeEntry(e)})
			if err != nil {
				r.opt.Scope.Counter("directory_misses").Inc(1)
			}
		}()
	}
}

func (r *Directory) updateLocally(e directory.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dir.Update(time.Now(), e)
}

// TakeOver asks the holders for a running generation, to continue it with this process as its owner.
// It asks them by rank and stops at the first that grants it. Each grant of a holder has a higher
// attempt number, so that of two concurrent takeovers the engine fences off the earlier one.
func (r *Directory) TakeOver(ctx context.Context, k directory.Key, request uint64) (directory.Entry, bool) {
	req := &peerv1.TakeOverRequest{Team: k.Team, Key: k.ID, Request: request, Owner: encodeOwner(r.Owner())}
	for _, h := range r.holdersOf(k) {
		var e directory.Entry
		granted := false
		if h.ID == r.opt.Fleet.Self().ID {
			e, granted = r.takeOverLocally(k, request, r.Owner())
		} else if resp, err := peers.Call(ctx, r.opt.Pool, h.PeerAddress, r.opt.Timeout, takeOverMethod, req); err == nil {
			e, granted = decodeEntry(resp.Entry), resp.Granted
		}
		if granted {
			return e, true
		}
	}
	return directory.Entry{}, false
}

func (r *Directory) takeOverLocally(k directory.Key, request uint64, o directory.Owner) (directory.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dir.TakeOver(time.Now(), k, request, o)
}

// Finish reports to the holders that a generation ended. It does not wait for other instances.
func (r *Directory) Finish(ctx context.Context, k directory.Key, complete bool) {
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

// HandleRegister answers a peer's [Directory.Register].
func (r *Directory) HandleRegister(req *peerv1.RegisterRequest) *peerv1.RegisterResponse {
	a, e := r.registerLocally(decodeEntry(req.Entry))
	return &peerv1.RegisterResponse{Answer: peerv1.RegisterAnswer(a + 1), Entry: encodeEntry(e)}
}

// HandleUpdate answers a peer's [Directory.Update].
func (r *Directory) HandleUpdate(req *peerv1.UpdatePlaceRequest) {
	r.updateLocally(decodeEntry(req.Entry))
}

// HandleTakeOver answers a peer's [Directory.TakeOver].
func (r *Directory) HandleTakeOver(req *peerv1.TakeOverRequest) *peerv1.TakeOverResponse {
	e, ok := r.takeOverLocally(directory.Key{Team: req.Team, ID: req.Key}, req.Request, decodeOwner(req.Owner))
	return &peerv1.TakeOverResponse{Granted: ok, Entry: encodeEntry(e)}
}

// HandleFinish answers a peer's [Directory.Finish].
func (r *Directory) HandleFinish(req *peerv1.FinishGenerationRequest) {
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

func encodeEntry(e directory.Entry) *peerv1.Entry {
	return &peerv1.Entry{
		Team: e.Team, Key: e.ID, Request: e.Request, Generation: e.Generation, Owner: encodeOwner(e.Owner), Done: e.Done, Model: e.Model, Version: e.Version,
		Place: &peerv1.Place{Attempt: int32(e.Place.Attempt), Endpoint: e.Place.Endpoint, Stream: e.Place.Stream},
	}
}

func decodeEntry(e *peerv1.Entry) directory.Entry {
	return directory.Entry{
		Key: directory.Key{Team: e.GetTeam(), ID: e.GetKey()}, Request: e.GetRequest(), Generation: e.GetGeneration(),
		Owner: decodeOwner(e.GetOwner()), Done: e.GetDone(), Model: e.GetModel(), Version: e.GetVersion(),
		Place: directory.Place{Attempt: int(e.GetPlace().GetAttempt()), Endpoint: e.GetPlace().GetEndpoint(), Stream: e.GetPlace().GetStream()},
	}
}

package exchange

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// Store is where instances find each other.
type Store interface {
	// ListStale may return what is seconds old, at a tenth of the cost.
	ListStale(ctx context.Context, kind string) (platform.Page, error)
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (platform.Object, error)
	Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (platform.Object, error)
}

// Endpoints is what this instance knows of endpoints, and takes from others.
type Endpoints interface {
	// Told returns what this instance has to tell.
	Told() routing.PeerReport
	// Heard takes what another instance told, or several together did; the zero value forgets it. uses is what it has
	// counted by service, nil where that is not told.
	Heard(instance string, t routing.PeerReport, uses map[string]limits.RetryCounts)
	// Counted takes what another instance, or several together, have counted by service.
	Counted(instance string, uses map[string]limits.RetryCounts)
	// SetOwned says of which endpoints this instance hears all that others place there.
	SetOwned(owned func(endpoint string) bool)
	// Summary returns what this instance knows of an endpoint that it owns, for another instance that asks.
	Summary(endpoint, asking string, prompt uint64) (routing.Summary, bool)
	// Claim grants or refuses a claim of another instance at an endpoint that it owns, or with an empty name of this one; known is false for
	// an endpoint that is not listed here.
	Claim(endpoint, peer string, c routing.Claim) (granted, known bool)
	// Learn takes an owner's summary of an endpoint.
	Learn(s *routing.Summary, prompt uint64)
}

// Options of an exchange.
type Options struct {
	Self  Peer
	Conn  net.PacketConn
	Store Store
	// Ready tells whether callers may be sent to this instance.
	Ready func() bool
	// Access tells whether the store answers this instance.
	Access    func() source.Access
	Endpoints Endpoints
	Crashes   Crashes
	// Rollouts is nil where services are not moved to other builds.
	Rollouts Rollouts
	// Uses returns what this instance has counted, by service.
	Uses func() map[string]limits.RetryCounts
	// Clock also runs while the machine is suspended.
	Clock clock.Func
	Log   *logrus.Entry
	Scope tally.Scope
}

// Exchange is this instance's link to the others. It is safe for concurrent use.
type Exchange struct {
	Options
	process uint64 // drawn at start; it names this run of the instance
	wake    chan struct{}
	met     chan struct{}
	metOnce sync.Once

	// mu guards the members, sendMu what is announced, heardMu what others announced, and askMu the questions.
	mu      sync.Mutex
	members members
	current atomic.Pointer[roster]

	sendMu         sync.Mutex
	changed        map[string]bool // endpoints of which there is news
	sequence       uint64
	steps          int // of Run
	crashQuestions crashQuestions

	toldRepeats atomic.Uint64 // what of Uses those that sum up were told when it changed

	heardMu sync.Mutex
	heard   map[string]*heard
	sums    sums

	askMu  sync.Mutex
	asked  map[uint64]*inquiry
	claims map[uint64]chan bool
	number uint64

	metrics metrics
}

// New returns an exchange that knows only this instance.
func New(o Options) *Exchange {
	x := &Exchange{
		Options: o, process: rand.Uint64(), wake: make(chan struct{}, 1), met: make(chan struct{}),
		changed: map[string]bool{}, heard: map[string]*heard{}, sums: newSums(), asked: map[uint64]*inquiry{}, claims: map[uint64]chan bool{}, metrics: newMetrics(o.Scope),
	}
	rnd := rand.New(rand.NewPCG(x.process, x.process))
	x.members = members{node: membership.New(memberSettings(), x.self(), rnd), probes: map[uint64]probe{}}
	x.current.Store(newRoster(o.Self, nil, 0))
	return x
}

// Run takes part until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.listen(ctx)
	go x.join(ctx)
	go x.watch(ctx)
	go x.reportRollouts(ctx)
	for ctx.Err() == nil {
		x.await(ctx, x.step())
	}
}

// Met is closed when this instance has looked for the others after its start: whoever asks them from then on, and not the
// store, finds those that are there.
func (x *Exchange) Met() <-chan struct{} { return x.met }

// Changed makes the others learn soon that something has changed at some endpoints, or of this instance itself where
// none is named.
func (x *Exchange) Changed(endpoints ...string) {
	x.sendMu.Lock()
	for _, id := range endpoints {
		x.changed[id] = true
	}
	x.sendMu.Unlock()
	x.wakeUp()
}

func (x *Exchange) wakeUp() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Freed makes the owners of some endpoints learn soon that they hold less than before. Where all are told all, that waits
// for the next announcement.
func (x *Exchange) Freed(endpoints ...string) {
	if !x.current.Load().direct() {
		x.Changed(endpoints...)
	}
}

// Repeated makes those that sum up learn soon that something was sent once more. Where all are told all, that waits for the
// next announcement.
func (x *Exchange) Repeated() { x.Freed() }

// Now tells the others at once what this instance is, such as when it leaves.
func (x *Exchange) Now() { x.say() }

// Instances returns how many instances are alive, and how many are known, this one included.
func (x *Exchange) Instances() (alive, known int) {
	r := x.roster()
	return len(r.alive) + 1, r.known + 1
}

// Others returns the other instances that are alive.
func (x *Exchange) Others() []Peer { return x.roster().alive }

// Entry returns the addresses that a caller may use, nearest first.
func (x *Exchange) Entry(dataCentre, region string) []string {
	var ready []Peer
	for _, p := range x.Others() {
		if p.Ready {
			ready = append(ready, p)
		}
	}
	if x.Ready() {
		ready = append(ready, x.Self)
	}
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	sortNearest(ready, dataCentre, region)
	out := make([]string, len(ready))
	for i := range ready {
		out[i] = ready[i].Callers
	}
	return out
}

// datagramMost is the size of the receive buffer, in bytes.
const datagramMost = 8192

// readPause keeps an instance whose socket fails from spinning.
const readPause = 60 * time.Millisecond

func (x *Exchange) listen(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = x.Conn.Close() })
	buf := make([]byte, datagramMost)
	for ctx.Err() == nil {
		n, from, err := x.Conn.ReadFrom(buf)
		if err != nil {
			pause.For(ctx, readPause)
			continue
		}
		x.receive(buf[:n], from)
	}
}

// receive takes a datagram of another instance.
func (x *Exchange) receive(raw []byte, from net.Addr) {
	var d peerv1.Datagram
	if err := proto.Unmarshal(raw, &d); err != nil {
		x.metrics.malformed.Inc(1)
		return
	}
	x.metrics.received.Inc(1)
	x.metrics.receivedBytes.Inc(int64(len(raw)))
	switch body := d.Body.(type) {
	case *peerv1.Datagram_Gossip:
		x.gossiped(body.Gossip, from)
	case *peerv1.Datagram_Announcement:
		x.announced(body.Announcement)
	case *peerv1.Datagram_Digest:
		x.digested(body.Digest, raw)
	case *peerv1.Datagram_Question:
		x.answer(body.Question, from)
	case *peerv1.Datagram_Summaries:
		x.answered(body.Summaries)
	case *peerv1.Datagram_Crashes:
		x.crashed(body.Crashes, from)
	case *peerv1.Datagram_Claim:
		x.claimed(body.Claim, from)
	case *peerv1.Datagram_Grant:
		x.granted(body.Grant)
	case *peerv1.Datagram_Rollouts:
		x.toldRollouts(body.Rollouts, raw)
	default:
		x.metrics.malformed.Inc(1)
	}
}

// encode returns a datagram; nil when it can't be encoded, which is logged.
func (x *Exchange) encode(d *peerv1.Datagram) []byte {
	raw, err := proto.Marshal(d)
	if err != nil {
		x.Log.WithError(err).Error("datagram can't be encoded")
		return nil
	}
	return raw
}

// send sends a datagram to some addresses. One that can't be sent is as good as one that is lost.
func (x *Exchange) send(d *peerv1.Datagram, to ...net.Addr) {
	if raw := x.encode(d); raw != nil {
		x.sendRaw(raw, to...)
	}
}

func (x *Exchange) sendRaw(raw []byte, to ...net.Addr) {
	for _, address := range to {
		if address == nil {
			continue
		}
		if _, err := x.Conn.WriteTo(raw, address); err == nil {
			x.metrics.sent.Inc(1)
			x.metrics.sentBytes.Inc(int64(len(raw)))
		}
	}
}

package exchange

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// Pace of announcements. A stream is placed every tenth of a second or so on a small deployment, so
// what is told within changeGap of a change reaches the others before most of their own choices.
const (
	// every is the time between two announcements in calm times, of a fleet of up to smallFleet
	// instances. Larger fleets announce less often, up to everyMost: what all instances receive grows
	// with the square of their number.
	every      = 400 * time.Millisecond
	everyMost  = time.Second
	smallFleet = 12
	// changeGap is the least time between two announcements.
	changeGap = 60 * time.Millisecond
	// silenceTimes is how many announcements may be due without one being heard before an instance is
	// left out: two may be lost.
	silenceTimes = 3.5
	// nearMost and farMost are how many instances of the own data centre and of all others an
	// announcement goes to at the most. To all, what each of 300 instances sent and received took 28% of
	// its processor.
	nearMost = 40
	farMost  = 24
	// datagramMost is the size of the receive buffer, in bytes.
	datagramMost = 4096
)

// Store is where instances find each other.
type Store interface {
	List(ctx context.Context, kind string) (platform.Page, error)
	// ListStale may return what is seconds old, at a tenth of the cost.
	ListStale(ctx context.Context, kind string) (platform.Page, error)
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (platform.Object, error)
	Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (platform.Object, error)
}

// Options of an exchange.
type Options struct {
	Self  Peer
	Conn  net.PacketConn
	Store Store
	// Ready tells whether callers may be sent to this instance.
	Ready func() bool
	// Access tells whether the store answers this instance.
	Access func() source.Access
	// Known is closed at this instance's first look at routes and endpoints.
	Known <-chan struct{}
	// Own returns what this instance has to tell of endpoints, Uses what it has counted by service.
	Own  func() routing.Told
	Uses func() map[string]limits.Counted
	// Told takes what another instance tells; the zero value and nil when it fell silent.
	Told func(instance string, t routing.Told, uses map[string]limits.Counted)
	// Clock also runs while the machine is suspended.
	Clock clock.Now
	Log   *logrus.Entry
	Scope tally.Scope
}

// Exchange is this instance's link to the others. It is safe for concurrent use.
type Exchange struct {
	Options
	changed chan struct{}

	mu       sync.Mutex
	table    *table
	sequence uint64

	sent, received, malformed tally.Counter
}

// New returns an exchange that knows only this instance.
func New(o Options) *Exchange {
	return &Exchange{
		Options: o, changed: make(chan struct{}, 1), table: newTable(o.Self.ID),
		// A process that starts again goes on above what it told before.
		sequence: uint64(time.Now().UnixNano()),
		sent:     o.Scope.Counter("announcements_sent_total"), received: o.Scope.Counter("announcements_received_total"),
		malformed: o.Scope.Counter("announcements_malformed_total"),
	}
}

// Run announces and listens until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.join(ctx)
	go x.listen(ctx)
	for ctx.Err() == nil {
		x.announce(false)
		x.expire()
		x.wait(ctx)
	}
}

// wait returns when the next announcement is due.
func (x *Exchange) wait(ctx context.Context) {
	pause.For(ctx, changeGap)
	t := time.NewTimer(x.pace() - changeGap)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-x.changed:
	}
}

// pace returns the time between two announcements.
func (x *Exchange) pace() time.Duration {
	_, known := x.Instances()
	return pace(known)
}

func pace(instances int) time.Duration {
	if instances <= smallFleet {
		return every
	}
	return min(time.Duration(float64(every)*math.Sqrt(float64(instances)/smallFleet)), everyMost)
}

// Changed makes the next announcement come soon.
func (x *Exchange) Changed() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// Now announces at once, such as when this instance leaves.
func (x *Exchange) Now() { x.announce(false) }

// Instances returns from how many instances was heard lately, and how many are known, this one included.
func (x *Exchange) Instances() (heard, known int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known = len(x.table.records) + 1
	since := x.Clock() - time.Duration(silenceTimes*float64(pace(known)))
	return x.table.lately(since) + 1, known
}

// Others returns the other instances that are heard from.
func (x *Exchange) Others() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.alive()
}

// Entry returns the addresses that a caller may use, nearest first.
func (x *Exchange) Entry(dataCentre, region string) []string {
	peers := x.Others()
	if x.Ready() {
		peers = append(peers, x.Self)
		peers[len(peers)-1].Ready = true
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	sortNearest(peers, dataCentre, region)
	var out []string
	for _, p := range peers {
		if p.Ready {
			out = append(out, p.Callers)
		}
	}
	return out
}

// announce tells all others what this instance is and has placed.
func (x *Exchange) announce(hello bool) {
	a := encode(x.Own(), x.Uses())
	a.Ready, a.Hello, a.Store = x.Ready(), hello, peerv1.StoreAccess(x.Access())
	a.Instance, a.Callers, a.Peers = x.Self.ID, x.Self.Callers, x.Self.Peers
	a.DataCentre, a.Region = x.Self.DataCentre, x.Self.Region
	x.mu.Lock()
	x.sequence++
	a.Sequence = x.sequence
	addresses := x.table.addresses(x.Self.DataCentre, rand.Shuffle)
	x.mu.Unlock()
	raw, err := proto.Marshal(a)
	if err != nil {
		x.Log.WithError(err).Error("announcement can't be encoded")
		return
	}
	for _, to := range addresses {
		x.send(raw, to)
	}
}

func (x *Exchange) send(raw []byte, to string) {
	address, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		x.Log.WithError(err).WithField("address", to).Warn("address of an instance can't be read")
		return
	}
	// A datagram that is not sent is as good as one that is lost: the next makes it good.
	if _, err := x.Conn.WriteTo(raw, address); err == nil {
		x.sent.Inc(1)
	}
}

func (x *Exchange) listen(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = x.Conn.Close() })
	buf := make([]byte, datagramMost)
	for ctx.Err() == nil {
		n, _, err := x.Conn.ReadFrom(buf)
		if err != nil {
			pause.For(ctx, changeGap)
			continue
		}
		x.receive(buf[:n])
	}
}

// receive takes an announcement of another instance.
func (x *Exchange) receive(raw []byte) {
	var a peerv1.Announcement
	if err := proto.Unmarshal(raw, &a); err != nil || a.Instance == "" {
		x.malformed.Inc(1)
		return
	}
	x.received.Inc(1)
	p := Peer{ID: a.Instance, Callers: a.Callers, Peers: a.Peers, DataCentre: a.DataCentre, Region: a.Region, Ready: a.Ready, Store: source.Access(a.Store)}
	x.mu.Lock()
	before := x.table.records[p.ID]
	came := before == nil || !before.alive
	turned := before != nil && before.alive && before.Ready != p.Ready
	news := x.table.heard(x.Clock(), p, a.Sequence)
	x.mu.Unlock()
	if !news {
		return
	}
	if came || turned {
		x.Log.WithFields(logrus.Fields{"peer": p.ID, "ready": p.Ready, "data_centre": p.DataCentre}).Info("peer heard")
	}
	told, uses := decode(&a)
	x.Told(p.ID, told, uses)
	if a.Hello {
		x.Changed()
	}
}

// silence returns how long an instance of a data centre may say nothing: longer where announcements go to
// some only.
func (x *Exchange) silence() func(dataCentre string) time.Duration {
	step := silenceTimes * float64(pace(len(x.table.records)+1))
	near, far := x.table.sizes(x.Self.DataCentre)
	times := func(all, most int) time.Duration {
		if near+far <= nearMost+farMost {
			return time.Duration(step)
		}
		return time.Duration(step * max(float64(all)/float64(most), 1))
	}
	return func(dataCentre string) time.Duration {
		if dataCentre == x.Self.DataCentre {
			return times(near, nearMost)
		}
		return times(far, farMost)
	}
}

// expire forgets what instances placed that have fallen silent.
func (x *Exchange) expire() {
	x.mu.Lock()
	gone := x.table.expire(x.Clock(), x.silence())
	x.mu.Unlock()
	for _, id := range gone {
		x.Log.WithField("peer", id).Warn("peer silent")
		x.Told(id, routing.Told{}, nil)
	}
}

package exchange

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/reachability"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/unusable"
	"github.com/agateway/agateway/platform"
)

// Store holds the list of instances, through which they find each other.
type Store interface {
	// ListStale may return a list that is some seconds old, at a tenth of the cost of a current
	// one.
	ListStale(ctx context.Context, kind string) (platform.Page, error)
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (platform.Object, error)
	Replace(ctx context.Context, kind, name string, spec json.RawMessage, condition revision.Position) (platform.Object, error)
}

// Endpoints holds what this instance knows of endpoints.
type Endpoints interface {
	// OwnReport returns what this instance reports to the others.
	OwnReport() routing.PeerReport
	// SetPeerReport replaces the report of another instance, or the digest of a data centre under
	// the name of [digestPeerName]. The zero report removes it. counts is what the sender has
	// counted by service; nil where that is not reported.
	SetPeerReport(instance string, report routing.PeerReport, counts map[string]limits.RetryCounts)
	// SetPeerCounts takes what another instance, or a data centre, has counted by service, and
	// keeps its report as it is.
	SetPeerCounts(instance string, counts map[string]limits.RetryCounts)
	// SetOwned sets the endpoints of which this instance receives all placements.
	SetOwned(owned func(endpoint string) bool)
	// Summary returns what this instance knows of an endpoint that it owns, for the instance that
	// asks; false if the endpoint is not listed here. prompt is the hash of the prompt asked about;
	// 0 for none.
	Summary(endpoint, asking string, prompt uint64) (routing.Summary, bool)
	// Claim grants or refuses room at an endpoint that this instance owns. peer is the instance
	// that claims it; empty for this one.
	Claim(endpoint, peer string, c routing.Claim) routing.Grant
	// ReleaseRoom takes what became of a request that was granted room at a fragile endpoint.
	ReleaseRoom(endpoint string, l admission.Lease, o admission.Outcome)
	// DropLeases drops the room that another instance holds at fragile endpoints.
	DropLeases(instance string)
	// ReportLimits takes the limits of endpoints that another instance reported.
	ReportLimits(limits map[string]admission.Statement)
	// KnownLimits returns the limits that an instance that starts has to know: one fragile endpoint of each service,
	// and those that state a rate.
	KnownLimits() map[string]admission.Statement
	// ApplySummary takes an owner's summary of an endpoint. prompt is the hash of the prompt that
	// was asked about; 0 for none.
	ApplySummary(s *routing.Summary, prompt uint64)
}

// Options configures an Exchange.
type Options struct {
	Self  Peer
	Conn  net.PacketConn
	Store Store
	// Ready reports whether callers may be sent to this instance.
	Ready func() bool
	// StoreAccess reports whether the store answers this instance.
	StoreAccess func() source.Access
	// EndpointAccess reports whether this instance reaches the endpoints; nil where it does not
	// tell.
	EndpointAccess func() reachability.Access
	Endpoints      Endpoints
	Crashes        Crashes
	// Rollouts is nil where services are not moved to other builds.
	Rollouts Rollouts
	// Queues is nil where instances share no queues.
	Queues Queues
	// Retries is nil where instances share no bound on retries. RetryWindow is the length of its window.
	Retries     Retries
	RetryWindow time.Duration
	// ServiceCounts returns what this instance has counted since its start, by service.
	ServiceCounts func() map[string]limits.RetryCounts
	// Clock also runs while the machine is suspended.
	Clock clock.Func
	Log   *logrus.Entry
	Scope tally.Scope
	// Unusable gets the objects of the store that can't be decoded; nil for none.
	Unusable *unusable.Entries
}

// Exchange tells the other instances what this instance knows, and receives what they know. It is
// safe for concurrent use.
type Exchange struct {
	Options
	process       uint64 // drawn at random at start; identifies this run of the instance
	changeSignal  chan struct{}
	discoveryDone chan struct{}
	discoveryOnce sync.Once

	// mu guards the members, sendMu what is to be announced, announcementsMu the announcements
	// received and the aggregate, and requestMu the questions and claims in progress.
	mu            sync.Mutex
	members       members
	spreader      spreader
	currentRoster atomic.Pointer[roster]

	sendMu           sync.Mutex
	changedEndpoints map[string]bool // endpoints with changes to announce
	sequence         uint64
	announceRounds   int // used by Run only
	lastAnnounced    int // bytes of the last announcement to all, used by Run only
	joins            int // calls of join, which only joinFleet makes
	crashQuestions   crashQuestions
	retryQuestions   retryQuestions
	// historyHeard is set once a whole answer to these questions has come.
	historyHeard atomic.Bool

	reports *retryReports

	announcedRetries atomic.Uint64 // retries in ServiceCounts at the last announcement of changes

	announcementsMu sync.Mutex
	announcements   map[string]*receivedAnnouncement
	aggregate       aggregate

	requestMu      sync.Mutex
	pendingQueries map[uint64]*ownerQuery
	pendingClaims  map[uint64]chan routing.Grant
	// heldRoom holds the owners that granted room at fragile endpoints, or were asked for it, by
	// endpoint and number of the claim.
	heldRoom    map[string]map[uint64]string
	lastRequest uint64

	metrics metrics
}

// New returns an exchange that knows only this instance. It sends and receives nothing before Run.
func New(o Options) *Exchange {
	x := &Exchange{
		Options: o, process: rand.Uint64(), changeSignal: make(chan struct{}, 1), discoveryDone: make(chan struct{}),
		changedEndpoints: map[string]bool{}, announcements: map[string]*receivedAnnouncement{}, aggregate: newAggregate(), pendingQueries: map[uint64]*ownerQuery{}, pendingClaims: map[uint64]chan routing.Grant{}, heldRoom: map[string]map[uint64]string{}, metrics: newMetrics(o.Scope), reports: newRetryReports(o.Self.ID),
	}
	rnd := rand.New(rand.NewPCG(x.process, x.process))
	x.members = members{node: membership.New(memberSettings(), x.initialMember(), rnd), probes: map[uint64]probe{}}
	x.spreader = newSpreader()
	if x.RetryWindow <= 0 {
		x.RetryWindow = defaultRetryWindow
	}
	x.currentRoster.Store(newRoster(o.Self, nil, 0, nil))
	return x
}

// defaultRetryWindow is used where the options give no window.
const defaultRetryWindow = 10 * time.Second

// Run exchanges datagrams with the other instances until ctx ends. Then it closes Conn.
func (x *Exchange) Run(ctx context.Context) {
	go x.listen(ctx)
	go x.joinFleet(ctx)
	go x.monitorMembers(ctx)
	go x.reportRollouts(ctx)
	go x.runSpreader(ctx)
	go x.answerJoins(ctx)
	go x.reportRetries(ctx)
	for ctx.Err() == nil {
		x.awaitNextAnnouncement(ctx, x.announceDue())
	}
}

// DiscoveryDone returns a channel that is closed when this instance has looked for the others after
// its start. From then on, those of them that are alive can be asked in place of the store.
func (x *Exchange) DiscoveryDone() <-chan struct{} { return x.discoveryDone }

// Changed makes the others learn soon that something has changed at some endpoints, or at this
// instance itself where none is named.
func (x *Exchange) Changed(endpoints ...string) {
	x.sendMu.Lock()
	for _, id := range endpoints {
		x.changedEndpoints[id] = true
	}
	x.sendMu.Unlock()
	x.signalChange()
}

func (x *Exchange) signalChange() { signal(x.changeSignal) }

// Freed makes the owners of some endpoints learn soon that the endpoints hold less than before. In
// a full mesh that waits for the next announcement.
func (x *Exchange) Freed(endpoints ...string) {
	if !x.currentRoster.Load().fullMesh() {
		x.Changed(endpoints...)
	}
}

// PublishStatus tells the others at once if this instance's readiness or store access has changed,
// such as when it leaves.
func (x *Exchange) PublishStatus() { x.broadcastIfChanged() }

// Instances returns how many instances are alive and how many are known, including this one.
func (x *Exchange) Instances() (alive, known int) {
	r := x.roster()
	return len(r.alive) + 1, r.knownCount + 1
}

// Others returns the other instances that are alive.
func (x *Exchange) Others() []Peer { return x.roster().alive }

// Helpers returns the other instances that can serve requests for this one.
func (x *Exchange) Helpers() []Peer {
	return slices.DeleteFunc(slices.Clone(x.Others()), func(p Peer) bool { return !p.Ready || p.Endpoints != reachability.AccessReached })
}

// EntryAddresses returns the addresses that a caller in the given data centre and region may use,
// nearest first. Equally near ones are in random order. Instances that are cut off from the
// endpoints are left out, unless all are.
func (x *Exchange) EntryAddresses(dataCentre, region string) []string {
	var ready []Peer
	for _, p := range x.Others() {
		if p.Ready {
			ready = append(ready, p)
		}
	}
	if x.Ready() {
		self := x.Self
		self.Endpoints = x.endpointAccess()
		ready = append(ready, self)
	}
	cutOff := func(p Peer) bool { return p.Endpoints == reachability.AccessCutOff }
	if connected := slices.DeleteFunc(slices.Clone(ready), cutOff); len(connected) > 0 {
		ready = connected
	}
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	sortByDistance(ready, dataCentre, region)
	out := make([]string, len(ready))
	for i := range ready {
		out[i] = ready[i].Callers
	}
	return out
}

func (x *Exchange) endpointAccess() reachability.Access {
	if x.EndpointAccess == nil {
		return reachability.AccessUnknown
	}
	return x.EndpointAccess()
}

// receiveBufferBytes is the size of the receive buffer.
const receiveBufferBytes = 8192

// readErrorPause is the pause after a failed read. It keeps an instance whose socket fails from
// spinning.
const readErrorPause = 60 * time.Millisecond

func (x *Exchange) listen(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = x.Conn.Close() })
	buf := make([]byte, receiveBufferBytes)
	for ctx.Err() == nil {
		n, from, err := x.Conn.ReadFrom(buf)
		if err != nil {
			pause.For(ctx, readErrorPause)
			continue
		}
		x.receive(buf[:n], from)
	}
}

// receive handles a datagram of another instance. One that can't be decoded is counted and dropped.
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
		x.receiveGossip(body.Gossip, from)
	case *peerv1.Datagram_Announcement:
		x.receiveAnnouncement(body.Announcement, from)
	case *peerv1.Datagram_Digest:
		x.receiveDigest(body.Digest, raw)
	case *peerv1.Datagram_Question:
		x.answerQuestion(body.Question, from)
	case *peerv1.Datagram_Summaries:
		x.receiveSummaries(body.Summaries)
	case *peerv1.Datagram_Crashes:
		x.receiveCrashes(body.Crashes, from)
	case *peerv1.Datagram_Claim:
		x.answerClaim(body.Claim, from)
	case *peerv1.Datagram_Grant:
		x.receiveGrant(body.Grant)
	case *peerv1.Datagram_Release:
		x.receiveRelease(body.Release)
	case *peerv1.Datagram_Rollouts:
		x.receiveRollouts(body.Rollouts, raw)
	case *peerv1.Datagram_QueueUpdate:
		x.receiveQueueUpdate(body.QueueUpdate)
	case *peerv1.Datagram_RetryHistory:
		x.receiveRetryHistory(body.RetryHistory, from)
	case *peerv1.Datagram_RetryReport:
		x.receiveRetryReport(body.RetryReport, raw, from)
	case *peerv1.Datagram_QueueState:
		x.receiveQueueState(body.QueueState)
	default:
		x.metrics.malformed.Inc(1)
	}
}

// marshal returns an encoded datagram; nil when it can't be encoded, which is logged.
func (x *Exchange) marshal(d *peerv1.Datagram) []byte {
	raw, err := proto.Marshal(d)
	if err != nil {
		x.Log.WithError(err).Error("datagram can't be encoded")
		return nil
	}
	return raw
}

// send sends a datagram to some addresses; nil addresses are skipped. An error of the socket is
// ignored: the effect is that of a lost datagram.
func (x *Exchange) send(d *peerv1.Datagram, to ...net.Addr) {
	if raw := x.marshal(d); raw != nil {
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

// Package fleet runs the membership protocol between instances. It exchanges heartbeats, which also
// carry each instance's use of shared limits, and selects the instances that callers should use.
// The platform's list and the seeds from the settings are only used to find peers.
//
// Failure modes:
//   - A peer does not answer: it is suspected, and soon callers are no longer sent to it.
//   - This instance can't reach any other: it goes on alone. It keeps to its share of the shared
//     limits until it has declared the others dead, and then counts as the only live member.
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/gateway/peers"
)

// Stats are the statistics of this instance that its heartbeats carry.
type Stats struct {
	OpenRequests uint32
	ConfigDigest uint64
	// Usage is the use of shared limits, by key.
	Usage map[string]limits.Usage
}

// Options of a [Fleet].
type Options struct {
	Self     membership.Member
	Settings membership.Settings
	// Timeout bounds each heartbeat. An indirect ping has twice the time.
	Timeout time.Duration
	// Seeds are the peer addresses that are asked for all members at the start.
	Seeds []string
	Pool  *peers.Pool
	Log   *logrus.Entry
	Scope tally.Scope
	// Stats returns the current statistics. It is called once per interval and for each
	// heartbeat received.
	Stats func() Stats
	// OnConfigMismatch is called after a heartbeat with a peer whose configuration differs; nil
	// for no call.
	OnConfigMismatch func(peer membership.Member)
}

// Fleet is this instance's member of the fleet. It is safe for concurrent use.
type Fleet struct {
	opt Options

	mu    sync.Mutex
	node  *membership.Node
	rnd   *rand.Rand
	usage usageTable
	// othersUsage is the sum of the other members' usage, by limit.
	othersUsage  map[string]limits.Usage
	usageSummary limits.FleetUsage // Others is not set

	heartbeatsMissed, heartbeatsSent tally.Counter
}

// New returns a fleet whose only member is this instance.
func New(opt Options) *Fleet {
	rnd := rand.New(rand.NewPCG(opt.Self.Process, opt.Self.Incarnation))
	return &Fleet{
		opt: opt, node: membership.New(opt.Settings, opt.Self, rnd), rnd: rnd,
		usage:            usageTable{reports: map[string]*usageReport{}},
		heartbeatsMissed: opt.Scope.Counter("heartbeats_missed"), heartbeatsSent: opt.Scope.Counter("heartbeats"),
	}
}

// Run sends heartbeats until ctx is done.
func (f *Fleet) Run(ctx context.Context) {
	f.join(ctx)
	timer := time.NewTimer(f.opt.Settings.Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			f.tick(ctx, now)
		}
		timer.Reset(f.interval())
	}
}

func (f *Fleet) interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Interval()
}

// join asks the seeds for all members.
func (f *Fleet) join(ctx context.Context) {
	for _, s := range f.opt.Seeds {
		f.sendHeartbeat(ctx, membership.Member{PeerAddress: s}, true)
	}
}

// Seed adds members from the platform's list.
func (f *Fleet) Seed(members []membership.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		f.node.Seed(time.Now(), m)
	}
}

func (f *Fleet) tick(ctx context.Context, now time.Time) {
	for _, a := range f.advance(now) {
		go f.execute(ctx, a)
	}
	f.logChanges()
}

// advance advances the membership protocol by one interval and returns the pings to send.
func (f *Fleet) advance(now time.Time) []membership.Action {
	stats := f.opt.Stats()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.SetStats(stats.OpenRequests, stats.ConfigDigest)
	f.usage.setOwn(f.node.Self().ID, now, stats.Usage)
	actions := f.node.Tick(now)
	f.updateOthersUsage()
	return actions
}

// execute sends a ping or an indirect ping. Indirect pings follow a ping without an answer.
func (f *Fleet) execute(ctx context.Context, a membership.Action) {
	switch a := a.(type) {
	case membership.Ping:
		if f.sendHeartbeat(ctx, a.To, a.To.Incarnation == 0) {
			return
		}
		f.heartbeatsMissed.Inc(1)
		f.mu.Lock()
		next := f.node.Missed(time.Now(), a.To.ID)
		f.mu.Unlock()
		for _, n := range next {
			go f.execute(ctx, n)
		}
	case membership.IndirectPing:
		f.pingIndirectly(ctx, a)
	}
	f.logChanges()
}

// sendHeartbeat exchanges a heartbeat with a peer and reports whether the peer answered. With full
// set, the peer answers with all members that it knows.
func (f *Fleet) sendHeartbeat(ctx context.Context, to membership.Member, full bool) bool {
	f.heartbeatsSent.Inc(1)
	resp, err := peers.Call(ctx, f.opt.Pool, to.PeerAddress, f.opt.Timeout, heartbeatMethod, f.newRequest(to, full))
	if err != nil {
		return false
	}
	f.mergeResponse(time.Now(), to, resp)
	return true
}

func (f *Fleet) newRequest(to membership.Member, full bool) *peerv1.HeartbeatRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &peerv1.HeartbeatRequest{
		From: f.node.Self().ID, Members: peers.EncodeMembers(f.node.Updates(to.ID)),
		Usage: f.usage.reportsToSend(f.node.Self().ID, f.rnd), Configuration: f.node.Self().ConfigDigest, Full: full,
	}
}

// mergeResponse merges the answer to a heartbeat.
func (f *Fleet) mergeResponse(now time.Time, from membership.Member, resp *peerv1.HeartbeatResponse) {
	f.mu.Lock()
	f.node.Answered(from.ID)
	f.node.Receive(now, peers.DecodeMembers(resp.Members))
	f.usage.merge(f.node.Self().ID, now, resp.Usage)
	mismatch := resp.Configuration != f.node.Self().ConfigDigest
	f.mu.Unlock()
	if mismatch && f.opt.OnConfigMismatch != nil {
		f.opt.OnConfigMismatch(from)
	}
}

// pingIndirectly asks a peer to ping a member that this instance could not reach.
func (f *Fleet) pingIndirectly(ctx context.Context, a membership.IndirectPing) {
	req := &peerv1.IndirectPingRequest{Target: peers.EncodeMember(&a.Target)}
	resp, err := peers.Call(ctx, f.opt.Pool, a.Via.PeerAddress, 2*f.opt.Timeout, indirectPingMethod, req)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && resp.Reached {
		f.node.Answered(a.Target.ID)
		f.node.Receive(time.Now(), peers.DecodeMembers(resp.Members))
		return
	}
	f.node.MissedIndirect(time.Now(), a.Target.ID)
}

// HandleHeartbeat answers a peer's heartbeat.
func (f *Fleet) HandleHeartbeat(req *peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse {
	now := time.Now()
	stats := f.opt.Stats()
	f.mu.Lock()
	f.node.SetStats(stats.OpenRequests, stats.ConfigDigest)
	f.node.Receive(now, peers.DecodeMembers(req.Members))
	f.usage.merge(f.node.Self().ID, now, req.Usage)
	out := f.node.Updates(req.From)
	if req.Full {
		out = f.node.Members()
	}
	from, known := f.node.Get(req.From)
	f.updateOthersUsage()
	resp := &peerv1.HeartbeatResponse{
		Members: peers.EncodeMembers(out), Usage: f.usage.reportsToSend(f.node.Self().ID, f.rnd), Configuration: f.node.Self().ConfigDigest,
	}
	f.mu.Unlock()
	f.logChanges()
	if known && req.Configuration != resp.Configuration && f.opt.OnConfigMismatch != nil {
		f.opt.OnConfigMismatch(from)
	}
	return resp
}

// HandleIndirectPing pings a member for a peer that can't reach it.
func (f *Fleet) HandleIndirectPing(ctx context.Context, req *peerv1.IndirectPingRequest) *peerv1.IndirectPingResponse {
	target := peers.DecodeMember(req.Target)
	reached := f.sendHeartbeat(ctx, target, false)
	m, ok := f.Get(target.ID)
	if !ok {
		return &peerv1.IndirectPingResponse{Reached: reached}
	}
	return &peerv1.IndirectPingResponse{Reached: reached, Members: []*peerv1.Member{peers.EncodeMember(&m)}}
}

// Leave marks this instance as leaving, so that it gets no new work. It sends a heartbeat to all
// other live members and returns when each has answered or failed.
func (f *Fleet) Leave(ctx context.Context) {
	f.mu.Lock()
	f.node.Leave()
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range f.Others() {
		wg.Go(func() { f.sendHeartbeat(ctx, m, false) })
	}
	wg.Wait()
}

// Self returns this instance's own entry.
func (f *Fleet) Self() membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Self()
}

// Members returns all members, this instance included.
func (f *Fleet) Members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Members()
}

// Get returns a member, and false if id is unknown.
func (f *Fleet) Get(id string) (membership.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Get(id)
}

// Others returns the other members that are alive and have a peer address.
func (f *Fleet) Others() []membership.Member {
	self := f.Self().ID
	var out []membership.Member
	for _, m := range f.Members() {
		if m.ID != self && m.State == membership.Alive && m.PeerAddress != "" {
			out = append(out, m)
		}
	}
	return out
}

// Sample returns up to n of [Fleet.Others], chosen at random.
func (f *Fleet) Sample(n int) []membership.Member {
	out := f.Others()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// EntryMembers returns the instances that a caller in a data centre should use, best first. An empty
// dataCentre stands for that of this instance.
func (f *Fleet) EntryMembers(dataCentre string) []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if dataCentre == "" {
		dataCentre = f.node.Self().DataCentre
	}
	return membership.EntryMembers(f.node.Members(), dataCentre, f.rnd)
}

// Usage returns the other members' use of a limit, as of the last interval or heartbeat received.
func (f *Fleet) Usage(key string) limits.FleetUsage {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.usageSummary
	out.Others = f.othersUsage[key]
	return out
}

func (f *Fleet) updateOthersUsage() {
	f.othersUsage, f.usageSummary = f.usage.sumOthers(f.node.Self().ID, f.node.Members())
}

// logChanges logs the changes of members since its last call.
func (f *Fleet) logChanges() {
	f.mu.Lock()
	changes := f.node.Changes()
	f.mu.Unlock()
	for _, c := range changes {
		f.opt.Log.WithFields(logrus.Fields{"member": c.Member.ID, "state": c.Member.State.String(), "leaving": c.Member.Leaving}).Info("member changed")
	}
}

var (
	heartbeatMethod    = peerv1connect.PeerServiceClient.Heartbeat
	indirectPingMethod = peerv1connect.PeerServiceClient.IndirectPing
)

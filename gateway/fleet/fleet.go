// Package fleet keeps this instance in touch with the others: heartbeats, what each uses
// of shared limits, and the answer to callers who ask which instance to use.
//
// Failure modes: a peer that does not answer is suspected and soon left out of entry
// answers; an instance that is cut off from all goes on alone, with its equal share of
// the limits. The platform's list and the seeds of the settings are only used to find
// peers.
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

// Figures are what this instance tells of itself.
type Figures struct {
	Open          uint32
	Configuration uint64
	// Usage of shared limits, by key.
	Usage map[string]limits.Usage
}

// Options of a fleet.
type Options struct {
	Self     membership.Member
	Settings membership.Settings
	Timeout  time.Duration
	Seeds    []string
	Pool     *peers.Pool
	Log      *logrus.Entry
	Scope    tally.Scope
	// Figures is asked before each heartbeat.
	Figures func() Figures
	// Behind is called when a peer has another configuration.
	Behind func(peer membership.Member)
}

// Fleet is this instance's place among the others. It is safe for concurrent use.
type Fleet struct {
	opt Options

	mu    sync.Mutex
	node  *membership.Node
	rnd   *rand.Rand
	usage usageTable
	// others is the sum of the others' usage, by limit.
	others map[string]limits.Usage
	known  limits.FleetUsage // without a usage

	misses, beats tally.Counter
}

// New returns a fleet that knows only this instance.
func New(opt Options) *Fleet {
	rnd := rand.New(rand.NewPCG(opt.Self.Process, opt.Self.Incarnation))
	return &Fleet{
		opt: opt, node: membership.New(opt.Settings, opt.Self, rnd), rnd: rnd,
		usage:  usageTable{reports: map[string]*usageReport{}},
		misses: opt.Scope.Counter("heartbeats_missed"), beats: opt.Scope.Counter("heartbeats"),
	}
}

// Run sends heartbeats until ctx ends.
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
		f.beat(ctx, membership.Member{PeerAddress: s}, true)
	}
}

// Seed adds members that the platform lists.
func (f *Fleet) Seed(members []membership.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		f.node.Seed(time.Now(), m)
	}
}

func (f *Fleet) tick(ctx context.Context, now time.Time) {
	for _, a := range f.step(now) {
		go f.do(ctx, a)
	}
	f.logChanges()
}

// step lets one interval pass, and returns whom to ping.
func (f *Fleet) step(now time.Time) []membership.Action {
	fig := f.opt.Figures()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.SetStats(fig.Open, fig.Configuration)
	f.usage.own(f.node.Self().ID, now, fig.Usage)
	actions := f.node.Tick(now)
	f.addUsage()
	return actions
}

func (f *Fleet) do(ctx context.Context, a membership.Action) {
	switch a := a.(type) {
	case membership.Ping:
		if f.beat(ctx, a.To, a.To.Incarnation == 0) {
			return
		}
		f.misses.Inc(1)
		f.mu.Lock()
		next := f.node.Missed(time.Now(), a.To.ID)
		f.mu.Unlock()
		for _, n := range next {
			go f.do(ctx, n)
		}
	case membership.IndirectPing:
		f.indirect(ctx, a)
	}
	f.logChanges()
}

// beat exchanges a heartbeat with a peer, and tells whether it answered.
func (f *Fleet) beat(ctx context.Context, to membership.Member, full bool) bool {
	f.beats.Inc(1)
	resp, err := peers.Call(ctx, f.opt.Pool, to.PeerAddress, f.opt.Timeout, heartbeatMethod, f.request(to, full))
	if err != nil {
		return false
	}
	f.take(time.Now(), to, resp)
	return true
}

func (f *Fleet) request(to membership.Member, full bool) *peerv1.HeartbeatRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &peerv1.HeartbeatRequest{
		From: f.node.Self().ID, Members: peers.EncodeMembers(f.node.Updates(to.ID)),
		Usage: f.usage.encode(f.node.Self().ID, f.rnd), Configuration: f.node.Self().ConfigDigest, Full: full,
	}
}

// take merges the answer to a heartbeat.
func (f *Fleet) take(now time.Time, from membership.Member, resp *peerv1.HeartbeatResponse) {
	f.mu.Lock()
	f.node.Answered(from.ID)
	f.node.Receive(now, peers.DecodeMembers(resp.Members))
	f.usage.merge(f.node.Self().ID, now, resp.Usage)
	behind := resp.Configuration != f.node.Self().ConfigDigest
	f.mu.Unlock()
	if behind && f.opt.Behind != nil {
		f.opt.Behind(from)
	}
}

func (f *Fleet) indirect(ctx context.Context, a membership.IndirectPing) {
	req := &peerv1.IndirectPingRequest{Target: peers.EncodeMember(&a.Target)}
	resp, err := peers.Call(ctx, f.opt.Pool, a.Via.PeerAddress, 2*f.opt.Timeout, indirectMethod, req)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && resp.Reached {
		f.node.Answered(a.Target.ID)
		f.node.Receive(time.Now(), peers.DecodeMembers(resp.Members))
		return
	}
	f.node.MissedIndirect(time.Now(), a.Target.ID)
}

// Heartbeat answers a peer's heartbeat.
func (f *Fleet) Heartbeat(req *peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse {
	now := time.Now()
	fig := f.opt.Figures()
	f.mu.Lock()
	f.node.SetStats(fig.Open, fig.Configuration)
	f.node.Receive(now, peers.DecodeMembers(req.Members))
	f.usage.merge(f.node.Self().ID, now, req.Usage)
	out := f.node.Updates(req.From)
	if req.Full {
		out = f.node.Members()
	}
	from, known := f.node.Get(req.From)
	f.addUsage()
	resp := &peerv1.HeartbeatResponse{
		Members: peers.EncodeMembers(out), Usage: f.usage.encode(f.node.Self().ID, f.rnd), Configuration: f.node.Self().ConfigDigest,
	}
	f.mu.Unlock()
	f.logChanges()
	if known && req.Configuration != resp.Configuration && f.opt.Behind != nil {
		f.opt.Behind(from)
	}
	return resp
}

// IndirectPing pings a member for a peer that can't reach it.
func (f *Fleet) IndirectPing(ctx context.Context, req *peerv1.IndirectPingRequest) *peerv1.IndirectPingResponse {
	target := peers.DecodeMember(req.Target)
	reached := f.beat(ctx, target, false)
	m, ok := f.Get(target.ID)
	if !ok {
		return &peerv1.IndirectPingResponse{Reached: reached}
	}
	return &peerv1.IndirectPingResponse{Reached: reached, Members: []*peerv1.Member{peers.EncodeMember(&m)}}
}

// Leave tells the others that this instance takes no new work, and says so to a few at
// once.
func (f *Fleet) Leave(ctx context.Context) {
	f.mu.Lock()
	f.node.Leave()
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range f.Others() {
		wg.Go(func() { f.beat(ctx, m, false) })
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

// Get returns a member.
func (f *Fleet) Get(id string) (membership.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Get(id)
}

// Others returns the other members that are alive.
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

// Sample returns up to n others, at random.
func (f *Fleet) Sample(n int) []membership.Member {
	out := f.Others()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// Entry returns the instances that a caller in a data centre should use, best first.
func (f *Fleet) Entry(dataCentre string) []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if dataCentre == "" {
		dataCentre = f.node.Self().DataCentre
	}
	return membership.EntryMembers(f.node.Members(), dataCentre, f.rnd)
}

// Usage returns what is known of the others' use of a limit, as of the last heartbeat.
func (f *Fleet) Usage(key string) limits.FleetUsage {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.known
	out.Others = f.others[key]
	return out
}

func (f *Fleet) addUsage() {
	f.others, f.known = f.usage.sum(f.node.Self().ID, f.node.Members())
}

func (f *Fleet) logChanges() {
	f.mu.Lock()
	changes := f.node.Changes()
	f.mu.Unlock()
	for _, c := range changes {
		f.opt.Log.WithFields(logrus.Fields{"member": c.Member.ID, "state": c.Member.State.String(), "leaving": c.Member.Leaving}).Info("member changed")
	}
}

var (
	heartbeatMethod = peerv1connect.PeerServiceClient.Heartbeat
	indirectMethod  = peerv1connect.PeerServiceClient.IndirectPing
)

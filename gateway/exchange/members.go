package exchange

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/peers"
)

// Failure detection. An instance that dies is pinged by another one within 0.4 s on average, and
// within 1.8 s but for one case in a thousand. Half a second later all others leave it out.
const (
	// pingInterval is the time between two pings that an instance sends, and pingTimeout how long
	// an answer may take: a round trip takes 3 ms, and a small instance may get no processor for 80
	// ms.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 200 * time.Millisecond
	// fastPings is how many members are pinged in an interval, in place of one, for
	// fastPingDuration after a loss was found. When many instances die at once, those that are left
	// have to find all of them.
	fastPings        = 4
	fastPingDuration = time.Second
	// indirectPings is how many others are asked to ping an instance that did not answer.
	indirectPings = 3
	// maxMembersPerDatagram bounds the entries in one datagram, of some 110 bytes each, to what a
	// packet holds.
	maxMembersPerDatagram = 12
	// maxSpreadMembers is the same for datagrams that spread entries, which hold nothing else.
	maxSpreadMembers = 16
	// newsRepeatFactor times the logarithm of the fleet's size is how often an instance passes on
	// an item of news. All were told directly, so this is for those that lost that datagram. With
	// 300 instances each passes an item on five times.
	newsRepeatFactor = 0.5
	// messagesPerRepair: one message in so many also holds the entry of a random member. News that
	// is no longer passed on thus reaches everybody within a minute or two. In each message it
	// would double the traffic of a fleet without changes.
	messagesPerRepair = 4
	// minRosterInterval is the least time between two rosters. When a whole fleet starts, each of
	// 300 hellos would otherwise cost as many steps.
	minRosterInterval = 20 * time.Millisecond
	// maxLoggedNames bounds the names in one log line about members.
	maxLoggedNames = 8
)

func memberSettings() membership.Settings {
	s := membership.DefaultSettings()
	s.Interval, s.IndirectPings, s.MaxUpdates, s.SlowdownSize = pingInterval, indirectPings, maxMembersPerDatagram, 0
	s.RetransmitFactor, s.RepairEvery, s.DirectUpdates = newsRepeatFactor, messagesPerRepair, true
	return s
}

// members is what is known of the other instances, and the pings in progress.
type members struct {
	node           *membership.Node
	probes         map[uint64]probe
	lastPing       uint64
	lastReceivedAt time.Duration // when the last gossip was received from any instance
	rosterBuiltAt  time.Duration // when the roster was built
	lastLossAt     time.Duration // when a member was last found lost
	// joinedSinceTable is how many members became alive since this instance last asked for the
	// entries of all, and lastJoinAt is when the last one did.
	joinedSinceTable int
	lastJoinAt       time.Duration
	// unloggedJoined and unloggedLost are the members that became alive or were lost since the last
	// log lines about that.
	unloggedJoined, unloggedLost []string
}

// probe is a ping that was sent.
type probe struct {
	target string
	sentAt time.Duration
	// indirect says that others were asked to ping the target.
	indirect bool
	// relayTo is the instance that asked for this ping, and relayNumber the number that it gave its
	// own; nil for a ping that this instance sent for itself.
	relayTo     net.Addr
	relayNumber uint64
}

// initialMember returns this instance's own entry at its start.
func (x *Exchange) initialMember() membership.Member {
	s := &x.Self
	return membership.Member{
		ID: s.ID, DataCentre: s.DataCentre, Region: s.Region, Address: s.Callers, PeerAddress: s.Peers, LinkMbps: s.Link, Spreads: true, Process: x.process,
		// A process that starts again continues above the incarnation of the one before, unless its
		// clock was set back. It then learns the higher incarnation from the others, and raises its
		// own above that.
		Incarnation: uint64(time.Now().UnixNano()),
	}
}

// membershipTime returns the reading of Clock as the time that core/membership takes.
func (x *Exchange) membershipTime() time.Time { return time.Unix(0, 0).Add(x.Clock()) }

// roster returns the fleet as this instance believes it to be. A roster built less than
// minRosterInterval ago is returned even if members have changed since.
func (x *Exchange) roster() *roster {
	x.mu.Lock()
	recent := x.Clock()-x.members.rosterBuiltAt < minRosterInterval
	x.mu.Unlock()
	if recent {
		return x.currentRoster.Load()
	}
	return x.refreshRoster()
}

// refreshRoster returns the fleet as this instance believes it to be now.
func (x *Exchange) refreshRoster() *roster {
	x.mu.Lock()
	r := x.currentRoster.Load()
	if r.version == x.members.node.Version() {
		x.mu.Unlock()
		return r
	}
	r = newRoster(x.Self, x.members.node.Others(), x.members.node.Version(), r)
	x.members.rosterBuiltAt = x.Clock()
	x.currentRoster.Store(r)
	x.Endpoints.SetOwned(r.owns) // under mu, so that calls come in the order of the rosters
	x.mu.Unlock()
	x.metrics.alive.Update(float64(len(r.alive) + 1))
	x.metrics.known.Update(float64(r.knownCount + 1))
	return r
}

// monitorMembers pings the others, and announces and logs changes, until ctx ends.
func (x *Exchange) monitorMembers(ctx context.Context) {
	pause.Every(ctx, pingInterval, func() {
		x.pingMembers()
		x.broadcastIfChanged()
		x.reconcile()
		x.roster()
		x.askWaitingForCrashes()
		x.askForRetryHistory()
		x.logMemberChanges()
	})
}

// outgoing is a gossip message that is sent once mu is released.
type outgoing struct {
	to      net.Addr
	message *peerv1.Gossip
}

func (x *Exchange) sendGossip(out []outgoing) {
	for _, o := range out {
		x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Gossip{Gossip: o.message}}, o.to)
	}
}

// pingMembers runs one interval of the failure detection. Members that did not answer the last ping
// are pinged through others or suspected, and the next ones are pinged.
func (x *Exchange) pingMembers() {
	r := x.currentRoster.Load()
	x.mu.Lock()
	var out []outgoing
	now := x.Clock()
	actions := x.handleUnansweredPings(now)
	for range x.members.pingCount(now) {
		actions = append(actions, x.members.node.Tick(x.membershipTime())...)
	}
	for _, a := range actions {
		out = append(out, x.datagramsFor(r, a, now)...)
	}
	changes := x.members.node.Changes()
	x.mu.Unlock()
	x.sendGossip(out)
	x.applyChanges(changes)
	x.broadcastSuspects(changes)
}

// pingCount returns how many members are pinged in this interval.
func (m *members) pingCount(now time.Duration) int {
	if m.lastLossAt > 0 && now-m.lastLossAt < fastPingDuration {
		return fastPings
	}
	return 1
}

// handleUnansweredPings returns the actions for pings that were not answered in time. An instance
// that has received nothing at all since it sent a ping takes itself to be cut off, and the target
// to be alive. The caller holds mu.
func (x *Exchange) handleUnansweredPings(now time.Duration) []membership.Action {
	var out []membership.Action
	node := x.members.node
	for number, p := range x.members.probes {
		if now-p.sentAt < pingTimeout {
			continue
		}
		delete(x.members.probes, number)
		switch {
		case p.relayTo != nil:
		case x.members.lastReceivedAt < p.sentAt:
			node.Answered(p.target)
		case p.indirect:
			node.MissedIndirect(x.membershipTime(), p.target)
		default:
			out = append(out, node.Missed(x.membershipTime(), p.target)...)
		}
	}
	return out
}

// datagramsFor returns the messages that carry out an action. The caller holds mu.
func (x *Exchange) datagramsFor(r *roster, a membership.Action, now time.Duration) []outgoing {
	switch a := a.(type) {
	case membership.Ping:
		return x.newPing(r, a.To, peerv1.GossipKind_GOSSIP_KIND_PING, nil, probe{target: a.To.ID, sentAt: now})
	case membership.IndirectPing:
		return x.newPing(r, a.Via, peerv1.GossipKind_GOSSIP_KIND_PING_FOR, peers.EncodeMember(&a.Target), probe{target: a.Target.ID, sentAt: now, indirect: true})
	}
	return nil
}

// newPing records a ping and returns its message; nil where the receiver's address is not known.
func (x *Exchange) newPing(r *roster, to membership.Member, kind peerv1.GossipKind, target *peerv1.Member, p probe) []outgoing {
	address := r.located[to.ID].address
	if address == nil {
		return nil
	}
	x.members.lastPing++
	x.members.probes[x.members.lastPing] = p
	return []outgoing{{address, &peerv1.Gossip{
		Kind: kind, Number: x.members.lastPing, Members: peers.EncodeMembers(x.members.node.Updates(to.ID)), Target: target,
	}}}
}

// broadcastIfChanged sends this instance's entry to all others if its readiness, or its access to the
// store or to the endpoints, has changed.
func (x *Exchange) broadcastIfChanged() {
	ready, store, endpoints := x.Ready(), int(x.StoreAccess()), int(x.endpointAccess())
	x.mu.Lock()
	changed := x.members.node.SetReadiness(ready, store, endpoints)
	x.mu.Unlock()
	if changed {
		x.broadcastSelf()
	}
}

// broadcastSelf makes this instance's own entry known to all. Those believed dead are told as well
// where all are told directly: they may be alive again.
func (x *Exchange) broadcastSelf() {
	r := x.roster()
	if r.large() {
		x.spreadNews(r, []membership.Member{x.ownMember()})
		return
	}
	x.sendMembers(noReplyWanted, []membership.Member{x.ownMember()}, r.allAddresses(true)...)
}

// ownMember returns this instance's own entry as of now.
func (x *Exchange) ownMember() membership.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.node.Self()
}

// noReplyWanted is the kind of a gossip message that asks for nothing.
const noReplyWanted = peerv1.GossipKind_GOSSIP_KIND_UNSPECIFIED

// sendMembers sends entries of members, of which the first is this instance's own.
func (x *Exchange) sendMembers(kind peerv1.GossipKind, news []membership.Member, to ...net.Addr) {
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Gossip{Gossip: &peerv1.Gossip{Kind: kind, Members: peers.EncodeMembers(news)}}}, to...)
}

// broadcastSuspects tells all others which members this instance has found lost. The suspects are
// told as well, so that they can refute it.
func (x *Exchange) broadcastSuspects(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	news := []membership.Member{x.ownMember()}
	r := x.currentRoster.Load()
	var suspects []net.Addr
	for i := range changes {
		if m := changes[i].Member; m.State == membership.Suspect && len(news) < maxMembersPerDatagram {
			news = append(news, m)
			suspects = append(suspects, r.addressesOf(m.ID)...)
		}
	}
	switch {
	case len(news) == 1:
	case r.large():
		x.sendMembers(noReplyWanted, news, suspects...)
		x.spreadNews(x.refreshRoster(), news) // through instances that are not among the suspects
	default:
		x.sendMembers(noReplyWanted, news, append(r.allAddresses(false), suspects...)...)
	}
}

// receiveGossip takes what another instance believes of members, and replies.
func (x *Exchange) receiveGossip(g *peerv1.Gossip, from net.Addr) {
	if len(g.Members) == 0 || g.Members[0].Id == "" {
		x.metrics.malformed.Inc(1)
		return
	}
	members := peers.DecodeMembers(g.Members)
	x.mu.Lock()
	node := x.members.node
	before := node.Self().Incarnation
	x.members.lastReceivedAt = x.Clock()
	node.Receive(x.membershipTime(), members)
	out := x.reply(g, from)
	refuted := node.Self().Incarnation != before
	changes := node.Changes()
	x.mu.Unlock()
	x.sendGossip(out)
	x.applyChanges(changes)
	x.receiveSpread(g.Kind, members, from)
	if refuted {
		x.broadcastSelf()
	}
}

// reply returns the messages that a gossip message asks for. The caller holds mu.
func (x *Exchange) reply(g *peerv1.Gossip, from net.Addr) []outgoing {
	node, sender := x.members.node, g.Members[0].Id
	switch g.Kind {
	case peerv1.GossipKind_GOSSIP_KIND_PING:
		return []outgoing{{from, &peerv1.Gossip{Kind: peerv1.GossipKind_GOSSIP_KIND_ACK, Number: g.Number, Members: peers.EncodeMembers(node.Updates(sender))}}}
	case peerv1.GossipKind_GOSSIP_KIND_HELLO, peerv1.GossipKind_GOSSIP_KIND_JOIN:
		self := node.Self()
		return []outgoing{{from, &peerv1.Gossip{Members: []*peerv1.Member{peers.EncodeMember(&self)}}}}
	case peerv1.GossipKind_GOSSIP_KIND_PING_FOR:
		target := peers.DecodeMember(g.Target)
		return x.newPing(x.currentRoster.Load(), target, peerv1.GossipKind_GOSSIP_KIND_PING, nil,
			probe{target: target.ID, sentAt: x.Clock(), relayTo: from, relayNumber: g.Number})
	case peerv1.GossipKind_GOSSIP_KIND_ACK:
		return x.receiveAck(g)
	}
	return nil
}

// receiveAck takes the answer to a ping. It passes the answer on if another instance asked for the
// ping. The caller holds mu.
func (x *Exchange) receiveAck(g *peerv1.Gossip) []outgoing {
	p, pending := x.members.probes[g.Number]
	if !pending {
		return nil
	}
	delete(x.members.probes, g.Number)
	if p.relayTo == nil {
		x.members.node.Answered(p.target)
		return nil
	}
	self := x.members.node.Self()
	return []outgoing{{p.relayTo, &peerv1.Gossip{
		Kind: peerv1.GossipKind_GOSSIP_KIND_ACK, Number: p.relayNumber, Members: append([]*peerv1.Member{peers.EncodeMember(&self)}, g.Members...),
	}}}
}

// applyChanges records which members became alive or were lost. It drops what the lost ones
// announced, and asks those that became alive for stopped requests.
func (x *Exchange) applyChanges(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	var joined, lost []string
	for i := range changes {
		c := &changes[i]
		switch {
		case c.Member.State == membership.Alive && c.Before != membership.Alive:
			joined = append(joined, c.Member.ID)
		case c.Member.State != membership.Alive && c.Before == membership.Alive:
			lost = append(lost, c.Member.ID)
		}
	}
	x.mu.Lock()
	x.members.unloggedJoined, x.members.unloggedLost = append(x.members.unloggedJoined, joined...), append(x.members.unloggedLost, lost...)
	if len(lost) > 0 {
		x.members.lastLossAt = x.Clock()
	}
	if len(joined) > 0 {
		x.members.joinedSinceTable += len(joined)
		x.members.lastJoinAt = x.Clock()
	}
	x.mu.Unlock()
	for _, id := range lost {
		x.dropAnnouncement(id)
		x.Endpoints.DropLeases(id)
		x.Crashes.Forget(id)
	}
	x.askForCrashes(joined)
	x.onJoinedForRetries(joined)
	x.metrics.suspected.Inc(int64(len(lost)))
}

// logMemberChanges logs which members became alive or were lost since the last call. Many members
// share a line, such as when a fleet starts.
func (x *Exchange) logMemberChanges() {
	x.mu.Lock()
	joined, lost := x.members.unloggedJoined, x.members.unloggedLost
	x.members.unloggedJoined, x.members.unloggedLost = nil, nil
	x.mu.Unlock()
	for what, ids := range map[string][]string{"instances joined": joined, "instances lost": lost} {
		if len(ids) > 0 {
			x.Log.WithFields(logrus.Fields{"count": len(ids), "instances": ids[:min(len(ids), maxLoggedNames)]}).Info(what)
		}
	}
}

// dropAnnouncement drops the last announcement of an instance, and its report.
func (x *Exchange) dropAnnouncement(id string) {
	x.announcementsMu.Lock()
	delete(x.announcements, id)
	x.aggregate.silence(x.Clock(), id)
	x.announcementsMu.Unlock()
	x.Endpoints.SetPeerReport(id, routing.PeerReport{}, nil)
}

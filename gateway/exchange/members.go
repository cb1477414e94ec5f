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

// Finding out who is there. One that dies is pinged by somebody within 0.4 s on average and 1.8 s at the most but for one
// in a thousand, and left out by all half a second later.
const (
	// pingEvery is the time between two pings of an instance, and pingAnswer how long an answer may take: a round trip
	// takes 3 ms, and a small instance may have no processor for 80 ms.
	pingEvery  = 250 * time.Millisecond
	pingAnswer = 200 * time.Millisecond
	// hastyPings is how many are pinged in place of one for hastyFor after any was found lost: where many die at once, who
	// is left has to find all of them.
	hastyPings = 4
	hastyFor   = time.Second
	// pingsFor is how many others are asked to ping an instance that did not answer.
	pingsFor = 3
	// membersMost bounds the entries in one datagram, of some 110 bytes each, to what a packet holds.
	membersMost = 12
	// newsRepeats times the logarithm of the fleet is how often an instance passes news on: all were told directly, so
	// this is for those who lost that datagram. With 300 instances it is told four times by each.
	newsRepeats = 0.5
	// repairEvery: each so many messages tell of a member at random, so that what nobody passes on any more is made good
	// within a minute or two. With each message it would double what is sent in calm times.
	repairEvery = 4
	// rosterGap is the least time between two looks at all members: when a whole fleet starts, each of 300 hellos would
	// else cost as many steps.
	rosterGap = 20 * time.Millisecond
	// namesMost bounds the names in one log line about members.
	namesMost = 8
)

func memberSettings() membership.Settings {
	s := membership.DefaultSettings()
	s.Interval, s.IndirectPings, s.MaxUpdates, s.SlowdownSize = pingEvery, pingsFor, membersMost, 0
	s.RetransmitFactor, s.RepairEvery, s.DirectUpdates = newsRepeats, repairEvery, true
	return s
}

// members is what is known of the other instances, and the pings that are out.
type members struct {
	node    *membership.Node
	probes  map[uint64]probe
	number  uint64
	heardAt time.Duration // when anything was heard from anybody
	builtAt time.Duration // when the roster was made
	lostAt  time.Duration // when any member was found lost
	// came and lost are who was heard or fell silent since that was logged last.
	came, lost []string
}

// probe is a ping that was sent.
type probe struct {
	target string
	at     time.Duration
	// indirect tells that others were asked to ping the target.
	indirect bool
	// answerTo is who asked for it, under which number; nil for a ping of this instance's own.
	answerTo     net.Addr
	answerNumber uint64
}

// self returns this instance's own entry.
func (x *Exchange) self() membership.Member {
	s := &x.Self
	return membership.Member{
		ID: s.ID, DataCentre: s.DataCentre, Region: s.Region, Address: s.Callers, PeerAddress: s.Peers, LinkMbps: s.Link, Process: x.process,
		// A process that starts again goes on above what it told before, unless its clock was set back; it then hears
		// from the others what they know, and raises it.
		Incarnation: uint64(time.Now().UnixNano()),
	}
}

// time returns the time that core/membership counts in.
func (x *Exchange) time() time.Time { return time.Unix(0, 0).Add(x.Clock()) }

// roster returns the fleet as it was believed to be a moment ago.
func (x *Exchange) roster() *roster {
	x.mu.Lock()
	early := x.Clock()-x.members.builtAt < rosterGap
	x.mu.Unlock()
	if early {
		return x.current.Load()
	}
	return x.refresh()
}

// refresh returns the fleet as it is believed to be now.
func (x *Exchange) refresh() *roster {
	x.mu.Lock()
	r := x.current.Load()
	if r.version == x.members.node.Version() {
		x.mu.Unlock()
		return r
	}
	r = newRoster(x.Self, x.members.node.Others(), x.members.node.Version())
	x.members.builtAt = x.Clock()
	x.current.Store(r)
	x.Endpoints.SetOwned(r.owned) // in the order of the rosters
	x.mu.Unlock()
	x.metrics.alive.Update(float64(len(r.alive) + 1))
	x.metrics.known.Update(float64(r.known + 1))
	return r
}

// watch pings others until ctx ends.
func (x *Exchange) watch(ctx context.Context) {
	pause.Every(ctx, pingEvery, func() {
		x.ping()
		x.say()
		x.roster()
		x.askWaiting()
		x.logMoved()
	})
}

// outgoing is a datagram to be sent once the members are unlocked.
type outgoing struct {
	to      net.Addr
	message *peerv1.Gossip
}

func (x *Exchange) sendAll(out []outgoing) {
	for _, o := range out {
		x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Gossip{Gossip: o.message}}, o.to)
	}
}

// ping lets an interval pass: whoever did not answer the last ping is pinged through others or suspected, and the next
// one is pinged.
func (x *Exchange) ping() {
	r := x.current.Load()
	x.mu.Lock()
	var out []outgoing
	now := x.Clock()
	actions := x.unanswered(now)
	for range x.members.pings(now) {
		actions = append(actions, x.members.node.Tick(x.time())...)
	}
	for _, a := range actions {
		out = append(out, x.carryOut(r, a, now)...)
	}
	changes := x.members.node.Changes()
	x.mu.Unlock()
	x.sendAll(out)
	x.moved(changes)
	x.tellSuspects(changes)
}

// pings returns how many members are pinged now.
func (m *members) pings(now time.Duration) int {
	if m.lostAt > 0 && now-m.lostAt < hastyFor {
		return hastyPings
	}
	return 1
}

// unanswered returns what to do about pings that were not answered. An instance that has heard nothing at all since it
// sent one takes itself for cut off, and the other one for alive.
func (x *Exchange) unanswered(now time.Duration) []membership.Action {
	var out []membership.Action
	node := x.members.node
	for number, p := range x.members.probes {
		if now-p.at < pingAnswer {
			continue
		}
		delete(x.members.probes, number)
		switch {
		case p.answerTo != nil:
		case x.members.heardAt < p.at:
			node.Answered(p.target)
		case p.indirect:
			node.MissedIndirect(x.time(), p.target)
		default:
			out = append(out, node.Missed(x.time(), p.target)...)
		}
	}
	return out
}

// carryOut returns the datagrams of an action.
func (x *Exchange) carryOut(r *roster, a membership.Action, now time.Duration) []outgoing {
	switch a := a.(type) {
	case membership.Ping:
		return x.pingOf(r, a.To, peerv1.GossipKind_GOSSIP_KIND_PING, nil, probe{target: a.To.ID, at: now})
	case membership.IndirectPing:
		return x.pingOf(r, a.Via, peerv1.GossipKind_GOSSIP_KIND_PING_FOR, peers.EncodeMember(&a.Target), probe{target: a.Target.ID, at: now, indirect: true})
	}
	return nil
}

func (x *Exchange) pingOf(r *roster, to membership.Member, kind peerv1.GossipKind, target *peerv1.Member, p probe) []outgoing {
	address := r.addresses[to.ID]
	if address == nil {
		return nil
	}
	x.members.number++
	x.members.probes[x.members.number] = p
	return []outgoing{{address, &peerv1.Gossip{
		Kind: kind, Number: x.members.number, Members: peers.EncodeMembers(x.members.node.Updates(to.ID)), Target: target,
	}}}
}

// say tells all others when something of this instance has changed that they should know.
func (x *Exchange) say() {
	ready, access := x.Ready(), int(x.Access())
	x.mu.Lock()
	news := x.members.node.SetReadiness(ready, access)
	x.mu.Unlock()
	if news {
		x.tellSelf()
	}
}

// tellSelf sends this instance's own entry to all that are known, also to those that are taken for dead: they may be back.
func (x *Exchange) tellSelf() {
	x.tell(tellOnly, []membership.Member{x.ownEntry()}, x.roster().everybody(true)...)
}

// ownEntry returns what this instance says of itself.
func (x *Exchange) ownEntry() membership.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.node.Self()
}

// tellOnly is the kind of a message that asks for nothing.
const tellOnly = peerv1.GossipKind_GOSSIP_KIND_UNSPECIFIED

// tell sends entries of members, this instance's own before them.
func (x *Exchange) tell(kind peerv1.GossipKind, news []membership.Member, to ...net.Addr) {
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Gossip{Gossip: &peerv1.Gossip{Kind: kind, Members: peers.EncodeMembers(news)}}}, to...)
}

// tellSuspects tells all others whom this instance found lost. They are told as well, so that they can object.
func (x *Exchange) tellSuspects(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	news := []membership.Member{x.ownEntry()}
	r := x.current.Load()
	to := r.everybody(false)
	for i := range changes {
		if m := changes[i].Member; m.State == membership.Suspect && len(news) < membersMost {
			news = append(news, m)
			to = append(to, r.to(m.ID)...)
		}
	}
	if len(news) > 1 {
		x.tell(tellOnly, news, to...)
	}
}

// gossiped takes what another instance believes of members, and answers.
func (x *Exchange) gossiped(g *peerv1.Gossip, from net.Addr) {
	if len(g.Members) == 0 || g.Members[0].Id == "" {
		x.metrics.malformed.Inc(1)
		return
	}
	x.mu.Lock()
	node := x.members.node
	before := node.Self().Incarnation
	x.members.heardAt = x.Clock()
	node.Receive(x.time(), peers.DecodeMembers(g.Members))
	out := x.reply(g, from)
	refuted := node.Self().Incarnation != before
	changes := node.Changes()
	x.mu.Unlock()
	x.sendAll(out)
	x.moved(changes)
	if refuted {
		x.tellSelf()
	}
}

// reply returns what a gossip message asks for.
func (x *Exchange) reply(g *peerv1.Gossip, from net.Addr) []outgoing {
	node, sender := x.members.node, g.Members[0].Id
	switch g.Kind {
	case peerv1.GossipKind_GOSSIP_KIND_PING:
		return []outgoing{{from, &peerv1.Gossip{Kind: peerv1.GossipKind_GOSSIP_KIND_ACK, Number: g.Number, Members: peers.EncodeMembers(node.Updates(sender))}}}
	case peerv1.GossipKind_GOSSIP_KIND_HELLO:
		self := node.Self()
		return []outgoing{{from, &peerv1.Gossip{Members: []*peerv1.Member{peers.EncodeMember(&self)}}}}
	case peerv1.GossipKind_GOSSIP_KIND_PING_FOR:
		target := peers.DecodeMember(g.Target)
		return x.pingOf(x.current.Load(), target, peerv1.GossipKind_GOSSIP_KIND_PING, nil,
			probe{target: target.ID, at: x.Clock(), answerTo: from, answerNumber: g.Number})
	case peerv1.GossipKind_GOSSIP_KIND_ACK:
		return x.acknowledged(g)
	}
	return nil
}

// acknowledged takes the answer to a ping, and passes it on to whoever asked for the ping.
func (x *Exchange) acknowledged(g *peerv1.Gossip) []outgoing {
	p, out := x.members.probes[g.Number]
	if !out {
		return nil
	}
	delete(x.members.probes, g.Number)
	if p.answerTo == nil {
		x.members.node.Answered(p.target)
		return nil
	}
	self := x.members.node.Self()
	return []outgoing{{p.answerTo, &peerv1.Gossip{
		Kind: peerv1.GossipKind_GOSSIP_KIND_ACK, Number: p.answerNumber, Members: append([]*peerv1.Member{peers.EncodeMember(&self)}, g.Members...),
	}}}
}

// moved notes which members came or were lost, and forgets what the lost ones told.
func (x *Exchange) moved(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	var came, lost []string
	for i := range changes {
		c := &changes[i]
		switch {
		case c.Member.State == membership.Alive && c.Before != membership.Alive:
			came = append(came, c.Member.ID)
		case c.Member.State != membership.Alive && c.Before == membership.Alive:
			lost = append(lost, c.Member.ID)
		}
	}
	x.mu.Lock()
	x.members.came, x.members.lost = append(x.members.came, came...), append(x.members.lost, lost...)
	if len(lost) > 0 {
		x.members.lostAt = x.Clock()
	}
	x.mu.Unlock()
	for _, id := range lost {
		x.forget(id)
		x.Crashes.Forget(id)
	}
	x.askCrashes(came)
	x.metrics.suspected.Inc(int64(len(lost)))
}

// logMoved logs who was heard and who fell silent since the last call: one line for many, such as when a fleet starts.
func (x *Exchange) logMoved() {
	x.mu.Lock()
	came, lost := x.members.came, x.members.lost
	x.members.came, x.members.lost = nil, nil
	x.mu.Unlock()
	for what, ids := range map[string][]string{"instances heard": came, "instances silent": lost} {
		if len(ids) > 0 {
			x.Log.WithFields(logrus.Fields{"count": len(ids), "instances": ids[:min(len(ids), namesMost)]}).Info(what)
		}
	}
}

// forget drops what an instance has told.
func (x *Exchange) forget(id string) {
	x.heardMu.Lock()
	_, known := x.heard[id]
	delete(x.heard, id)
	x.heardMu.Unlock()
	if known {
		x.Endpoints.Heard(id, routing.PeerReport{}, nil)
	}
}

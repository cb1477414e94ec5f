package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/gateway/pause"
)

const (
	// spreadGap is the least time between two broadcasts of one instance. Entries that arrive
	// meanwhile share datagrams.
	spreadGap = 30 * time.Millisecond
	// secondSpreadDelay is how long an instance that is not the first spreader of its data centre
	// waits for the first one to spread an entry.
	secondSpreadDelay = 150 * time.Millisecond
	// tableBatch datagrams with entries are sent to an instance that has started, then there is a
	// pause of tablePause: a receiver on a slow link loses datagrams that come all at once.
	tableBatch = 8
	tablePause = 5 * time.Millisecond
	// learnTime is how long an instance that has started learns of the others before it spreads
	// entries. What it spreads before repeatAt, it spreads once more then: when many instances
	// start at once, the first ones to be told know few others.
	learnTime = 50 * time.Millisecond
	repeatAt  = 500 * time.Millisecond
)

// spreader passes entries of members on to many instances. If each of 985 instances told all others
// of its start, and they answered, a start of all would be two million datagrams. Instead the
// entries go to the first instances of each data centre, which send them on a dozen at a time.
type spreader struct {
	wake chan struct{} // an entry is to be spread
	join chan struct{} // an instance waits for the entries of all

	mu sync.Mutex
	// pending are the entries to spread, by id.
	pending map[string]pendingEntry
	// spread is what was last spread of each member, by this instance or by another one of its data
	// centre.
	spread map[string]entryVersion
	// joining are the instances that wait for the entries of all others.
	joining []net.Addr
}

type pendingEntry struct {
	member membership.Member
	// forward is set if the entry is to be spread in the other data centres too.
	forward bool
	due     time.Duration
}

// entryVersion orders the entries of one member.
type entryVersion struct {
	incarnation uint64
	state       membership.State
}

func versionOf(m *membership.Member) entryVersion { return entryVersion{m.Incarnation, m.State} }

func (a entryVersion) after(b entryVersion) bool {
	return a.incarnation > b.incarnation || a.incarnation == b.incarnation && a.state > b.state
}

func newSpreader() spreader {
	return spreader{wake: make(chan struct{}, 1), join: make(chan struct{}, 1), pending: map[string]pendingEntry{}, spread: map[string]entryVersion{}}
}

// add takes entries to spread, unless they were spread before.
func (s *spreader) add(members []membership.Member, forward bool, due time.Duration) {
	s.mu.Lock()
	for i := range members {
		m := &members[i]
		old, waiting := s.pending[m.ID]
		if !versionOf(m).after(s.spread[m.ID]) || waiting && !versionOf(m).after(versionOf(&old.member)) {
			continue
		}
		s.pending[m.ID] = pendingEntry{*m, forward || waiting && old.forward, due}
	}
	s.mu.Unlock()
	signal(s.wake)
}

// addAgain takes entries that are to be spread once more, unless there are later ones by then.
func (s *spreader) addAgain(members, forward []membership.Member, due time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	forwarded := map[string]bool{}
	for i := range forward {
		forwarded[forward[i].ID] = true
	}
	for i := range members {
		if _, waiting := s.pending[members[i].ID]; !waiting {
			s.pending[members[i].ID] = pendingEntry{members[i], forwarded[members[i].ID], due}
		}
	}
}

// addJoining takes an instance that waits for the entries of all others.
func (s *spreader) addJoining(address net.Addr) {
	s.mu.Lock()
	s.joining = append(s.joining, address)
	s.mu.Unlock()
	signal(s.join)
}

// signal wakes the receiver of a channel with room for one signal. Signals that it has not taken
// yet count as one.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// markSpread records entries that another instance has sent to all of this data centre.
func (s *spreader) markSpread(members []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range members {
		m := &members[i]
		if versionOf(m).after(s.spread[m.ID]) {
			s.spread[m.ID] = versionOf(m)
		}
		if p, waiting := s.pending[m.ID]; waiting && !versionOf(&p.member).after(s.spread[m.ID]) {
			delete(s.pending, m.ID)
		}
	}
}

// take returns the entries that are due, those of them that are to be forwarded, and the time until
// the next ones; 0 if there are none.
func (s *spreader) take(now time.Duration) (due, forward []membership.Member, next time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.pending {
		if wait := p.due - now; wait > 0 {
			if next == 0 || wait < next {
				next = wait
			}
			continue
		}
		delete(s.pending, id)
		s.spread[id] = versionOf(&p.member)
		due = append(due, p.member)
		if p.forward {
			forward = append(forward, p.member)
		}
	}
	return due, forward, next
}

// prune forgets what was spread of members that are not known any more.
func (s *spreader) prune(r *roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.spread) <= 2*(r.knownCount+1) {
		return
	}
	for id := range s.spread {
		if _, known := r.located[id]; !known {
			delete(s.spread, id)
		}
	}
}

// waiting reports whether there are entries to spread.
func (s *spreader) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

// takeJoining returns the instances that wait for the entries of all others.
func (s *spreader) takeJoining() []net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.joining
	s.joining = nil
	return out
}

// spreadNews makes entries known to all instances of a large fleet. Where no instance of a data
// centre spreads entries, its instances are told directly.
func (x *Exchange) spreadNews(r *roster, news []membership.Member) {
	own := r.self.DataCentre
	spreads := slices.Contains(r.spreaders[own], r.self.ID)
	to := r.addressesOf(r.otherSpreaders(own)...)
	if spreads {
		x.spreader.add(news, true, x.spreadDue(r))
	}
	if len(to) > 0 {
		x.sendMembers(peerv1.GossipKind_GOSSIP_KIND_SPREAD, news, to...)
	}
	if !spreads && len(to) == 0 {
		x.sendMembers(noReplyWanted, news, r.allAddresses(true)...)
	}
}

// receiveSpread takes the part of a gossip message that concerns the spreading of entries.
// The first of the members is the sender.
func (x *Exchange) receiveSpread(kind peerv1.GossipKind, members []membership.Member, from net.Addr) {
	r := x.currentRoster.Load()
	sameDataCentre := members[0].DataCentre == r.self.DataCentre
	switch kind {
	case peerv1.GossipKind_GOSSIP_KIND_JOIN:
		x.spreader.addJoining(from)
		x.spreader.add(members[:1], true, x.spreadDue(r))
	case peerv1.GossipKind_GOSSIP_KIND_SPREAD:
		x.spreader.add(members, sameDataCentre, x.spreadDue(r))
	case peerv1.GossipKind_GOSSIP_KIND_BROADCAST:
		if r.firstSpreader() == members[0].ID {
			x.spreader.markSpread(members)
		}
	}
}

// spreadDue returns when this instance spreads an entry that it receives now.
func (x *Exchange) spreadDue(r *roster) time.Duration {
	if r.firstSpreader() == r.self.ID {
		return x.Clock()
	}
	return x.Clock() + secondSpreadDelay
}

// runSpreader spreads entries as they become due, until ctx ends.
func (x *Exchange) runSpreader(ctx context.Context) {
	began := x.Clock()
	pause.For(ctx, learnTime)
	for ctx.Err() == nil {
		if x.spreader.waiting() && len(x.roster().alive) == 0 { // there is no one to tell yet
			pause.For(ctx, spreadGap)
			continue
		}
		now := x.Clock()
		due, forward, next := x.spreader.take(now)
		if len(due) > 0 {
			// An instance that has joined is in this roster, or the entries are in what it was sent.
			r := x.refreshRoster()
			x.broadcast(r, due, forward)
			if now < began+repeatAt {
				x.spreader.addAgain(due, forward, began+repeatAt)
			}
			x.spreader.prune(r)
			pause.For(ctx, spreadGap)
			continue
		}
		if next == 0 {
			next = time.Hour
		}
		pause.UntilWoken(ctx, next, x.spreader.wake)
	}
}

const (
	// reconcileShare is the share of the known instances that have to become alive before this
	// instance compares what it knows with another one, and reconcileQuiet is how long none must
	// have done so since.
	reconcileShare = 0.1
	reconcileQuiet = 150 * time.Millisecond
)

// reconcile asks a random instance of this data centre for the entries of all, after many instances
// have started. While they do, those that spread entries may not know all others yet, so that some
// entries don't reach all.
func (x *Exchange) reconcile() {
	r := x.currentRoster.Load()
	if !r.large() || len(r.listedSpreadersNear) == 0 {
		return
	}
	x.mu.Lock()
	m := &x.members
	due := float64(m.joinedSinceTable) >= reconcileShare*float64(r.knownCount) && x.Clock()-m.lastJoinAt >= reconcileQuiet
	if due {
		m.joinedSinceTable = 0
	}
	x.mu.Unlock()
	if due {
		to := r.listedSpreadersNear[rand.IntN(len(r.listedSpreadersNear))]
		x.askForAll(r, to)
	}
}

// askForAll asks instances for the entries of all, and to spread the one of this instance.
func (x *Exchange) askForAll(r *roster, ids ...string) {
	x.sendMembers(peerv1.GossipKind_GOSSIP_KIND_JOIN, []membership.Member{x.ownMember()}, r.addressesOf(ids...)...)
}

// answerJoins sends the entries of all members to the instances that wait for them, until ctx ends.
// Those that wait at the same time are sent the same datagrams.
func (x *Exchange) answerJoins(ctx context.Context) {
	for pause.UntilWoken(ctx, time.Hour, x.spreader.join) {
		if to := x.spreader.takeJoining(); len(to) > 0 {
			x.sendTable(ctx, to)
		}
	}
}

// broadcast sends entries to all of this data centre, and some of them to the spreaders of each
// other one.
func (x *Exchange) broadcast(r *roster, entries, forward []membership.Member) {
	x.sendEntries(peerv1.GossipKind_GOSSIP_KIND_BROADCAST, entries, r.addressesIn(r.self.DataCentre))
	if len(forward) == 0 {
		return
	}
	for _, dc := range r.dataCentres() {
		if dc == r.self.DataCentre {
			continue
		}
		if to := r.addressesOf(r.spreaders[dc]...); len(to) > 0 {
			x.sendEntries(peerv1.GossipKind_GOSSIP_KIND_SPREAD, forward, to)
		} else {
			x.sendEntries(noReplyWanted, forward, r.addressesIn(dc))
		}
	}
}

// sendEntries sends entries in as many datagrams as they need. Each begins with this instance's own
// entry.
func (x *Exchange) sendEntries(kind peerv1.GossipKind, entries []membership.Member, to []net.Addr) {
	own := x.ownMember()
	for part := range slices.Chunk(entries, maxSpreadMembers-1) {
		x.sendMembers(kind, append([]membership.Member{own}, part...), to...)
	}
}

// sendTable sends the entries of all members that are alive to some instances that have started.
func (x *Exchange) sendTable(ctx context.Context, to []net.Addr) {
	x.mu.Lock()
	all := x.members.node.Others()
	x.mu.Unlock()
	all = slices.DeleteFunc(all, func(m membership.Member) bool { return m.State != membership.Alive || !m.HasReported() })
	for batch := range slices.Chunk(all, tableBatch*(maxSpreadMembers-1)) {
		x.sendEntries(noReplyWanted, batch, to)
		pause.For(ctx, tablePause)
	}
}

package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Action is a step for the caller to carry out: [Ping] or [IndirectPing].
type Action interface{ action() }

// Ping asks the caller to ping To, and to report the result with [Node.Answered] or [Node.Missed].
type Ping struct{ To Member }

// IndirectPing asks the caller to have Via ping Target, and to report the result with
// [Node.Answered] or [Node.MissedIndirect].
type IndirectPing struct{ Via, Target Member }

func (Ping) action()         {}
func (IndirectPing) action() {}

// Change is a change of the state of a member. Before is [Dead] for a member that was not known, or
// only from a list.
type Change struct {
	Member Member
	Before State
}

type record struct {
	Member
	since time.Time // when the state was entered
	// transmitsLeft is how often an update about the member is still to be sent.
	transmitsLeft int
	// maybeOutdated is set after an update with an older incarnation than the known one. The member
	// itself may have sent it, after a start with its clock set back, so the next message to it
	// carries the known entry.
	maybeOutdated bool
}

// Node is the view that one instance has of the members.
type Node struct {
	set             Settings
	self            Member
	members         map[string]*record // without self
	pingOrder       []string
	nextPing        int
	ticks           int
	pendingIndirect map[string]int // number of indirect pings in progress, by target
	updateQueue     []string       // members with updates to send, the one with the most transmits left first
	changes         []Change
	version         uint64
	// messages counts the calls of Updates.
	messages int
	rnd      *rand.Rand
}

// New returns a node that knows only itself. The incarnation of self should rise from one start of
// the instance to the next; the time in nanoseconds will do.
func New(set Settings, self Member, rnd *rand.Rand) *Node {
	return &Node{set: set, self: self, members: map[string]*record{}, pendingIndirect: map[string]int{}, rnd: rnd}
}

// Self returns the node's own entry.
func (n *Node) Self() Member { return n.self }

// SetStats sets the node's own number of open requests and configuration digest.
func (n *Node) SetStats(open uint32, configuration uint64) {
	n.self.StatsVersion++
	n.self.OpenRequests, n.self.ConfigDigest = open, configuration
}

// Leave marks the node as leaving, under a new incarnation: it takes no new requests.
func (n *Node) Leave() {
	n.self.Leaving = true
	n.self.Incarnation++
}

// SetIncarnation sets the node's own incarnation, for a process that starts with its clock set
// back.
func (n *Node) SetIncarnation(i uint64) { n.self.Incarnation = i }

// Renew raises the node's own incarnation, so that its entry is news to all others.
func (n *Node) Renew() { n.self.Incarnation++ }

// SetSpreads sets whether the node passes on updates to many others. It raises the incarnation.
func (n *Node) SetSpreads(spreads bool) {
	n.self.Spreads = spreads
	n.self.Incarnation++
}

// SetReadiness sets the node's own readiness, and its access to the store and to the endpoints. It
// raises the incarnation and returns true if that is a change.
func (n *Node) SetReadiness(ready bool, store, endpoints int) bool {
	if n.self.Ready == ready && n.self.Store == store && n.self.Endpoints == endpoints {
		return false
	}
	n.self.Ready, n.self.Store, n.self.Endpoints = ready, store, endpoints
	n.self.Incarnation++
	return true
}

// Version returns a number that changes with each change to the entries of other members, except
// for their statistics.
func (n *Node) Version() uint64 { return n.version }

// Seed adds a member that a list names, unless it is known already.
func (n *Node) Seed(now time.Time, m Member) {
	if m.ID == n.self.ID || n.members[m.ID] != nil {
		return
	}
	n.members[m.ID] = &record{Member: m, since: now}
	n.version++
}

// Members returns all members, including the node itself, ordered by id.
func (n *Node) Members() []Member {
	out := make([]Member, 0, len(n.members)+1)
	out = append(out, n.self)
	for _, r := range n.members {
		out = append(out, r.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Others returns all members except the node itself, ordered by id.
func (n *Node) Others() []Member {
	return slices.DeleteFunc(n.Members(), func(m Member) bool { return m.ID == n.self.ID })
}

// AnyOther reports whether any other member satisfies the predicate.
func (n *Node) AnyOther(fits func(*Member) bool) bool {
	for _, r := range n.members {
		if fits(&r.Member) {
			return true
		}
	}
	return false
}

// Get returns a member, or the node itself; false if the id is unknown.
func (n *Node) Get(id string) (Member, bool) {
	if id == n.self.ID {
		return n.self, true
	}
	r := n.members[id]
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// Changes returns the changes of state since the last call.
func (n *Node) Changes() []Change {
	out := n.changes
	n.changes = nil
	return out
}

// Tick ends one interval, and returns the pings to send. It declares members dead that were
// suspected for too long.
func (n *Node) Tick(now time.Time) []Action {
	n.ticks++
	n.expire(now)
	var out []Action
	if m, ok := n.nextMember(false); ok {
		out = append(out, Ping{m})
	}
	if n.ticks%max(n.set.DeadPingIntervals, 1) == 0 {
		if m, ok := n.randomDead(); ok {
			out = append(out, Ping{m})
		}
	}
	return out
}

// nextMember returns the next member of the ping order that is not dead; false if there is none. It
// reshuffles the order once it is used up.
func (n *Node) nextMember(reshuffled bool) (Member, bool) {
	for n.nextPing < len(n.pingOrder) {
		r := n.members[n.pingOrder[n.nextPing]]
		n.nextPing++
		if r != nil && r.State != Dead {
			return r.Member, true
		}
	}
	if reshuffled {
		return Member{}, false
	}
	n.pingOrder = n.pingOrder[:0]
	for id := range n.members {
		n.pingOrder = append(n.pingOrder, id)
	}
	sort.Strings(n.pingOrder) // map order would make the shuffle depend on more than the seed
	n.rnd.Shuffle(len(n.pingOrder), func(i, j int) { n.pingOrder[i], n.pingOrder[j] = n.pingOrder[j], n.pingOrder[i] })
	n.nextPing = 0
	return n.nextMember(true)
}

func (n *Node) randomDead() (Member, bool) {
	dead := n.matchingIDs(func(r *record) bool { return r.State == Dead })
	if len(dead) == 0 {
		return Member{}, false
	}
	return n.members[dead[n.rnd.IntN(len(dead))]].Member, true
}

func (n *Node) matchingIDs(keep func(*record) bool) []string {
	var out []string
	for id, r := range n.members {
		if keep(r) {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// expire declares members dead that were suspected for too long, and removes those that were dead
// for too long.
func (n *Node) expire(now time.Time) {
	for _, id := range n.matchingIDs(func(r *record) bool { return r.State != Alive }) {
		r := n.members[id]
		switch {
		case r.State == Suspect && now.Sub(r.since) >= n.suspicionTimeout():
			n.setState(now, r, Dead)
		case r.State == Dead && now.Sub(r.since) >= n.set.DeadRetention:
			delete(n.members, id)
			n.version++
		}
	}
}

func (n *Node) logSize() float64 { return math.Log2(float64(len(n.members) + 2)) }

// Interval returns the time to the next tick. It is longer in a large fleet, so that the traffic of
// a node stays bounded.
func (n *Node) Interval() time.Duration {
	if n.set.SlowdownSize == 0 {
		return n.set.Interval
	}
	factor := float64(len(n.members)+1) / float64(n.set.SlowdownSize)
	return time.Duration(math.Min(math.Max(factor, 1), maxSlowdown) * float64(n.set.Interval))
}

// maxSlowdown bounds the factor by which the interval grows.
const maxSlowdown = 3

// maxUpdates returns the maximum number of entries in one message.
func (n *Node) maxUpdates() int {
	if n.set.SlowdownSize > 0 && len(n.members) > n.set.SlowdownSize {
		return max(n.set.MaxUpdates/2, 2)
	}
	return n.set.MaxUpdates
}

func (n *Node) suspicionTimeout() time.Duration {
	return time.Duration(n.set.SuspicionFactor * n.logSize() * float64(n.Interval()))
}

func (n *Node) setState(now time.Time, r *record, s State) {
	if r.State == s {
		return
	}
	before := r.State
	r.State, r.since = s, now
	n.version++
	n.changes = append(n.changes, Change{r.Member, before})
	n.enqueue(r)
}

// Answered records that a member answered a ping. The entries in the answer go to [Node.Receive].
func (n *Node) Answered(id string) { delete(n.pendingIndirect, id) }

// Missed records that a member did not answer a ping, and returns the indirect pings to send.
// Without another alive member to ask, the member is suspected at once.
func (n *Node) Missed(now time.Time, id string) []Action {
	r := n.members[id]
	if r == nil || r.State != Alive {
		return nil
	}
	via := n.matchingIDs(func(o *record) bool { return o.ID != id && o.State == Alive })
	n.rnd.Shuffle(len(via), func(i, j int) { via[i], via[j] = via[j], via[i] })
	if len(via) > n.set.IndirectPings {
		via = via[:n.set.IndirectPings]
	}
	if len(via) == 0 {
		n.setState(now, r, Suspect)
		return nil
	}
	n.pendingIndirect[id] = len(via)
	out := make([]Action, len(via))
	for i, v := range via {
		out[i] = IndirectPing{Via: n.members[v].Member, Target: r.Member}
	}
	return out
}

// MissedIndirect records that an indirect ping failed. After the last one, the member is suspected.
func (n *Node) MissedIndirect(now time.Time, id string) {
	left, pending := n.pendingIndirect[id]
	if !pending {
		return
	}
	if left > 1 {
		n.pendingIndirect[id] = left - 1
		return
	}
	delete(n.pendingIndirect, id)
	if r := n.members[id]; r != nil && r.State == Alive {
		n.setState(now, r, Suspect)
	}
}

// Receive merges the entries of a message. The first one is the sender's own.
func (n *Node) Receive(now time.Time, updates []Member) {
	for i := range updates {
		n.merge(now, &updates[i], i == 0)
	}
}

func (n *Node) merge(now time.Time, m *Member, firsthand bool) {
	if m.ID == n.self.ID {
		n.refute(m)
		return
	}
	r := n.members[m.ID]
	if r == nil {
		r = &record{Member: *m, since: now}
		n.members[m.ID] = r
		n.version++
		n.changes = append(n.changes, Change{*m, Dead})
		n.gossip(r, firsthand)
		return
	}
	if m.supersedes(&r.Member) {
		n.applyUpdate(now, r, m)
		n.gossip(r, firsthand)
		return
	}
	r.maybeOutdated = r.maybeOutdated || m.Incarnation < r.Incarnation
	if m.hasNewerStats(&r.Member) {
		r.StatsVersion, r.OpenRequests, r.ConfigDigest = m.StatsVersion, m.OpenRequests, m.ConfigDigest
	}
}

// applyUpdate replaces the entry of a known member.
func (n *Node) applyUpdate(now time.Time, r *record, m *Member) {
	before := r.State
	if !r.HasReported() {
		before = Dead
	}
	if m.State != r.State {
		r.since = now
	}
	r.Member, r.maybeOutdated = *m, false
	n.version++
	if m.State != before {
		n.changes = append(n.changes, Change{*m, before})
	}
}

package membership

import (
	"cmp"
	"math"
	"slices"
)

// gossip queues an update to be passed on to others. With [Settings.DirectUpdates] it is sent only
// once if the member has already told all others itself: if it came from the member or says that
// the member is alive. An update that another member is lost comes from the node that found out,
// and is passed on as often as without direct updates.
func (n *Node) gossip(r *record, firsthand bool) {
	n.enqueue(r)
	if n.set.DirectUpdates && (firsthand || r.State == Alive) {
		r.transmitsLeft = 1
	}
}

// transmitLimit returns how often an update is sent.
func (n *Node) transmitLimit() int { return int(math.Ceil(n.set.RetransmitFactor * n.logSize())) }

// refute raises the node's own incarnation if an update about the node itself is wrong: if it has a
// higher incarnation, or says under the same one that the node is not alive or is another process.
func (n *Node) refute(m *Member) {
	newer := m.Incarnation > n.self.Incarnation
	wrong := m.Incarnation == n.self.Incarnation && (m.State != Alive || m.Process != n.self.Process)
	if newer || wrong {
		n.self.Incarnation = m.Incarnation + 1
	}
}

func (n *Node) enqueue(r *record) {
	r.transmitsLeft = n.transmitLimit()
	if !slices.Contains(n.updateQueue, r.ID) {
		n.updateQueue = append(n.updateQueue, r.ID)
	}
}

// Updates returns the entries for a message to another member: the node itself; the recipient, if
// it is believed not to be alive or may not know its own latest incarnation; the queued updates
// with the most transmits left; and now and then, if there is room, the next member of the ping
// order. It counts these transmits.
func (n *Node) Updates(to string) []Member {
	out := make([]Member, 0, n.maxUpdates()+1)
	out = append(out, n.self)
	if r := n.members[to]; r != nil && (r.State != Alive || r.maybeOutdated) {
		out = append(out, r.Member)
		r.maybeOutdated = false
	}
	slices.SortStableFunc(n.updateQueue, func(a, b string) int { return cmp.Compare(n.transmitsLeft(b), n.transmitsLeft(a)) })
	for _, id := range n.updateQueue {
		if len(out) >= n.maxUpdates() {
			break
		}
		if r := n.members[id]; r != nil && id != to {
			r.transmitsLeft--
			out = append(out, r.Member)
		}
	}
	n.dropSentUpdates()
	n.messages++
	if n.messages%max(n.set.RepairEvery, 1) == 0 && len(out) < n.maxUpdates() && n.nextPing < len(n.pingOrder) {
		if r := n.members[n.pingOrder[n.nextPing]]; r != nil && r.ID != to {
			out = append(out, r.Member)
		}
	}
	return out
}

// transmitsLeft returns how often an update about a member is still to be sent.
func (n *Node) transmitsLeft(id string) int {
	if r := n.members[id]; r != nil {
		return r.transmitsLeft
	}
	return 0
}

func (n *Node) dropSentUpdates() {
	n.updateQueue = slices.DeleteFunc(n.updateQueue, func(id string) bool { return n.transmitsLeft(id) <= 0 })
}

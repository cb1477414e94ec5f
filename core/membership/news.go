package membership

import (
	"math"
	"sort"
)

// passOn tells others of a member, only once where it has told them itself.
func (n *Node) passOn(r *record, firsthand bool) {
	n.tell(r)
	if firsthand && n.set.Firsthand {
		r.told = n.repeats() - 1
	}
}

// repeats returns how often an item of news is told.
func (n *Node) repeats() int { return int(math.Ceil(n.set.Repeats * n.logarithm())) }

// refute raises the node's own incarnation when others believe something that is not so.
func (n *Node) refute(m *Member) {
	stale := m.Incarnation > n.self.Incarnation
	wrong := m.Incarnation == n.self.Incarnation && (m.State != Alive || m.Process != n.self.Process)
	if stale || wrong {
		n.self.Incarnation = m.Incarnation + 1
	}
}

func (n *Node) tell(r *record) {
	for _, id := range n.news {
		if id == r.ID {
			r.told = 0
			return
		}
	}
	r.told = 0
	n.news = append(n.news, r.ID)
}

// Updates returns what to tell in a message to another member: the node itself, what is
// believed of the other when it is not alive or may not know it, the news told least, and if there is room
// a member at random.
func (n *Node) Updates(to string) []Member {
	out := make([]Member, 0, n.updates()+1)
	out = append(out, n.self)
	if r := n.members[to]; r != nil && (r.State != Alive || r.behind) {
		out = append(out, r.Member)
		r.behind = false
	}
	sort.SliceStable(n.news, func(i, j int) bool { return n.told(n.news[i]) < n.told(n.news[j]) })
	for _, id := range n.news {
		if len(out) >= n.updates() {
			break
		}
		if r := n.members[id]; r != nil && id != to {
			r.told++
			out = append(out, r.Member)
		}
	}
	n.forgetOldNews()
	n.messages++
	if n.messages%max(n.set.Repair, 1) == 0 && len(out) < n.updates() && n.next < len(n.round) {
		if r := n.members[n.round[n.next]]; r != nil && r.ID != to {
			out = append(out, r.Member)
		}
	}
	return out
}

func (n *Node) told(id string) int {
	if r := n.members[id]; r != nil {
		return r.told
	}
	return math.MaxInt
}

func (n *Node) forgetOldNews() {
	kept := n.news[:0]
	for _, id := range n.news {
		if n.told(id) < n.repeats() {
			kept = append(kept, id)
		}
	}
	n.news = kept
}

package source

import (
	"cmp"
	"slices"

	"github.com/agateway/agateway/core/rendezvous"
)

// tree is the order in which instances follow each other: the first ask the store, and each other one follows one
// that ranks before it.
type tree []Peer

// rank orders instances: those with the widest links first, since they pass changes on to the most others, and those
// with the same by a hash. All instances agree on the order without a word.
func rank(peers []Peer) tree {
	type weighted struct {
		Peer
		weight uint64
	}
	all := make([]weighted, len(peers))
	for i := range peers {
		all[i] = weighted{peers[i], rendezvous.Weight("source", peers[i].ID)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(b.weight, a.weight))
	})
	for i := range all {
		peers[i] = all[i].Peer
	}
	return peers
}

// place returns where an instance ranks; -1 when it is not in the tree.
func (t tree) place(id string) int {
	return slices.IndexFunc(t, func(p Peer) bool { return p.ID == id })
}

// above returns whom the instance at a place follows. One that is not in the tree (-1) follows as if it were last.
func (t tree) above(s *Settings, place int) string {
	if place < 0 {
		place = len(t)
	}
	// The followers of the first instance come right after the roots, those of the second after these, and so on.
	last := s.Roots
	for i := range t {
		if last += s.followers(t[i].Link); place < last {
			return t[i].ID
		}
	}
	return t[len(t)-1].ID
}

// followers returns how many instances may follow one with a link of some Mbit/s.
func (s *Settings) followers(link int) int {
	if link == 0 {
		return s.Followers
	}
	return min(max(int(float64(link)/s.LinkShare), s.FollowersLeast), s.FollowersMost)
}

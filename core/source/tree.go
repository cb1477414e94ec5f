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

// above returns whom an instance follows. The first of each data centre follow each other, and the others follow those of
// their own: what changes then crosses to each data centre once, and not to four in five of 295 instances.
func (t tree) above(s *Settings) string {
	heads, own := t.split(s.DataCentre)
	if len(own) == 0 || own[0].ID == s.Self {
		return heads.parent(s, heads.place(s.Self), s.Roots)
	}
	return own.parent(s, own.place(s.Self), 1)
}

// split returns the first of each data centre, and all of one.
func (t tree) split(dataCentre string) (heads, own tree) {
	seen := map[string]bool{}
	for _, p := range t {
		if !seen[p.DataCentre] {
			seen[p.DataCentre] = true
			heads = append(heads, p)
		}
		if p.DataCentre == dataCentre {
			own = append(own, p)
		}
	}
	return heads, own
}

// parent returns whom the instance at a place follows where the first few follow nobody. One that is not in the tree (-1)
// follows as if it were last.
func (t tree) parent(s *Settings, place, roots int) string {
	if place < 0 {
		place = len(t)
	}
	// The followers of the first instance come right after the roots, those of the second after these, and so on.
	last := roots
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

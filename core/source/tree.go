package source

import (
	"cmp"
	"slices"

	"github.com/agateway/agateway/core/rendezvous"
)

// tree is a list of instances in the order of their rank: the first ones ask the store, and each
// other one follows an instance that ranks before it.
type tree []Peer

// compareRank orders instances by the bandwidth of their links, highest first, since those serve the
// most followers. Equal links are ordered by a hash, so that all instances agree without
// coordination.
func compareRank(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(b.weight, a.weight))
}

// withWeight returns the peer with its weight set.
func withWeight(p Peer) Peer {
	if p.weight == 0 {
		p.weight = rendezvous.Weight("source", p.ID)
	}
	return p
}

// Ranked returns the peers in the order of their rank. [Chooser.Choose] takes peers in any order,
// but has less work with ranked ones.
func Ranked(peers []Peer) []Peer {
	out := make([]Peer, len(peers))
	for i := range peers {
		out[i] = withWeight(peers[i])
	}
	slices.SortFunc(out, compareRank)
	return out
}

// indexOf returns the position of an instance in the tree; -1 if it is not in it.
func (t tree) indexOf(id string) int {
	return slices.IndexFunc(t, func(p Peer) bool { return p.ID == id })
}

// parentOfSelf returns the instance that this one follows. The first instances of the data centres
// form one tree; the others follow an instance of their own data centre. So a change crosses to
// each data centre once. In a single tree over five data centres, it crossed to four in five of 295
// instances.
func (t tree) parentOfSelf(s *Settings) string {
	heads, own := t.split(s.DataCentre)
	if len(own) == 0 || own[0].ID == s.Self {
		return heads.parent(s, heads.indexOf(s.Self), s.Roots)
	}
	return own.parent(s, own.indexOf(s.Self), 1)
}

// split returns the first instance of each data centre, and all instances of one data centre.
func (t tree) split(dataCentre string) (heads, own tree) {
	seen := map[string]bool{}
	count := 0
	for i := range t {
		if t[i].DataCentre == dataCentre {
			count++
		}
	}
	own = make(tree, 0, count)
	for i := range t {
		p := &t[i]
		if !seen[p.DataCentre] {
			seen[p.DataCentre] = true
			heads = append(heads, *p)
		}
		if p.DataCentre == dataCentre {
			own = append(own, *p)
		}
	}
	return heads, own
}

// parent returns the instance that the one at index follows, where the first roots instances follow
// none. An instance that is not in the tree (index -1) follows as if it were last.
func (t tree) parent(s *Settings, index, roots int) string {
	if index < 0 {
		index = len(t)
	}
	// The followers of the first instance come right after the roots, then those of the second, and
	// so on.
	end := roots
	for i := range t {
		if end += s.maxFollowers(t[i].LinkMbps); index < end {
			return t[i].ID
		}
	}
	return t[len(t)-1].ID
}

// maxFollowers returns how many instances may follow one with a link of linkMbps Mbit/s; 0 stands
// for an unknown link.
func (s *Settings) maxFollowers(linkMbps int) int {
	if linkMbps == 0 {
		return s.DefaultFollowers
	}
	return min(max(int(float64(linkMbps)/s.FollowerMbps), s.MinFollowers), s.MaxFollowers)
}

package source

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWideLinksCarryTheMost: the pattern is a fleet of 295 of which 15 have ten times the bandwidth of the others. The
// wide ones are the first in the tree, no small one is followed by more than its link serves within the time that a
// change may take, and the way up stays short.
func TestWideLinksCarryTheMost(t *testing.T) {
	const instances, wide, wideLink, smallLink, mostOfSmall, longest = 295, 15, 200, 20, 8, 3
	f := newFleet(instances, 1)
	for i, id := range f.ids {
		link := smallLink
		if i < wide {
			link = wideLink
		}
		f.peers[id].Link, f.choosers[id].set.Link = link, link
	}
	f.step()
	ofWide := 0
	for id, n := range f.followers() {
		if f.peers[id].Link == wideLink {
			ofWide += n
			continue
		}
		assert.Assert(t, n <= mostOfSmall, "%d follow %s", n, id)
	}
	assert.Assert(t, ofWide >= 200, "%d follow one with a wide link", ofWide)
	for _, id := range f.ids {
		way := f.way(id)
		assert.Assert(t, way >= 0 && way <= longest, "%s: %d", id, way)
		if f.peers[id].Link == wideLink {
			assert.Assert(t, way <= 1, "%s: %d", id, way)
		}
	}
}

// TestFleetThatStartsAsksOnce: no instance knows anything yet. One of the region asks the store, all others follow it or
// each other in the same tree as later.
func TestFleetThatStartsAsksOnce(t *testing.T) {
	f := newFleet(295, 1)
	for _, p := range f.peers {
		p.Ready = false
	}
	f.step()
	assert.Equal(t, f.storeCalls, 1)
	for id, n := range f.followers() {
		assert.Assert(t, n <= DefaultSettings().Followers, "%d follow %s", n, id)
	}
}

// TestTreeStaysWithinDataCentres: the pattern is a fleet in five data centres whose traffic between them is paid for. What
// changes crosses to each of them once, the way up stays short, and all hear from the store also while the first of a
// data centre is dead or cut off.
func TestTreeStaysWithinDataCentres(t *testing.T) {
	const instances, dataCentres, longest = 295, 5, 4
	f := newFleet(instances, 1)
	for i, id := range f.ids {
		dc := fmt.Sprint("dc", i%dataCentres)
		f.peers[id].DataCentre, f.choosers[id].set.DataCentre = dc, dc
	}
	f.step()
	f.storeCalls = 0
	f.step()
	assert.Equal(t, f.storeCalls, 1)
	crossing := func() []string {
		var out []string
		for _, id := range f.ids {
			probe := *f.choosers[id]
			if p := probe.Choose(f.now, f.others(id), 1).Peer; p != "" && !f.dead[id] && f.peers[p].DataCentre != f.peers[id].DataCentre {
				out = append(out, id)
			}
		}
		return out
	}
	heads := crossing()
	assert.Equal(t, len(heads), dataCentres-1)
	for _, id := range f.ids {
		way := f.way(id)
		assert.Assert(t, way >= 0 && way <= longest, "%s: %d", id, way)
	}
	f.dead[heads[0]], f.unreachable[heads[1]] = true, true
	for range 3 {
		f.step()
	}
	assert.Equal(t, len(crossing()), dataCentres-1)
	for _, id := range f.ids {
		if !f.dead[id] {
			assert.Assert(t, f.way(id) >= 0, "%s", id)
		}
	}
}

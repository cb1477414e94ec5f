package source

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// 15 of 295 instances have ten times the bandwidth of the others. They must come first in the tree,
// an instance with a slow link must not get more followers than its link serves in time, and the
// path to the store must stay short.
func TestFastLinksServeMostFollowers(t *testing.T) {
	const instances, fast, fastMbps, slowMbps, maxSlowFollowers, maxHops = 295, 15, 200, 20, 8, 3
	f := newFleet(instances, 1)
	for i, id := range f.ids {
		link := slowMbps
		if i < fast {
			link = fastMbps
		}
		f.peers[id].LinkMbps, f.choosers[id].settings.LinkMbps = link, link
	}
	f.step()
	fastFollowers := 0
	for id, n := range f.followerCounts() {
		if f.peers[id].LinkMbps == fastMbps {
			fastFollowers += n
			continue
		}
		assert.Assert(t, n <= maxSlowFollowers, "%d follow %s", n, id)
	}
	assert.Assert(t, fastFollowers >= 200, "%d follow an instance with a fast link", fastFollowers)
	for _, id := range f.ids {
		hops := f.hopsToStore(id)
		assert.Assert(t, hops >= 0 && hops <= maxHops, "%s: %d", id, hops)
		if f.peers[id].LinkMbps == fastMbps {
			assert.Assert(t, hops <= 1, "%s: %d", id, hops)
		}
	}
}

// While a fleet starts, no instance is ready. One instance must ask the store and the others follow
// in the same tree as later; otherwise each of them would ask the store.
func TestStartingFleetAsksStoreOnce(t *testing.T) {
	f := newFleet(295, 1)
	for _, p := range f.peers {
		p.Ready = false
	}
	f.step()
	assert.Equal(t, f.storeCalls, 1)
	for id, n := range f.followerCounts() {
		assert.Assert(t, n <= DefaultSettings().DefaultFollowers, "%d follow %s", n, id)
	}
}

// Traffic between data centres is charged. A change must cross to each of five data centres once,
// over a short path, and all instances must get data when the first instance of a data centre is
// dead or can't reach the store.
func TestTreeStaysWithinDataCentres(t *testing.T) {
	const instances, dataCentres, maxHops = 295, 5, 4
	f := newFleet(instances, 1)
	for i, id := range f.ids {
		dc := fmt.Sprint("dc", i%dataCentres)
		f.peers[id].DataCentre, f.choosers[id].settings.DataCentre = dc, dc
	}
	f.step()
	f.storeCalls = 0
	f.step()
	assert.Equal(t, f.storeCalls, 1)
	crossing := func() []string {
		var out []string
		for _, id := range f.ids {
			chooser := *f.choosers[id]
			if p := chooser.Choose(f.now, f.others(id), 1).Peer; p != "" && !f.dead[id] && f.peers[p].DataCentre != f.peers[id].DataCentre {
				out = append(out, id)
			}
		}
		return out
	}
	heads := crossing()
	assert.Equal(t, len(heads), dataCentres-1)
	for _, id := range f.ids {
		hops := f.hopsToStore(id)
		assert.Assert(t, hops >= 0 && hops <= maxHops, "%s: %d", id, hops)
	}
	f.dead[heads[0]], f.unreachable[heads[1]] = true, true
	for range 3 {
		f.step()
	}
	assert.Equal(t, len(crossing()), dataCentres-1)
	for _, id := range f.ids {
		if !f.dead[id] {
			assert.Assert(t, f.hopsToStore(id) >= 0, "%s", id)
		}
	}
}

package source

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/rendezvous"
)

// fleet is a set of instances that choose their sources in virtual time. Each sees the state of all
// others at once.
type fleet struct {
	now      time.Duration
	ids      []string
	choosers map[string]*Chooser
	peers    map[string]*Peer
	// unreachable are the instances that the store does not answer; dead ones answer no one.
	unreachable, dead map[string]bool
	storeCalls        int
}

// newFleet returns a fleet whose instances are spread evenly over the regions.
func newFleet(instances, regions int) *fleet {
	f := &fleet{choosers: map[string]*Chooser{}, peers: map[string]*Peer{}, unreachable: map[string]bool{}, dead: map[string]bool{}}
	for i := range instances {
		id, region := fmt.Sprint("i", i), fmt.Sprint("r", i%regions)
		s := DefaultSettings()
		s.Self, s.Region = id, region
		f.ids = append(f.ids, id)
		f.choosers[id] = New(s)
		f.peers[id] = &Peer{ID: id, Region: region, Ready: true}
	}
	return f
}

// others returns the peers of an instance that are not dead.
func (f *fleet) others(id string) []Peer {
	var out []Peer
	for _, other := range f.ids {
		if other != id && !f.dead[other] {
			out = append(out, *f.peers[other])
		}
	}
	return out
}

// step advances the time by one watch and lets each instance ask its source once.
func (f *fleet) step() {
	f.now += 900 * time.Millisecond
	for _, id := range f.ids {
		if f.dead[id] {
			continue
		}
		f.ask(id)
		f.peers[id].StoreAccess = f.choosers[id].Access(f.now)
	}
}

// ask lets an instance choose a source and reports the outcome to its chooser.
func (f *fleet) ask(id string) {
	c := f.choosers[id]
	choice := c.Choose(f.now, f.others(id), 1)
	switch {
	case choice.Peer == "" && f.unreachable[id]:
		f.storeCalls++
		c.StoreFailed(f.now)
	case choice.Peer == "":
		f.storeCalls++
		c.StoreAnswered(f.now, time.Millisecond)
	case f.dead[choice.Peer]:
		c.PeerFailed(f.now, choice.Peer)
	case f.peers[choice.Peer].StoreAccess == StoreUnreachable:
		c.PeerStale(f.now, choice.Peer)
	}
}

// hopsToStore follows the choices from an instance to the store and returns the number of instances
// in between. It returns -1 if they form a cycle or end at an instance that the store does not
// answer.
func (f *fleet) hopsToStore(id string) int {
	for n := range len(f.ids) {
		chooser := *f.choosers[id] // a copy, so that the choice has no effect
		choice := chooser.Choose(f.now, f.others(id), 1)
		if choice.Peer == "" && chooser.unreachable { // a probe; the next choice is an instance
			choice = chooser.Choose(f.now, f.others(id), 1)
		}
		if choice.Peer == "" {
			if f.unreachable[id] {
				return -1
			}
			return n
		}
		id = choice.Peer
	}
	return -1
}

// followerCounts returns how many instances follow each one.
func (f *fleet) followerCounts() map[string]int {
	out := map[string]int{}
	for _, id := range f.ids {
		if f.dead[id] {
			continue
		}
		chooser := *f.choosers[id]
		if p := chooser.Choose(f.now, f.others(id), 1).Peer; p != "" {
			out[p]++
		}
	}
	return out
}

// Too many calls to the store, or followers of one instance, would make cost and load grow with the
// fleet. One instance per region asks the store, no instance has more than eight followers, and the
// path to the store is short.
func TestOneRootPerRegionAndBoundedFollowers(t *testing.T) {
	for _, c := range []struct{ instances, regions, maxHops int }{{1, 1, 0}, {9, 3, 1}, {87, 3, 2}, {400, 9, 2}, {300, 1, 3}} {
		f := newFleet(c.instances, c.regions)
		f.step()
		f.storeCalls = 0
		f.step()
		assert.Equal(t, f.storeCalls, c.regions, "%d instances", c.instances)
		for _, id := range f.ids {
			hops := f.hopsToStore(id)
			assert.Assert(t, hops >= 0 && hops <= c.maxHops, "%s of %d: %d", id, c.instances, hops)
		}
		for id, n := range f.followerCounts() {
			assert.Assert(t, n <= DefaultSettings().DefaultFollowers, "%d follow %s", n, id)
		}
	}
}

// The store does not answer some instances, for one seed the roots themselves. All instances must
// still get data, and the number of calls to the store must hardly rise.
func TestInstancesWithoutStoreFollowOthers(t *testing.T) {
	const instances, regions = 87, 3
	for seed := range 8 {
		f := newFleet(instances, regions)
		f.step()
		for i, id := range f.ids {
			if rendezvous.Weight(fmt.Sprint(seed), id)%100 < 35 || seed == 0 && i%regions == 0 {
				f.unreachable[id] = true
			}
		}
		const settle, steps = 6, 20
		for range settle {
			f.step()
		}
		f.storeCalls = 0
		for range steps {
			f.step()
			for _, id := range f.ids {
				assert.Assert(t, f.hopsToStore(id) >= 0, "seed %d: %s gets no data", seed, id)
			}
		}
		// Besides the roots, unreachable instances probe: first after 2 s, later every 30 s.
		assert.Assert(t, f.storeCalls < steps*regions*3, "seed %d: %d calls", seed, f.storeCalls)
	}
}

// An instance that does not answer may still be listed as alive. It must not be asked again during
// ExclusionPeriod.
func TestUnresponsivePeerIsExcluded(t *testing.T) {
	f := newFleet(29, 1)
	f.step()
	root := rendezvous.Rank("source", f.ids, 1)[0]
	c := f.choosers[firstExcept(f.ids, root)]
	peers := f.others(c.settings.Self)
	for i := range peers {
		if peers[i].ID == root {
			c.PeerFailed(f.now, root)
		}
	}
	assert.Assert(t, c.Choose(f.now, peers, 1).Peer != root)
	assert.Assert(t, c.Choose(f.now+DefaultSettings().ExclusionPeriod-1, peers, 1).Peer != root)
}

// firstExcept returns the first id that differs from excluded.
func firstExcept(ids []string, excluded string) string {
	for _, id := range ids {
		if id != excluded {
			return id
		}
	}
	return ""
}

// During an outage of the store, one instance per region keeps asking it and the others ask rarely.
// After the outage all instances must get data again within a few calls.
func TestStoreOutageForAll(t *testing.T) {
	f := newFleet(87, 3)
	f.step()
	for _, id := range f.ids {
		f.unreachable[id] = true
	}
	for range 100 {
		f.step()
		for _, id := range f.ids {
			f.peers[id].Ready = f.now < 4*time.Second
		}
	}
	f.storeCalls = 0
	const steps = 40
	for range steps {
		f.step()
	}
	// The first of each region asks in each step, the others once in 30 s.
	assert.Assert(t, f.storeCalls < steps*3+2*87, "%d calls", f.storeCalls)
	clear(f.unreachable)
	for range 3 {
		f.step()
		for _, id := range f.ids {
			f.peers[id].Ready = f.peers[id].StoreAccess != StoreUnreachable
		}
	}
	for _, id := range f.ids {
		assert.Assert(t, f.hopsToStore(id) >= 0, "%s gets no data", id)
	}
}

// While no instance has fresh data, those that do not ask the store wait at the one that they follow. They
// do not once one instance has fresh data.
func TestFollowersAwaitFreshData(t *testing.T) {
	const instances = 9
	f := newFleet(instances, 1)
	for _, id := range f.ids {
		f.unreachable[id] = true
	}
	for range 5 {
		f.step()
	}
	waiting := 0
	for _, id := range f.ids {
		choice := f.choosers[id].Choose(f.now, f.others(id), 1)
		assert.Equal(t, choice.AwaitFresh, choice.Peer != "", id)
		if choice.AwaitFresh {
			waiting++
		}
	}
	assert.Assert(t, waiting >= instances-2, "%d", waiting)
	f.peers["i0"].StoreAccess = StoreReachable
	f.now += DefaultSettings().ExclusionPeriod
	for _, id := range f.ids[1:] {
		assert.Assert(t, !f.choosers[id].Choose(f.now, f.others(id), 1).AwaitFresh, id)
	}
}

// When the root of a region loses the store, no instance has fresh data for a moment, and one that asks all
// others in turn excludes them all. It must not wait for the end of these exclusions once another instance
// says that the store answers it. That holds for the first in rank too, which asks the store otherwise.
func TestReachablePeerIsFollowedThoughExcluded(t *testing.T) {
	f := newFleet(9, 1)
	f.step()
	for _, id := range f.ids {
		c := f.choosers[id]
		c.StoreFailed(f.now)
		others := f.others(id)
		for i := range others {
			c.PeerStale(f.now, others[i].ID)
			others[i].StoreAccess = StoreUnreachable
		}
		others[4].StoreAccess = StoreReachable
		choice := c.Choose(f.now+time.Second, others, 1)
		assert.Equal(t, choice.Peer, others[4].ID, id)
		assert.Assert(t, choice.AwaitFresh)
		c.PeerFailed(f.now, others[4].ID)
		assert.Assert(t, c.Choose(f.now+time.Second, others, 1).Peer != others[4].ID, "one that does not answer is not asked")
	}
}

// An instance whose region has none to follow follows one of another region, and returns once its
// own region has one.
func TestOwnRegionIsPreferred(t *testing.T) {
	s := DefaultSettings()
	s.Self, s.Region = "a", "r0"
	c := New(s)
	c.StoreFailed(0)
	peers := []Peer{{ID: "b", Region: "r0", Ready: true, StoreAccess: StoreUnreachable}, {ID: "c", Region: "r1", Ready: true}, {ID: "d", Region: "r0"}}
	assert.Equal(t, c.Choose(1, peers, 1).Peer, "c")
	peers[0].StoreAccess = StoreUnknown
	assert.Equal(t, c.Choose(1, peers, 1).Peer, "b")
	peers[0].StoreAccess = StoreUnreachable
	c.PeerStale(1, "c")
	assert.Assert(t, c.Choose(1, peers, 1).Peer != "c") // no peer can be followed: one of the own region asks for all
	assert.Equal(t, c.Choose(2, peers, 0), Choice{Timeout: time.Second})
}

// A slow store gets more time for an answer, and so does a store that fails, since it may only be
// slow.
func TestStoreTimeout(t *testing.T) {
	for _, c := range []struct {
		name     string
		took     time.Duration
		failures int
		want     time.Duration
	}{
		{"calm", time.Millisecond, 0, 500 * time.Millisecond},
		{"slow", 300 * time.Millisecond, 0, 900 * time.Millisecond},
		{"very slow", 2 * time.Second, 0, 2500 * time.Millisecond},
		{"failed once, it may be slow", time.Millisecond, 1, time.Second},
		{"failing for long", time.Millisecond, 30, time.Second},
		{"slow and failing", 700 * time.Millisecond, 30, 2100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			chooser := New(DefaultSettings())
			chooser.StoreAnswered(0, c.took)
			for range c.failures {
				chooser.StoreFailed(0)
			}
			assert.Equal(t, chooser.storeTimeout(), c.want)
		})
	}
}

// An instance that the store does not answer probes it at growing intervals, except for the first
// in rank, which probes at the shortest interval.
func TestProbeIntervals(t *testing.T) {
	ids := []string{"a", "b", "c"}
	first := rendezvous.Rank("source", ids, 1)[0]
	for _, self := range ids {
		s := DefaultSettings()
		s.Self, s.Region = self, "r0"
		c := New(s)
		var peers []Peer
		for _, id := range ids {
			if id != self {
				peers = append(peers, Peer{ID: id, Region: "r0", Ready: true})
			}
		}
		c.StoreFailed(0)
		probes := 0
		for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
			if c.Choose(now, peers, 1).Peer == "" {
				probes++
				c.StoreFailed(now)
			}
		}
		if self == first {
			assert.Assert(t, probes >= 28 && probes <= 30, "%d", probes)
		} else {
			assert.Equal(t, probes, 4) // after 2, 6, 14 and 30 s
		}
		c.StoreAnswered(time.Minute, 0)
		assert.Assert(t, !c.unreachable)
	}
}

// One instance per region asks the store. A region that the store does not answer still gets data
// from another region.
func TestOneStoreReaderPerRegion(t *testing.T) {
	for _, c := range []struct{ instances, regions int }{{8, 2}, {9, 3}, {90, 4}, {295, 1}, {1000, 3}} {
		f := newFleet(c.instances, c.regions)
		f.step()
		f.storeCalls = 0
		f.step()
		assert.Equal(t, f.storeCalls, c.regions, "%d instances", c.instances)
		unreachable := map[string]bool{}
		for i, id := range f.ids {
			assert.Assert(t, f.hopsToStore(id) >= 0, "%s of %d", id, c.instances)
			unreachable[id] = c.regions > 1 && i%c.regions == 0
		}
		f.unreachable = unreachable
		const settle = 6
		for range settle {
			f.step()
		}
		for _, id := range f.ids {
			assert.Assert(t, f.hopsToStore(id) >= 0, "%s of %d, with a region that the store does not answer", id, c.instances)
		}
	}
}

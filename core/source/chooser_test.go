package source

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/rendezvous"
)

// fleet is instances that choose in virtual time; each hears of all others at once.
type fleet struct {
	now      time.Duration
	ids      []string
	choosers map[string]*Chooser
	peers    map[string]*Peer
	// unreachable are the instances that the store does not answer, dead those that answer nobody.
	unreachable, dead map[string]bool
	storeCalls        int
}

// newFleet returns a fleet whose instances are spread over some regions.
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

func (f *fleet) others(id string) []Peer {
	var out []Peer
	for _, other := range f.ids {
		if other != id && !f.dead[other] {
			out = append(out, *f.peers[other])
		}
	}
	return out
}

// step lets each instance ask once, whom it chooses. Knowledge is what the store told this step.
func (f *fleet) step() {
	f.now += 900 * time.Millisecond
	for _, id := range f.ids {
		if f.dead[id] {
			continue
		}
		f.ask(id)
		f.peers[id].Store = f.choosers[id].Access(f.now)
	}
}

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
		c.PeerSilent(f.now, choice.Peer)
	case f.peers[choice.Peer].Store == CutOff:
		c.PeerUseless(f.now, choice.Peer)
	}
}

// way follows the choices from an instance to the store; it returns how many instances are on it, and -1 when
// they lead in a ring or to one that the store does not answer.
func (f *fleet) way(id string) int {
	for n := range len(f.ids) {
		probe := *f.choosers[id] // a look leaves no mark
		choice := probe.Choose(f.now, f.others(id), 1)
		if choice.Peer == "" && probe.cutOff { // a probe; it asks an instance right after
			choice = probe.Choose(f.now, f.others(id), 1)
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

func (f *fleet) followers() map[string]int {
	out := map[string]int{}
	for _, id := range f.ids {
		if f.dead[id] {
			continue
		}
		probe := *f.choosers[id]
		if p := probe.Choose(f.now, f.others(id), 1).Peer; p != "" {
			out[p]++
		}
	}
	return out
}

// TestFewAskAndFewFollowOne: of any number of instances, one a region asks the store, at most eight follow
// the same one, and the way up is short.
func TestFewAskAndFewFollowOne(t *testing.T) {
	for _, c := range []struct{ instances, regions, longest int }{{1, 1, 0}, {9, 3, 1}, {87, 3, 2}, {400, 9, 2}, {300, 1, 3}} {
		f := newFleet(c.instances, c.regions)
		f.step()
		f.storeCalls = 0
		f.step()
		assert.Equal(t, f.storeCalls, c.regions, "%d instances", c.instances)
		for _, id := range f.ids {
			way := f.way(id)
			assert.Assert(t, way >= 0 && way <= c.longest, "%s of %d: %d", id, c.instances, way)
		}
		for id, n := range f.followers() {
			assert.Assert(t, n <= DefaultSettings().Followers, "%d follow %s", n, id)
		}
	}
}

// TestCutOffInstancesAreLedAround: the store turns instances away, at times those that ask it. All the others,
// and those turned away too, go on hearing from it, and it is hardly asked more often.
func TestCutOffInstancesAreLedAround(t *testing.T) {
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
				assert.Assert(t, f.way(id) >= 0, "seed %d: %s hears nothing", seed, id)
			}
		}
		// Besides the roots, those that are cut off ask now and then: each every 2 s, then every 30 s.
		assert.Assert(t, f.storeCalls < steps*regions*3, "seed %d: %d calls", seed, f.storeCalls)
	}
}

// TestDeadInstancesAreLeftOut: an instance that answers nobody, though it is still listed, is left after one try.
func TestDeadInstancesAreLeftOut(t *testing.T) {
	f := newFleet(29, 1)
	f.step()
	root := rendezvous.Rank("source", f.ids, 1)[0]
	c := f.choosers[other(f.ids, root)]
	peers := f.others(c.set.Self)
	for i := range peers {
		if peers[i].ID == root {
			c.PeerSilent(f.now, root)
		}
	}
	assert.Assert(t, c.Choose(f.now, peers, 1).Peer != root)
	assert.Assert(t, c.Choose(f.now+DefaultSettings().LeftOut-1, peers, 1).Peer != root)
}

func other(ids []string, than string) string {
	for _, id := range ids {
		if id != than {
			return id
		}
	}
	return ""
}

// TestStoreAwayForAll: while the store answers nobody, one instance a region asks it. When it is back, all
// hear from it again within a few calls.
func TestStoreAwayForAll(t *testing.T) {
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
	// The first of each region in each step, and the others once in 30 s.
	assert.Assert(t, f.storeCalls < steps*3+2*87, "%d calls", f.storeCalls)
	clear(f.unreachable)
	for range 3 {
		f.step()
		for _, id := range f.ids {
			f.peers[id].Ready = f.peers[id].Store != CutOff
		}
	}
	for _, id := range f.ids {
		assert.Assert(t, f.way(id) >= 0, "%s hears nothing", id)
	}
}

// TestOwnRegionFirst: an instance whose region has nobody to follow follows one of another one, and
// comes back when there is.
func TestOwnRegionFirst(t *testing.T) {
	s := DefaultSettings()
	s.Self, s.Region = "a", "r0"
	c := New(s)
	c.StoreFailed(0)
	peers := []Peer{{ID: "b", Region: "r0", Ready: true, Store: CutOff}, {ID: "c", Region: "r1", Ready: true}, {ID: "d", Region: "r0"}}
	assert.Equal(t, c.Choose(1, peers, 1).Peer, "c")
	peers[0].Store = Unknown
	assert.Equal(t, c.Choose(1, peers, 1).Peer, "b")
	peers[0].Store = CutOff
	c.PeerUseless(1, "c")
	assert.Assert(t, c.Choose(1, peers, 1).Peer != "c") // nobody is left: one of the own region asks for all
	assert.Equal(t, c.Choose(2, peers, 0), Choice{Patience: time.Second})
}

// TestPatience: a slow store is given more time, one that fails too where there is no other way.
func TestPatience(t *testing.T) {
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
			assert.Equal(t, chooser.patience(), c.want)
		})
	}
}

// TestProbes: an instance that is cut off asks the store again, less and less often, the first in rank often.
func TestProbes(t *testing.T) {
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
		assert.Assert(t, !c.cutOff)
	}
}

// TestRegionsAskOnce: one instance of a region asks the store, and a region that the store turns away hears from it even
// so.
func TestRegionsAskOnce(t *testing.T) {
	for _, c := range []struct{ instances, regions int }{{8, 2}, {9, 3}, {90, 4}, {295, 1}, {1000, 3}} {
		f := newFleet(c.instances, c.regions)
		f.step()
		f.storeCalls = 0
		f.step()
		assert.Equal(t, f.storeCalls, c.regions, "%d instances", c.instances)
		turnedAway := map[string]bool{}
		for i, id := range f.ids {
			assert.Assert(t, f.way(id) >= 0, "%s of %d", id, c.instances)
			turnedAway[id] = c.regions > 1 && i%c.regions == 0
		}
		f.unreachable = turnedAway
		const settle = 6
		for range settle {
			f.step()
		}
		for _, id := range f.ids {
			assert.Assert(t, f.way(id) >= 0, "%s of %d, with a region turned away", id, c.instances)
		}
	}
}

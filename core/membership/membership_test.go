package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network delivers pings between nodes in one goroutine. Time advances by intervals.
type network struct {
	now   time.Time
	set   Settings
	nodes map[string]*Node
	ids   []string
	rnd   *rand.Rand
	loss  float64
	cut   func(a, b string) bool
	pings int
}

func newNetwork(n int) *network {
	w := &network{now: epoch, set: DefaultSettings(), nodes: map[string]*Node{}, rnd: rand.New(rand.NewPCG(1, 2)), cut: func(string, string) bool { return false }}
	for i := range n {
		w.add(i)
	}
	return w
}

func (w *network) add(i int) *Node {
	id := fmt.Sprintf("n%03d", i)
	m := Member{ID: id, PeerAddress: id, Address: id, DataCentre: fmt.Sprint("dc", i%3), Process: uint64(i + 1), Incarnation: uint64(w.now.UnixNano())}
	if w.nodes[id] == nil {
		w.ids = append(w.ids, id)
	}
	w.nodes[id] = New(w.set, m, rand.New(rand.NewPCG(uint64(i), 9)))
	if i > 0 {
		w.nodes[id].Seed(w.now, Member{ID: "n000", PeerAddress: "n000"})
	}
	return w.nodes[id]
}

func (w *network) exchange(a, b string) bool {
	w.pings++
	from, to := w.nodes[a], w.nodes[b]
	if to == nil || w.cut(a, b) || w.rnd.Float64() < w.loss {
		return false
	}
	to.Receive(w.now, from.Updates(b))
	if w.rnd.Float64() < w.loss {
		return false
	}
	from.Receive(w.now, to.Updates(a))
	return true
}

func (w *network) carryOut(id string, a Action) {
	n := w.nodes[id]
	switch a := a.(type) {
	case Ping:
		if w.exchange(id, a.To.ID) {
			n.Answered(a.To.ID)
			return
		}
		for _, next := range n.Missed(w.now, a.To.ID) {
			w.carryOut(id, next)
		}
	case IndirectPing:
		if w.exchange(id, a.Via.ID) && w.exchange(a.Via.ID, a.Target.ID) {
			n.Answered(a.Target.ID)
			return
		}
		n.MissedIndirect(w.now, a.Target.ID)
	}
}

func (w *network) round() {
	w.now = w.now.Add(w.set.Interval)
	for _, id := range w.ids {
		if n := w.nodes[id]; n != nil {
			n.SetStats(0, 0)
			for _, a := range n.Tick(w.now) {
				w.carryOut(id, a)
			}
		}
	}
}

// roundsUntil advances intervals until the predicate holds at all nodes, and returns how many it
// took; -1 if more than limit.
func (w *network) roundsUntil(limit int, agreed func(*Node) bool) int {
	for r := range limit {
		all := true
		for _, n := range w.nodes {
			if n != nil && !agreed(n) {
				all = false
			}
		}
		if all {
			return r
		}
		w.round()
	}
	return -1
}

func countAlive(n *Node) int {
	c := 0
	for _, m := range n.Members() {
		if m.State == Alive {
			c++
		}
	}
	return c
}

func believes(id string, s State) func(*Node) bool {
	return func(n *Node) bool {
		m, ok := n.Get(id)
		return ok && m.State == s
	}
}

func TestAllDiscoverEachOtherFromOneSeed(t *testing.T) {
	for _, size := range []int{3, 9, 50} {
		w := newNetwork(size)
		r := w.roundsUntil(60, func(n *Node) bool { return countAlive(n) == size })
		assert.Assert(t, r >= 0, "%d nodes did not discover each other", size)
	}
}

func TestFailureIsSuspectedBeforeDead(t *testing.T) {
	w := newNetwork(9)
	w.roundsUntil(60, func(n *Node) bool { return countAlive(n) == 9 })
	w.nodes["n004"] = nil
	suspected := w.roundsUntil(20, func(n *Node) bool { m, _ := n.Get("n004"); return m.State != Alive })
	assert.Assert(t, suspected >= 0 && suspected <= 8, "suspected after %d intervals", suspected)
	dead := w.roundsUntil(30, believes("n004", Dead))
	assert.Assert(t, dead >= 1, "declared dead after %d intervals", dead)
}

// TestMessageLossDeclaresNobodyDead checks that nobody is declared dead while a tenth of the
// messages is lost.
func TestMessageLossDeclaresNobodyDead(t *testing.T) {
	w := newNetwork(9)
	w.roundsUntil(60, func(n *Node) bool { return countAlive(n) == 9 })
	w.loss = 0.1
	for range 500 {
		w.round()
		for _, n := range w.nodes {
			for _, m := range n.Members() {
				assert.Assert(t, m.State != Dead, "%s is declared dead", m.ID)
			}
		}
	}
}

// TestPartitionHeals checks that both sides of a partition of an hour find each other again without
// an operator.
func TestPartitionHeals(t *testing.T) {
	w := newNetwork(9)
	w.roundsUntil(60, func(n *Node) bool { return countAlive(n) == 9 })
	side := func(id string) bool { return id < "n004" }
	w.cut = func(a, b string) bool { return side(a) != side(b) }
	r := w.roundsUntil(100, func(n *Node) bool {
		if side(n.Self().ID) {
			return countAlive(n) == 4
		}
		return countAlive(n) == 5
	})
	assert.Assert(t, r >= 0, "the sides still see each other as alive")
	for range 3600 * 2 { // an hour
		w.round()
	}
	w.cut = func(string, string) bool { return false }
	r = w.roundsUntil(120, func(n *Node) bool { return countAlive(n) == 9 })
	assert.Assert(t, r >= 0 && r <= 40, "healed after %d intervals", r)
}

func TestLeavingPropagates(t *testing.T) {
	w := newNetwork(9)
	w.roundsUntil(60, func(n *Node) bool { return countAlive(n) == 9 })
	w.nodes["n003"].Leave()
	r := w.roundsUntil(20, func(n *Node) bool { m, _ := n.Get("n003"); return m.Leaving })
	assert.Assert(t, r >= 0 && r <= 8, "known after %d intervals", r)
	for _, n := range w.nodes {
		for _, m := range EntryMembers(n.Members(), "dc0", w.rnd) {
			assert.Assert(t, m.ID != "n003")
		}
	}
}

// TestAliveUpdateIsPassedOnOnce checks that with direct updates a node passes on only once that a
// member is alive. When hundreds of members start at once, passing each on several times delays
// discovery.
func TestAliveUpdateIsPassedOnOnce(t *testing.T) {
	const size = 40
	set := DefaultSettings()
	set.DirectUpdates, set.RepairEvery = true, 1<<30
	n := New(set, Member{ID: "self", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	news := []Member{{ID: "n", Incarnation: 1}}
	for i := range size {
		news = append(news, Member{ID: fmt.Sprint("m", i), Incarnation: 1})
	}
	news = append(news, Member{ID: "lost", Incarnation: 1, State: Suspect})
	n.Receive(epoch, news)
	told := map[string]int{}
	for range 40 * size {
		for _, m := range n.Updates("to")[1:] {
			told[m.ID]++
		}
	}
	for i := range size {
		assert.Equal(t, told[fmt.Sprint("m", i)], 1)
	}
	assert.Assert(t, told["lost"] > 5, "the loss of a member has to be passed on several times, since one node finds it out: %d times", told["lost"])
}

// TestRestartWithOlderIncarnation checks that an instance that starts again with its clock set
// back, and so under an older incarnation, is alive again to all.
func TestRestartWithOlderIncarnation(t *testing.T) {
	w := newNetwork(9)
	w.roundsUntil(60, func(n *Node) bool { return countAlive(n) == 9 })
	w.nodes["n004"] = nil
	w.roundsUntil(60, believes("n004", Dead))
	fresh := w.add(4)
	fresh.self.Process = 77
	fresh.self.Incarnation = 1 // its clock was set back
	r := w.roundsUntil(60, func(n *Node) bool { m, _ := n.Get("n004"); return m.State == Alive && m.Process == 77 })
	assert.Assert(t, r >= 0)
}

func TestMemberRefutesWrongUpdates(t *testing.T) {
	n := New(DefaultSettings(), Member{ID: "a", Process: 1, Incarnation: 5}, rand.New(rand.NewPCG(1, 1)))
	for _, wrong := range []Member{
		{ID: "a", Process: 1, Incarnation: 5, State: Suspect},
		{ID: "a", Process: 1, Incarnation: 9, State: Dead},
		{ID: "a", Process: 2, Incarnation: 10},
	} {
		n.Receive(epoch, []Member{wrong})
		assert.Equal(t, n.Self().Incarnation, wrong.Incarnation+1)
	}
	n.Receive(epoch, []Member{{ID: "a", Process: 2, Incarnation: 3, State: Dead}}) // outdated
	assert.Equal(t, n.Self().Incarnation, uint64(11))
}

func TestSupersedes(t *testing.T) {
	known := Member{ID: "b", Incarnation: 5, State: Suspect}
	for name, c := range map[string]struct {
		news Member
		want bool
	}{
		"older":                     {Member{Incarnation: 4, State: Dead}, false},
		"same":                      {Member{Incarnation: 5, State: Suspect}, false},
		"alive, same incarnation":   {Member{Incarnation: 5}, false},
		"dead, same incarnation":    {Member{Incarnation: 5, State: Dead}, true},
		"alive, higher incarnation": {Member{Incarnation: 6}, true},
		"leaving":                   {Member{Incarnation: 5, State: Suspect, Leaving: true}, true},
	} {
		assert.Equal(t, c.news.supersedes(&known), c.want, name)
	}
}

func TestEntryMembersRanksAndSpreads(t *testing.T) {
	members := []Member{
		{ID: "far", DataCentre: "x"}, {ID: "dead", DataCentre: "y", State: Dead}, {ID: "busy", DataCentre: "y", OpenRequests: 100},
		{ID: "suspect", DataCentre: "y", State: Suspect}, {ID: "leaving", DataCentre: "y", Leaving: true},
		{ID: "a", DataCentre: "y", OpenRequests: 1}, {ID: "b", DataCentre: "y", OpenRequests: 2},
	}
	first := map[string]int{}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		out := EntryMembers(members, "y", rnd)
		assert.Equal(t, len(out), 4)
		assert.Equal(t, out[2].ID, "busy")
		assert.Equal(t, out[3].ID, "far")
		first[out[0].ID]++
	}
	assert.Assert(t, first["a"] > 400 && first["b"] > 400, "%v", first)
}

// BenchmarkInterval measures one interval of a node: its own ping, and the answer to one of
// another node.
func BenchmarkInterval(b *testing.B) {
	for _, size := range []int{9, 50, 400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newNetwork(size)
			w.roundsUntil(200, func(n *Node) bool { return countAlive(n) == size })
			w.pings = 0
			b.ReportAllocs()
			for b.Loop() {
				w.round()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/node")
			b.ReportMetric(float64(w.pings)/float64(b.N)/float64(size), "pings/node")
		})
	}
}

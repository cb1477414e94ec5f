package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/platform"
)

// list is the store's list of instances.
type list struct {
	mu      sync.Mutex
	objects map[string]json.RawMessage
	calls   int
}

func (l *list) ListStale(context.Context, string) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var page platform.Page
	for _, name := range slices.Sorted(maps.Keys(l.objects)) {
		page.Objects = append(page.Objects, platform.Object{Name: name, Spec: l.objects[name]})
	}
	return page, nil
}

func (l *list) Create(_ context.Context, _, name string, spec json.RawMessage) (platform.Object, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.objects[name] = spec
	l.calls++
	return platform.Object{Name: name, Spec: spec}, nil
}

func (l *list) Replace(ctx context.Context, kind, name string, spec json.RawMessage, _ uint64) (platform.Object, error) {
	return l.Create(ctx, kind, name, spec)
}

// node is one instance of a test fleet: what it knows of endpoints, and its exchange.
type node struct {
	*Exchange
	index int
	ready atomic.Bool
	stop  context.CancelFunc
	log   *logrus.Logger

	mu    sync.Mutex
	told  routing.Told
	uses  map[string]limits.Counted
	view  *routing.View
	heard map[string]map[string]limits.Counted
}

func (n *node) Told() routing.Told {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.told
}

func (n *node) counted() map[string]limits.Counted {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.uses)
}

func (n *node) Heard(instance string, t routing.Told, uses map[string]limits.Counted) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetPeer(time.Now(), instance, t)
	n.heard[instance] = uses
}

func (n *node) SetOwned(owned func(string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetOwned(owned)
}

func (n *node) Summary(endpoint, asking string, prompt uint64) (routing.Summary, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Summary(time.Now(), endpoint, asking, prompt)
}

func (n *node) Learn(s *routing.Summary, prompt uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Learn(time.Now(), s, prompt)
}

// repeats returns what all data centres have sent again, as this instance heard.
func (n *node) repeats() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := uint64(0)
	for _, uses := range n.heard {
		sum += uses["s"].Repeats
	}
	return sum
}

// fleet is instances on a network in memory, in virtual time.
type fleet struct {
	*testing.T
	net   *memnet.Net
	began time.Time
	store *list
	nodes []*node
}

const fleetDataCentres = 5

// runFleet starts n instances whose entries the store has or not, lets them come together, and runs f.
func runFleet(t *testing.T, n int, known bool, f func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fleet{T: t, net: memnet.New(), began: time.Now(), store: &list{objects: map[string]json.RawMessage{}}}
		for i := range n {
			if known {
				w.list(i)
			}
		}
		for i := range n {
			w.start(i)
		}
		defer func() {
			for _, node := range w.nodes {
				node.stop()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(5 * time.Second)
		f(w)
	})
}

func peersAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:83", i/250, i%250+1) }

func (w *fleet) self(i int) Peer {
	p := Peer{
		ID: fmt.Sprintf("front-hall-%d-%d", i%fleetDataCentres, i), Callers: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), Peers: peersAddress(i),
		DataCentre: fmt.Sprint("hall-", i%fleetDataCentres), Region: "south", Link: 20,
	}
	if i < 3*fleetDataCentres {
		p.Link = 200
	}
	return p
}

func (w *fleet) list(i int) {
	s := w.self(i)
	raw, err := json.Marshal(entry{s.Callers, s.Peers, s.DataCentre, s.Region})
	assert.NilError(w, err)
	w.store.objects[s.ID] = raw
}

// start starts an instance, or starts it again.
func (w *fleet) start(i int) *node {
	name := fmt.Sprint("f", i)
	w.net.SetCrashed(name, false)
	conn, err := w.net.Node(name).ListenPacket(peersAddress(i))
	assert.NilError(w, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{index: i, log: log, uses: map[string]limits.Counted{}, view: routing.NewView(routing.DefaultSettings()), heard: map[string]map[string]limits.Counted{}}
	n.ready.Store(true)
	n.Exchange = New(Options{
		Self: w.self(i), Conn: conn, Store: w.store, Ready: n.ready.Load, Access: func() source.Access { return source.Unknown },
		Endpoints: n, Uses: n.counted, Clock: func() time.Duration { return time.Since(w.began) + time.Hour },
		Log: logrus.NewEntry(log), Scope: tally.NewTestScope("", nil),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.Run(ctx)
	if i < len(w.nodes) {
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	return n
}

// kill ends an instance as a kill does.
func (w *fleet) kill(i int) {
	w.net.SetCrashed(fmt.Sprint("f", i), true)
	w.nodes[i].stop()
}

func (n *node) knows(id string) bool {
	return slices.ContainsFunc(n.Others(), func(p Peer) bool { return p.ID == id })
}

// until returns how long it takes until all instances but some agree on something.
func (w *fleet) until(most time.Duration, agreed func(*node) bool, but ...int) time.Duration {
	began := time.Now()
	for time.Since(began) < most {
		if !slices.ContainsFunc(w.nodes, func(n *node) bool { return !slices.Contains(but, n.index) && !agreed(n) }) {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return most
}

// datagrams returns how many datagrams and bytes all instances have sent.
func (w *fleet) datagrams() (count, bytes int64) {
	for _, n := range w.nodes {
		for _, c := range n.Scope.(tally.TestScope).Snapshot().Counters() {
			switch c.Name() {
			case "datagrams_sent_total":
				count += c.Value()
			case "datagram_bytes_sent_total":
				bytes += c.Value()
			}
		}
	}
	return count, bytes
}

// sizes of the fleets in the tests below: today's small ones, the large ones, and the target's with room.
func sizes() []int {
	if raceEnabled {
		return []int{30, 100}
	}
	return []int{30, 100, 300, 1000}
}

// TestWhoIsAlive: whatever the size of the fleet, a death is known to all within 3 s and a start within 1 s, and what an
// instance sends in calm times does not grow.
func TestWhoIsAlive(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, true, func(w *fleet) {
				all := func(n *node) bool { return len(n.Others()) == size-1 }
				assert.Equal(w, w.until(time.Second, all), time.Duration(0), "all know all after the start")
				time.Sleep(30 * time.Second) // what is passed on of the start is over
				count, bytes := w.datagrams()
				const calm = 10 * time.Second
				time.Sleep(calm)
				count2, bytes2 := w.datagrams()
				perSecond := float64(size) * calm.Seconds()
				w.Logf("%d instances: %.1f datagrams and %.0f bytes a second each", size, float64(count2-count)/perSecond, float64(bytes2-bytes)/perSecond)
				if size > directMost {
					assert.Assert(w, float64(bytes2-bytes)/perSecond < 2000)
				}
				for _, victim := range []int{0, size / 2, size - 1} {
					id := w.self(victim).ID
					w.kill(victim)
					took := w.until(10*time.Second, func(n *node) bool { return !n.knows(id) }, victim)
					w.Logf("%d instances: a death known to all after %v", size, took)
					assert.Assert(w, took <= 3*time.Second, "%v", took)
					w.start(victim)
					took = w.until(10*time.Second, func(n *node) bool { return n.knows(id) || n.index == victim })
					w.Logf("%d instances: a start known to all after %v", size, took)
					assert.Assert(w, took <= time.Second, "%v", took)
				}
			})
		})
	}
}

// TestHalfOfAFleetDies: the pattern is a kill of many at the same moment, those that sum up among them. All are left out
// by all others within 3 s, and back within 1 s of their start.
func TestHalfOfAFleetDies(t *testing.T) {
	const size = 100
	runFleet(t, size, true, func(w *fleet) {
		var dead []int
		for i := range size {
			if i%2 == 0 {
				dead = append(dead, i)
				w.kill(i)
			}
		}
		left := func(n *node) bool { return len(n.Others()) == size/2-1 }
		took := w.until(10*time.Second, left, dead...)
		assert.Assert(w, took <= 3*time.Second, "%v", took)
		for _, i := range dead {
			w.start(i)
		}
		took = w.until(10*time.Second, func(n *node) bool { return len(n.Others()) == size-1 })
		assert.Assert(w, took <= time.Second, "%v", took)
	})
}

// TestFirstStartOfAFleet: nobody is in the store's list. All find each other, each writes once.
func TestFirstStartOfAFleet(t *testing.T) {
	const size = 60
	runFleet(t, size, false, func(w *fleet) {
		for _, n := range w.nodes {
			assert.Equal(w, len(n.Others()), size-1)
		}
		assert.Equal(w, w.store.calls, size)
	})
}

// TestWhoeverIsCutOffSuspectsNobody: an instance that hears nothing goes on with what it knows, and when it is heard
// again nobody else is doubted.
func TestWhoeverIsCutOffSuspectsNobody(t *testing.T) {
	const size, cut = 80, 7
	runFleet(t, size, true, func(w *fleet) {
		w.net.SetCut(func(a, b string) bool { return (a == fmt.Sprint("f", cut)) != (b == fmt.Sprint("f", cut)) })
		time.Sleep(6 * time.Second)
		assert.Equal(w, len(w.nodes[cut].Others()), size-1)
		for _, n := range w.nodes {
			if n.index != cut {
				assert.Assert(w, !n.knows(w.self(cut).ID))
			}
		}
		w.net.SetCut(func(string, string) bool { return false })
		took := w.until(30*time.Second, func(n *node) bool { return len(n.Others()) == size-1 })
		assert.Assert(w, took <= 5*time.Second, "%v", took)
	})
}

// TestLeavingIsKnownAtOnce: no caller is sent to an instance that has said that it stops.
func TestLeavingIsKnownAtOnce(t *testing.T) {
	const size = 80
	runFleet(t, size, true, func(w *fleet) {
		w.nodes[3].ready.Store(false)
		w.nodes[3].Now()
		took := w.until(time.Second, func(n *node) bool { return !slices.Contains(n.Entry("hall-3", "south"), w.self(3).Callers) })
		assert.Assert(w, took <= 50*time.Millisecond, "%v", took)
	})
}

// TestClockSetBack: an instance that starts again while its clock is behind is believed what it says.
func TestClockSetBack(t *testing.T) {
	const size = 8
	runFleet(t, size, true, func(w *fleet) {
		w.kill(2)
		n := w.start(2)
		n.Exchange.mu.Lock()
		n.members.node.SetIncarnation(1)
		n.Exchange.mu.Unlock()
		time.Sleep(2 * time.Second)
		n.ready.Store(false)
		n.Now()
		took := w.until(time.Second, func(n *node) bool { return !slices.Contains(n.Entry("hall-2", "south"), w.self(2).Callers) })
		assert.Assert(w, took <= 300*time.Millisecond, "%v", took)
	})
}

// TestSumsAreFresh: what all instances sent again is known to all within two seconds, also when the one that sums up has
// just died.
func TestSumsAreFresh(t *testing.T) {
	const size, sent = 100, 10
	runFleet(t, size, true, func(w *fleet) {
		assert.Equal(w, w.nodes[0].repeats(), uint64(0))
		for _, n := range w.nodes {
			n.mu.Lock()
			n.uses["s"] = limits.Counted{Requests: 100, Repeats: sent}
			n.mu.Unlock()
		}
		took := w.until(10*time.Second, func(n *node) bool { return n.repeats() == size*sent })
		w.Logf("sums known to all after %v", took)
		assert.Assert(w, took <= 2*time.Second, "%v", took)
	})
}

// TestOwnersKnowAll: in a fleet too large for all to tell all, an instance that asks knows what each other one has placed
// at an engine, a moment after it was placed and a moment after it ended.
func TestOwnersKnowAll(t *testing.T) {
	const size, engine, prompt = 100, "i-engine", 0xb1
	runFleet(t, size, true, func(w *fleet) {
		for _, n := range w.nodes {
			n.mu.Lock()
			n.view.Upsert(routing.Endpoint{ID: engine, Service: "engines", Slots: 6, Memory: 88000})
			n.mu.Unlock()
		}
		place := func(i int, told routing.Told) {
			n := w.nodes[i]
			n.mu.Lock()
			n.told = told
			n.mu.Unlock()
			n.Changed(engine)
		}
		unread := func(i int) int {
			n := w.nodes[i]
			n.Ask(w.Context(), prompt, []string{engine})
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.view.Unread(time.Now(), engine)
		}
		for i := range 3 {
			place(i, routing.Told{Placed: map[string]routing.Placed{engine: {Open: 1, Tokens: 9400, Unread: 8000}}})
		}
		time.Sleep(2 * changeGap)
		for i := 3; i < size; i++ {
			assert.Equal(w, unread(i), 3*8000, "instance %d", i)
		}
		assert.Equal(w, unread(0), 2*8000, "its own is not counted twice")
		place(0, routing.Told{Read: []routing.Read{{Endpoint: engine, Prompt: prompt}}})
		place(1, routing.Told{})
		time.Sleep(2 * changeGap)
		for i := 3; i < size; i++ {
			assert.Equal(w, unread(i), 8000, "instance %d", i)
			assert.Assert(w, w.nodes[i].view.Holds(time.Now(), prompt))
		}
		owner := w.nodes[50].roster().owners(engine)[0]
		for i, n := range w.nodes {
			if n.Self.ID == owner {
				w.kill(i)
			}
		}
		for i := 3; i < size; i++ {
			if w.nodes[i].Self.ID != owner {
				assert.Equal(w, unread(i), 8000, "instance %d asks the second owner", i)
			}
		}
	})
}

// TestNoAnswerIsNotWaitedFor: owners that are all lost cost a choice 25 ms.
func TestNoAnswerIsNotWaitedFor(t *testing.T) {
	const size, engine = 100, "i-engine"
	runFleet(t, size, true, func(w *fleet) {
		asking := 0
		for w.nodes[asking].roster().owned(engine) {
			asking++
		}
		w.net.SetCut(func(a, _ string) bool { return a == fmt.Sprint("f", asking) })
		began := time.Now()
		w.nodes[asking].Ask(w.Context(), 1, []string{engine})
		assert.Equal(w, time.Since(began), askTimeout)
	})
}

package sharedqueue

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/fairqueue"
)

const testService = "engines"

// testFleet is a set of instances whose messages take a millisecond, in virtual time.
type testFleet struct {
	*testing.T
	mu    sync.Mutex
	nodes []*testNode
	// lost reports whether a message between two instances is lost; nil for none.
	lost func(from, to string) bool
	// room is the number of requests that engines still take, and granted what they took.
	room, granted int
	endpoints     int
	sent          int // messages
	wg            sync.WaitGroup
}

// testNode is an instance. owners is what it believes of the owners of a queue.
type testNode struct {
	fleet  *testFleet
	name   string
	owners []string
	client *Client
	owner  *Owner
	// run ends with the process.
	run  context.Context
	stop context.CancelFunc
	// paused holds back what arrives, in held. deaf drops it, as a build does that does not know the
	// messages.
	paused, deaf bool
	// older makes the node an owner of a build that does not take renewals by id: it takes what they add to a
	// message for requests that have left.
	older bool
	// full and short count the requests that updates to it listed and renewed by id.
	full, short int
	held        []func()
	updates     int
}

// runFleet starts instances n0 to n(n-1); n0 and n1 own the queue.
func runFleet(t *testing.T, n int, f func(*testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testFleet{T: t, endpoints: 24}
		for i := range n {
			w.nodes = append(w.nodes, &testNode{fleet: w, name: fmt.Sprint("n", i), owners: []string{"n0", "n1"}})
			w.nodes[i].start(uint64(100 + i))
		}
		defer func() {
			for _, node := range w.nodes {
				node.stop()
			}
			w.wg.Wait()
			time.Sleep(2 * time.Minute)
		}()
		f(w)
	})
}

// start starts an instance, or starts it again with nothing known.
func (n *testNode) start(process uint64) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	endpoints := func(service string) int {
		if service != testService {
			return 0
		}
		return n.fleet.endpoints
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	owner := NewOwner(OwnerOptions{Self: n.name, Process: process, Network: n, Deliver: func(s *State) { n.client.ReceiveState(s) }, Endpoints: endpoints, LogRefusal: func(logrus.Fields) {}})
	n.owner = owner
	n.client = NewClient(ClientOptions{Self: n.name, Process: process, Network: n, Local: owner, Endpoints: endpoints, Log: logrus.NewEntry(log), Scope: tally.NewTestScope("", nil)})
	ctx, cancel := context.WithCancel(context.Background())
	n.run, n.stop = ctx, cancel
	go n.client.Run(ctx)
	go owner.Run(ctx)
}

func (n *testNode) QueueOwners(string) []string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return slices.Clone(n.owners)
}

func (n *testNode) SendQueueUpdate(owner string, u *Update) {
	n.fleet.send(n.name, owner, func(to *testNode) func() {
		to.updates++
		to.full += len(u.Waiting)
		to.short += len(u.Renewed)
		o := to.owner
		if to.older && len(u.Renewed) > 0 {
			copied := *u
			copied.Left, copied.Renewed = append(slices.Clone(u.Left), u.Renewed...), nil
			return func() { o.ReceiveUpdate(&copied) }
		}
		return func() { o.ReceiveUpdate(u) }
	})
}

func (n *testNode) SendQueueState(instance string, s *State) {
	n.fleet.mu.Lock()
	older := n.older
	n.fleet.mu.Unlock()
	if older {
		s.ShortRenewals, s.Unknown = false, nil
	}
	n.fleet.send(n.name, instance, func(to *testNode) func() {
		c := to.client
		return func() { c.ReceiveState(s) }
	})
}

// send delivers a message after a millisecond, in the order of the calls. receive returns what the receiver does with it.
func (w *testFleet) send(from, to string, receive func(*testNode) func()) {
	w.mu.Lock()
	w.sent++
	delay := time.Millisecond + time.Duration(w.sent)
	w.mu.Unlock()
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		i := slices.IndexFunc(w.nodes, func(n *testNode) bool { return n.name == to })
		if i < 0 || w.nodes[i].deaf || w.lost != nil && w.lost(from, to) {
			w.mu.Unlock()
			return
		}
		do := receive(w.nodes[i])
		if w.nodes[i].paused {
			w.nodes[i].held = append(w.nodes[i].held, do)
			do = func() {}
		}
		w.mu.Unlock()
		do()
	})
}

// set changes the fleet while messages are under way.
func (w *testFleet) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// resume lets a paused instance take what arrived meanwhile.
func (w *testFleet) resume(n *testNode) {
	var held []func()
	w.set(func() { held, n.held, n.paused = n.held, nil, false })
	for _, do := range held {
		do()
	}
}

// claim takes room at an engine.
func (w *testFleet) claim() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.room == 0 {
		return false
	}
	w.room--
	w.granted++
	return true
}

// grantedSoFar returns how many requests engines took.
func (w *testFleet) grantedSoFar() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.granted
}

// result is how a request ended, and when.
type result struct {
	end  string // placed, refused, own queue, died or timed out
	took time.Duration
	// firstTurn is when it first had a turn; 0 for never.
	firstTurn time.Duration
}

// maxTestWait bounds the wait of the tests' requests.
const maxTestWait = 3 * time.Second

// wait joins the queue and acts as a request does that looks for room while it has a turn.
func (n *testNode) wait(level int, team string) chan result {
	out := make(chan result, 1)
	n.fleet.wg.Go(func() { out <- n.waitNow(level, team) })
	return out
}

func (n *testNode) waitNow(level int, team string) (r result) {
	began := time.Now()
	run := n.run
	t := n.client.Join(testService, fairqueue.Request{Level: level, Team: team, Tokens: 9000, Since: began, Latest: began.Add(maxTestWait)})
	if t == nil {
		return result{end: "own queue"}
	}
	defer func() {
		t.Leave(r.end == "placed")
		r.took = time.Since(began)
	}()
	for time.Since(began) < maxTestWait {
		s := t.Status()
		switch {
		case run.Err() != nil:
			r.end = "died"
			return r
		case s.Refused != nil:
			r.end = "refused"
			return r
		case s.NoOwner:
			r.end = "own queue"
			return r
		case s.Turn:
			if r.firstTurn == 0 {
				r.firstTurn = time.Since(began)
			}
			if n.fleet.claim() {
				r.end = "placed"
				return r
			}
		}
		timeout := time.NewTimer(20 * time.Millisecond)
		select {
		case <-t.Changed():
		case <-timeout.C:
		}
		timeout.Stop()
	}
	r.end = "timed out"
	return r
}

// ends returns how many requests ended in each way.
func ends(results []chan result) map[string]int {
	out := map[string]int{}
	for _, c := range results {
		out[(<-c).end]++
	}
	return out
}

// waitingAt returns the number of requests in the queues of an instance.
func (n *testNode) waitingAt() int {
	n.owner.mu.Lock()
	defer n.owner.mu.Unlock()
	sum := 0
	for _, q := range n.owner.queues {
		sum += q.queue.Waiting()
	}
	return sum
}

// updatesReceived returns how many updates an instance received.
func (n *testNode) updatesReceived() int {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.updates
}

// TestTurnComesAtOnce guards against a delay where nobody else waits: the first request has a turn
// after one round trip, at the owner itself and at another instance.
func TestTurnComesAtOnce(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		w.room = 2
		for _, n := range []*testNode{w.nodes[0], w.nodes[2]} {
			r := <-n.wait(0, "desk")
			assert.Equal(t, r.end, "placed")
			assert.Assert(t, r.took <= 10*time.Millisecond, "%v", r.took)
			time.Sleep(time.Second)
		}
	})
}

// TestMoreUrgentGoesFirst: of requests at several instances, the most urgent ones have the turns as
// long as there are that many, and get all room.
func TestMoreUrgentGoesFirst(t *testing.T) {
	const turns, room = 4, 8
	runFleet(t, 6, func(w *testFleet) {
		var urgent, others []chan result
		for _, n := range w.nodes {
			for range 3 {
				others = append(others, n.wait(2, "desk"))
			}
		}
		time.Sleep(100 * time.Millisecond)
		for i := range room + turns {
			urgent = append(urgent, w.nodes[i%len(w.nodes)].wait(0, "desk"))
		}
		time.Sleep(50 * time.Millisecond)
		w.set(func() { w.room = room })
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, w.grantedSoFar(), room)
		assert.Equal(t, ends(urgent)["placed"], room)
		assert.Equal(t, ends(others)["placed"], 0)
	})
}

// TestOwnerKilled: the owner dies while requests wait. The second owner has them within the time of
// a renewal and of the answer that does not come.
func TestOwnerKilled(t *testing.T) {
	runFleet(t, 4, func(w *testFleet) {
		var results []chan result
		for range 3 {
			results = append(results, w.nodes[2].wait(0, "desk"), w.nodes[3].wait(1, "field"))
		}
		time.Sleep(500 * time.Millisecond)
		w.set(func() { w.nodes[0].deaf = true })
		w.nodes[0].stop()
		time.Sleep(renewalInterval + answerTimeout + minInterval)
		assert.Equal(t, w.nodes[1].waitingAt(), 6)
		w.set(func() { w.room = 6 })
		time.Sleep(200 * time.Millisecond)
		assert.DeepEqual(t, ends(results), map[string]int{"placed": 6})
	})
}

// TestCutOff: an instance that reaches no owner tells its requests so within a renewal and two
// answers that do not come, and new requests are not kept waiting for either.
func TestCutOff(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		n := w.nodes[2]
		waiting := n.wait(0, "desk")
		time.Sleep(500 * time.Millisecond)
		w.set(func() { w.lost = func(from, to string) bool { return from == "n2" || to == "n2" } })
		began := time.Now()
		assert.Equal(t, (<-waiting).end, "own queue")
		assert.Assert(t, time.Since(began) <= renewalInterval+2*answerTimeout+minInterval, "%v", time.Since(began))
		r := <-n.wait(0, "desk")
		assert.Equal(t, r.end, "own queue")
		assert.Equal(t, r.took, time.Duration(0))
		time.Sleep(passOverTime)
		w.set(func() { w.lost, w.room = nil, 1 })
		assert.Equal(t, (<-n.wait(0, "desk")).end, "placed")
		time.Sleep(minInterval)
		assert.Equal(t, w.nodes[0].waitingAt(), 0) // the one of before has expired
	})
}

// TestOwnerPausedAndBack: what a paused owner sends after its return is ignored while the second one
// decides, and no request is granted room twice. After two seconds it decides again.
func TestOwnerPausedAndBack(t *testing.T) {
	runFleet(t, 4, func(w *testFleet) {
		var results []chan result
		for range 4 {
			results = append(results, w.nodes[2].wait(0, "desk"), w.nodes[3].wait(0, "desk"))
		}
		time.Sleep(300 * time.Millisecond)
		w.set(func() { w.nodes[0].paused = true })
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, w.nodes[1].waitingAt(), 8)
		w.resume(w.nodes[0])
		time.Sleep(100 * time.Millisecond)
		w.set(func() { w.room = 8 })
		time.Sleep(300 * time.Millisecond)
		assert.DeepEqual(t, ends(results), map[string]int{"placed": 8})
		assert.Equal(t, w.grantedSoFar(), 8)
		time.Sleep(passOverTime)
		before := w.nodes[0].updatesReceived()
		w.set(func() { w.room = 1 })
		assert.Equal(t, (<-w.nodes[2].wait(0, "desk")).end, "placed")
		assert.Assert(t, w.nodes[0].updatesReceived() > before)
	})
}

// TestTwoOwnersAtOnce: instances that differ on who owns the queue register with two owners. There
// are twice the turns, and each request ends once.
func TestTwoOwnersAtOnce(t *testing.T) {
	runFleet(t, 4, func(w *testFleet) {
		w.set(func() { w.nodes[3].owners = []string{"n1", "n0"} })
		var results []chan result
		for range 10 {
			results = append(results, w.nodes[2].wait(0, "desk"), w.nodes[3].wait(0, "desk"))
		}
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, w.nodes[0].waitingAt(), 10)
		assert.Equal(t, w.nodes[1].waitingAt(), 10)
		w.set(func() { w.room = 12 })
		time.Sleep(500 * time.Millisecond)
		w.set(func() { w.nodes[3].owners = []string{"n0", "n1"} })
		all := ends(results)
		assert.Equal(t, all["placed"], 12, "%v", all)
		assert.Equal(t, w.grantedSoFar(), 12)
	})
}

// TestAllRestartedAtOnce: after a restart of all instances, the numbers of requests and updates
// start again. The owners must take them, and the clients must not take states of before.
func TestAllRestartedAtOnce(t *testing.T) {
	runFleet(t, 4, func(w *testFleet) {
		var before []chan result
		for range 5 {
			before = append(before, w.nodes[2].wait(0, "desk"))
		}
		time.Sleep(time.Second)
		for i, n := range w.nodes {
			n.stop()
			n.start(uint64(200 + i))
		}
		var after []chan result
		for range 3 {
			after = append(after, w.nodes[2].wait(0, "desk"), w.nodes[3].wait(0, "desk"))
		}
		time.Sleep(renewalInterval)
		assert.Equal(t, w.nodes[0].waitingAt(), 6)
		w.set(func() { w.room = 6 })
		time.Sleep(200 * time.Millisecond)
		assert.DeepEqual(t, ends(after), map[string]int{"placed": 6})
		assert.DeepEqual(t, ends(before), map[string]int{"died": 5})
	})
}

// TestOwnerRestarted: an owner that restarts quickly has no entries and another process. It must
// have all waiting requests again after one renewal.
func TestOwnerRestarted(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		results := []chan result{w.nodes[2].wait(0, "desk"), w.nodes[2].wait(1, "desk")}
		time.Sleep(500 * time.Millisecond)
		w.nodes[0].stop()
		w.nodes[0].start(300)
		time.Sleep(renewalInterval + minInterval)
		assert.Equal(t, w.nodes[0].waitingAt(), 2)
		w.set(func() { w.room = 2 })
		assert.DeepEqual(t, ends(results), map[string]int{"placed": 2})
	})
}

// TestInstanceRestarted: an instance that restarts quickly counts its updates from one again. The
// owner must not take them for old ones, and must not keep the requests of before.
func TestInstanceRestarted(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		before := []chan result{w.nodes[2].wait(0, "desk"), w.nodes[2].wait(0, "desk")}
		time.Sleep(2 * time.Second)
		w.nodes[2].stop()
		w.nodes[2].start(400)
		after := []chan result{w.nodes[2].wait(0, "desk")}
		time.Sleep(minInterval)
		assert.Equal(t, w.nodes[0].waitingAt(), 1)
		w.set(func() { w.room = 1 })
		assert.DeepEqual(t, ends(after), map[string]int{"placed": 1})
		assert.DeepEqual(t, ends(before), map[string]int{"died": 2})
	})
}

// TestRequestIsAnsweredByItsOwnUpdate: a state that follows from an earlier update says nothing about
// a request that joined since. It would otherwise wait as one that the owner knows.
func TestRequestIsAnsweredByItsOwnUpdate(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		n := w.nodes[2]
		join := func() *Ticket {
			return n.client.Join(testService, fairqueue.Request{Since: time.Now(), Latest: time.Now().Add(time.Second)})
		}
		first := join()
		time.Sleep(minInterval / 2)
		assert.Assert(t, first.Status().Answered)
		w.set(func() { w.lost = func(from, _ string) bool { return from == "n2" } })
		second := join()
		time.Sleep(resendDelay)
		assert.Assert(t, n.client.ReceiveState(&State{Owner: "n0", Process: 100, Sequence: 1, Service: testService}))
		assert.Assert(t, !second.Status().Answered)
		first.Leave(false)
		second.Leave(false)
	})
}

// TestOlderBuildAsOwner: owners that do not know the messages do not answer. Requests must learn
// that in 120 ms, and new ones need not wait at all.
func TestOlderBuildAsOwner(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		w.set(func() { w.nodes[0].deaf, w.nodes[1].deaf = true, true })
		r := <-w.nodes[2].wait(0, "desk")
		assert.Equal(t, r.end, "own queue")
		assert.Assert(t, r.took <= 2*answerTimeout+10*time.Millisecond, "%v", r.took)
		assert.Equal(t, (<-w.nodes[2].wait(0, "desk")).took, time.Duration(0))
	})
}

// TestOlderBuildAsFirstOwner: the second owner takes over from one that does not know the messages.
func TestOlderBuildAsFirstOwner(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		w.set(func() { w.nodes[0].deaf, w.room = true, 1 })
		r := <-w.nodes[2].wait(0, "desk")
		assert.Equal(t, r.end, "placed")
		assert.Assert(t, r.took <= answerTimeout+10*time.Millisecond, "%v", r.took)
	})
}

// TestLeaveIsReported: a request whose caller has gone must not keep a turn until it expires, also
// if the report of it is lost once.
func TestLeaveIsReported(t *testing.T) {
	for _, losses := range []int{0, 1} {
		runFleet(t, 3, func(w *testFleet) {
			ticket := w.nodes[2].client.Join(testService, fairqueue.Request{Since: time.Now(), Latest: time.Now().Add(time.Second)})
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, w.nodes[0].waitingAt(), 1)
			w.set(func() {
				w.lost = func(from, _ string) bool {
					losses--
					return from == "n2" && losses >= 0
				}
			})
			ticket.Leave(false)
			time.Sleep(2*resendDelay + minInterval)
			assert.Equal(t, w.nodes[0].waitingAt(), 0)
			assert.Equal(t, w.nodes[1].updatesReceived(), 0) // one loss does not change the owner
		})
	}
}

// TestOwnerIsKeptAfterTwoLostMessages guards against an owner that is passed over for two seconds because two messages in
// a row were lost: two owners then order the requests, each by a part of the placements.
func TestOwnerIsKeptAfterTwoLostMessages(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		lost := 0
		w.set(func() {
			w.lost = func(from, _ string) bool {
				lost++
				return from == "n2" && lost <= 2
			}
		})
		results := []chan result{w.nodes[2].wait(0, "desk")}
		time.Sleep(2 * answerTimeout)
		w.set(func() { w.room = 1 })
		assert.DeepEqual(t, ends(results), map[string]int{"placed": 1})
		assert.Equal(t, w.nodes[1].updatesReceived(), 0)
	})
}

// TestLostMessages: with every third message lost, all requests end, and none is granted room twice.
func TestLostMessages(t *testing.T) {
	runFleet(t, 5, func(w *testFleet) {
		messages := 0
		w.set(func() {
			w.lost = func(string, string) bool {
				messages++
				return messages%3 == 0
			}
		})
		var results []chan result
		for _, n := range w.nodes {
			for range 4 {
				results = append(results, n.wait(0, "desk"))
			}
		}
		time.Sleep(100 * time.Millisecond)
		w.set(func() { w.room = 20 })
		all := ends(results)
		assert.Equal(t, all["placed"], w.grantedSoFar(), "%v", all)
		assert.Equal(t, all["placed"]+all["own queue"], 20, "%v", all)
	})
}

// TestLateAndForeignMessages: states that do not fit change nothing. A state of before a restart
// would otherwise give turns to requests with the same numbers.
func TestLateAndForeignMessages(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		n := w.nodes[2]
		ticket := n.client.Join(testService, fairqueue.Request{Since: time.Now(), Latest: time.Now().Add(time.Second)})
		time.Sleep(5 * time.Millisecond)
		refusal := fairqueue.State{Refused: []fairqueue.Refusal{{ID: 1}}}
		for _, s := range []*State{
			{Owner: "n0", Sequence: 1, Service: "other", State: refusal},
			{Owner: "n1", Sequence: 1, Service: testService, State: refusal},
			{Owner: "n0", Sequence: 0, Service: testService, State: refusal},
			{Owner: "n0", Sequence: 99, Service: testService, State: refusal},
		} {
			assert.Assert(t, !n.client.ReceiveState(s))
		}
		assert.Assert(t, ticket.Status().Refused == nil)
		assert.Assert(t, !w.nodes[0].owner.ReceiveUpdate(&Update{Service: "other", Report: fairqueue.Report{Instance: "n2", Process: 1, Sequence: 1}}))
		assert.Assert(t, !w.nodes[0].owner.ReceiveUpdate(&Update{Service: testService, Report: fairqueue.Report{Instance: "n2", Process: 102, Sequence: 1}}))
		ticket.Leave(false)
	})
}

// TestUpdatesAreBounded: a hundred requests that join one after the other cause an update each 20 ms
// at most, and one each 200 ms while nothing changes.
func TestUpdatesAreBounded(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		var tickets []*Ticket
		for range 100 {
			tickets = append(tickets, w.nodes[2].client.Join(testService, fairqueue.Request{Level: 2, Since: time.Now(), Latest: time.Now().Add(10 * time.Second)}))
			time.Sleep(2 * time.Millisecond)
		}
		assert.Assert(t, w.nodes[0].updatesReceived() <= 11, "%d", w.nodes[0].updatesReceived())
		time.Sleep(100 * time.Millisecond)
		before := w.nodes[0].updatesReceived()
		time.Sleep(time.Second)
		renewals := w.nodes[0].updatesReceived() - before
		assert.Assert(t, renewals <= 6, "%d", renewals)
		for _, ticket := range tickets {
			ticket.Leave(false)
		}
	})
}

// joinSome registers requests that wait for ten seconds.
func (n *testNode) joinSome(count int) (tickets []*Ticket) {
	for range count {
		tickets = append(tickets, n.client.Join(testService, fairqueue.Request{Level: 2, Team: "desk", Tokens: 9000, Since: time.Now(), Latest: time.Now().Add(10 * time.Second)}))
	}
	return tickets
}

// counted returns how many requests updates to an instance have listed, and renewed by id.
func (n *testNode) counted() (full, short int) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.full, n.short
}

// TestRequestIsListedOnce guards against updates that repeat all that waits, whose bytes grow with the square
// of the load. Requests that are renewed by id must not expire.
func TestRequestIsListedOnce(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		tickets := w.nodes[2].joinSome(200) // more than one update takes
		time.Sleep(10 * minInterval)
		assert.Equal(t, w.nodes[0].waitingAt(), 200)
		time.Sleep(3 * time.Second)
		assert.Equal(t, w.nodes[0].waitingAt(), 200)
		full, short := w.nodes[0].counted()
		assert.Equal(t, full, 200)
		assert.Assert(t, short >= 14*200 && short <= 17*200, "%d", short)
		for _, ticket := range tickets {
			ticket.Leave(false)
		}
	})
}

// TestDroppedEntriesAreListedAgain guards against requests that are renewed by id for ever at an owner that
// has dropped them.
func TestDroppedEntriesAreListedAgain(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		tickets := w.nodes[2].joinSome(5)
		time.Sleep(500 * time.Millisecond)
		o := w.nodes[0].owner
		o.mu.Lock()
		for _, q := range o.queues {
			q.queue.Drop("n2")
		}
		o.mu.Unlock()
		assert.Equal(t, w.nodes[0].waitingAt(), 0)
		time.Sleep(renewalInterval + 5*time.Millisecond) // and a round trip
		assert.Equal(t, w.nodes[0].waitingAt(), 5)
		for _, ticket := range tickets {
			ticket.Leave(false)
		}
	})
}

// TestLostRefusalIsMadeGood guards against a refusal that is sent once and lost: the request would be in no
// queue and would never have a turn. It is registered again, as a late one.
func TestLostRefusalIsMadeGood(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		n := w.nodes[2]
		others := n.joinSome(4) // keeps the messages going
		r := n.client.Join(testService, fairqueue.Request{Team: "desk", Since: time.Now(), Latest: time.Now().Add(300 * time.Millisecond)})
		time.Sleep(290 * time.Millisecond)
		w.set(func() { w.lost = func(from, _ string) bool { return from == "n0" } })
		time.Sleep(3 * minInterval / 2)
		assert.Assert(t, r.Status().Refused == nil)
		assert.Equal(t, w.nodes[0].waitingAt(), 4)
		w.set(func() { w.lost = nil })
		time.Sleep(renewalInterval + 5*time.Millisecond)
		assert.Equal(t, w.nodes[0].waitingAt(), 5)
		r.Leave(false)
		for _, ticket := range others {
			ticket.Leave(false)
		}
	})
}

// TestRequestIsListedUntilKnown guards against a request whose update is lost, and that the state of a later
// update shows to be known.
func TestRequestIsListedUntilKnown(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		tickets := w.nodes[2].joinSome(1)
		time.Sleep(50 * time.Millisecond)
		w.set(func() { w.lost = func(from, _ string) bool { return from == "n2" } })
		tickets = append(tickets, w.nodes[2].joinSome(1)...)
		time.Sleep(5 * time.Millisecond)
		w.set(func() { w.lost = nil })
		tickets = append(tickets, w.nodes[2].joinSome(1)...)
		time.Sleep(minInterval + 5*time.Millisecond)
		assert.Equal(t, w.nodes[0].waitingAt(), 3)
		for _, ticket := range tickets {
			ticket.Leave(false)
		}
	})
}

// TestRestartedOwnerIsNoticed guards against an owner that answers a new request after its restart and holds
// only that one until the next renewal.
func TestRestartedOwnerIsNoticed(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		tickets := w.nodes[2].joinSome(5)
		time.Sleep(410 * time.Millisecond) // just after a renewal
		w.nodes[0].stop()
		w.nodes[0].start(300)
		time.Sleep(minInterval)
		tickets = append(tickets, w.nodes[2].joinSome(1)...)
		time.Sleep(5 * time.Millisecond)
		assert.Equal(t, w.nodes[0].waitingAt(), 6)
		for _, ticket := range tickets {
			ticket.Leave(false)
		}
	})
}

// TestOwnerReplacedByOlderBuild guards against requests that are missing at an owner which was replaced by a
// build that does not take renewals by id, or by one that does.
func TestOwnerReplacedByOlderBuild(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		tickets := w.nodes[2].joinSome(5)
		for i, older := range []bool{true, false, true, false} {
			time.Sleep(510 * time.Millisecond)
			w.nodes[0].stop()
			w.set(func() { w.nodes[0].older = older })
			w.nodes[0].start(uint64(300 + i))
			time.Sleep(renewalInterval + 5*time.Millisecond)
			for range 5 {
				assert.Equal(t, w.nodes[0].waitingAt(), 5)
				time.Sleep(renewalInterval / 2)
			}
			_, before := w.nodes[0].counted()
			time.Sleep(time.Second)
			_, after := w.nodes[0].counted()
			assert.Equal(t, after == before, older, "%d", after-before)
		}
		for _, ticket := range tickets {
			ticket.Leave(false)
		}
	})
}

// TestShards: a service with more endpoints than one queue serves has several, of which each instance
// uses one.
func TestShards(t *testing.T) {
	assert.Equal(t, shards(0), 1)
	assert.Equal(t, shards(128), 1)
	assert.Equal(t, shards(129), 2)
	used := map[int]int{}
	for i := range 400 {
		used[shardOf(fmt.Sprint("front-", i), 5)]++
	}
	for shard := range 5 {
		assert.Assert(t, used[shard] > 50, "%v", used)
	}
}

package exchange

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/fairqueue"
	"github.com/agateway/agateway/gateway/sharedqueue"
)

func queueUpdate(waiting int, team string) *sharedqueue.Update {
	u := &sharedqueue.Update{Service: "engines", Report: fairqueue.Report{Instance: "front-hall-3-17", Process: 1 << 63, Sequence: 41, Placed: []uint64{7}, Left: []uint64{8, 9}}}
	for i := range waiting {
		u.Waiting = append(u.Waiting, fairqueue.Request{ID: uint64(10 + i), Level: 2, Team: team, Tokens: 8760, Since: now.Add(-1300 * time.Millisecond), Latest: now.Add(2200 * time.Millisecond)})
	}
	return u
}

func queueState(refused int) *sharedqueue.State {
	s := &sharedqueue.State{Owner: "front-hall-3-17", Process: 1 << 63, Sequence: 41, Service: "engines", State: fairqueue.State{Turns: []uint64{3, 5}, Expected: 900 * time.Millisecond}}
	for i := range refused {
		s.Refused = append(s.Refused, fairqueue.Refusal{ID: uint64(100 + i), RetryIn: 2 * time.Second, Expected: 1700 * time.Millisecond})
	}
	return s
}

// TestQueueMessagesRoundTrip: updates and states are decoded as they were encoded, to a millisecond.
func TestQueueMessagesRoundTrip(t *testing.T) {
	u, ok := DecodeQueueUpdate(EncodeQueueUpdate(queueUpdate(3, "desk"), now), now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, u, queueUpdate(3, "desk"))
	late := queueUpdate(1, "desk")
	late.Waiting[0].Latest = now.Add(-time.Second)
	u, ok = DecodeQueueUpdate(EncodeQueueUpdate(late, now), now)
	assert.Assert(t, ok && u.Waiting[0].Latest.Before(now)) // so that the queue knows it to be late
	renewed := queueUpdate(1, "desk")
	renewed.Renewed = []uint64{1, 2, 700, 1 << 63}
	u, ok = DecodeQueueUpdate(EncodeQueueUpdate(renewed, now), now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, u, renewed)
	s, ok := DecodeQueueState(EncodeQueueState(queueState(2))[0])
	assert.Assert(t, ok)
	assert.DeepEqual(t, s, queueState(2))
	unknown := queueState(2)
	unknown.ShortRenewals = true
	s, ok = DecodeQueueState(EncodeQueueState(unknown)[0])
	assert.Assert(t, ok)
	assert.Assert(t, s.ShortRenewals && len(s.Unknown) == 0)
	unknown.Unknown = []uint64{1, 700}
	s, ok = DecodeQueueState(EncodeQueueState(unknown)[0])
	assert.Assert(t, ok)
	assert.DeepEqual(t, s, unknown)
}

// TestQueueMessagesFitADatagram: the largest messages of a client and of an owner stay below the
// size of a datagram, and all refusals are sent.
func TestQueueMessagesFitADatagram(t *testing.T) {
	size := func(d *peerv1.Datagram) int {
		raw, err := proto.Marshal(d)
		assert.NilError(t, err)
		return len(raw)
	}
	usual := &peerv1.Datagram{Body: &peerv1.Datagram_QueueUpdate{QueueUpdate: EncodeQueueUpdate(queueUpdate(5, "team-17"), now)}}
	assert.Assert(t, size(usual) < 220, "%d bytes", size(usual))
	t.Logf("an update with 5 requests: %d bytes", size(usual))
	for _, team := range []string{"", "team-17", strings.Repeat("t", 200)} {
		u := largestUpdate(team)
		d := &peerv1.Datagram{Body: &peerv1.Datagram_QueueUpdate{QueueUpdate: EncodeQueueUpdate(u, now)}}
		assert.Assert(t, size(d) < 2900, "%d bytes", size(d))
		t.Logf("the largest update with teams of %d bytes: %d requests, %d bytes", len(team), len(u.Waiting), size(d))
	}
	s := queueState(200)
	s.ShortRenewals = true
	for i := range 300 {
		s.Turns = append(s.Turns, 1<<63+uint64(i))
		s.Unknown = append(s.Unknown, 1<<63+uint64(i))
	}
	refused, unknown := 0, 0
	for _, out := range EncodeQueueState(s) {
		d := &peerv1.Datagram{Body: &peerv1.Datagram_QueueState{QueueState: out}}
		assert.Assert(t, size(d) < 2900, "%d bytes", size(d))
		refused += len(out.Refused)
		got, ok := DecodeQueueState(out)
		assert.Assert(t, ok)
		unknown += len(got.Unknown)
	}
	assert.Equal(t, refused, 200)
	assert.Equal(t, unknown, 300)
}

// largestUpdate returns the update of a client with a thousand requests of a team, with the largest
// numbers that there may be.
func largestUpdate(team string) *sharedqueue.Update {
	n := &updateRecorder{sent: make(chan struct{})}
	c := sharedqueue.NewClient(sharedqueue.ClientOptions{
		Self: "self", Process: 1 << 63, Network: n, Endpoints: func(string) int { return 1 }, Scope: tally.NewTestScope("", nil),
	})
	for range 1000 {
		c.Join("engines", fairqueue.Request{Level: 9, Team: team, Tokens: maxQueueTokens, Since: now.Add(-maxQueueTime), Latest: now.Add(maxQueueTime)})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	<-n.sent
	u := n.last
	u.Sequence = 1 << 63
	for i := range u.Waiting {
		u.Waiting[i].ID = 1<<63 + uint64(i)
	}
	for i := range 40 { // as many outcomes as a client reports
		u.Placed = append(u.Placed, 1<<40+uint64(i))
	}
	return u
}

// TestMalformedQueueMessagesAreDropped: values that no instance sends must not reach a queue.
func TestMalformedQueueMessagesAreDropped(t *testing.T) {
	for name, spoil := range map[string]func(*peerv1.QueueUpdate){
		"no instance":  func(u *peerv1.QueueUpdate) { u.Instance = "" },
		"no process":   func(u *peerv1.QueueUpdate) { u.Process = 0 },
		"no sequence":  func(u *peerv1.QueueUpdate) { u.Sequence = 0 },
		"no service":   func(u *peerv1.QueueUpdate) { u.Service = "" },
		"no id":        func(u *peerv1.QueueUpdate) { u.Waiting[0].Id = 0 },
		"many tokens":  func(u *peerv1.QueueUpdate) { u.Waiting[0].Tokens = 1 << 31 },
		"long team":    func(u *peerv1.QueueUpdate) { u.Waiting[0].Team = strings.Repeat("t", 300) },
		"nil request":  func(u *peerv1.QueueUpdate) { u.Waiting[0] = nil },
		"many waiting": func(u *peerv1.QueueUpdate) { u.Waiting = make([]*peerv1.QueuedRequest, 300) },
	} {
		u := EncodeQueueUpdate(queueUpdate(1, "desk"), now)
		spoil(u)
		_, ok := DecodeQueueUpdate(u, now)
		assert.Assert(t, !ok, name)
	}
	u := EncodeQueueUpdate(queueUpdate(1, "desk"), now)
	u.Waiting[0].Rank, u.Waiting[0].LatestMs, u.Waiting[0].WaitedMs = 1<<31, 1<<31, 1<<31
	got, ok := DecodeQueueUpdate(u, now)
	assert.Assert(t, ok)
	assert.Equal(t, got.Waiting[0].Level, 9)
	assert.Equal(t, got.Waiting[0].Latest, now.Add(maxQueueTime))
	assert.Equal(t, got.Waiting[0].Since, now.Add(-maxQueueTime))
	for name, spoil := range map[string]func(*peerv1.QueueState){
		"no owner":    func(s *peerv1.QueueState) { s.Owner = "" },
		"no process":  func(s *peerv1.QueueState) { s.Process = 0 },
		"no service":  func(s *peerv1.QueueState) { s.Service = "" },
		"nil refusal": func(s *peerv1.QueueState) { s.Refused[0] = nil },
	} {
		s := EncodeQueueState(queueState(1))[0]
		spoil(s)
		_, ok := DecodeQueueState(s)
		assert.Assert(t, !ok, name)
	}
}

// FuzzQueueMessages: messages that can be unmarshalled are decoded without a panic, to values within
// their bounds.
func FuzzQueueMessages(f *testing.F) {
	for _, m := range []proto.Message{EncodeQueueUpdate(queueUpdate(2, "desk"), now), EncodeQueueState(queueState(2))[0]} {
		raw, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var u peerv1.QueueUpdate
		if proto.Unmarshal(raw, &u) == nil {
			if got, ok := DecodeQueueUpdate(&u, now); ok {
				for _, r := range got.Waiting {
					if r.Level < 0 || r.Level > 9 || r.Tokens < 0 || r.Since.After(now) || r.Latest.Before(now.Add(-time.Millisecond)) {
						t.Fatalf("%+v", r)
					}
				}
			}
		}
		var s peerv1.QueueState
		if proto.Unmarshal(raw, &s) == nil {
			if got, ok := DecodeQueueState(&s); ok && got.Expected < 0 {
				t.Fatalf("%+v", got)
			}
		}
	})
}

// queueRecorder implements Queues. It records what was received.
type queueRecorder struct {
	mu      sync.Mutex
	updates []*sharedqueue.Update
	states  []*sharedqueue.State
}

func (r *queueRecorder) ReceiveUpdate(u *sharedqueue.Update) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates = append(r.updates, u)
	return true
}

func (r *queueRecorder) ReceiveState(s *sharedqueue.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states = append(r.states, s)
	return true
}

// TestQueueMessagesAreCarried sends messages between instances. An instance where the queue is
// switched off ignores them, and one that is not known is not taken as the sender.
func TestQueueMessagesAreCarried(t *testing.T) {
	runFleet(t, 4, true, func(w *fleet) {
		r := &queueRecorder{}
		w.nodes[1].Queues = r
		owners := w.nodes[0].QueueOwners("queue/engines/0")
		assert.Equal(t, len(owners), 2)
		assert.DeepEqual(t, owners, w.nodes[3].QueueOwners("queue/engines/0"))
		u := queueUpdate(2, "desk")
		u.Instance = w.nodes[0].Self.ID
		w.nodes[0].SendQueueUpdate(w.nodes[1].Self.ID, u)
		w.nodes[0].SendQueueUpdate(w.nodes[2].Self.ID, u)
		w.nodes[0].SendQueueUpdate("gone", u)
		w.nodes[0].SendQueueState(w.nodes[1].Self.ID, queueState(100))
		stranger := queueUpdate(2, "desk")
		stranger.Instance = "stranger"
		w.nodes[0].SendQueueUpdate(w.nodes[1].Self.ID, stranger)
		time.Sleep(100 * time.Millisecond)
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Equal(t, len(r.updates), 1)
		assert.Equal(t, len(r.updates[0].Waiting), 2)
		assert.Equal(t, len(r.states), 2)
	})
}

// updateRecorder implements [sharedqueue.Network] for one client.
type updateRecorder struct {
	once sync.Once
	sent chan struct{}
	last *sharedqueue.Update // the first one that was sent
}

func (n *updateRecorder) QueueOwners(string) []string               { return []string{"owner"} }
func (n *updateRecorder) SendQueueState(string, *sharedqueue.State) {}
func (n *updateRecorder) SendQueueUpdate(_ string, u *sharedqueue.Update) {
	n.once.Do(func() {
		n.last = u
		close(n.sent)
	})
}

package sharedqueue_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/fairqueue"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/sharedqueue"
)

// loadFleet is a number of instances in front of one service whose engines take perSecond requests. Messages are
// encoded as on the network and take a millisecond, in virtual time.
type loadFleet struct {
	mu        sync.Mutex
	rng       *rand.Rand
	nodes     []*loadNode
	byName    map[string]*loadNode
	engines   int
	perSecond float64
	lossOneIn int // one of so many messages is lost; 0 for none
	began     time.Time
	granted   int
	ends      map[string]int
	calls     sync.WaitGroup
}

// loadNode is an instance.
type loadNode struct {
	fleet           *loadFleet
	name            string
	client          *sharedqueue.Client
	owner           *sharedqueue.Owner
	updates, states traffic // sent
	answers         traffic // states received
	// older makes the node one of a build that does not know renewals by id. It takes the numbers that they add to
	// messages for those of requests that have left or have a turn.
	older bool
}

// traffic counts messages and their parts.
type traffic struct{ messages, bytes, requests, ids, refusals, turns int }

// The first loadWarmUp of a run does not count.
const (
	loadWarmUp = 5 * time.Second
	loadTime   = 10 * time.Second
)

func (n *loadNode) QueueOwners(key string) []string {
	shard, err := strconv.Atoi(key[strings.LastIndex(key, "/")+1:])
	if err != nil {
		panic(err)
	}
	return []string{n.fleet.nodes[shard].name, n.fleet.nodes[shard+1].name}
}

func (n *loadNode) SendQueueUpdate(owner string, u *sharedqueue.Update) {
	out := exchange.EncodeQueueUpdate(u, time.Now())
	size := proto.Size(&peerv1.Datagram{Body: &peerv1.Datagram_QueueUpdate{QueueUpdate: out}})
	n.fleet.send(owner, func(*loadNode) {
		n.updates.add(size, traffic{requests: len(out.Waiting), ids: len(out.Placed) + len(out.Left)})
	}, func(to *loadNode) {
		if u, ok := exchange.DecodeQueueUpdate(out, time.Now()); ok {
			if to.older {
				u.Left, u.Renewed = out.Left, nil
			}
			to.owner.ReceiveUpdate(u)
		}
	})
}

func (n *loadNode) SendQueueState(instance string, s *sharedqueue.State) {
	if n.older {
		s.ShortRenewals, s.Unknown = false, nil
	}
	for _, out := range exchange.EncodeQueueState(s) {
		size := proto.Size(&peerv1.Datagram{Body: &peerv1.Datagram_QueueState{QueueState: out}})
		n.fleet.send(instance, func(to *loadNode) {
			parts := traffic{turns: len(out.Turns), refusals: len(out.Refused)}
			n.states.add(size, parts)
			to.answers.add(size, parts)
		}, func(to *loadNode) {
			if s, ok := exchange.DecodeQueueState(out); ok {
				if to.older {
					s.Turns, s.Unknown, s.ShortRenewals = out.Turns, nil, false
				}
				to.client.ReceiveState(s)
			}
		})
	}
}

func (t *traffic) add(bytes int, parts traffic) {
	t.messages++
	t.bytes += bytes
	t.requests += parts.requests
	t.ids += parts.ids
	t.refusals += parts.refusals
	t.turns += parts.turns
}

// send counts a message and delivers it.
func (f *loadFleet) send(to string, count func(to *loadNode), deliver func(to *loadNode)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if since := time.Since(f.began); since >= loadWarmUp && since < loadWarmUp+loadTime {
		count(f.byName[to])
	}
	if f.lossOneIn > 0 && f.rng.IntN(f.lossOneIn) == 0 {
		return
	}
	time.AfterFunc(time.Millisecond, func() { deliver(f.byName[to]) })
}

// claim takes room at an engine. What is not taken in 0.1 s is lost.
func (f *loadFleet) claim() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := int(f.perSecond * time.Since(f.began).Seconds())
	f.granted = max(f.granted, due-max(int(f.perSecond/10), 1))
	if f.granted >= due {
		return false
	}
	f.granted++
	return true
}

// call is a caller who returns once after a refusal.
func (f *loadFleet) call(level int, team string, within time.Duration) {
	f.mu.Lock()
	prompt := f.rng.Uint64()
	f.mu.Unlock()
	since := time.Now()
	for attempt := range 2 {
		f.mu.Lock()
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		f.mu.Unlock()
		end, retryIn := n.attempt(fairqueue.Request{Level: level, Team: team, Tokens: 8760, Prompt: prompt, Since: time.Now(), Latest: time.Now().Add(within)})
		if end != "refused" || attempt == 1 {
			f.mu.Lock()
			f.ends[end]++
			f.mu.Unlock()
			return
		}
		time.Sleep(min(retryIn, (25*time.Second-time.Since(since))/3))
	}
}

func (n *loadNode) attempt(r fairqueue.Request) (end string, retryIn time.Duration) {
	t := n.client.Join("engines", r)
	if t == nil {
		return "own queue", 0
	}
	defer func() { t.Leave(end == "placed") }()
	for time.Now().Before(r.Latest) {
		s := t.Status()
		switch {
		case s.Refused != nil:
			return "refused", s.Refused.RetryIn
		case s.NoOwner:
			return "own queue", 0
		case s.Turn && n.fleet.claim():
			return "placed", 0
		}
		timeout := time.NewTimer(20 * time.Millisecond)
		select {
		case <-t.Changed():
		case <-timeout.C:
		}
		timeout.Stop()
	}
	return "late", 0
}

// runLoad runs a fleet under twice the capacity of the service.
func runLoad(t *testing.T, instances, engines, lossOneIn int, older func(instance int) bool, check func(*loadFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &loadFleet{
			rng: rand.New(rand.NewPCG(uint64(instances), 3)), byName: map[string]*loadNode{}, engines: engines, perSecond: 55. / 96 * float64(engines),
			lossOneIn: lossOneIn, began: time.Now(), ends: map[string]int{},
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		endpoints := func(string) int { return f.engines }
		ctx, stop := context.WithCancel(context.Background())
		for i := range instances {
			n := &loadNode{fleet: f, name: fmt.Sprintf("front-hall-%d-%d", i%9, i/9), older: older(i)}
			n.owner = sharedqueue.NewOwner(sharedqueue.OwnerOptions{
				Self: n.name, Process: f.rng.Uint64(), Network: n, Endpoints: endpoints, LogRefusal: func(logrus.Fields) {},
				Deliver: func(s *sharedqueue.State) { n.client.ReceiveState(s) },
			})
			n.client = sharedqueue.NewClient(sharedqueue.ClientOptions{
				Self: n.name, Process: f.rng.Uint64(), Network: n, Local: n.owner, Endpoints: endpoints, Log: logrus.NewEntry(log), Scope: tally.NoopScope,
			})
			f.nodes = append(f.nodes, n)
			f.byName[n.name] = n
		}
		for _, n := range f.nodes {
			go n.client.Run(ctx)
			go n.owner.Run(ctx)
		}
		for time.Since(f.began) < loadWarmUp+loadTime {
			f.mu.Lock()
			pause := time.Duration(-math.Log(1-f.rng.Float64()) / (2 * f.perSecond) * float64(time.Second))
			level, within, team := 2, 5*time.Second, fmt.Sprint("team-", f.rng.IntN(24))
			if f.rng.IntN(7) == 0 {
				level, within = 0, 2*time.Second
			}
			f.mu.Unlock()
			time.Sleep(pause)
			f.calls.Go(func() { f.call(level, team, within) })
		}
		f.calls.Wait()
		stop()
		time.Sleep(2 * time.Minute)
		check(f)
	})
}

func noneOlder(int) bool { return false }

// perSecond returns a mean over the measured time.
func perSecond(n int) float64 { return float64(n) / loadTime.Seconds() }

func (t traffic) String() string {
	return fmt.Sprintf("%.0f B/s in %.1f messages/s with %.1f requests/s, %.1f ids/s, %.1f turns/s, %.1f refusals/s",
		perSecond(t.bytes), perSecond(t.messages), perSecond(t.requests), perSecond(t.ids), perSecond(t.turns), perSecond(t.refusals))
}

// Load: twice the capacity of one service. Guards against messages whose cost grows with what waits, so that
// control takes more than its budget when the fleet is busiest.
func TestBytesUnderOverload(t *testing.T) {
	tests := []struct {
		instances, engines int
		client, owner      float64 // most bytes a second
	}{
		{12, 96, 2000, 20_000},
		{84, 96, 1000, 40_000},
		{400, 96, 1000, 70_000},
		{400, 600, 1000, 50_000},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d-instances-%d-engines", test.instances, test.engines), func(t *testing.T) {
			runLoad(t, test.instances, test.engines, 0, noneOlder, func(f *loadFleet) {
				var sum traffic
				clients, busiest, owner := 0, 0, traffic{}
				for _, n := range f.nodes {
					if n.states.bytes > owner.bytes {
						owner = n.states
					}
					if n.updates.messages == 0 {
						continue // the owner itself
					}
					clients++
					busiest = max(busiest, n.updates.bytes)
					sum.bytes += n.updates.bytes
					sum.messages += n.updates.messages
					sum.requests += n.updates.requests
					sum.ids += n.updates.ids
				}
				t.Logf("ends of calls: %v", f.ends)
				t.Logf("a client sends, mean of %d: %.0f B/s in %.1f messages/s with %.1f requests/s, %.1f ids/s; the busiest %.0f B/s", clients,
					perSecond(sum.bytes)/float64(clients), perSecond(sum.messages)/float64(clients), perSecond(sum.requests)/float64(clients),
					perSecond(sum.ids)/float64(clients), perSecond(busiest))
				t.Logf("the busiest owner sends %v", owner)
				assert.Assert(t, f.ends["placed"] > int(0.9*f.perSecond*(loadWarmUp+loadTime).Seconds()), "%v", f.ends)
				assert.Assert(t, perSecond(busiest) <= test.client, "%.0f B/s", perSecond(busiest))
				assert.Assert(t, perSecond(owner.bytes) <= test.owner, "%.0f B/s", perSecond(owner.bytes))
			})
		})
	}
}

// Load: twice the capacity, with a part of the messages lost, or of the instances of an older build. Guards against
// room that stays unused and requests that leave the queue because builds or lost messages make an owner lack
// requests.
func TestOverloadWithLossAndOlderBuilds(t *testing.T) {
	tests := map[string]struct {
		lossOneIn int
		older     func(instance int) bool
	}{
		"a tenth lost":           {10, noneOlder},
		"owner of older build":   {0, func(i int) bool { return i == 0 }},
		"clients of older build": {0, func(i int) bool { return i%2 == 1 }},
		"both":                   {0, func(i int) bool { return i%3 == 0 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runLoad(t, 30, 96, test.lossOneIn, test.older, func(f *loadFleet) {
				t.Logf("%v", f.ends)
				assert.Assert(t, f.ends["placed"] > int(0.9*f.perSecond*(loadWarmUp+loadTime).Seconds()), "%v", f.ends)
				assert.Assert(t, f.ends["late"] < 60, "%v", f.ends)
				if test.lossOneIn == 0 {
					assert.Equal(t, f.ends["own queue"], 0, "%v", f.ends)
				}
			})
		})
	}
}

package sharedqueue

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/fairqueue"
)

// blockingNetwork records the states that an owner sends. Each send takes as long as delay says.
type blockingNetwork struct {
	delay func() time.Duration

	mu     sync.Mutex
	states map[string][]*State // by receiver
}

func (n *blockingNetwork) QueueOwners(string) []string     { return nil }
func (n *blockingNetwork) SendQueueUpdate(string, *Update) {}
func (n *blockingNetwork) SendQueueState(instance string, s *State) {
	time.Sleep(n.delay())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[instance] = append(n.states[instance], s)
}

func ownerOn(n Network) *Owner {
	return NewOwner(OwnerOptions{Self: "owner", Process: 1, Network: n, Endpoints: func(string) int { return 24 }, LogRefusal: func(logrus.Fields) {}})
}

// TestUpdatesAreTakenWhileAStateIsSent guards against a send that blocks, as on a full socket, and with it
// all updates and decisions.
func TestUpdatesAreTakenWhileAStateIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &blockingNetwork{states: map[string][]*State{}, delay: func() time.Duration { return time.Second }}
		o := ownerOn(n)
		began := time.Now()
		go o.ReceiveUpdate(&Update{Service: testService, Report: fairqueue.Report{Instance: "a", Process: 1, Sequence: 1}})
		synctest.Wait()
		assert.Assert(t, o.mu.TryLock(), "the lock is held during a send") // waiting for it would stop the virtual time
		o.mu.Unlock()
		assert.Assert(t, o.ReceiveUpdate(&Update{Service: testService, Report: fairqueue.Report{Instance: "b", Process: 1, Sequence: 1}}))
		o.Uses()
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(3 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, len(n.states["a"]), 1)
		assert.Equal(t, len(n.states["b"]), 1)
	})
}

// TestStatesLeaveInOrder guards against a state that overtakes an earlier one of the same receiver when sends
// take different times, and against refusals that are lost with a state that was replaced before it was sent.
func TestStatesLeaveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sends := 0
		n := &blockingNetwork{states: map[string][]*State{}}
		n.delay = func() time.Duration {
			sends++
			return time.Duration(50/sends) * time.Millisecond
		}
		o := ownerOn(n)
		const updates = 20
		for sequence := uint64(1); sequence <= updates; sequence++ {
			// Each request is over when it is reported, or shortly after, and is refused then.
			r := fairqueue.Request{ID: sequence, Since: time.Now(), Latest: time.Now().Add(time.Millisecond)}
			go o.ReceiveUpdate(&Update{Service: testService, Report: fairqueue.Report{Instance: "a", Process: 1, Sequence: sequence, Waiting: []fairqueue.Request{r}}})
			time.Sleep(5 * time.Millisecond)
			o.decideAll()
		}
		time.Sleep(minInterval)
		o.decideAll()
		time.Sleep(time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		last, refused := uint64(0), map[uint64]int{}
		for _, s := range n.states["a"] {
			assert.Assert(t, s.Sequence >= last, "%d after %d", s.Sequence, last)
			last = s.Sequence
			for _, r := range s.Refused {
				refused[r.ID]++
			}
		}
		assert.Equal(t, last, uint64(updates))
		for id := uint64(1); id <= updates; id++ {
			assert.Equal(t, refused[id], 1, "request %d", id)
		}
		assert.Assert(t, len(n.states["a"]) < updates, "states that wait to be sent are replaced by later ones")
	})
}

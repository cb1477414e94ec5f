package sharedqueue

import (
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/fairqueue"
)

// recordingNetwork has one owner and keeps the updates to it.
type recordingNetwork struct{ updates []*Update }

func (n *recordingNetwork) QueueOwners(string) []string              { return []string{"owner"} }
func (n *recordingNetwork) SendQueueUpdate(_ string, u *Update)      { n.updates = append(n.updates, u) }
func (n *recordingNetwork) SendQueueState(instance string, s *State) {}

// TestRefusedRequestIsNotRenewed guards against a refused request that is registered again by a renewal before
// it has left: the owner would count it twice, and could give it a turn.
func TestRefusedRequestIsNotRenewed(t *testing.T) {
	n := &recordingNetwork{}
	c := NewClient(ClientOptions{
		Self: "i", Process: 1, Network: n, Endpoints: func(string) int { return 1 }, Log: logrus.NewEntry(logrus.New()), Scope: tally.NewTestScope("", nil),
	})
	refused := c.Join("s", fairqueue.Request{Latest: time.Now().Add(time.Second)})
	waits := c.Join("s", fairqueue.Request{Latest: time.Now().Add(time.Second)})
	c.step(time.Now())
	assert.Equal(t, len(n.updates), 1)
	assert.Equal(t, len(n.updates[0].Waiting), 2)
	sent := n.updates[0].Sequence
	assert.Assert(t, c.ReceiveState(&State{Owner: "owner", Sequence: sent, Service: "s", State: fairqueue.State{Refused: []fairqueue.Refusal{{ID: refused.request.ID}}}}))
	c.step(time.Now().Add(2 * renewalInterval))
	last := n.updates[len(n.updates)-1]
	assert.Assert(t, last.Sequence > sent)
	assert.Equal(t, len(last.Waiting), 1)
	assert.Equal(t, last.Waiting[0].ID, waits.request.ID)
}

// TestLongTeamNames guards against one long name for which an owner drops the whole update, so that the
// instance has no queue.
func TestLongTeamNames(t *testing.T) {
	fits := strings.Repeat("x", MaxTeamBytes)
	assert.Equal(t, TeamName(fits), fits)
	long := TeamName(fits + "y")
	assert.Assert(t, len(long) <= MaxTeamBytes)
	assert.Assert(t, long != TeamName(fits+"z"))
}

// TestRequestsThatNoLongerFitAreNotKnown guards against requests whose only update was lost, and which more
// urgent ones have kept out of the next one: the state of that one says nothing about them.
func TestRequestsThatNoLongerFitAreNotKnown(t *testing.T) {
	n := &recordingNetwork{}
	c := NewClient(ClientOptions{
		Self: "i", Process: 1, Network: n, Endpoints: func(string) int { return 1 }, Log: logrus.NewEntry(logrus.New()), Scope: tally.NewTestScope("", nil),
	})
	now := time.Now()
	join := func(level, count int) {
		for range count {
			c.Join("s", fairqueue.Request{Level: level, Latest: now.Add(10 * time.Second)})
		}
	}
	next := func() *Update {
		now = now.Add(minInterval)
		c.step(now)
		return n.updates[len(n.updates)-1]
	}
	answer := func(u *Update) {
		assert.Assert(t, c.ReceiveState(&State{Owner: "owner", Process: 1, Sequence: u.Sequence, Service: "s", ShortRenewals: true}))
	}
	join(0, 1)
	answer(next())
	join(2, 40)
	lost := next()
	assert.Equal(t, len(lost.Waiting), 40)
	join(1, 100)
	for listed := 0; listed < 100; {
		u := next()
		for _, r := range u.Waiting {
			if r.Level == 1 {
				listed++
			}
		}
		if listed < 100 {
			assert.Equal(t, u.Waiting[len(u.Waiting)-1].Level, 1)
		}
		answer(u)
	}
	again := map[uint64]bool{}
	for range 3 {
		u := n.updates[len(n.updates)-1]
		for _, r := range u.Waiting {
			if r.Level == 2 {
				again[r.ID] = true
			}
		}
		answer(next())
	}
	assert.Equal(t, len(again), 40)
}

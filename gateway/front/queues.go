package front

import (
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/forward"
	"github.com/agateway/agateway/gateway/settings"
	"github.com/agateway/agateway/gateway/sharedqueue"
)

// sharedQueues are both halves of the queues that the instances share. It implements
// [exchange.Queues].
type sharedQueues struct {
	client *sharedqueue.Client
	owner  *sharedqueue.Owner
}

func (q *sharedQueues) ReceiveUpdate(u *sharedqueue.Update) bool { return q.owner.ReceiveUpdate(u) }
func (q *sharedQueues) ReceiveState(s *sharedqueue.State) bool   { return q.client.ReceiveState(s) }

// queueNetwork is the exchange, which is built after the queues.
type queueNetwork struct{ f *Front }

func (n queueNetwork) QueueOwners(key string) []string { return n.f.exchange.QueueOwners(key) }

func (n queueNetwork) SendQueueUpdate(owner string, u *sharedqueue.Update) {
	n.f.exchange.SendQueueUpdate(owner, u)
}

func (n queueNetwork) SendQueueState(instance string, s *sharedqueue.State) {
	n.f.exchange.SendQueueState(instance, s)
}

// buildQueues creates the shared queues if the settings switch them on.
func (f *Front) buildQueues() {
	if !f.settings.Overload.SharedQueue {
		return
	}
	// Zero is no process.
	process := rand.Uint64() | 1
	self, endpoints := f.settings.Instance.ID, f.placement.ServiceSize
	q := &sharedQueues{}
	q.owner = sharedqueue.NewOwner(sharedqueue.OwnerOptions{
		Self: self, Process: process, Network: queueNetwork{f}, Deliver: func(s *sharedqueue.State) { q.client.ReceiveState(s) }, Endpoints: endpoints,
		LogRefusal: func(inputs logrus.Fields) { f.decisions.Decision("", "refused by the queue", inputs) },
	})
	q.client = sharedqueue.NewClient(sharedqueue.ClientOptions{
		Self: self, Process: process, Network: queueNetwork{f}, Local: q.owner, Endpoints: endpoints, Log: f.telemetry.Log, Scope: f.telemetry.Scope,
	})
	q.owner.SetWeights(f.settings.Overload.TeamWeights())
	f.queues = q
}

// exchangeQueues returns the queues for the exchange; nil where they are switched off.
func (f *Front) exchangeQueues() exchange.Queues {
	if f.queues == nil {
		return nil
	}
	return f.queues
}

// forwardQueue returns the queue for the forwarder; nil where it is switched off.
func (f *Front) forwardQueue() forward.SharedQueue {
	if f.queues == nil {
		return nil
	}
	return f.queues.client
}

// setShares sets the weights of teams.
func (f *Front) setShares(text string) {
	weights, err := settings.ParseShares(text)
	if err != nil || f.queues == nil {
		return
	}
	f.queues.owner.SetWeights(weights)
	f.telemetry.Log.WithField("shares", text).Info("shares of teams in force")
}

package sharedqueue

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/fairqueue"
	"github.com/agateway/agateway/gateway/pause"
)

// OwnerOptions configures an Owner.
type OwnerOptions struct {
	Self    string
	Process uint64
	Network Network
	// Deliver takes the states for this instance.
	Deliver func(*State)
	// Endpoints returns the number of endpoints of a service.
	Endpoints func(service string) int
	// LogRefusal logs why a request is refused, within the bounds of the log.
	LogRefusal func(inputs logrus.Fields)
}

// Owner holds the queues that instances register with this one. It is safe for concurrent use.
type Owner struct {
	OwnerOptions
	wake chan struct{}

	mu      sync.Mutex
	queues  map[queueID]*ownedQueue
	weights map[string]float64
	// outbox holds the states to send, at most one for an instance and a queue. sending is set while a
	// goroutine sends them, so that states reach the network in the order of their computation.
	outbox  []*addressedState
	sending bool
}

// queueID names a queue.
type queueID struct {
	service string
	shard   int
}

// ownedQueue is a queue and what was exchanged about it.
type ownedQueue struct {
	queue     *fairqueue.Queue
	decidedAt time.Time
	updatedAt time.Time
	// instances holds the newest update of each instance.
	instances map[string]seenUpdate
}

// seenUpdate identifies an update, and says when it came.
type seenUpdate struct {
	process, sequence uint64
	at                time.Time
}

// queueIdleTime is how long a queue is kept without an update. The teams' counters and the rate of
// placements are lost with it.
const queueIdleTime = 30 * time.Second

// NewOwner returns an owner without queues.
func NewOwner(o OwnerOptions) *Owner {
	return &Owner{OwnerOptions: o, wake: make(chan struct{}, 1), queues: map[queueID]*ownedQueue{}}
}

// SetWeights sets the weights of teams; those that are not named have 1.
func (o *Owner) SetWeights(weights map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.weights = weights
	for _, q := range o.queues {
		q.queue.SetWeights(weights)
	}
}

// ReceiveUpdate takes an update, and answers it. It returns false for one that does not fit: of a
// service that has no endpoints here, or older than one received before.
func (o *Owner) ReceiveUpdate(u *Update) bool {
	ok := o.apply(u)
	o.flush()
	signal(o.wake)
	return ok
}

// addressedState is a state of a queue and the instance that it is for.
type addressedState struct {
	instance string
	queue    queueID
	*State
}

func (o *Owner) apply(u *Update) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now() // under mu, since times must not go backwards
	endpoints := o.Endpoints(u.Service)
	if endpoints == 0 {
		return false
	}
	n := shards(endpoints)
	id := queueID{u.Service, shardOf(u.Instance, n)}
	q := o.queues[id]
	if q == nil {
		q = &ownedQueue{queue: fairqueue.New(fairqueue.DefaultSettings()), instances: map[string]seenUpdate{}}
		q.queue.SetWeights(o.weights)
		o.queues[id] = q
	}
	seen := q.instances[u.Instance]
	if seen.process == u.Process && seen.sequence >= u.Sequence {
		return false
	}
	q.queue.SetEngines((endpoints + n - 1) / n)
	q.queue.Report(now, u.Report)
	q.instances[u.Instance] = seenUpdate{u.Process, u.Sequence, now}
	q.updatedAt = now
	var changed []string
	if now.Sub(q.decidedAt) >= minInterval {
		changed = q.decide(now)
	}
	if !slices.Contains(changed, u.Instance) {
		changed = append(changed, u.Instance)
	}
	o.post(now, id, q, changed)
	return true
}

func (q *ownedQueue) decide(now time.Time) []string {
	q.decidedAt = now
	return q.queue.Decide(now)
}

// post puts the states of a queue for some instances into the outbox, and logs new refusals.
func (o *Owner) post(now time.Time, id queueID, q *ownedQueue, instances []string) {
	for _, instance := range instances {
		seen, ok := q.instances[instance]
		if !ok {
			continue
		}
		s := &State{Owner: o.Self, Process: o.Process, Sequence: seen.sequence, Service: id.service, ShortRenewals: true, State: q.queue.State(now, instance)}
		o.logRefusals(id, instance, s.Refused)
		i := slices.IndexFunc(o.outbox, func(a *addressedState) bool { return a.instance == instance && a.queue == id })
		if i < 0 {
			o.outbox = append(o.outbox, &addressedState{instance, id, s})
			continue
		}
		// A queue returns each refusal and each unknown request once, so the state that is replaced hands them on.
		s.Refused = append(o.outbox[i].Refused, s.Refused...)
		s.Unknown = append(o.outbox[i].Unknown, s.Unknown...)
		o.outbox[i].State = s
	}
}

func (o *Owner) logRefusals(id queueID, instance string, refused []fairqueue.Refusal) {
	for i := range refused {
		r := &refused[i]
		o.LogRefusal(logrus.Fields{
			"service": id.service, "shard": id.shard, "for": instance, "rank": r.Level, "team": r.Team, "position": r.Position,
			"expected_ms": r.Expected.Milliseconds(), "retry_after_ms": r.RetryIn.Milliseconds(),
		})
	}
}

// flush sends what is in the outbox. mu is not held meanwhile, since a send may block. If another goroutine is
// sending, that one sends the rest.
func (o *Owner) flush() {
	for first := true; ; first = false {
		states := o.takeOutbox(first)
		if len(states) == 0 {
			return
		}
		for _, s := range states {
			if s.instance == o.Self {
				o.Deliver(s.State)
			} else {
				o.Network.SendQueueState(s.instance, s.State)
			}
		}
	}
}

// takeOutbox returns the states to send. first says that the caller is not the one that is sending. The
// caller is that one until it gets none.
func (o *Owner) takeOutbox(first bool) []*addressedState {
	o.mu.Lock()
	defer o.mu.Unlock()
	if first && o.sending {
		return nil
	}
	states := o.outbox
	o.outbox, o.sending = nil, len(states) > 0
	return states
}

// Run decides at intervals while requests wait, until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if o.decideAll() {
			pause.For(ctx, minInterval)
		} else {
			pause.UntilWoken(ctx, idleInterval, o.wake)
		}
	}
}

// decideAll decides in all queues in which requests wait, drops those that are not used, and sends what has
// changed. It reports whether any requests wait.
func (o *Owner) decideAll() (waiting bool) {
	defer o.flush()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for id, q := range o.queues {
		if now.Sub(q.updatedAt) >= queueIdleTime {
			delete(o.queues, id)
			continue
		}
		if q.queue.Waiting() == 0 {
			continue
		}
		waiting = true
		if now.Sub(q.decidedAt) >= minInterval {
			o.post(now, id, q, q.decide(now))
		}
		q.expire(now)
	}
	return waiting
}

// expire forgets instances that have sent nothing for queueIdleTime.
func (q *ownedQueue) expire(now time.Time) {
	for instance, seen := range q.instances {
		if now.Sub(seen.at) >= queueIdleTime {
			delete(q.instances, instance)
			q.queue.Drop(instance)
		}
	}
}

// Use is what a team uses of a queue that this instance owns.
type Use struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Team    string `json:"team"`
	Level   int    `json:"level"`
	Waiting int    `json:"waiting"`
	// Tokens is the team's counter, from which the order of the teams follows.
	Tokens float64 `json:"tokens"`
}

// Uses returns what teams use of the queues that this instance owns, by service, shard and level.
func (o *Owner) Uses() []Use {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Use
	for id, q := range o.queues {
		for _, u := range q.queue.Uses() {
			out = append(out, Use{Service: id.service, Shard: id.shard, Team: u.Team, Level: u.Level, Waiting: u.Waiting, Tokens: u.Tokens})
		}
	}
	slices.SortFunc(out, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Level, b.Level), cmp.Compare(a.Team, b.Team))
	})
	return out
}

package sharedqueue

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/fairqueue"
	"github.com/agateway/agateway/gateway/pause"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Self is the name of this instance, and Process a number drawn when it started.
	Self    string
	Process uint64
	Network Network
	// Local is the owner half of this instance.
	Local *Owner
	// Endpoints returns the number of endpoints of a service.
	Endpoints func(service string) int
	Log       *logrus.Entry
	Scope     tally.Scope
}

// Client holds the waiting requests of this instance. It is safe for concurrent use.
type Client struct {
	ClientOptions
	metrics clientMetrics
	wake    chan struct{}

	mu       sync.Mutex
	services map[string]*clientQueue
	lastID   uint64
	sequence uint64 // of the last update to any owner
}

// clientQueue is the part of this instance in the queue of a service.
type clientQueue struct {
	waiting  map[uint64]*Ticket
	outcomes []outcome
	// changed is set if the next update differs from the last one.
	changed bool
	// owner is the instance that the last update went to; empty for none.
	owner string
	// passedOver holds until when owners that did not answer are passed over.
	passedOver map[string]time.Time
	lastSentAt time.Time
	// unansweredSince is when the oldest update without an answer was sent; zero if there is none.
	unansweredSince time.Time
	// resent is set once an update was sent again for want of an answer.
	resent bool
	// firstSequence is the first update to the current owner, and answered the newest one that a
	// state of it follows from.
	firstSequence, answered uint64
}

// outcome is what became of a request that an owner may still hold.
type outcome struct {
	id     uint64
	placed bool
	// sentIn is the first update with the outcome; 0 for none.
	sentIn uint64
	at     time.Time
}

// maxOutcomeAge is how long an outcome is reported without an answer. The entry at the owner has
// expired by then.
const maxOutcomeAge = time.Second

// NewClient returns a client without requests. It sends nothing before Run.
func NewClient(o ClientOptions) *Client {
	return &Client{ClientOptions: o, metrics: clientMetrics{o.Scope}, wake: make(chan struct{}, 1), services: map[string]*clientQueue{}}
}

// Join registers a waiting request. It sets the id of the request. It returns nil while no owner
// answers.
func (c *Client) Join(service string, r fairqueue.Request) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.services[service]
	if q == nil {
		q = &clientQueue{waiting: map[uint64]*Ticket{}, passedOver: map[string]time.Time{}}
		c.services[service] = q
	}
	if c.chooseOwner(service, q, time.Now()) == "" {
		return nil
	}
	if len(q.waiting) == 0 && len(q.outcomes) == 0 {
		q.unansweredSince = time.Time{} // no answer was waited for
	}
	c.lastID++
	r.ID = c.lastID
	t := &Ticket{client: c, service: service, request: r, changed: make(chan struct{}, 1)}
	q.waiting[r.ID] = t
	q.changed = true
	c.metrics.setWaiting(service, r.Level, q)
	signal(c.wake)
	return t
}

func (c *Client) leave(t *Ticket, placed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.services[t.service]
	if q.waiting[t.request.ID] != t {
		return
	}
	delete(q.waiting, t.request.ID)
	c.metrics.setWaiting(t.service, t.request.Level, q)
	if t.sentIn == 0 {
		return
	}
	q.outcomes = append(q.outcomes, outcome{id: t.request.ID, placed: placed, at: time.Now()})
	q.changed = true
	signal(c.wake)
}

// Run sends updates until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.UntilWoken(ctx, c.step(time.Now()), c.wake)
	}
}

// idleInterval is the time between two steps while no request waits.
const idleInterval = time.Minute

// addressedUpdate is an update and the owner that it is sent to.
type addressedUpdate struct {
	owner string
	*Update
}

// step sends the updates that are due, and returns the time until the next one is.
func (c *Client) step(now time.Time) time.Duration {
	due, wait := c.collect(now)
	for _, u := range due {
		if u.owner == c.Self {
			c.Local.ReceiveUpdate(u.Update)
		} else {
			c.Network.SendQueueUpdate(u.owner, u.Update)
		}
	}
	return wait
}

func (c *Client) collect(now time.Time) (due []addressedUpdate, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait = idleInterval
	for service, q := range c.services {
		c.passOver(service, q, now)
		at, ok := q.nextUpdate()
		if !ok {
			continue
		}
		if now.Before(at) {
			wait = min(wait, at.Sub(now))
			continue
		}
		if u := c.update(service, q, now); u != nil {
			due = append(due, addressedUpdate{q.owner, u})
		}
		if at, ok = q.nextUpdate(); ok {
			wait = min(wait, max(at.Sub(now), time.Millisecond))
		}
	}
	return due, wait
}

// nextUpdate returns when the queue has to be looked at again; false if not before it changes.
func (q *clientQueue) nextUpdate() (time.Time, bool) {
	if len(q.waiting) == 0 && len(q.outcomes) == 0 {
		return time.Time{}, false
	}
	at := q.lastSentAt.Add(renewalInterval)
	if q.changed {
		at = q.lastSentAt.Add(minInterval)
	}
	if !q.unansweredSince.IsZero() {
		next := q.unansweredSince.Add(answerTimeout)
		if again := q.lastSentAt.Add(resendDelay); !q.resent && again.Before(next) {
			next = again
		}
		if next.Before(at) {
			at = next
		}
	}
	return at, true
}

// passOver passes over an owner that has not answered in time.
func (c *Client) passOver(service string, q *clientQueue, now time.Time) {
	if q.unansweredSince.IsZero() || now.Sub(q.unansweredSince) < answerTimeout {
		return
	}
	c.Log.WithFields(logrus.Fields{"service": service, "owner": q.owner}).Info("the owner of a queue does not answer")
	q.passedOver[q.owner] = now.Add(passOverTime)
	q.unansweredSince, q.changed = time.Time{}, true
	q.lastSentAt = time.Time{} // the next owner is asked at once
}

// chooseOwner returns the first owner that is not passed over; empty if there is none.
func (c *Client) chooseOwner(service string, q *clientQueue, now time.Time) string {
	key := queueKey(service, shardOf(c.Self, shards(c.Endpoints(service))))
	for owner, until := range q.passedOver {
		if !now.Before(until) {
			delete(q.passedOver, owner)
		}
	}
	for _, owner := range c.Network.QueueOwners(key) {
		if _, skip := q.passedOver[owner]; owner != "" && !skip {
			return owner
		}
	}
	return ""
}

// update returns the update of a queue, or nil if no owner is left, which its requests are told.
func (c *Client) update(service string, q *clientQueue, now time.Time) *Update {
	owner := c.chooseOwner(service, q, now)
	if owner == "" {
		c.abandon(service, q)
		return nil
	}
	if owner != q.owner {
		c.changeOwner(service, q, owner)
	}
	c.sequence++
	if q.firstSequence == 0 {
		q.firstSequence = c.sequence
	}
	u := &Update{Service: service, Report: fairqueue.Report{Instance: c.Self, Process: c.Process, Sequence: c.sequence}}
	u.Placed, u.Left = q.reportOutcomes(now, c.sequence)
	u.Waiting = q.reportWaiting(c.sequence)
	q.resent = !q.unansweredSince.IsZero() && !q.changed
	if q.unansweredSince.IsZero() {
		q.unansweredSince = now
	}
	q.changed, q.lastSentAt = false, now
	return u
}

func (c *Client) changeOwner(service string, q *clientQueue, owner string) {
	if q.owner != "" {
		c.metrics.countOwnerChange(service)
		c.Log.WithFields(logrus.Fields{"service": service, "owner": owner, "before": q.owner, "waiting": len(q.waiting)}).Info("queue owner changed")
	}
	q.owner, q.firstSequence, q.answered, q.unansweredSince = owner, 0, 0, time.Time{}
}

// abandon tells all requests of a queue that no owner answers, and forgets them.
func (c *Client) abandon(service string, q *clientQueue) {
	c.Log.WithFields(logrus.Fields{"service": service, "waiting": len(q.waiting)}).Info("no owner of the queue answers; requests wait in the queue of the instance")
	for id, t := range q.waiting {
		t.set(Status{NoOwner: true})
		delete(q.waiting, id)
		c.metrics.setWaiting(service, t.request.Level, q)
	}
	q.outcomes, q.changed, q.owner, q.firstSequence, q.answered = nil, false, "", 0, 0
}

// Bounds of an update, so that it fits a datagram of 2,900 bytes.
const (
	maxOutcomes = 40
	// maxWaitingBytes bounds the waiting requests. requestBytes is the largest size of one without
	// its team: two bytes in front, and six numbers with their tags.
	maxWaitingBytes = 2400
	requestBytes    = 2 + 11 + 2 + 2 + 3*6 + 9
)

// reportOutcomes returns the oldest outcomes that no state has followed from yet.
func (q *clientQueue) reportOutcomes(now time.Time, sequence uint64) (placed, left []uint64) {
	q.outcomes = slices.DeleteFunc(q.outcomes, func(o outcome) bool { return now.Sub(o.at) > maxOutcomeAge })
	for i := range q.outcomes[:min(len(q.outcomes), maxOutcomes)] {
		o := &q.outcomes[i]
		if o.sentIn == 0 {
			o.sentIn = sequence
		}
		if o.placed {
			placed = append(placed, o.id)
		} else {
			left = append(left, o.id)
		}
	}
	return placed, left
}

// reportWaiting returns the first waiting requests, as many as fit.
func (q *clientQueue) reportWaiting(sequence uint64) []fairqueue.Request {
	tickets := make([]*Ticket, 0, len(q.waiting))
	for _, t := range q.waiting {
		if t.status.Refused == nil { // a renewal would register it again
			tickets = append(tickets, t)
		}
	}
	slices.SortFunc(tickets, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(a.request.Level, b.request.Level), a.request.Latest.Compare(b.request.Latest), cmp.Compare(a.request.ID, b.request.ID))
	})
	var out []fairqueue.Request
	size := 0
	for _, t := range tickets {
		if size += requestBytes + len(t.request.Team); size > maxWaitingBytes {
			break
		}
		if t.sentIn == 0 {
			t.sentIn = sequence
		}
		out = append(out, t.request)
	}
	return out
}

// ReceiveState takes a state of an owner. It returns false for one that does not fit: of another
// owner than the current one, of an earlier run of this instance, or older than one received
// before.
func (c *Client) ReceiveState(s *State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.services[s.Service]
	if q == nil || s.Owner != q.owner || s.Sequence < q.firstSequence || s.Sequence < q.answered || s.Sequence > c.sequence {
		return false
	}
	q.unansweredSince, q.resent, q.answered = time.Time{}, false, s.Sequence
	q.outcomes = slices.DeleteFunc(q.outcomes, func(o outcome) bool { return o.sentIn != 0 && o.sentIn <= s.Sequence })
	turns := make(map[uint64]bool, len(s.Turns))
	for _, id := range s.Turns {
		turns[id] = true
	}
	refused := make(map[uint64]*fairqueue.Refusal, len(s.Refused))
	for i := range s.Refused {
		refused[s.Refused[i].ID] = &s.Refused[i]
	}
	for id, t := range q.waiting {
		if t.sentIn == 0 || t.sentIn > s.Sequence {
			continue
		}
		if turns[id] && !t.status.Turn {
			c.metrics.countTurn(s.Service)
		}
		if refused[id] != nil && t.status.Refused == nil {
			c.metrics.countRefused(s.Service, t.request.Level)
		}
		t.set(Status{Answered: true, Turn: turns[id], Refused: refused[id], Expected: s.Expected})
	}
	return true
}

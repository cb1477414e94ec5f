package sharedqueue

import (
	"cmp"
	"context"
	"math/bits"
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
	// changed is set if there is something to report before the next renewal.
	changed bool
	// owner is the instance that the last update went to; empty for none.
	owner string
	// passedOver holds until when owners that did not answer are passed over.
	passedOver map[string]time.Time
	lastSentAt time.Time
	// unansweredSince is when the oldest update without an answer was sent; zero if there is none.
	unansweredSince time.Time
	// firstSequence is the first update to the current owner, and answered the newest one that a
	// state of it follows from.
	firstSequence, answered uint64
	// ownerProcess is the process of the owner that has answered; 0 for none.
	ownerProcess uint64
	// shortRenewals says that the owner takes renewals by id. An owner that does not, or has not answered
	// yet, gets all requests with each update.
	shortRenewals bool
	// renewedAt is when the last renewal was due, and renewedSince the first update with it. All updates
	// since repeat it until a state follows from one of them.
	renewedAt    time.Time
	renewedSince uint64
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
	if t.status.Refused != nil && !placed && q.shortRenewals {
		return // the owner has removed it already; the next renewal reports it in case it was registered again
	}
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
	at := q.lastSentAt.Add(minInterval)
	if renewal := q.renewedAt.Add(renewalInterval); !q.changed && renewal.After(at) {
		at = renewal
	}
	if !q.unansweredSince.IsZero() {
		next := q.unansweredSince.Add(answerTimeout)
		if again := q.lastSentAt.Add(resendDelay); again.Before(next) {
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

// update returns the update of a queue, or nil if no owner is left, which the status of its requests then says.
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
	var more bool
	u.Waiting, u.Renewed, more = q.reportWaiting(c.sequence, q.beginRenewal(now, c.sequence))
	if q.unansweredSince.IsZero() {
		q.unansweredSince = now
	}
	q.changed, q.lastSentAt = more, now
	return u
}

// beginRenewal reports whether an update renews all requests. A renewal goes along with other news from half
// of the interval on, which costs less than a message of its own.
func (q *clientQueue) beginRenewal(now time.Time, sequence uint64) bool {
	if !q.shortRenewals || now.Sub(q.renewedAt) >= renewalInterval/2 {
		q.renewedAt, q.renewedSince = now, sequence
	}
	return q.answered < q.renewedSince
}

func (c *Client) changeOwner(service string, q *clientQueue, owner string) {
	if q.owner != "" {
		c.metrics.countOwnerChange(service)
		c.Log.WithFields(logrus.Fields{"service": service, "owner": owner, "before": q.owner, "waiting": len(q.waiting)}).Info("queue owner changed")
	}
	q.owner, q.firstSequence, q.answered, q.unansweredSince = owner, 0, 0, time.Time{}
	q.ownerProcess, q.shortRenewals = 0, false
	q.forgetKnown()
}

// forgetKnown makes the next updates list all requests.
func (q *clientQueue) forgetKnown() {
	for _, t := range q.waiting {
		t.known, t.listedSince = false, 0
	}
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
	// maxRenewed and maxRenewedBytes bound the requests that are renewed by id, each of which takes a
	// variable-length number for the difference from the id before.
	maxRenewed      = 800
	maxRenewedBytes = 1000
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

// reportWaiting returns the first waiting requests that the owner may not know, as many as fit, and with renew
// the ids of those that it knows. more says that not all fit.
func (q *clientQueue) reportWaiting(sequence uint64, renew bool) (waiting []fairqueue.Request, renewed []uint64, more bool) {
	size := 0
	if renew && q.shortRenewals {
		renewed, size = q.renewKnown()
	}
	tickets := make([]*Ticket, 0, len(q.waiting))
	for _, t := range q.waiting {
		if t.status.Refused == nil && !(t.known && q.shortRenewals) { // listing a refused one would register it again
			tickets = append(tickets, t)
		}
	}
	slices.SortFunc(tickets, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(a.request.Level, b.request.Level), a.request.Latest.Compare(b.request.Latest), cmp.Compare(a.request.ID, b.request.ID))
	})
	for i, t := range tickets {
		if size += requestBytes + len(t.request.Team); size > maxWaitingBytes {
			for _, t := range tickets[i:] {
				t.listedSince = 0
			}
			return waiting, renewed, q.shortRenewals // an older build would get all of them again
		}
		if t.sentIn == 0 {
			t.sentIn = sequence
		}
		if t.listedSince == 0 {
			t.listedSince = sequence
		}
		waiting = append(waiting, t.request)
	}
	return waiting, renewed, false
}

// renewKnown returns the ids of the requests that the owner knows, in their order, and their size in an update.
// Those that do not fit are listed again.
func (q *clientQueue) renewKnown() (ids []uint64, size int) {
	for id, t := range q.waiting {
		if t.known && t.status.Refused == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	last := uint64(0)
	for i, id := range ids {
		n := (bits.Len64(id-last) + 6) / 7
		if i == maxRenewed || size+n > maxRenewedBytes {
			for _, id := range ids[i:] {
				q.waiting[id].known = false
			}
			return ids[:i], size
		}
		size += n
		last = id
	}
	return ids, size
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
	q.unansweredSince, q.answered = time.Time{}, s.Sequence
	restarted := q.ownerProcess != 0 && q.ownerProcess != s.Process
	q.ownerProcess, q.shortRenewals = s.Process, s.ShortRenewals
	if restarted {
		q.forgetKnown()
	}
	q.outcomes = slices.DeleteFunc(q.outcomes, func(o outcome) bool { return o.sentIn != 0 && o.sentIn <= s.Sequence })
	turns := make(map[uint64]bool, len(s.Turns))
	for _, id := range s.Turns {
		turns[id] = true
	}
	refused := make(map[uint64]*fairqueue.Refusal, len(s.Refused))
	for i := range s.Refused {
		refused[s.Refused[i].ID] = &s.Refused[i]
	}
	unlisted := false
	for id, t := range q.waiting {
		if t.listedSince != 0 && t.listedSince <= s.Sequence {
			t.known, t.listedSince = true, 0
		}
		unlisted = unlisted || !t.known && t.listedSince == 0 && s.ShortRenewals
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
	if unlisted { // they did not fit the updates before
		q.changed = true
		signal(c.wake)
	}
	if q.forgetUnknown(s.Unknown) || restarted {
		q.changed, q.lastSentAt = true, time.Time{} // the owner lacks them: it gets them at once
		signal(c.wake)
	}
	return true
}

// forgetUnknown makes the next update list the requests that an owner does not hold, and reports whether there
// are any: it has dropped them, or the state that refused them was lost.
func (q *clientQueue) forgetUnknown(ids []uint64) (any bool) {
	for _, id := range ids {
		if t := q.waiting[id]; t != nil && t.known && t.status.Refused == nil {
			t.known, any = false, true
		}
	}
	return any
}

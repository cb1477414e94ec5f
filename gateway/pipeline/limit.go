package pipeline

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/gateway/apierr"
)

// limit bounds the requests of each team to its quota, and those to each service to what its
// endpoints can take. A request that is not expected to get a slot in time is refused on arrival.
type limit struct {
	*Deps
	mu     sync.Mutex
	teams  map[string]*limits.Team
	queues map[string]*serviceQueue // by service, since deployments may share endpoints
	lastID uint64
}

// serviceQueue is the queue of a service. waiting holds, by id, a channel for each waiting request,
// which is closed when the request gets a slot.
type serviceQueue struct {
	limits.Queue
	refreshed time.Time
	waiting   map[uint64]chan struct{}
}

// capacityInterval is how often the capacity of a queue is updated.
const capacityInterval = 100 * time.Millisecond

// Prefixes of the names under which heartbeats report the usage of limits.
const (
	teamUsagePrefix    = "t/"
	serviceUsagePrefix = "s/"
)

func newLimit(d *Deps) *limit {
	l := &limit{Deps: d, teams: map[string]*limits.Team{}, queues: map[string]*serviceQueue{}}
	d.usage = l.usage
	return l
}

func (*limit) Name() string { return "limit" }

func (l *limit) Serve(ctx context.Context, x *Exchange) error {
	if err := l.acquireTeam(x); err != nil {
		return err
	}
	return l.acquireSlot(ctx, x)
}

// acquireTeam counts the request against the team's limits, and releases it at the end of the
// exchange.
func (l *limit) acquireTeam(x *Exchange) error {
	fleet := l.Fleet.Usage(teamUsagePrefix + x.Team.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[x.Team.Name]
	if t == nil {
		t = &limits.Team{}
		l.teams[x.Team.Name] = t
	}
	now := time.Now()
	t.Configure(now, x.Team.Quota)
	t.SetFleetUsage(fleet)
	if refusal := t.Acquire(now); refusal != nil {
		l.metrics.scope.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refused").Inc(1)
		return apierr.New(apierr.TeamLimit, "the team's limit is reached (%s)", refusal.Reason).WithRetryAfter(refusal.RetryAfter)
	}
	x.addCleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		t.Release()
	})
	return nil
}

// acquireSlot takes a slot of the deployment's service. If none is free it waits, at most for the
// deployment's queue time and until the deadline.
func (l *limit) acquireSlot(ctx context.Context, x *Exchange) error {
	class, maxWait := x.Class, min(x.Deployment.QueueWait, time.Until(x.Deadline))
	if x.cursor != nil {
		class = limits.Recovery // work that was lost once is admitted before new work
	}
	l.mu.Lock()
	q := l.queueFor(x.Deployment.Service)
	q.HintServiceTime(estimateServiceTime(x))
	l.lastID++
	id := l.lastID
	verdict, wait := q.Offer(id, class, maxWait)
	var granted chan struct{}
	if verdict == limits.Waiting {
		granted = make(chan struct{})
		q.waiting[id] = granted
	}
	l.mu.Unlock()
	switch verdict {
	case limits.Refused:
		return l.overloaded(wait)
	case limits.Waiting:
		if err := l.waitForSlot(ctx, x, q, id, granted, maxWait); err != nil {
			return err
		}
	}
	l.releaseSlotAtEnd(x, q)
	return nil
}

// Assumptions for the estimate of service times before any request has finished:
// assumedTokenInterval is the time between two tokens, and assumedCallTime that of a plain call.
const (
	assumedTokenInterval = 30 * time.Millisecond
	assumedCallTime      = 50 * time.Millisecond
)

// estimateServiceTime estimates how long a request occupies its slot. The estimate is used until
// the first request has finished.
func estimateServiceTime(x *Exchange) time.Duration {
	if x.Generation == nil {
		return assumedCallTime
	}
	return time.Duration(x.Generation.MaxTokens) * assumedTokenInterval
}

// overloaded counts a refusal and returns its error; wait is the time to retry.
func (l *limit) overloaded(wait time.Duration) error {
	l.metrics.scope.Tagged(map[string]string{"reason": string(limits.ReasonOverload)}).Counter("refused").Inc(1)
	return apierr.New(apierr.Overloaded, "the deployment has more work than it can do in time").WithRetryAfter(wait)
}

// waitForSlot waits until the queue grants a slot, at most for maxWait. A caller that asked for a
// stream gets keepalives meanwhile, so that it can tell a queue from a dead instance.
func (l *limit) waitForSlot(ctx context.Context, x *Exchange, q *serviceQueue, id uint64, granted chan struct{}, maxWait time.Duration) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	tick := time.NewTicker(l.Settings.Callers.Keepalive)
	defer tick.Stop()
	for waiting := true; waiting; {
		select {
		case <-granted:
			return nil
		case now := <-tick.C:
			if x.events != nil {
				x.events.keepalive(now, l.Settings.Callers.Keepalive)
			}
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	l.mu.Lock()
	withdrawn := q.Withdraw(id)
	delete(q.waiting, id)
	l.mu.Unlock()
	if !withdrawn {
		return nil // it was granted at the same time
	}
	if ctx.Err() != nil {
		return apierr.New(apierr.DeadlineExceeded, "the caller went away")
	}
	return l.overloaded(time.Second)
}

// releaseSlotAtEnd releases the slot at the end of the exchange.
func (l *limit) releaseSlotAtEnd(x *Exchange, q *serviceQueue) {
	x.admittedAt = time.Now()
	x.addCleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		q.grant(q.Finish(time.Since(x.admittedAt)))
	})
}

// grant wakes the waiting requests that got a slot. The caller holds the lock.
func (q *serviceQueue) grant(ids []uint64) {
	for _, id := range ids {
		if c := q.waiting[id]; c != nil {
			close(c)
			delete(q.waiting, id)
		}
	}
}

// queueFor returns the queue of a service with its capacity up to date. The caller holds the lock.
func (l *limit) queueFor(service string) *serviceQueue {
	q := l.queues[service]
	if q == nil {
		q = &serviceQueue{waiting: map[uint64]chan struct{}{}}
		l.queues[service] = q
	}
	if now := time.Now(); now.Sub(q.refreshed) >= capacityInterval {
		q.refreshed = now
		q.grant(q.SetCapacity(l.capacity(service)))
	}
	return q
}

// capacity returns how many requests this instance may have in progress: the slots that the other
// instances are not known to use, but at least an equal share. It never exceeds the number of
// slots. Further work would wait at an endpoint until a whole answer ends, after it had already
// waited here.
func (l *limit) capacity(service string) int {
	fleet := l.Fleet.Usage(serviceUsagePrefix + service)
	return int(math.Ceil(fleet.Allowed(float64(l.Backends.Slots(service)), float64(fleet.Others.Running))))
}

// usage returns what this instance uses of the limits that instances share.
func (l *limit) usage() map[string]limits.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	out := make(map[string]limits.Usage, len(l.teams)+len(l.queues))
	for name, t := range l.teams {
		if t.ShouldReport(now) {
			out[teamUsagePrefix+name] = t.Usage(now)
		}
	}
	for name, q := range l.queues {
		out[serviceUsagePrefix+name] = limits.Usage{Running: q.Running()}
	}
	return out
}

// Usage returns, by name, what this instance uses of the limits that instances share. Heartbeats
// carry it to the other instances.
func (p *Pipeline) Usage() map[string]limits.Usage { return p.deps.usage() }

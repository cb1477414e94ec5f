package pipeline

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/gateway/apierr"
)

// limit holds teams to their share and services to what their endpoints carry. Work that
// can't be served within its contract is refused on arrival.
type limit struct {
	*Deps
	mu     sync.Mutex
	teams  map[string]*limits.Team
	queues map[string]*queue // by service: deployments that share endpoints share a queue
	nextID uint64
}

// queue is a service's queue with those that wait.
type queue struct {
	limits.Queue
	refreshed time.Time
	waiting   map[uint64]chan struct{}
}

// capacityEvery is how often a queue's capacity is worked out anew.
const capacityEvery = 100 * time.Millisecond

// Keys of shared limits in heartbeats.
const (
	teamUsage    = "t/"
	serviceUsage = "s/"
)

func newLimit(d *Deps) *limit {
	l := &limit{Deps: d, teams: map[string]*limits.Team{}, queues: map[string]*queue{}}
	d.usage = l.usage
	return l
}

func (*limit) Name() string { return "limit" }

func (l *limit) Serve(ctx context.Context, x *Exchange) error {
	if err := l.team(x); err != nil {
		return err
	}
	return l.place(ctx, x)
}

// team takes one request of the team's limits.
func (l *limit) team(x *Exchange) error {
	fleet := l.Fleet.Usage(teamUsage + x.Team.Name)
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
		return apierr.New(apierr.TeamLimit, "the team's limit is reached (%s)", refusal.Reason).WithRetry(refusal.RetryAfter)
	}
	x.atEnd(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		t.Release()
	})
	return nil
}

// place takes a place in the queue of the deployment's service, waiting where the contract
// allows.
func (l *limit) place(ctx context.Context, x *Exchange) error {
	class, budget := x.Class, min(x.Deployment.QueueWait, time.Until(x.Deadline))
	if x.cursor != nil {
		class = limits.Recovery // work that was lost once goes before new work
	}
	l.mu.Lock()
	q := l.queue(x.Deployment.Service)
	q.HintServiceTime(likelyTime(x))
	l.nextID++
	id := l.nextID
	verdict, wait := q.Offer(id, class, budget)
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
		if err := l.wait(ctx, x, q, id, granted, budget); err != nil {
			return err
		}
	}
	l.hold(x, q)
	return nil
}

// typicalGap is the time between two tokens that a first estimate goes by; likelyCall is
// that for a plain call.
const (
	typicalGap = 30 * time.Millisecond
	likelyCall = 50 * time.Millisecond
)

// likelyTime is how long a request may hold its place, before any has ended.
func likelyTime(x *Exchange) time.Duration {
	if x.Generation == nil {
		return likelyCall
	}
	return time.Duration(x.Generation.MaxTokens) * typicalGap
}

func (l *limit) overloaded(wait time.Duration) error {
	l.metrics.scope.Tagged(map[string]string{"reason": string(limits.ReasonOverload)}).Counter("refused").Inc(1)
	return apierr.New(apierr.Overloaded, "the deployment has more work than it can do in time").WithRetry(wait)
}

// wait waits for a place. A caller that asked for a stream is told meanwhile that it is
// waited, so that it can tell a queue from a dead instance.
func (l *limit) wait(ctx context.Context, x *Exchange, q *queue, id uint64, granted chan struct{}, budget time.Duration) error {
	timer := time.NewTimer(budget)
	defer timer.Stop()
	tick := time.NewTicker(l.Settings.Callers.Keepalive)
	defer tick.Stop()
	for waiting := true; waiting; {
		select {
		case <-granted:
			return nil
		case now := <-tick.C:
			if x.events != nil {
				x.events.idle(now, l.Settings.Callers.Keepalive)
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
		return nil // granted in the same moment
	}
	if ctx.Err() != nil {
		return apierr.New(apierr.DeadlineExceeded, "the caller went away")
	}
	return l.overloaded(time.Second)
}

// hold gives the place back at the end.
func (l *limit) hold(x *Exchange, q *queue) {
	x.admitted = time.Now()
	x.atEnd(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		q.grant(q.Finish(time.Since(x.admitted)))
	})
}

func (q *queue) grant(ids []uint64) {
	for _, id := range ids {
		if c := q.waiting[id]; c != nil {
			close(c)
			delete(q.waiting, id)
		}
	}
}

// queue returns a service's queue with its capacity up to date. The lock is held.
func (l *limit) queue(service string) *queue {
	q := l.queues[service]
	if q == nil {
		q = &queue{waiting: map[uint64]chan struct{}{}}
		l.queues[service] = q
	}
	if now := time.Now(); now.Sub(q.refreshed) >= capacityEvery {
		q.refreshed = now
		q.grant(q.SetCapacity(l.capacity(service)))
	}
	return q
}

// capacity is what this instance may have in progress: the slots that the others are not
// known to use, and never less than an equal share. Not more than the slots: work beyond
// them would wait at an endpoint for a whole answer to end, after its own wait here.
func (l *limit) capacity(service string) int {
	fleet := l.Fleet.Usage(serviceUsage + service)
	return int(math.Ceil(fleet.Allowed(float64(l.Backends.Slots(service)), float64(fleet.Others.Running))))
}

// usage returns what this instance uses of shared limits.
func (l *limit) usage() map[string]limits.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	out := make(map[string]limits.Usage, len(l.teams)+len(l.queues))
	for name, t := range l.teams {
		if t.ShouldReport(now) {
			out[teamUsage+name] = t.Usage(now)
		}
	}
	for name, q := range l.queues {
		out[serviceUsage+name] = limits.Usage{Running: q.Running()}
	}
	return out
}

// Usage returns what this instance uses of shared limits, for heartbeats.
func (p *Pipeline) Usage() map[string]limits.Usage { return p.deps.usage() }

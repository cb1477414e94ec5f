package forward

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/pause"
)

// waitQueues holds the queue of requests that wait for an engine, by service. The zero value is
// empty. It is safe for concurrent use.
type waitQueues struct {
	mu        sync.Mutex
	byService map[string]*limits.WaitQueue
	lastID    atomic.Uint64
}

func (q *waitQueues) get(service string) *limits.WaitQueue {
	if q.byService == nil {
		q.byService = map[string]*limits.WaitQueue{}
	}
	queue := q.byService[service]
	if queue == nil {
		queue = &limits.WaitQueue{}
		q.byService[service] = queue
	}
	return queue
}

// Limits of the wait for an engine with room.
const (
	// engineWaitInterval is how often the first request of a queue looks for room.
	engineWaitInterval = 20 * time.Millisecond
	// A request may wait for engineWaitNumerator/engineWaitDenominator of the route's target
	// latency. The rest is left for prefilling the prompt.
	engineWaitNumerator   = 1
	engineWaitDenominator = 2
	// defaultEngineWait is the longest wait on a route without a target latency.
	defaultEngineWait = 2 * time.Second
)

// awaitEngine waits until an engine has room for a stream, in the order of priority and arrival. A
// stream that is not expected to find room in time is refused immediately and told when room is
// expected.
func (f *Forwarder) awaitEngine(ctx context.Context, req *request) *refusal {
	if f.Settings.Disabled.WaitQueue {
		return nil
	}
	latest := latestUsefulStart(req)
	if refused := f.refuseIfPaused(req, latest); refused != nil {
		return refused
	}
	if f.usesSharedQueue(req) {
		return f.awaitShared(ctx, req, latest)
	}
	return f.awaitOwn(ctx, req, latest)
}

// awaitOwn waits in the queue of this instance.
func (f *Forwarder) awaitOwn(ctx context.Context, req *request, latest time.Time) *refusal {
	id := f.waitQueues.lastID.Add(1)
	if mayWait, expected := f.joinQueue(req, id, latest); !mayWait {
		return f.refuseNoRoom(req, "no room is expected in time", expected)
	}
	defer f.leaveQueue(req, id)
	for {
		if f.isFirstInQueue(req, id) {
			if done, refused := f.lookForRoom(ctx, req); done {
				return refused
			}
		}
		if !time.Now().Add(engineWaitInterval).Before(latest) {
			return f.refuseNoRoom(req, "no room in time", f.expectedWait(req))
		}
		if !pause.For(ctx, engineWaitInterval) {
			return f.refuseNoRoom(req, waitEndReason(ctx), 0)
		}
		if refused := f.revalidate(req); refused != nil {
			return refused
		}
		if refused := f.refuseIfPaused(req, latest); refused != nil {
			return refused
		}
	}
}

// usesSharedQueue reports whether a request waits in the queue that all instances share.
func (f *Forwarder) usesSharedQueue(req *request) bool {
	o := &f.Settings.Overload
	return o.SharedQueue && f.Queue != nil && o.includes(req.priority)
}

// refuseIfPaused refuses a request if all endpoints of its service asked for a pause and none of these
// ends by latest. The caller is told to come back after the first of them.
func (f *Forwarder) refuseIfPaused(req *request, latest time.Time) *refusal {
	end, all := f.Placement.CooldownEnd(req.service)
	if !all || end.Before(latest) {
		return nil
	}
	expected := time.Until(end)
	return refuse(http.StatusServiceUnavailable, "all endpoints asked for a pause", retryWhenRoom(expected)).with(logrus.Fields{
		"expected_ms": expected.Milliseconds(),
	})
}

// Limits of queries to the owners of engines.
const (
	// ownerAnswerTTL is how long the owners' answers are reused for a request that still waits or
	// is retried.
	ownerAnswerTTL = 100 * time.Millisecond
	// maxEnginesPerQuery is how many engines one query covers: the six that a choice compares, and
	// some more for the copy, which is placed in another data centre than the first choice.
	maxEnginesPerQuery = 10
)

// queryOwners refreshes what is known about the engines among which a request will be placed. Each
// further query of a request covers the next group of engines, then starts over.
func (f *Forwarder) queryOwners(ctx context.Context, req *request) {
	now := time.Now()
	if now.Sub(req.ownersQueriedAt) < ownerAnswerTTL {
		return
	}
	req.ownersQueriedAt = now
	engines := f.Placement.Likely(f.engineRequest(req), maxEnginesPerQuery*(req.ownerQueries+1))
	if first := maxEnginesPerQuery * req.ownerQueries; first < len(engines) {
		engines = engines[first:]
	} else {
		req.ownerQueries = 0
		engines = engines[:min(len(engines), maxEnginesPerQuery)]
	}
	req.ownerQueries++
	ids := make([]string, len(engines))
	for i := range engines {
		ids[i] = engines[i].ID
	}
	f.Peers.Ask(ctx, req.promptKey(), ids)
}

func (f *Forwarder) joinQueue(req *request, id uint64, latest time.Time) (bool, time.Duration) {
	f.waitQueues.mu.Lock()
	defer f.waitQueues.mu.Unlock()
	return f.waitQueues.get(req.service).Join(time.Now(), id, req.priority.Level, latest)
}

func (f *Forwarder) leaveQueue(req *request, id uint64) {
	f.waitQueues.mu.Lock()
	defer f.waitQueues.mu.Unlock()
	f.waitQueues.get(req.service).Leave(id)
}

// lackedRoom reports whether streams of a service recently found no room.
func (f *Forwarder) lackedRoom(service string) bool {
	f.waitQueues.mu.Lock()
	defer f.waitQueues.mu.Unlock()
	return f.waitQueues.get(service).RecentlyFull(time.Now())
}

func (f *Forwarder) expectedWait(req *request) time.Duration {
	f.waitQueues.mu.Lock()
	defer f.waitQueues.mu.Unlock()
	return f.waitQueues.get(req.service).ExpectedWait(time.Now())
}

// isFirstInQueue reports whether a request is the next one to be placed.
func (f *Forwarder) isFirstInQueue(req *request, id uint64) bool {
	f.waitQueues.mu.Lock()
	defer f.waitQueues.mu.Unlock()
	return f.waitQueues.get(req.service).IsFirst(id)
}

// claimForFirst claims an engine for the first request of a queue. It returns [routing.ErrFull] when
// all engines are full, and another error when the choice failed for another reason.
func (f *Forwarder) claimForFirst(ctx context.Context, req *request) error {
	d, err := f.claimEndpoint(ctx, f.engineRequest(req))
	f.waitQueues.mu.Lock()
	defer f.waitQueues.mu.Unlock()
	queue := f.waitQueues.get(req.service)
	if errors.Is(err, routing.ErrFull) {
		queue.RecordFull(time.Now())
		return err
	}
	if err == nil {
		req.ownerQueries = 0
		req.claimed = d
	}
	queue.RecordAdmission(time.Now())
	return err
}

// waitEndReason returns why a request stops waiting after its context ended.
func waitEndReason(ctx context.Context) string {
	if isShutdown(ctx) {
		return reasonShutdown
	}
	return "the caller left"
}

// refuseNoRoom refuses a request that waited for room, or that may not wait.
func (f *Forwarder) refuseNoRoom(req *request, reason string, expected time.Duration) *refusal {
	f.logFullEngines(req)
	return refuse(http.StatusServiceUnavailable, reason, retryWhenRoom(expected)).with(logrus.Fields{
		"rank": req.priority.Level, "ranks": req.priority.Levels, "team": req.teamName(), "expected_ms": expected.Milliseconds(), "prompt_tokens": req.PromptTokens,
	})
}

// logFullEngines logs by which bounds the engines have no room for a request, and the estimate behind
// the bound on prefill.
func (f *Forwarder) logFullEngines(req *request) {
	suppressed, ok := f.roomLog.allow(time.Now())
	if !ok {
		return
	}
	c := f.Placement.CheckRoom(f.engineRequest(req))
	f.Log.Decision(req.ID, "engines without room", logrus.Fields{
		"service": req.service, "engines": c.Engines, "prompt_tokens": req.PromptTokens, "tokens": req.PromptTokens + req.MaxOutputTokens,
		"memory": c.ByBound[routing.BoundMemory], "prefill": c.ByBound[routing.BoundPrefill], "pause": c.ByBound[routing.BoundPause],
		"slots": c.ByBound[routing.BoundSlots], "deadline": c.ByBound[routing.BoundDeadline], "have_room": c.ByBound[routing.BoundNone],
		"prefill_ms": c.Prefill.Milliseconds(), "prefill_limit_ms": c.PrefillLimit.Milliseconds(), "suppressed": suppressed,
	})
}

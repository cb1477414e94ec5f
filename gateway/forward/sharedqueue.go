package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/fairqueue"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/sharedqueue"
)

// SharedQueue is the queue of a service that all instances share.
type SharedQueue interface {
	// Join registers a waiting request. It returns nil while no owner of the queue answers.
	Join(service string, r fairqueue.Request) *sharedqueue.Ticket
}

// awaitShared is awaitEngine where instances share a queue. The instance's own queue is used while no
// owner of the shared one answers. A request looks for room at once, and registers only if its service
// lacked room lately or has none now.
func (f *Forwarder) awaitShared(ctx context.Context, req *request, latest time.Time) *refusal {
	if !f.lackedRoom(req.service) {
		if done, refused := f.lookForRoom(ctx, req); done {
			return refused
		}
	}
	t := f.Queue.Join(req.service, f.queuedRequest(req))
	if t == nil {
		return f.awaitOwn(ctx, req, latest)
	}
	refused, fellBack := f.leaveAfter(t, req, func() (*refusal, bool) { return f.awaitTurn(ctx, req, t, latest) })
	if fellBack {
		return f.awaitOwn(ctx, req, latest)
	}
	return refused
}

// leaveAfter calls wait and takes the request out of the queue, also if wait panics: a request that stays
// registered is renewed and keeps a turn.
func (f *Forwarder) leaveAfter(t *sharedqueue.Ticket, req *request, wait func() (*refusal, bool)) (refused *refusal, fellBack bool) {
	placed := false
	defer func() { t.Leave(placed) }()
	refused, fellBack = wait()
	placed = refused == nil && req.claimed != nil
	return refused, fellBack
}

// lookForRoom tries to claim an engine. It returns false if all engines are full.
func (f *Forwarder) lookForRoom(ctx context.Context, req *request) (done bool, refused *refusal) {
	f.queryOwners(ctx, req)
	switch err := f.claimForFirst(ctx, req); {
	case errors.Is(err, routing.ErrAllLeaving) && req.LastEventID == "":
		return true, f.refuseNoRoom(req, err.Error(), 0)
	case !errors.Is(err, routing.ErrFull):
		return true, nil
	}
	return false, nil
}

// awaitTurn waits until latest for a request's turn, and looks for room while it has it. fellBack is set
// if the request is in no shared queue any more.
func (f *Forwarder) awaitTurn(ctx context.Context, req *request, t *sharedqueue.Ticket, latest time.Time) (refused *refusal, fellBack bool) {
	service := req.service
	for {
		s := t.Status()
		switch {
		case s.Refused != nil:
			f.recordFull(req.service)
			return f.refuseByQueue(req, s.Refused), false
		case s.NoOwner, req.service != service: // a change of the configuration may choose another service
			return nil, true
		case s.Turn:
			if done, refused := f.lookForRoom(ctx, req); done {
				return refused, false
			}
		}
		if !time.Now().Add(engineWaitInterval).Before(latest) {
			return f.refuseNoRoom(req, "no room in time", s.Expected), false
		}
		if !pause.UntilWoken(ctx, engineWaitInterval, t.Changed()) {
			return f.refuseNoRoom(req, waitEndReason(ctx), 0), false
		}
		if refused := f.revalidate(req); refused != nil {
			return refused, false
		}
		if refused := f.refuseIfPaused(req, latest); refused != nil {
			return refused, false
		}
	}
}

// queuedRequest describes a request for the shared queue.
func (f *Forwarder) queuedRequest(req *request) fairqueue.Request {
	return fairqueue.Request{
		Level: req.priority.Level, Team: sharedqueue.TeamName(req.teamName()), Tokens: req.PromptTokens + req.MaxOutputTokens/2, Prompt: req.promptKey(),
		Since: req.arrivedAt, Latest: latestUsefulStart(req),
	}
}

// latestUsefulStart returns until when an engine has to take a request so that its first event is on
// time: engineWaitNumerator/engineWaitDenominator of the target latency are left for it to wait. A longer
// queue makes all streams start late, so that engines have to take fewer at once for them to end by their
// deadlines. The time of the caller's first attempt is not known: the deadlines that callers state differ
// from the route's timeout also at first.
func latestUsefulStart(req *request) time.Time {
	if target := req.route.TargetLatency; target > 0 {
		return req.arrivedAt.Add(target * engineWaitNumerator / engineWaitDenominator)
	}
	return req.arrivedAt.Add(defaultEngineWait)
}

// recordFull records that streams of a service find no room.
func (f *Forwarder) recordFull(service string) {
	f.waitQueues.mu.Lock()
	defer f.waitQueues.mu.Unlock()
	f.waitQueues.get(service).RecordFull(time.Now())
}

// refuseByQueue refuses a request that the shared queue has refused. The queue spreads the times at
// which callers may come back.
func (f *Forwarder) refuseByQueue(req *request, r *fairqueue.Refusal) *refusal {
	retryIn := r.RetryIn
	if retryIn <= 0 {
		retryIn = retryWhenRoom(r.Expected)
	}
	inputs := logrus.Fields{
		"rank": req.priority.Level, "ranks": req.priority.Levels, "team": req.teamName(), "expected_ms": r.Expected.Milliseconds(), "prompt_tokens": req.PromptTokens,
	}
	if r.Position > 0 { // known only if this instance owns the queue
		inputs["position"] = r.Position
	}
	return refuse(http.StatusServiceUnavailable, "the queue expects no room in time", retryIn).with(inputs)
}

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

// lines are who waits for engines, by service. The zero value is empty; it is safe for concurrent use.
type lines struct {
	mu   sync.Mutex
	all  map[string]*limits.WaitQueue
	next atomic.Uint64
}

func (l *lines) get(service string) *limits.WaitQueue {
	if l.all == nil {
		l.all = map[string]*limits.WaitQueue{}
	}
	line := l.all[service]
	if line == nil {
		line = &limits.WaitQueue{}
		l.all[service] = line
	}
	return line
}

// Waiting for an engine with room.
const (
	// awaitStep is how often the first of a line looks for room.
	awaitStep = 20 * time.Millisecond
	// awaitParts of awaitOf the aim may be waited: the rest is for reading the prompt.
	awaitParts = 1
	awaitOf    = 2
	// awaitUnset is waited where a route has no aim.
	awaitUnset = 2 * time.Second
)

// awaitEngine waits until an engine has room for a stream, in the order of rank and arrival. A stream that
// is not expected to find room while it could still be on time is refused at once, with the time at which
// room is expected.
func (f *Forwarder) awaitEngine(ctx context.Context, req *request) *refusal {
	if f.Settings.Without.Line {
		return nil
	}
	latest := req.arrived.Add(awaitUnset)
	if aim := req.route.TargetLatency; aim > 0 {
		latest = req.arrived.Add(aim * awaitParts / awaitOf)
	}
	id := f.lines.next.Add(1)
	if waits, expected := f.join(req, id, latest); !waits {
		return f.noRoom(req, "no room is expected in time", expected)
	}
	defer f.leave(req, id)
	for {
		if f.isFirst(req, id) {
			f.askOwners(ctx, req)
			if f.admitted(ctx, req) {
				return nil
			}
		}
		if !time.Now().Add(awaitStep).Before(latest) {
			return f.noRoom(req, "no room in time", f.expected(req))
		}
		if !pause.For(ctx, awaitStep) {
			return f.noRoom(req, whyLeft(ctx), 0)
		}
		if refused := f.stillAllowed(req); refused != nil {
			return refused
		}
	}
}

// Asking the owners of engines.
const (
	// askAgain is how long their answers are used by a request that still waits or is sent again.
	askAgain = 100 * time.Millisecond
	// askMost is how many engines are asked about: the six that a choice compares, and some more for the copy, which goes
	// to another data centre than the first choice.
	askMost = 10
)

// askOwners brings what is known of the engines up to date among which a request will be placed.
func (f *Forwarder) askOwners(ctx context.Context, req *request) {
	now := time.Now()
	if now.Sub(req.askedAt) < askAgain {
		return
	}
	req.askedAt = now
	engines := f.Placement.Likely(f.engineRequest(req), askMost*(req.asks+1))
	if begin := askMost * req.asks; begin < len(engines) {
		engines = engines[begin:]
	} else {
		req.asks = 0
		engines = engines[:min(len(engines), askMost)]
	}
	req.asks++
	ids := make([]string, len(engines))
	for i := range engines {
		ids[i] = engines[i].ID
	}
	f.Others.Ask(ctx, req.promptKey(), ids)
}

func (f *Forwarder) join(req *request, id uint64, latest time.Time) (bool, time.Duration) {
	f.lines.mu.Lock()
	defer f.lines.mu.Unlock()
	return f.lines.get(req.service).Join(time.Now(), id, req.rank, latest)
}

func (f *Forwarder) leave(req *request, id uint64) {
	f.lines.mu.Lock()
	defer f.lines.mu.Unlock()
	f.lines.get(req.service).Leave(id)
}

// short tells whether streams of a service found no room of late.
func (f *Forwarder) short(service string) bool {
	f.lines.mu.Lock()
	defer f.lines.mu.Unlock()
	return f.lines.get(service).RecentlyFull(time.Now())
}

func (f *Forwarder) expected(req *request) time.Duration {
	f.lines.mu.Lock()
	defer f.lines.mu.Unlock()
	return f.lines.get(req.service).ExpectedWait(time.Now())
}

// isFirst tells whether it is the request's turn.
func (f *Forwarder) isFirst(req *request, id uint64) bool {
	f.lines.mu.Lock()
	defer f.lines.mu.Unlock()
	return f.lines.get(req.service).IsFirst(id)
}

// admitted tells whether an engine has room for the first in line, and claims it.
func (f *Forwarder) admitted(ctx context.Context, req *request) bool {
	d, err := f.claimEngine(ctx, f.engineRequest(req))
	f.lines.mu.Lock()
	defer f.lines.mu.Unlock()
	line := f.lines.get(req.service)
	if errors.Is(err, routing.ErrFull) {
		line.RecordFull(time.Now())
		return false
	}
	if err == nil {
		req.asks = 0
		req.engine, req.claimedAt = &d, time.Now()
	}
	line.RecordAdmission(time.Now())
	return true
}

// whyLeft tells why a request does not wait any longer whose context ended.
func whyLeft(ctx context.Context) string {
	if isEnding(ctx) {
		return whyEnding
	}
	return "the caller left"
}

func (f *Forwarder) noRoom(req *request, why string, expected time.Duration) *refusal {
	return refuse(http.StatusServiceUnavailable, why, whenRoom(expected)).with(logrus.Fields{
		"rank": req.rank, "expected_ms": expected.Milliseconds(), "prompt_tokens": req.PromptTokens,
	})
}

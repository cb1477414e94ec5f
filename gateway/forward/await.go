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
	all  map[string]*limits.Line
	next atomic.Uint64
}

func (l *lines) get(service string) *limits.Line {
	if l.all == nil {
		l.all = map[string]*limits.Line{}
	}
	line := l.all[service]
	if line == nil {
		line = &limits.Line{}
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
	if aim := req.route.Aim; aim > 0 {
		latest = req.arrived.Add(aim * awaitParts / awaitOf)
	}
	id := f.lines.next.Add(1)
	if waits, expected := f.join(req, id, latest); !waits {
		return f.noRoom(req, "no room is expected in time", expected)
	}
	defer f.leave(req, id)
	for {
		if f.admitted(ctx, req, id) {
			return nil
		}
		if !time.Now().Add(awaitStep).Before(latest) {
			return f.noRoom(req, "no room in time", f.expected(req))
		}
		if !pause.For(ctx, awaitStep) {
			return f.noRoom(req, "the caller left", 0)
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
	// askMost is how many engines are asked about: those that a choice compares, and those that are left of them for a
	// copy in another data centre.
	askMost = 10
	// askRounds bounds how often more are asked about. Each takes a round trip of 3 ms; after four of them 40 engines are
	// known, which is nearly enough for a fleet with one place in twenty free.
	askRounds = 4
)

// askOwners brings what is known of the engines up to date among which a request will be placed.
func (f *Forwarder) askOwners(ctx context.Context, req *request) {
	now := time.Now()
	if now.Sub(req.askedAt) < askAgain {
		return
	}
	req.askedAt = now
	f.askAbout(ctx, req, f.Placement.Likely(f.engineRequest(req), askMost))
}

func (f *Forwarder) askAbout(ctx context.Context, req *request, engines []routing.Endpoint) {
	ids := make([]string, len(engines))
	for i := range engines {
		ids[i] = engines[i].ID
	}
	f.Others.Ask(ctx, req.promptKey(), ids)
}

// pickEngine chooses an engine. As long as the best one is not known, since those asked about have no room, more of them are
// asked about; if that remains so, all count as full. Where owners do not answer, engines are taken as they are known here.
func (f *Forwarder) pickEngine(ctx context.Context, req *request, r *routing.Request) (routing.Decision, error) {
	for range askRounds {
		d, err := f.Placement.Pick(r)
		if err != nil || d.Known {
			return d, err
		}
		f.askAbout(ctx, req, append(f.Placement.Unknown(r, askMost), d.Endpoint))
		if !f.Placement.Informed(d.Endpoint.ID) {
			return d, nil
		}
	}
	return routing.Decision{}, routing.ErrFull
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

func (f *Forwarder) expected(req *request) time.Duration {
	f.lines.mu.Lock()
	defer f.lines.mu.Unlock()
	return f.lines.get(req.service).Expected(time.Now())
}

func (f *Forwarder) first(req *request, id uint64) bool {
	f.lines.mu.Lock()
	defer f.lines.mu.Unlock()
	return f.lines.get(req.service).First(id)
}

// admitted tells whether it is the request's turn and an engine has room.
func (f *Forwarder) admitted(ctx context.Context, req *request, id uint64) bool {
	if !f.first(req, id) {
		return false
	}
	f.askOwners(ctx, req)
	_, err := f.pickEngine(ctx, req, f.engineRequest(req))
	f.lines.mu.Lock()
	defer f.lines.mu.Unlock()
	line := f.lines.get(req.service)
	if errors.Is(err, routing.ErrFull) {
		line.FoundFull()
		return false
	}
	line.Admitted(time.Now())
	return true
}

func (f *Forwarder) noRoom(req *request, why string, expected time.Duration) *refusal {
	return refuse(http.StatusServiceUnavailable, why, whenRoom(expected)).with(logrus.Fields{
		"rank": req.rank, "expected_ms": expected.Milliseconds(), "prompt_tokens": req.PromptTokens,
	})
}

package pipeline

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/once"
)

// content names what a generation depends on.
func (g *GenerationRequest) content(form Form, deployment string) crashers.Content {
	same := *g
	same.Prefix, same.Stream, same.IncludeUsage = nil, false, false
	return contentOf(form, deployment, same)
}

// contentOfCall names what a call asks for.
func contentOfCall(c *once.Call) crashers.Content {
	return contentOf(Plain, c.Deployment, c.Method, c.Path, c.Body)
}

func contentOf(parts ...any) (c crashers.Content) {
	raw, err := json.Marshal(parts)
	if err != nil { // strings, bytes and numbers always encode
		panic(err)
	}
	h := sha256.Sum256(raw)
	copy(c[:], h[:])
	return c
}

// identity names a generation, so that it is known when it comes again.
func (x *Exchange) identity() crashers.Request {
	return crashers.Request{Team: x.Team.Name, Content: x.Generation.content(x.Form, x.Deployment.Name)}
}

// stopped returns the error for a request that ends the endpoints that run it; nil for others.
func (d *Deps) stopped(req crashers.Request, service string) error {
	if !d.Crashes.Known() {
		return nil
	}
	v, left := d.Crashes.Verdict(req, service)
	if v != crashers.Stopped {
		return nil
	}
	return apierr.New(apierr.Unavailable, "the request ends the endpoints that run it").WithRetry(left)
}

// mayStart tells whether the session may try its request at another engine; if not, the machine was told.
func (s *session) mayStart(attempt int) bool {
	if !s.Crashes.Known() {
		return true
	}
	v, left := s.Crashes.Verdict(s.request, s.routing.Service)
	switch {
	case v == crashers.Stopped:
		s.failed(attempt, generation.Stopped, left)
		return false
	case v == crashers.Careful && !s.Crashes.Try(s.request, s.routing.Service, s):
		s.failed(attempt, generation.NoEndpoint, 0)
		return false
	}
	return true
}

// carefulWeights ranks engines for a request that may end them: those with few others lose least.
func carefulWeights() routing.Weights { return routing.Weights{Load: 1} }

// blame holds the end of an engine against the request that it lost, if that is the reason.
func (s *session) blame(ctx context.Context, e *routing.Endpoint, sentAt time.Time, at *attempt, err error) {
	if !errorx.IsOfType(err, endpoint.ErrBroken) {
		return
	}
	s.mu.Lock()
	l := crashes.Loss{
		Request: s.request, ID: s.x.entry.Generation, Endpoint: incarnation(e), Service: e.Service,
		SentAt: sentAt, HeadAt: at.ackedAt, EventAt: at.tokenAt, Urgent: s.machine.Journal().Len() > 0,
	}
	ours := s.closed || at.dropped
	s.mu.Unlock()
	if !ours {
		s.judge.Blame(ctx, &s.losses, l)
	}
}

// incarnation names an engine as it runs now: one that starts again listens elsewhere.
func incarnation(e *routing.Endpoint) string { return e.ID + "@" + e.Address }

// find returns what is known of an engine by the name of its incarnation.
func (d *Deps) find(name string) (routing.Endpoint, bool) {
	for _, s := range d.Backends.List() {
		if incarnation(&s.Endpoint) == name {
			return s.Endpoint, true
		}
	}
	return routing.Endpoint{}, false
}

// hasEnded tells whether the process of an engine is gone that was not told to leave: its machine refuses connections.
func (d *Deps) hasEnded(name string) bool {
	e, ok := d.find(name)
	if !ok || e.State == routing.Leaving {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.Endpoints.StatusTimeout)
	defer cancel()
	_, err := d.Client.Status(ctx, e.Address, 0)
	return errorx.IsOfType(err, endpoint.ErrGone)
}

func (d *Deps) nearby(name string, from, to time.Time) (failed, all int) {
	e, ok := d.find(name)
	if !ok {
		return 0, 0
	}
	return d.Backends.Nearby(e.ID, from, to)
}

// served clears the request of a generation that runs, and ends its trial.
func (s *session) served() {
	if s.Crashes.Known() {
		s.Crashes.Served(s.request)
		s.Crashes.Tried(s.request, s)
	}
}

// callTrial keeps whether a plain call ends the endpoints that run it.
type callTrial struct {
	*Deps
	request crashers.Request
	service string
	losses  atomic.Int32
}

// begin returns why the call may not be sent to another endpoint; nil when it may.
func (t *callTrial) begin() error {
	if !t.Crashes.Known() {
		return nil
	}
	if err := t.stopped(t.request, t.service); err != nil {
		return t.ran(err)
	}
	if v, _ := t.Crashes.Verdict(t.request, t.service); v == crashers.Careful && !t.Crashes.Try(t.request, t.service, t) {
		return t.ran(apierr.New(apierr.Unavailable, "the request is being tried, since endpoints ended under it").WithRetry(time.Second))
	}
	return nil
}

// ran says of an error that the call may have run, where an endpoint was lost with it.
func (t *callTrial) ran(err error) error {
	if t.losses.Load() == 0 {
		return err
	}
	return apierr.From(err).WithRan(apierr.Unknown)
}

// lost holds the end of an endpoint against the call that it lost, if that is the reason.
func (t *callTrial) lost(ctx context.Context, e *routing.Endpoint, sentAt time.Time, err error) {
	if errorx.IsOfType(err, endpoint.ErrBroken) && ctx.Err() == nil {
		t.judge.Blame(ctx, &t.losses, crashes.Loss{Request: t.request, Endpoint: incarnation(e), Service: e.Service, SentAt: sentAt})
	}
	t.end()
}

func (t *callTrial) served() {
	if t.Crashes.Known() {
		t.Crashes.Served(t.request)
	}
}

func (t *callTrial) end() { t.Crashes.Tried(t.request, t) }

package pipeline

import (
	"context"
	"sync"
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

// identity names a generation, so that it is known when it comes again.
func (x *Exchange) identity() crashers.Request {
	same := *x.Generation
	same.Prefix, same.Stream, same.IncludeUsage = nil, false, false
	return crashers.Request{Team: x.Team.Name, Content: crashers.HashContent(same.encoded(x.Form))}
}

// identityOf names a call, so that it is known when it comes again.
func identityOf(c *once.Call) crashers.Request {
	return crashers.Request{Team: c.Team, Content: crashers.HashContent([]byte(c.Deployment), []byte(c.Method), []byte(c.Path), c.Body)}
}

// stopped returns the error for a request that ends the endpoints that run it; nil for others.
func (d *Deps) stopped(req crashers.Request, service string) error {
	if v, left := d.Crashes.Verdict(req, service); v == crashers.Stopped {
		return errStopped(left)
	}
	return nil
}

func errStopped(left time.Duration) error {
	return apierr.New(apierr.Unavailable, "the request ends the endpoints that run it").WithRetry(left)
}

// mayStart tells whether the session may try its request at another engine, and how to choose it; if not, the machine was told.
func (s *session) mayStart(attempt int) (weights routing.Weights, ok bool) {
	a := s.Crashes.Admit(s.request, s.routing.Service, s)
	switch {
	case a.Verdict == crashers.Stopped:
		s.failed(attempt, generation.Stopped, a.Remaining)
		return routing.Weights{}, false
	case a.Busy:
		s.failed(attempt, generation.NoEndpoint, 0)
		return routing.Weights{}, false
	case a.Verdict == crashers.Careful:
		return carefulWeights(), true
	}
	return s.routing.Weights, true
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
		SentAt: sentAt, HeadAt: at.ackedAt, FirstEventAt: at.tokenAt, Async: s.machine.Journal().Len() > 0,
	}
	ours := s.closed || at.dropped
	s.mu.Unlock()
	if !ours {
		s.judge.Attribute(ctx, &s.losses, l)
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
	return d.Backends.DataCentreFailures(e.ID, from, to)
}

// progressed clears the request of a generation that has run for a while, and ends its trial.
func (s *session) progressed() {
	s.Crashes.Progressed(s.request)
	s.Crashes.Tried(s.request, s)
}

// served clears the request of a generation that ran, and ends its trial.
func (s *session) served() {
	s.Crashes.Served(s.request)
	s.Crashes.Tried(s.request, s)
}

// callTrial keeps whether a plain call ends the endpoints that run it.
type callTrial struct {
	*Deps
	// request names the call. It reads all of its body, so it is called only where something is known of any request, or an
	// endpoint was lost.
	request func() crashers.Request
	service string
	losses  crashes.Losses
	careful bool // it is tried, since endpoints ended under it
}

func newCallTrial(d *Deps, c *once.Call, service string) *callTrial {
	return &callTrial{Deps: d, service: service, request: sync.OnceValue(func() crashers.Request { return identityOf(c) })}
}

// begin returns why the call may not be sent to another endpoint; nil when it may.
func (t *callTrial) begin() error {
	if !t.Crashes.HasRecords() {
		return nil
	}
	a := t.Crashes.Admit(t.request(), t.service, t)
	switch {
	case a.Verdict == crashers.Stopped:
		return t.ran(errStopped(a.Remaining))
	case a.Busy:
		return t.ran(apierr.New(apierr.Unavailable, "the request is being tried, since endpoints ended under it").WithRetry(time.Second))
	}
	t.careful = a.Verdict == crashers.Careful
	return nil
}

// ran says of an error that the call may have run, where an endpoint was lost with it.
func (t *callTrial) ran(err error) error {
	if !t.losses.Any() {
		return err
	}
	return apierr.From(err).WithRan(apierr.Unknown)
}

// lost holds the end of an endpoint against the call that it lost, if that is the reason.
func (t *callTrial) lost(ctx context.Context, e *routing.Endpoint, sentAt time.Time, err error) {
	if errorx.IsOfType(err, endpoint.ErrBroken) && ctx.Err() == nil {
		t.judge.Attribute(ctx, &t.losses, crashes.Loss{Request: t.request(), Endpoint: incarnation(e), Service: e.Service, SentAt: sentAt})
	}
	t.end()
}

func (t *callTrial) served() {
	if t.Crashes.HasRecords() {
		t.Crashes.Served(t.request())
	}
}

func (t *callTrial) end() {
	if t.careful {
		t.careful = false
		t.Crashes.Tried(t.request(), t)
	}
}

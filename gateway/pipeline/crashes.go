package pipeline

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/endpoint"
)

// identity returns the identity of a generation, by which its retries are recognized. It does not
// depend on how the answer is delivered.
func (x *Exchange) identity() crashers.Request {
	normalized := *x.Generation
	normalized.Prefix, normalized.Stream, normalized.IncludeUsage = nil, false, false
	return crashers.Request{Whole: crashers.Subject{Team: x.Team.Name, Content: crashers.HashContent(normalized.encoded(x.Form))}}
}

// callIdentity returns the identity of a plain call, by which its retries are recognized.
func callIdentity(c *atmostonce.Call) crashers.Request {
	return crashers.Request{Whole: crashers.Subject{
		Team: c.Team, Content: crashers.HashContent([]byte(c.Deployment), []byte(c.Method), []byte(c.Path), c.Body),
	}}
}

// checkStopped returns an error if the request is stopped because it crashes the endpoints that run
// it.
func (d *Deps) checkStopped(req crashers.Request, service string) error {
	if d := d.Crashes.Decide(req, service); d.Verdict == crashers.Stopped {
		return stoppedError(d.Remaining)
	}
	return nil
}

// stoppedError returns the error for a stopped request. left is how long it is still stopped.
func stoppedError(left time.Duration) error {
	return apierr.New(apierr.Unavailable, "the request ends the endpoints that run it").WithRetryAfter(left)
}

// admitAttempt tells whether the request may be sent to another engine, and returns the weights to
// choose the engine with. If it may not, the failure has been reported to the machine.
func (s *session) admitAttempt(attempt int) (weights routing.Weights, ok bool) {
	a := s.Crashes.Admit(s.request, s.routing.Service, s)
	switch {
	case a.Verdict == crashers.Stopped:
		s.reportFailure(attempt, generation.Stopped, a.Remaining)
		return routing.Weights{}, false
	case a.Busy:
		s.reportFailure(attempt, generation.NoEndpoint, 0)
		return routing.Weights{}, false
	case a.Verdict == crashers.Careful:
		return carefulWeights(), true
	}
	return s.routing.Weights, true
}

// carefulWeights returns the weights for a request that may crash its engine. The engine with the
// least load is preferred, so that a crash takes down as few other requests as possible.
func carefulWeights() routing.Weights { return routing.Weights{Load: 1} }

// attributeCrash reports that the connection to an engine broke, so that a crash of the engine can
// be attributed to the request. It does nothing for other errors, or if this instance closed the
// stream itself.
func (s *session) attributeCrash(ctx context.Context, e *routing.Endpoint, sentAt time.Time, at *attempt, err error) {
	if !errorx.IsOfType(err, endpoint.ErrBroken) {
		return
	}
	s.mu.Lock()
	l := crashes.Loss{
		Request: s.request, ID: s.x.entry.Generation, Endpoint: incarnation(e), Service: e.Service,
		SentAt: sentAt, HeadAt: at.ackedAt, FirstEventAt: at.tokenAt, Async: s.machine.Journal().Len() > 0,
	}
	closedByUs := s.closed || at.cancelled
	s.mu.Unlock()
	if !closedByUs {
		s.attributor.Attribute(ctx, &s.losses, l)
	}
}

// incarnation identifies one run of an engine: an engine that restarts has another address.
func incarnation(e *routing.Endpoint) string { return e.ID + "@" + e.Address }

// findIncarnation returns the engine with the given incarnation; false if it is not listed any
// more.
func (d *Deps) findIncarnation(name string) (routing.Endpoint, bool) {
	for _, s := range d.Backends.List() {
		if incarnation(&s.Endpoint) == name {
			return s.Endpoint, true
		}
	}
	return routing.Endpoint{}, false
}

// hasCrashed tells whether the process of an engine is gone although it was not told to leave. That
// is so if its machine answers but nothing listens at the engine's address.
func (d *Deps) hasCrashed(name string) bool {
	e, ok := d.findIncarnation(name)
	if !ok || e.State == routing.Leaving {
		return false
	}
	return d.isProcessGone(e.Address)
}

// dataCentreFailures implements [crashes.Attributor.DataCentreFailures].
func (d *Deps) dataCentreFailures(name string, from, to time.Time) (failed, all int) {
	e, ok := d.findIncarnation(name)
	if !ok {
		return 0, 0
	}
	return d.Backends.DataCentreFailures(e.ID, from, to)
}

// clearOnProgress clears the request of a generation that has run for [crashes.ProgressAfter], and
// ends its trial.
func (s *session) clearOnProgress() {
	s.Crashes.ClearOnProgress(s.request)
	s.Crashes.ReleaseTrial(s.request, s)
}

// clearOnAnswer clears the request of a generation that was completed, and ends its trial.
func (s *session) clearOnAnswer() {
	s.Crashes.ClearOnAnswer(s.request)
	s.Crashes.ReleaseTrial(s.request, s)
}

// callTrial tracks whether a plain call crashes the endpoints that run it.
type callTrial struct {
	*Deps
	// request returns the identity of the call. It hashes the whole body, so it is only called if
	// any request is recorded or the call lost an endpoint.
	request func() crashers.Request
	service string
	losses  crashes.Losses
	careful bool // the call holds the trial of its request, since endpoints crashed while they had it
}

func newCallTrial(d *Deps, c *atmostonce.Call, service string) *callTrial {
	return &callTrial{Deps: d, service: service, request: sync.OnceValue(func() crashers.Request { return callIdentity(c) })}
}

// admit returns an error if the call may not be sent to another endpoint.
func (t *callTrial) admit() error {
	if !t.Crashes.HasRecords() {
		return nil
	}
	a := t.Crashes.Admit(t.request(), t.service, t)
	switch {
	case a.Verdict == crashers.Stopped:
		return t.markMayHaveRun(stoppedError(a.Remaining))
	case a.Busy:
		return t.markMayHaveRun(apierr.New(apierr.Unavailable, "the request is being tried, since endpoints ended under it").WithRetryAfter(time.Second))
	}
	t.careful = a.Verdict == crashers.Careful
	return nil
}

// markMayHaveRun sets in an error that the call may have run, if it lost an endpoint before.
func (t *callTrial) markMayHaveRun(err error) error {
	if !t.losses.Any() {
		return err
	}
	return apierr.From(err).WithRan(apierr.Unknown)
}

// watchBody makes the end of an answer's body end the suspicion of the call, or count as a loss of the endpoint.
func (t *callTrial) watchBody(ctx context.Context, e *routing.Endpoint, sentAt time.Time, resp *http.Response) {
	headAt := time.Now()
	b := &answerBody{ReadCloser: resp.Body, ended: func(err error) {
		t.recordMalformed(resp.Header.Get(endpoint.HeaderRequestID), e.ID, err)
		if err == nil {
			t.clearOnAnswer()
		} else if ctx.Err() == nil {
			t.attributor.Attribute(ctx, &t.losses, crashes.Loss{Request: t.request(), Endpoint: incarnation(e), Service: e.Service, SentAt: sentAt, HeadAt: headAt})
		}
	}}
	if endpoint.EndsWithConnection(resp) {
		b.isProcessGone = func() bool { return t.isProcessGone(e.Address) }
	}
	resp.Body = b
}

// recordLoss reports a failed attempt, so that a crash of the endpoint can be attributed to the
// call, and ends the trial. It attributes only broken connections, and none if ctx has ended.
func (t *callTrial) recordLoss(ctx context.Context, e *routing.Endpoint, sentAt time.Time, err error) {
	if errorx.IsOfType(err, endpoint.ErrBroken) && ctx.Err() == nil {
		t.attributor.Attribute(ctx, &t.losses, crashes.Loss{Request: t.request(), Endpoint: incarnation(e), Service: e.Service, SentAt: sentAt})
	}
	t.release()
}

// clearOnAnswer clears the request of a call that was answered.
func (t *callTrial) clearOnAnswer() {
	if t.Crashes.HasRecords() {
		t.Crashes.ClearOnAnswer(t.request())
	}
}

// release ends the trial of the request, if the call holds it.
func (t *callTrial) release() {
	if t.careful {
		t.careful = false
		t.Crashes.ReleaseTrial(t.request(), t)
	}
}

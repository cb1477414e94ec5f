package pipeline

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/endpoint"
)

// dispatch sends the request to an endpoint. For a generation it starts the first attempt. A plain
// call is retried only if it certainly did not run or is idempotent.
type dispatch struct{ *Deps }

func (*dispatch) Name() string { return "dispatch" }

func (d *dispatch) Serve(ctx context.Context, x *Exchange) error {
	if x.Form != Plain {
		x.session.start(ctx)
		return nil
	}
	if x.runOnce != nil {
		o, err := x.runOnce(ctx)
		if err != nil {
			return OnceError(err)
		}
		x.response = outcomeResponse(o)
		return nil
	}
	return d.streamCall(ctx, x)
}

// plainResponse is the answer of a plain service. If stream is nil the body is complete, otherwise
// it is still to be read from stream.
type plainResponse struct {
	status      int
	contentType string
	header      http.Header
	body        []byte
	stream      io.ReadCloser
}

const (
	// maxPlainAttempts bounds the attempts of one call.
	maxPlainAttempts = 4
	// maxOutcomeBytes bounds the answer to a call that runs at most once. A longer one is not delivered.
	maxOutcomeBytes = 1 << 20
)

// streamCall makes a call and sets the response, whose body is still to be read.
func (d *dispatch) streamCall(ctx context.Context, x *Exchange) error {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	x.addCleanup(cancel)
	resp, done, err := d.callWithRetries(ctx, x.Deployment, x.Call)
	if err != nil {
		return err
	}
	x.addCleanup(done)
	x.response = &plainResponse{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), header: resp.Header, stream: resp.Body}
	return nil
}

// RunCall makes a call that may run at most once, and reads its answer into the result.
func (p *Pipeline) RunCall(ctx context.Context, c *atmostonce.Call) atmostonce.Result {
	d := &dispatch{p.deps}
	dep, ok := d.Config.Deployment(c.Deployment)
	if !ok {
		return atmostonce.Result{State: atmostonce.NotRun, Detail: "there is no such service any more"}
	}
	resp, done, err := d.callWithRetries(ctx, dep, c)
	if err != nil {
		return failedResult(err)
	}
	defer done()
	body, err := limitread.All(resp.Body, maxOutcomeBytes)
	if err != nil {
		return atmostonce.Result{State: atmostonce.Unknown, Detail: "the endpoint's answer broke off or is too long"}
	}
	return atmostonce.Result{State: atmostonce.Ran, Outcome: ticket.Outcome{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}}
}

// failedResult returns the result for a call that failed. Its outcome is unknown unless the error
// says that the call did not run.
func failedResult(err error) atmostonce.Result {
	e := apierr.From(err)
	r := atmostonce.Result{State: atmostonce.Unknown, Detail: e.Message, RetryAfter: e.RetryAfter}
	if e.Ran == apierr.NotRun {
		r.State = atmostonce.NotRun
	}
	return r
}

// callWithRetries makes a call, and retries it at other endpoints if that is allowed. The caller
// calls the returned function when it has read the answer.
func (d *dispatch) callWithRetries(ctx context.Context, dep *config.Deployment, c *atmostonce.Call) (*http.Response, func(), error) {
	req := d.routingRequest(dep, nil)
	idempotent := dep.Idempotent(c.Method)
	t := newCallTrial(d.Deps, c, dep.Service)
	defer t.release()
	until := time.Now().Add(min(dep.QueueWait, time.Until(c.Deadline)))
	var lost error             // of the last attempt that may have run the call
	var next *routing.Endpoint // for which the last attempt was left
	for attempt := 1; ; attempt++ {
		if err := t.admit(); err != nil {
			if next != nil {
				d.Backends.Finished(next.ID)
			}
			if lost != nil {
				err = apierr.From(err).WithRan(apierr.Unknown)
			}
			return nil, nil, err
		}
		if next == nil {
			e, err := d.pick(ctx, &req, until)
			if err != nil {
				return nil, nil, cmp.Or(lost, err)
			}
			next = &e
		}
		e, sentAt := *next, time.Now()
		var find func() (routing.Endpoint, bool)
		if idempotent && attempt < maxPlainAttempts {
			find = func() (routing.Endpoint, bool) { return d.findAnswering(req, e.ID) }
		}
		resp, done, left, err := d.callEndpoint(ctx, &e, c, find)
		if err == nil {
			t.watchBody(ctx, &e, sentAt, resp)
			return resp, done, nil
		}
		if next = left; left == nil {
			t.recordLoss(ctx, &e, sentAt, err)
		}
		callErr, mayRetry := classifyPlainError(err, idempotent)
		if apierr.From(callErr).Ran != apierr.NotRun {
			lost = callErr
		}
		if left == nil && (!mayRetry || attempt == maxPlainAttempts || ctx.Err() != nil || !d.retries.tryRetry()) {
			return nil, nil, cmp.Or(lost, callErr)
		}
		req.Avoid = append(req.Avoid, e.ID)
	}
}

// callEndpoint makes a call at one endpoint. If find is not nil, the endpoint may be left for another one
// while it is silent; see [silentAttempt]. That endpoint is then returned with an error. The caller calls
// the returned function when it has read the answer.
func (d *dispatch) callEndpoint(ctx context.Context, e *routing.Endpoint, c *atmostonce.Call, find func() (routing.Endpoint, bool)) (resp *http.Response, done func(), next *routing.Endpoint, err error) {
	ctx, span := d.Tracer.Start(ctx, "endpoint")
	defer span.End()
	sentAt, parent := time.Now(), ctx
	ctx, cancel := context.WithCancelCause(ctx)
	var watch *silentAttempt
	if find != nil {
		watch = watchSilence(find, cancel)
	}
	id := uuid.NewString()
	resp, err = d.Client.Do(ctx, e.Address, &endpoint.Call{
		ID: id, Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body, Idempotent: find != nil,
	})
	d.recordMalformed(id, e.ID, err)
	if next = watch.end(); next != nil && err == nil { // the answer came while the endpoint was left
		_ = resp.Body.Close()
		err = errLeft
	}
	if err != nil {
		silent := ctx.Err() != nil
		cancel(nil)
		d.Backends.Finished(e.ID)
		switch {
		case errors.Is(parent.Err(), context.Canceled): // the caller left, which says nothing of the endpoint
		case silent:
			d.Backends.TimedOut(e.ID, sentAt)
		case !errorx.IsOfType(err, endpoint.ErrRefused) || endpoint.RetryAfter(err) == 0:
			d.Backends.Failed(e.ID)
		}
		return nil, nil, next, err
	}
	return resp, func() {
		_ = resp.Body.Close()
		cancel(nil)
		d.Backends.Finished(e.ID)
	}, nil, nil
}

// classifyPlainError converts the error of a failed call to an error for the caller, and tells
// whether the call may be retried.
func classifyPlainError(err error, idempotent bool) (error, bool) {
	if errorx.IsOfType(err, endpoint.ErrRefused) {
		return apierr.New(apierr.Unavailable, "no endpoint took the request").WithRetryAfter(clampRetryAfter(endpoint.RetryAfter(err))), true
	}
	ran := apierr.Unknown
	e := apierr.New(apierr.OutcomeUnknown, "the endpoint's answer was lost").WithRan(ran)
	if idempotent {
		e = apierr.New(apierr.EndpointError, "the endpoint did not answer").WithRan(ran).WithRetryAfter(time.Second)
	}
	return e, idempotent
}

// minRetryAfter is the shortest time to retry that a caller is told when an endpoint refused.
const minRetryAfter = 250 * time.Millisecond

func clampRetryAfter(d time.Duration) time.Duration { return max(d, minRetryAfter) }

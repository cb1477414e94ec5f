package pipeline

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/endpoint"
)

// dispatch sends the request to an endpoint. A generation's first attempt is started; a
// plain call is made, and made again only where it certainly did not run or may run twice.
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
	return d.direct(ctx, x)
}

// plainResponse is a plain service's answer: a body that is still to be read, or whole.
type plainResponse struct {
	status      int
	contentType string
	header      http.Header
	body        []byte
	stream      io.ReadCloser
}

const (
	// plainTries bounds the tries of one call.
	plainTries = 4
	// plainTry is how long an endpoint may take for a call that may run twice, while
	// another try is left.
	plainTry = time.Second
	// mostOutcome bounds a response that is read whole, in bytes.
	mostOutcome = 1 << 20
)

// direct makes a call and leaves its body to be streamed.
func (d *dispatch) direct(ctx context.Context, x *Exchange) error {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	x.atEnd(cancel)
	resp, done, err := d.call(ctx, x.Deployment, x.Call)
	if err != nil {
		return err
	}
	x.atEnd(done)
	x.response = &plainResponse{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), header: resp.Header, stream: resp.Body}
	return nil
}

// RunCall makes a call that may run at most once and reads its answer whole.
func (p *Pipeline) RunCall(ctx context.Context, c *atmostonce.Call) atmostonce.Result {
	d := &dispatch{p.deps}
	dep, ok := d.Config.Deployment(c.Deployment)
	if !ok {
		return atmostonce.Result{State: atmostonce.NotRun, Detail: "there is no such service any more"}
	}
	resp, done, err := d.call(ctx, dep, c)
	if err != nil {
		return failedRun(err)
	}
	defer done()
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostOutcome))
	if err != nil {
		return atmostonce.Result{State: atmostonce.Unknown, Detail: "the endpoint's answer broke off"}
	}
	return atmostonce.Result{State: atmostonce.Ran, Outcome: ticket.Outcome{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}}
}

func failedRun(err error) atmostonce.Result {
	e := apierr.From(err)
	r := atmostonce.Result{State: atmostonce.Unknown, Detail: e.Message, RetryAfter: e.RetryAfter}
	if e.Ran == apierr.NotRun {
		r.State = atmostonce.NotRun
	}
	return r
}

// call makes a call, on another endpoint where that is allowed. done has to be called
// when the answer was read.
func (d *dispatch) call(ctx context.Context, dep *config.Deployment, c *atmostonce.Call) (*http.Response, func(), error) {
	req := d.request(dep, nil)
	idempotent := dep.Idempotent(c.Method)
	t := newCallTrial(d.Deps, c, dep.Service)
	defer t.end()
	until := time.Now().Add(min(dep.QueueWait, time.Until(c.Deadline)))
	for try := 1; ; try++ {
		if err := t.begin(); err != nil {
			return nil, nil, err
		}
		e, err := d.pick(ctx, &req, until)
		if err != nil {
			return nil, nil, err
		}
		sentAt := time.Now()
		resp, done, err := d.try(ctx, &e, c, idempotent && try < plainTries)
		if err == nil {
			t.served()
			return resp, done, nil
		}
		t.lost(ctx, &e, sentAt, err)
		callErr, again := judgePlain(err, idempotent)
		if !again || try == plainTries || ctx.Err() != nil || !d.retries.retry() {
			return nil, nil, callErr
		}
		req.Avoid = append(req.Avoid, e.ID)
	}
}

// try makes a call at one endpoint. With limited set the endpoint's answer has to begin
// soon, since another may be tried.
func (d *dispatch) try(ctx context.Context, e *routing.Endpoint, c *atmostonce.Call, limited bool) (*http.Response, func(), error) {
	ctx, span := d.Tracer.Start(ctx, "endpoint")
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(plainTry, cancel)
	if !limited {
		timer.Stop()
	}
	resp, err := d.Client.Do(ctx, e.Address, &endpoint.Call{
		ID: uuid.NewString(), Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body, Idempotent: limited,
	})
	timer.Stop()
	if err != nil {
		cancel()
		d.Backends.Finished(e.ID)
		if !errorx.IsOfType(err, endpoint.ErrRefused) || endpoint.RetryAfter(err) == 0 {
			d.Backends.Failed(e.ID)
		}
		return nil, nil, err
	}
	return resp, func() {
		_ = resp.Body.Close()
		cancel()
		d.Backends.Finished(e.ID)
	}, nil
}

// judgePlain turns a failed call into the caller's error, and tells whether another try
// is allowed.
func judgePlain(err error, idempotent bool) (error, bool) {
	if errorx.IsOfType(err, endpoint.ErrRefused) {
		return apierr.New(apierr.Unavailable, "no endpoint took the request").WithRetry(atLeast(endpoint.RetryAfter(err))), true
	}
	ran := apierr.Unknown
	e := apierr.New(apierr.OutcomeUnknown, "the endpoint's answer was lost").WithRan(ran)
	if idempotent {
		e = apierr.New(apierr.EndpointError, "the endpoint did not answer").WithRan(ran).WithRetry(time.Second)
	}
	return e, idempotent
}

// leastRetry is the least time after which a caller is told to come back.
const leastRetry = 250 * time.Millisecond

func atLeast(d time.Duration) time.Duration { return max(d, leastRetry) }

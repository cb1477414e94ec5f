package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/rollouts"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// plain is one request that gets one answer from one endpoint.
type plain struct {
	f    *Forwarder
	req  *request
	w    http.ResponseWriter
	runs int // endpoints on which it may have run
	sent int // endpoints to which it was sent
	// avoid names endpoints that failed it.
	avoid []string
	// last is an endpoint's own failure, passed on when no other endpoint does better.
	last *answer
}

// answer is an endpoint's whole answer, or its head with the beginning of the body.
type answer struct {
	status int
	header http.Header
	body   []byte
	rest   *upstream.Exchange // what is not read yet; nil when the answer is whole
	loss   crashes.Loss       // what it would be if the rest were lost
}

// outcome is how one try ended.
type outcome int

const (
	answered outcome = iota
	notRun           // certainly
	unknown          // it may have run
)

func (f *Forwarder) servePlain(ctx context.Context, w http.ResponseWriter, req *request) {
	p := &plain{f: f, req: req, w: w}
	f.metrics.accepted.Inc(1)
	if refused := p.run(ctx); refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	f.metrics.answered.Inc(1)
	f.metrics.plainAnswer.RecordDuration(time.Since(req.arrived))
}

// run sends the request until it is answered or must not be sent again.
func (p *plain) run(ctx context.Context) *refusal {
	for {
		if p.over(ctx) {
			return p.ended(ctx, notRun)
		}
		if refused := p.f.stillAllowed(p.req); refused != nil {
			return p.final(refused)
		}
		if refused := p.mayTry(ctx); refused != nil {
			return p.final(refused)
		}
		e, refused := p.pick(ctx)
		if refused != nil {
			p.tried()
			return p.final(refused)
		}
		hop, span := p.f.hop(ctx, e)
		a, how, err := p.try(hop, e)
		endHop(span, err)
		p.f.logTry(p.req, e, how, a, err)
		if how == answered && a.rest == nil {
			p.f.Crashes.Served(p.req.identity) // also where the endpoint failed it: it is still there
		}
		p.tried()
		if how == answered && !p.worthAnother(a) {
			p.deliver(a)
			return nil
		}
		if p.over(ctx) {
			return p.ended(ctx, how)
		}
		if how == answered {
			p.last = a
		}
		if !p.mayGoOn(how) {
			return p.final(nil)
		}
		p.avoid = append(p.avoid, e.ID)
		p.req.draw = atBaseline
	}
}

// over tells whether the caller's time is over, or the caller left. Connections end at the deadline, at
// times a little before the context does.
func (p *plain) over(ctx context.Context) bool {
	return ctx.Err() != nil || !p.req.deadline.IsZero() && !time.Now().Before(p.req.deadline)
}

// worthAnother tells whether another endpoint may answer better: an idempotent request that its
// endpoint failed. A 4xx is the endpoint's word on the request itself.
func (p *plain) worthAnother(a *answer) bool {
	return a.status >= http.StatusInternalServerError && a.rest == nil && p.req.route.RetryPolicy == route.Idempotent && p.runs < p.req.route.MaxAttempts
}

// mayGoOn tells whether the request may be sent to another endpoint.
func (p *plain) mayGoOn(how outcome) bool {
	if !p.req.replayable {
		return false
	}
	if how != notRun && (p.req.route.RetryPolicy == route.AtMostOnce || p.req.route.Stream || p.runs >= p.req.route.MaxAttempts) {
		return false
	}
	// What could not be connected to has not arrived anywhere, so the next send is no repetition.
	return p.sent == 0 || p.f.mayRepeat(p.req.service, false)
}

// final ends a request that goes nowhere else: with an endpoint's own failure if there is one, else
// with a refusal that says whether it may have run.
func (p *plain) final(refused *refusal) *refusal {
	if p.last != nil {
		p.deliver(p.last)
		return nil
	}
	if p.runs > 0 {
		return refuse(http.StatusBadGateway, "the endpoint was lost with the request", 0)
	}
	if refused == nil {
		refused = refuse(http.StatusServiceUnavailable, "no endpoint took the request", whenRoom(0))
	}
	return refused
}

// ended tells a caller whose time is over, or who left, what became of the request.
func (p *plain) ended(ctx context.Context, how outcome) *refusal {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		p.f.metrics.callerLeft.Inc(1)
	}
	mayHaveRun := how == unknown || p.runs > 0
	switch {
	case isEnding(ctx) && mayHaveRun:
		return refuse(http.StatusBadGateway, whyEnding, 0)
	case isEnding(ctx):
		return refuse(http.StatusServiceUnavailable, whyEnding, soon())
	case mayHaveRun:
		return refuse(http.StatusGatewayTimeout, "no answer in time", 0)
	}
	return refuse(http.StatusServiceUnavailable, "no room in time", whenRoom(0))
}

// Waiting for an endpoint with room: looked for again each waitStep, for a part of the aim at the
// most, since an answer after that is late anyway and other callers queue behind.
const (
	waitStep  = 10 * time.Millisecond
	waitParts = 2
	waitMost  = time.Second
)

// waitUntil returns until when the request may wait for an endpoint.
func (p *plain) waitUntil() time.Time {
	most := waitMost
	if aim := p.req.route.TargetLatency; aim > 0 {
		most = min(most, aim/waitParts)
	}
	return p.req.arrived.Add(most)
}

// pick chooses an endpoint, and waits for a short while when all are full.
func (p *plain) pick(ctx context.Context) (*routing.Endpoint, *refusal) {
	for until := p.waitUntil(); ; {
		d, err := p.f.Placement.Pick(&routing.Request{
			Service: p.req.service, DataCentre: p.f.Settings.DataCentre, Avoid: p.avoid, Key: p.req.ID, Weights: p.f.Settings.plainWeights(),
			Builds: p.f.builds(p.req),
		})
		if err == nil {
			return &d.Endpoint, nil
		}
		if len(p.avoid) > 0 && errors.Is(err, routing.ErrNoEndpoint) || !time.Now().Add(waitStep).Before(until) {
			return nil, refuse(http.StatusServiceUnavailable, err.Error(), whenRoom(0))
		}
		if !pause.For(ctx, waitStep) {
			return nil, refuse(http.StatusServiceUnavailable, "no room in time", whenRoom(0))
		}
	}
}

// plainWeights ranks endpoints of plain services: by load, a little by distance, and by how much of what they get
// they fail. One that fails four in ten gets work when the others hold 1.4 times their slots more.
func (s *Settings) plainWeights() routing.Weights {
	return s.without(routing.Weights{Load: 1, Remote: 0.1, Health: 4})
}

// try sends the request to one endpoint.
func (p *plain) try(ctx context.Context, e *routing.Endpoint) (*answer, outcome, error) {
	f, req := p.f, p.req
	conn, err := f.connect(ctx, req, e)
	if err != nil {
		return nil, notRun, err
	}
	p.sent++
	p.runs++
	l := req.loss(e)
	l.SentAt, l.Reused = time.Now(), conn.Reused()
	t := f.Rollouts.Begin(req.route.Name, e)
	t.SetUndrained(true)
	defer t.SetUndrained(false)
	f.Placement.Sent(e.ID, routing.Placed{})
	defer f.Placement.Finished(e.ID, routing.Placed{})
	x, err := conn.Do(ctx, req.outgoing(&platform.Send{
		Endpoint: e.RequestName(), Left: req.left(time.Now()), Team: req.teamName(), Rank: -1,
	}), req.mine)
	if err != nil {
		return nil, p.lost(ctx, l, t, err), err
	}
	l.HeadAt = time.Now()
	told := platform.ReadAnswer(x.Status(), x.Header())
	f.learn(e.ID, &told)
	if told.NotRun {
		p.runs--
		x.Abort()
		return nil, notRun, f.refusedBy(e, x.Status())
	}
	if !told.Signed && x.Status() < http.StatusMultipleChoices {
		x.Abort()
		t.Failed()
		f.Placement.Outcome(e.ID, false)
		return nil, unknown, errUnsigned
	}
	a, err := p.receive(x)
	if a != nil {
		a.loss = l
	}
	if err != nil {
		return nil, p.lost(ctx, l, t, err), err
	}
	f.Placement.Succeeded(e.ID)
	good := a.status < http.StatusInternalServerError
	f.Placement.Outcome(e.ID, good)
	if good {
		t.Answered(time.Since(l.SentAt))
	} else {
		t.Failed()
	}
	return a, answered, nil
}

var errUnsigned = errors.New("the answer is not signed by an endpoint")

// lost classifies a request whose answer did not arrive.
func (p *plain) lost(ctx context.Context, l crashes.Loss, t *rollouts.Trial, err error) outcome {
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		p.runs--
		return notRun
	}
	if !errors.Is(ctx.Err(), context.Canceled) { // the endpoint's doing, not the caller's
		p.f.Placement.Lost(l.Endpoint)
		p.f.Placement.Outcome(l.Endpoint, false)
		t.Lost()
		t.Late(time.Since(l.SentAt))
	}
	if ctx.Err() == nil {
		p.f.judge.Blame(ctx, &p.req.losses, l)
	}
	return unknown
}

// answerKept is how much of an answer is read before it is passed on: an answer that breaks off
// within it can be had from another endpoint instead.
const answerKept = 64 << 10

// receive reads an answer as far as it is kept.
func (p *plain) receive(x *upstream.Exchange) (*answer, error) {
	a := &answer{status: x.Status(), header: x.Header()}
	if p.req.route.Stream {
		a.rest = x
		return a, nil
	}
	body, err := io.ReadAll(io.LimitReader(x, answerKept))
	if err != nil {
		x.Abort()
		return nil, err
	}
	a.body = body
	if len(body) < answerKept {
		x.Finish()
		return a, nil
	}
	a.rest = x
	return a, nil
}

// deliver passes an answer on. One that breaks off on the way ends with a closed connection.
func (p *plain) deliver(a *answer) {
	copyHeader(p.w.Header(), platform.ToClient(a.header))
	p.w.WriteHeader(a.status)
	if _, err := p.w.Write(a.body); err != nil && a.rest != nil {
		a.rest.Abort()
		panic(http.ErrAbortHandler)
	}
	if a.rest == nil {
		return
	}
	if n, err := relay(p.w, a.rest); err != nil {
		a.rest.Abort()
		if n > 0 {
			a.loss.EventAt = a.loss.HeadAt
		}
		if ctx := p.req.http.Context(); ctx.Err() == nil {
			p.f.judge.Blame(ctx, &p.req.losses, a.loss)
		}
		p.f.Log.Refusal(p.req.ID, "answer broke off", logrus.Fields{"error": err.Error()})
		panic(http.ErrAbortHandler)
	}
	p.f.Crashes.Served(p.req.identity)
	a.rest.Finish()
}

// relay copies a body piece by piece, each at once. It returns how much of it came.
func relay(w http.ResponseWriter, from io.Reader) (int, error) {
	control := http.NewResponseController(w)
	buf := make([]byte, 8<<10)
	for total := 0; ; {
		n, err := from.Read(buf)
		total += n
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return total, err
			}
			if err := control.Flush(); err != nil {
				return total, err
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // nothing is guessed from the body
	}
}

package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/rollouts"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// plain is a request that gets one answer from one endpoint.
type plain struct {
	f            *Forwarder
	req          *request
	w            http.ResponseWriter
	possibleRuns int // endpoints on which it may have run
	// connectsFailed is how many endpoints could not be connected to.
	connectsFailed int
	// avoid holds the ids of endpoints that failed the request.
	avoid []string
	// lease is the number under which room at the chosen endpoint is held, if it is fragile; 0 for
	// none. roomOutcome is what is reported when it is released.
	lease       uint64
	roomOutcome admission.Outcome
	// pass permits the next send; nil before the first one.
	pass *arrivalPass
	// lastFailure is an endpoint's own error answer, delivered when no other endpoint does better.
	lastFailure *answer
}

// answer is an endpoint's whole answer, or its head and the beginning of its body.
type answer struct {
	status        int
	header        http.Header
	body          []byte
	unread        *answerBody  // remainder of the body; nil when the answer is whole
	potentialLoss crashes.Loss // the loss to report if the remainder were lost
}

// outcome is the result of sending a request to an endpoint.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeNotRun           // it has certainly not run
	outcomeUnknown          // it may have run
)

func (f *Forwarder) servePlain(ctx context.Context, w http.ResponseWriter, req *request) {
	p := &plain{f: f, req: req, w: w}
	f.metrics.accepted.Inc(1)
	if refused := p.run(ctx); refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	f.metrics.answered.Inc(1)
	f.metrics.plainAnswer.RecordDuration(time.Since(req.arrivedAt))
}

// run sends the request until it is answered or must not be sent again.
func (p *plain) run(ctx context.Context) *refusal {
	if !p.admitNext() {
		return p.finish(nil)
	}
	for {
		if timeIsUp(ctx) {
			return p.refuseExpired(ctx, outcomeNotRun)
		}
		if refused := p.f.revalidate(p.req); refused != nil {
			return p.finish(refused)
		}
		if p.f.usesHelpers(p.req) {
			return p.runViaPeers(ctx)
		}
		if refused := p.awaitAdmission(ctx); refused != nil {
			return p.finish(refused)
		}
		e, refused := p.pick(ctx)
		if refused != nil {
			p.endCrashTrial()
			if p.connectsFailed > 0 && p.becameCutOff(ctx) {
				continue
			}
			return p.finish(refused)
		}
		hop, span := p.f.startHop(ctx, e)
		hop, answered := p.withCutOff(hop)
		reply, result, err := p.send(hop, e)
		answered()
		p.f.Peers.Release(e.ID, p.lease, p.roomOutcome)
		endHop(span, err)
		p.f.logAttempt(p.req, e, result, reply, err)
		if result == outcomeAnswered && reply.unread == nil {
			p.f.Crashes.ClearOnAnswer(p.answeredIdentity(reply)) // also for a 5xx answer: the endpoint has survived the request
		}
		p.endCrashTrial()
		if result == outcomeAnswered && !p.retryMayHelp(reply) {
			p.deliver(reply)
			return nil
		}
		if timeIsUp(ctx) {
			return p.refuseExpired(ctx, result)
		}
		if result == outcomeAnswered {
			p.lastFailure = reply
		}
		if !p.mayRetry(result) {
			return p.finish(nil)
		}
		p.avoid = append(p.avoid, e.ID)
		p.req.rolloutDraw = baselineDraw
	}
}

// becameCutOff reports whether the instance turns out to be cut off, so that the request can be passed
// on. It may have run nowhere yet, or be idempotent.
func (p *plain) becameCutOff(ctx context.Context) bool {
	if !p.req.replayable || p.possibleRuns > 0 && p.req.route.RetryPolicy != route.Idempotent {
		return false
	}
	p.f.checkReach(ctx)
	return p.f.usesHelpers(p.req)
}

// timeIsUp reports whether a context has ended or its deadline has passed. Connections end at the
// deadline, sometimes slightly before the context does.
func timeIsUp(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// retryMayHelp reports whether another endpoint may give a better answer: the route is idempotent
// and the endpoint answered with a 5xx. A 4xx is about the request itself, so it is final.
func (p *plain) retryMayHelp(a *answer) bool {
	return a.status >= http.StatusInternalServerError && a.unread == nil && p.req.route.RetryPolicy == route.Idempotent && p.possibleRuns < p.req.maxRuns()
}

// admitNext reports whether the request may be sent once more. A pass that no connection was opened for is used again.
func (p *plain) admitNext() bool {
	if !p.pass.unused() {
		p.pass = p.f.admitArrival(p.req, false)
	}
	return p.pass != nil
}

// mayRetry reports whether the request may be sent to another endpoint.
func (p *plain) mayRetry(result outcome) bool {
	if !p.req.replayable {
		return false
	}
	if result != outcomeNotRun && (p.req.route.RetryPolicy == route.AtMostOnce || p.req.route.Stream || p.possibleRuns >= p.req.maxRuns()) {
		return false
	}
	return p.admitNext()
}

// finish ends a request that is not sent again. It delivers an endpoint's own error answer if there
// is one, or else returns a refusal that says whether the request may have run.
func (p *plain) finish(refused *refusal) *refusal {
	if p.lastFailure != nil {
		p.deliver(p.lastFailure)
		return nil
	}
	if p.possibleRuns > 0 {
		return refuse(http.StatusBadGateway, "the endpoint was lost with the request", 0)
	}
	if refused == nil {
		refused = refuse(http.StatusServiceUnavailable, "no endpoint took the request", retryWhenRoom(0))
	}
	return refused
}

// refuseExpired returns the refusal of a request whose time is up or whose caller has left. It says
// whether the request may have run.
func (p *plain) refuseExpired(ctx context.Context, result outcome) *refusal {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		p.f.metrics.callersLeft.Inc(1)
	}
	mayHaveRun := result == outcomeUnknown || p.possibleRuns > 0
	switch {
	case isShutdown(ctx) && mayHaveRun:
		return refuse(http.StatusBadGateway, reasonShutdown, 0)
	case isShutdown(ctx):
		return refuse(http.StatusServiceUnavailable, reasonShutdown, retrySoon()).elsewhere()
	case mayHaveRun:
		return refuse(http.StatusGatewayTimeout, "no answer in time", 0)
	}
	return refuse(http.StatusServiceUnavailable, "no room in time", retryWhenRoom(0))
}

// Limits of the wait for an endpoint with room, which is checked every roomWaitInterval. The wait is
// bounded by maxRoomWait and by the target latency divided by roomWaitDivisor: a later answer is
// late anyway, and other callers queue behind it.
const (
	roomWaitInterval = 10 * time.Millisecond
	roomWaitDivisor  = 2
	maxRoomWait      = time.Second
)

// waitUntil returns until when the request may wait for an endpoint.
func (p *plain) waitUntil() time.Time {
	maxWait := maxRoomWait
	if targetLatency := p.req.route.TargetLatency; targetLatency > 0 {
		maxWait = min(maxWait, targetLatency/roomWaitDivisor)
	}
	return p.req.arrivedAt.Add(maxWait)
}

// pick chooses an endpoint, and waits briefly when all are full. A request is refused at once if no
// endpoint takes it in time at the rates that all of them state, if all are leaving, or if all asked
// for a longer pause.
func (p *plain) pick(ctx context.Context) (*routing.Endpoint, *refusal) {
	for until := p.waitUntil(); ; {
		d, err := p.f.claimEndpoint(ctx, p.routingRequest())
		if err == nil {
			p.lease, p.roomOutcome = d.lease, admission.Served
			return &d.Endpoint, nil
		}
		if refused := p.f.refuseIfPaused(p.req, until); refused != nil {
			return nil, refused
		}
		next := time.Now().Add(roomWaitInterval)
		if len(p.avoid) > 0 && errors.Is(err, routing.ErrNoEndpoint) || errors.Is(err, routing.ErrAllLeaving) || !next.Before(until) {
			return nil, p.f.refuseFull(p.req, err.Error())
		}
		if at, limited := p.f.nextAtLimit(p.req.service); limited && !at.Before(until) {
			return nil, p.f.refuseFull(p.req, "all endpoints are at their limits")
		}
		if !pause.For(ctx, time.Until(next)) {
			return nil, p.f.refuseFull(p.req, "no room in time")
		}
	}
}

// routingRequest describes the request for the choice of an endpoint.
func (p *plain) routingRequest() *routing.Request {
	return &routing.Request{
		Service: p.req.service, DataCentre: p.f.Settings.DataCentre, Avoid: p.avoid, Key: p.req.ID, Weights: p.f.Settings.plainWeights(), Builds: p.f.builds(p.req),
	}
}

// plainWeights ranks endpoints of plain services by load, by their failure rate, and slightly by
// distance. An endpoint that fails four requests in ten gets work only when the load of the others
// is higher by 1.4 times their slots.
func (s *Settings) plainWeights() routing.Weights {
	return s.applyDisabled(routing.Weights{Load: 1, Remote: 0.1, Health: 4})
}

// send sends the request to one endpoint and reads its answer.
func (p *plain) send(ctx context.Context, e *routing.Endpoint) (*answer, outcome, error) {
	f, req := p.f, p.req
	conn, err := f.connect(ctx, req, e)
	if err != nil {
		p.roomOutcome = connectOutcome(err)
		if !errorx.IsOfType(err, ErrWithheld) {
			p.connectsFailed++
		}
		return nil, outcomeNotRun, err
	}
	p.possibleRuns++
	req.reached.Store(true)
	loss := req.loss(e)
	loss.SentAt, loss.Reused = time.Now(), conn.Reused()
	trial := f.Rollouts.Begin(req.route.Name, e)
	trial.SetUndrained(true)
	defer trial.SetUndrained(false)
	f.Placement.Sent(e.ID, routing.Placed{})
	defer f.Placement.Finished(e.ID, routing.Placed{})
	answerEnded := f.Placement.AwaitAnswer(e.ID)
	x, err := f.exchange(ctx, p.pass, conn, e.ID, req.upstreamRequest(&platform.EndpointRequest{
		EndpointName: e.RequestName(), TimeLeft: req.timeLeft(time.Now()), Team: req.teamName(), Priority: -1,
	}), req.ownsAnswer)
	if req.route.Stream { // its engine may prefill the prompt after the head
		answerEnded()
	} else {
		defer answerEnded()
	}
	if err != nil {
		return nil, p.classifyLoss(ctx, loss, trial, err), err
	}
	loss.HeadAt = time.Now()
	signals := platform.ReadAnswer(x.Status(), x.Header())
	f.recordStatus(e.ID, x.Status(), &signals)
	if signals.NotRun {
		p.possibleRuns--
		p.roomOutcome = refusalOutcome(x.Status())
		x.Abort()
		return nil, outcomeNotRun, f.recordRefusal(e, x.Status())
	}
	if !signals.Signed && x.Status() < http.StatusMultipleChoices {
		x.Abort()
		trial.Failed()
		f.Placement.RecordOutcome(e.ID, false)
		return nil, outcomeUnknown, errUnsigned
	}
	a, err := p.receive(x, e)
	if err != nil {
		return nil, p.classifyLoss(ctx, loss, trial, err), err
	}
	a.potentialLoss = loss
	a.potentialLoss.FirstEventAt = time.Now()
	f.Placement.Succeeded(e.ID)
	good := a.status < http.StatusInternalServerError
	f.Placement.RecordOutcome(e.ID, good)
	if good {
		trial.Answered(time.Since(loss.SentAt))
	} else {
		trial.Failed()
	}
	return a, outcomeAnswered, nil
}

var errUnsigned = errors.New("the answer is not signed by an endpoint")

// classifyLoss classifies a request whose answer did not arrive.
func (p *plain) classifyLoss(ctx context.Context, loss crashes.Loss, trial *rollouts.Trial, err error) outcome {
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		p.possibleRuns--
		return outcomeNotRun
	}
	if !errors.Is(ctx.Err(), context.Canceled) { // the endpoint is at fault, not the caller
		if timeIsUp(ctx) {
			p.f.Placement.TimedOut(loss.Endpoint, loss.SentAt)
		} else {
			p.f.Placement.Lost(loss.Endpoint)
			p.f.Placement.RecordOutcome(loss.Endpoint, false)
		}
		trial.Lost()
		trial.Late(time.Since(loss.SentAt))
	}
	if !timeIsUp(ctx) {
		p.f.attributor.Attribute(ctx, &p.req.losses, loss)
	}
	return outcomeUnknown
}

// maxBufferedAnswer is how many bytes of an answer are read before it is delivered. An answer that
// breaks off within them can be requested from another endpoint instead.
const maxBufferedAnswer = 64 << 10

// receive reads up to maxBufferedAnswer bytes of an answer. Of an answer to a streaming route it reads only what
// arrives first. from is nil for the answer of another instance.
func (p *plain) receive(x *upstream.Exchange, from *routing.Endpoint) (*answer, error) {
	body := &answerBody{Exchange: x, f: p.f, endpoint: from, isStream: p.req.route.Stream && x.Status() == http.StatusOK}
	a := &answer{status: x.Status(), header: x.Header()}
	var whole bool
	var err error
	if p.req.route.Stream {
		a.body, whole, err = readFirst(body)
	} else {
		a.body, err = io.ReadAll(io.LimitReader(body, maxBufferedAnswer))
		whole = len(a.body) < maxBufferedAnswer
	}
	switch {
	case err != nil:
		body.Abort()
		return nil, err
	case whole:
		body.Finish()
	default:
		a.unread = body
	}
	return a, nil
}

// relayBufferBytes is the size of the pieces in which the body of an answer is relayed.
const relayBufferBytes = 8 << 10

// readFirst reads what arrives first of a body. whole is set if that is all of it.
func readFirst(body io.Reader) (first []byte, whole bool, err error) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := body.Read(buf)
		switch {
		case err == io.EOF:
			return buf[:n], true, nil
		case err != nil:
			return nil, false, err
		case n > 0:
			return buf[:n], false, nil
		}
	}
}

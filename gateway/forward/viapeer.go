package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// An instance that reaches no endpoint passes its callers' requests on to instances that do, its
// helpers. A helper handles them as if the callers had sent them there, and never passes them on
// itself, so no two instances pass a request back and forth.

// Headers between instances.
const (
	// headerPassedOnBy names the instance that passes a request on.
	headerPassedOnBy = "Passed-On-By"
	// headerRunsLeft is how many endpoints the helper may let run the request.
	headerRunsLeft = "Runs-Left"
	// headerPeerRefusal marks an answer that a helper gave itself, not an endpoint: peerRefused, or
	// peerUnable if the request has not run and another helper may be able to serve it.
	headerPeerRefusal = "Peer-Refusal"
	peerRefused       = "refused"
	peerUnable        = "unable"
	// headerPeerReached is set in a helper's refusal if an endpoint has received the request.
	headerPeerReached = "Peer-Reached"
)

// Helper is an instance that serves requests for this one.
type Helper struct{ ID, Address, DataCentre string }

// helperPrefix marks the names of helpers among those of endpoints.
const helperPrefix = "peer/"

// endpoint returns the helper in the place of an endpoint.
func (h *Helper) endpoint() routing.Endpoint {
	return routing.Endpoint{ID: helperPrefix + h.ID, Address: h.Address, DataCentre: h.DataCentre}
}

// maxHelperTries is how many helpers a plain request is passed on to, one after the other, as long
// as it has not run.
const maxHelperTries = 3

// helperLoads counts the requests in progress at each helper. The zero value is empty. It is safe
// for concurrent use.
type helperLoads struct {
	mu   sync.Mutex
	open map[string]int
}

// add adds to the number of requests at a helper.
func (l *helperLoads) add(id string, delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[string]int{}
	}
	if l.open[id] += delta; l.open[id] <= 0 {
		delete(l.open, id)
	}
}

// less reports whether helper a has fewer requests of this instance than helper b. Of equal ones,
// that of this data centre comes first.
func (l *helperLoads) less(a, b *Helper, dataCentre string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x, y := l.open[a.ID], l.open[b.ID]; x != y {
		return x < y
	}
	return a.DataCentre == dataCentre && b.DataCentre != dataCentre
}

// pickHelper returns the less loaded one of two random helpers; nil if there is none. avoid holds
// names as [Helper.endpoint] gives them.
func (f *Forwarder) pickHelper(avoid []string) *Helper {
	helpers := slices.DeleteFunc(f.Peers.Helpers(), func(h Helper) bool { return slices.Contains(avoid, helperPrefix+h.ID) })
	if len(helpers) == 0 {
		return nil
	}
	a, b := &helpers[rand.IntN(len(helpers))], &helpers[rand.IntN(len(helpers))]
	if f.helperLoads.less(b, a, f.Settings.DataCentre) {
		return b
	}
	return a
}

// usesHelpers reports whether a request is to be passed on to a helper.
func (f *Forwarder) usesHelpers(req *request) bool {
	return req.passedOnBy == "" && !f.Settings.Disabled.ViaPeers && f.Reach.CutOff() && len(f.Peers.Helpers()) > 0
}

// checkReach finds out whether the instance is cut off, after requests failed to connect.
func (f *Forwarder) checkReach(ctx context.Context) {
	if !f.Settings.Disabled.ViaPeers {
		f.Reach.Check(ctx)
	}
}

// ServePeer serves a request that another instance passes on.
func (f *Forwarder) ServePeer(w http.ResponseWriter, r *http.Request) {
	f.openRequests.Add(1)
	defer f.openRequests.Add(-1)
	arrivedAt := time.Now()
	req, refused := f.accept(r, arrivedAt)
	req.passedOnBy = r.Header.Get(headerPassedOnBy)
	if n, err := strconv.Atoi(r.Header.Get(headerRunsLeft)); err == nil && n > 0 {
		req.runsLeft = n
	}
	r.Header.Del(headerPassedOnBy)
	r.Header.Del(headerRunsLeft)
	f.metrics.forPeers.Inc(1)
	if d := f.drain.Load(); d != nil && refused == nil {
		refused = d.refuses(arrivedAt, req)
	}
	if f.Reach.CutOff() {
		refused = refuse(http.StatusServiceUnavailable, "cut off from the endpoints", retrySoon()).elsewhere()
	}
	if refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	f.serve(w, r, req)
}

// IsPassedOn reports whether a request comes from another instance.
func IsPassedOn(r *http.Request) bool { return r.Header.Get(headerPassedOnBy) != "" }

// peerRequest builds the request that is passed on to a helper, which may let runsLeft endpoints run
// it.
func (f *Forwarder) peerRequest(req *request, lastEventID string, runsLeft int) *upstream.Request {
	r := req.httpRequest
	header := platform.HeadersToPeer(r.Header, req.timeLeft(time.Now()), lastEventID)
	header.Set(headerPassedOnBy, f.Settings.Instance)
	header.Set(headerRunsLeft, strconv.Itoa(runsLeft))
	return &upstream.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: req.bodyReader(), Length: req.upstreamLength()}
}

// connectPeer takes a connection to a helper.
func (f *Forwarder) connectPeer(ctx context.Context, h *Helper) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Settings.ConnectTimeout)
	defer cancel()
	return f.Pool.Get(ctx, upstream.Target{ID: helperPrefix + h.ID, Address: h.Address})
}

// anyAnswer accepts every answer: a connection to a helper carries one request at a time, and a
// helper answers no other.
func anyAnswer(int, http.Header) bool { return true }

// runViaPeers passes the request on to helpers, until one answers it or it must not be passed on
// again. It returns nil when the request was answered.
func (p *plain) runViaPeers(ctx context.Context) *refusal {
	var tried []string
	for len(tried) < maxHelperTries {
		h := p.f.pickHelper(tried)
		if h == nil {
			break
		}
		tried = append(tried, helperPrefix+h.ID)
		reply, result, err := p.sendToPeer(ctx, h)
		p.f.logPassedOn(p.req, h, result, reply, err)
		if result == outcomeAnswered {
			p.deliver(reply)
			return nil
		}
		if timeIsUp(ctx) {
			return p.refuseExpired(ctx, result)
		}
		if !p.mayPassOn(result) {
			break
		}
	}
	return p.finish(refuse(http.StatusServiceUnavailable, "no instance reaches the endpoints", retryWhenRoom(0)))
}

// mayPassOn reports whether the request may be passed on to another helper.
func (p *plain) mayPassOn(result outcome) bool {
	if !p.req.replayable {
		return false
	}
	if result != outcomeNotRun {
		if p.req.route.RetryPolicy != route.Idempotent || p.possibleRuns >= p.req.maxRuns() {
			return false
		}
		p.req.reached.Store(true)
	}
	return p.admitNext()
}

// sendToPeer passes the request on to a helper and reads its answer.
func (p *plain) sendToPeer(ctx context.Context, h *Helper) (*answer, outcome, error) {
	conn, err := p.f.connectPeer(ctx, h)
	if err != nil {
		return nil, outcomeNotRun, err
	}
	runsLeft := max(p.req.route.MaxAttempts-p.possibleRuns, 1)
	p.possibleRuns += runsLeft // the helper may use all of them
	p.f.helperLoads.add(h.ID, 1)
	defer p.f.helperLoads.add(h.ID, -1)
	x, err := sendAdmitted(ctx, p.pass, conn, p.f.peerRequest(p.req, "", runsLeft), anyAnswer)
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		p.possibleRuns -= runsLeft
		return nil, outcomeNotRun, err
	}
	if err != nil {
		return nil, outcomeUnknown, err
	}
	if p.peerHasNotRun(x, runsLeft) {
		if x.Header().Get(headerPeerReached) != "" {
			p.req.reached.Store(true)
		}
		p.possibleRuns -= runsLeft
		x.Abort()
		return nil, outcomeNotRun, ErrRefused.New("instance %s did not serve the request", h.ID)
	}
	a, err := p.receive(x, nil)
	if err != nil {
		return nil, outcomeUnknown, err
	}
	return a, outcomeAnswered, nil
}

// peerHasNotRun reports whether an answer is a helper's own refusal that is not delivered: another helper
// may serve the request, or it may have run elsewhere before, so that the refusal would be wrong.
func (p *plain) peerHasNotRun(x *upstream.Exchange, runsLeft int) bool {
	switch x.Header().Get(headerPeerRefusal) {
	case "":
		return false
	case peerUnable:
		return true
	}
	return x.Status() == http.StatusServiceUnavailable && p.possibleRuns > runsLeft
}

// logPassedOn logs and counts the result of passing a request on.
func (f *Forwarder) logPassedOn(req *request, h *Helper, result outcome, a *answer, err error) {
	inputs := logrus.Fields{"peer": h.ID, "data_centre": h.DataCentre, "route": req.route.Name}
	outcomeName := "answered"
	switch result {
	case outcomeAnswered:
		inputs["status"] = a.status
	case outcomeNotRun:
		outcomeName, inputs["error"] = "not_run", errorText(err)
	case outcomeUnknown:
		outcomeName, inputs["error"] = "unknown", errorText(err)
	}
	f.metrics.countPassedOn(outcomeName)
	inputs["outcome"] = outcomeName
	f.Log.Decision(req.ID, "passed on to a peer", inputs)
}

// exchangeWithPeer passes the request of an attempt on to a helper and reports the events of its
// answer. It returns how the attempt ended.
func (a *attempt) exchangeWithPeer(ctx context.Context) message {
	s, h := a.session, a.helper
	conn, err := s.f.connectPeer(ctx, h)
	if err != nil {
		return message{kind: attemptFailed, failure: generation.Refused, err: err}
	}
	pass := s.f.admitArrival(s.req, false)
	if pass == nil {
		conn.PutBack()
		return a.failWithoutBudget()
	}
	s.f.helperLoads.add(h.ID, 1)
	defer s.f.helperLoads.add(h.ID, -1)
	a.report(ctx, message{kind: attemptSent})
	x, err := sendAdmitted(ctx, pass, conn, s.f.peerRequest(s.req, a.send.LastEventID, max(s.req.maxRuns()-a.number+1, 1)), anyAnswer)
	if err != nil {
		s.req.reached.Store(s.req.reached.Load() || !errorx.IsOfType(err, upstream.ErrNotSent))
		return a.classifyLoss(ctx, err)
	}
	defer x.Abort() // no effect after Finish
	refusal := x.Header().Get(headerPeerRefusal)
	if refusal == "" || x.Header().Get(headerPeerReached) != "" {
		s.req.reached.Store(true)
	}
	switch {
	case refusal == peerUnable:
		return message{kind: attemptFailed, failure: generation.Refused, err: ErrRefused.New("instance %s can't serve the request", h.ID)}
	case refusal != "" && x.Status() == http.StatusServiceUnavailable && (s.relayedEvents > 0 || s.mayHaveRunBefore(a)):
		return message{kind: attemptFailed, failure: generation.Refused, err: ErrRefused.New("instance %s refused the request", h.ID)}
	case x.Status() != http.StatusOK:
		return a.readPeerAnswer(x)
	}
	a.header = platform.HeadersToClient(x.Header())
	return a.relayEvents(ctx, x)
}

// mayHaveRunBefore reports whether an attempt before this one may have run the request. A refusal
// that says that it has not run would then be wrong.
func (s *session) mayHaveRunBefore(current *attempt) bool { return current.isRetry }

// readPeerAnswer reads an answer that is not a stream. It is final: the helper has done what could
// be done.
func (a *attempt) readPeerAnswer(x *upstream.Exchange) message {
	body, err := limitread.All(a.body(x, false), maxBufferedAnswer)
	if err != nil {
		return message{kind: attemptFailed, failure: generation.Broken, err: err}
	}
	return message{
		kind: attemptFailed, failure: generation.Invalid, err: ErrEngine.New("instance %s answered with status %d", a.helper.ID, x.Status()),
		answer: &answer{status: x.Status(), header: x.Header(), body: body},
	}
}

// helperAlive reports whether a helper is still one.
func (f *Forwarder) helperAlive(id string) bool {
	return slices.ContainsFunc(f.Peers.Helpers(), func(h Helper) bool { return h.ID == id })
}

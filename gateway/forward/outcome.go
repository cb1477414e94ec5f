package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// Errors of forwarding.
var (
	namespace = errorx.NewNamespace("forward")
	// ErrRefused means that an endpoint has not run a request, or that an engine answered a
	// management call with an error status.
	ErrRefused = namespace.NewType("refused")
	// ErrEngine means that an engine ran the request and answered with an error.
	ErrEngine = namespace.NewType("engine_failed")
	// ErrBudget means that the instances together have used up the retry budget.
	ErrBudget = namespace.NewType("retry_budget", errorx.Temporary())
	// ErrLimited means that a request was not sent, as the endpoint would get more than it states
	// that it takes.
	ErrLimited = namespace.NewType("limited", errorx.Temporary())
	// ErrWithheld means that a request was not sent, as the endpoint is leaving or asked for a pause.
	ErrWithheld = namespace.NewType("withheld", errorx.Temporary())
	// ErrEvents means that an answer is not a valid stream of events.
	ErrEvents = namespace.NewType("malformed_events")
)

// connect takes a connection to an endpoint. An endpoint that can't be connected to is avoided for
// a while. Every request passes here after its endpoint was chosen, also one that waited or resumes
// from a copy, so this is where requests are withheld from endpoints.
func (f *Forwarder) connect(ctx context.Context, req *request, e *routing.Endpoint) (*upstream.Conn, error) {
	if err := f.mayUse(e.ID); err != nil {
		return nil, err
	}
	connectCtx, cancel := context.WithTimeout(ctx, f.Settings.ConnectTimeout)
	defer cancel()
	began := time.Now()
	conn, err := f.Pool.Get(connectCtx, f.target(req, e))
	if err != nil && !errorx.IsOfType(err, upstream.ErrBusy) && f.isEndpointsFailure(ctx, err, time.Since(began)) {
		f.Placement.Failed(e.ID)
		f.Reach.Failed(e.ID)
	}
	return conn, err
}

// isEndpointsFailure reports whether a connection failed because of its endpoint: it was refused, or it
// took too long while its request went on and this process was not paused.
func (f *Forwarder) isEndpointsFailure(requestCtx context.Context, err error, took time.Duration) bool {
	if errorx.IsOfType(err, upstream.ErrGone) {
		return true
	}
	late := f.ownDelay() > 0 && took >= f.Settings.ConnectTimeout+f.ownDelay()
	return requestCtx.Err() == nil && !late
}

// mayUse returns [ErrWithheld] if nothing new may be sent to an endpoint.
func (f *Forwarder) mayUse(endpoint string) error {
	return f.withheld(endpoint, f.Placement.Withholds(endpoint))
}

// mayCall is the same for a management call of an engine. An engine that is leaving is still told to
// copy the memory of its runs elsewhere, and to free copies.
func (f *Forwarder) mayCall(endpoint, method string) error {
	why := f.Placement.WithholdsProbe(endpoint)
	if method != http.MethodGet && why == routing.WhileLeaving {
		return nil
	}
	return f.withheld(endpoint, why)
}

// withheld returns and counts the error for a request that is withheld for a reason; nil for none.
func (f *Forwarder) withheld(endpoint string, why routing.Withholding) error {
	if why == routing.NotWithheld || why == routing.WhileLeaving && f.Settings.Disabled.Departures {
		return nil
	}
	f.metrics.countWithheld(why)
	return ErrWithheld.New("endpoint %s is %s", endpoint, why)
}

// exchange sends a request on a connection to an endpoint and reads the head of its answer.
func (f *Forwarder) exchange(ctx context.Context, pass *arrivalPass, conn *upstream.Conn, endpoint string, r *upstream.Request, owns func(int, http.Header) bool) (*upstream.Exchange, error) {
	x, err := sendAdmitted(ctx, pass, conn, r, owns)
	switch {
	case err == nil && !conn.Reused():
		f.Reach.Connected()
	case errorx.IsOfType(err, upstream.ErrLost) && !timeIsUp(ctx): // an idle connection may have been closed
		f.Reach.Failed(endpoint)
	}
	return x, err
}

// recordStatus records what an answer says about its endpoint: its load, the limits that it states,
// and that it is leaving. An answer with status 421 comes from another endpoint.
func (f *Forwarder) recordStatus(id string, status int, a *platform.Answer) {
	if a.HasLoad {
		f.Placement.RecordLoad(id, a.Load.Running, a.Load.Queued)
	}
	if status == http.StatusMisdirectedRequest {
		return
	}
	f.recordLimits(id, a.Limits)
	f.recordWords(id, status, a)
}

// recordCallStatus records what the answer to a management call says about its engine. Such an answer
// need not state the engine's limits, so it does not withdraw them.
func (f *Forwarder) recordCallStatus(id string, status int, a *platform.Answer) {
	if a.Limits.Stated() {
		f.recordLimits(id, a.Limits)
	}
	f.recordWords(id, status, a)
}

// recordWords records that an answer asks for a pause, or says that its endpoint is leaving.
func (f *Forwarder) recordWords(id string, status int, a *platform.Answer) {
	if a.RetryAfter > 0 && !f.Settings.Disabled.Pauses {
		f.recordPause(id, status, a.RetryAfter)
	}
	if a.Leaving && !f.Settings.Disabled.Departures {
		f.Placement.RecordLeaving(id)
	}
}

// recordPause records that an endpoint refused a request and asked for a pause, and logs it.
func (f *Forwarder) recordPause(id string, status int, pause time.Duration) {
	paused := f.Placement.RefusedFor(id, pause)
	f.metrics.cooldowns.Inc(1)
	f.metrics.pausedEndpoints.Update(float64(paused))
	f.Log.Decision("", "endpoint asks for a pause", logrus.Fields{"endpoint": id, "status": status, "pause_ms": pause.Milliseconds(), "paused": paused})
}

// recordLimits records the limits that an endpoint states, and logs a change.
func (f *Forwarder) recordLimits(id string, l admission.Limits) {
	before, changed, limited := f.Placement.RecordLimits(id, l)
	if !changed {
		return
	}
	f.Peers.Changed(id)
	f.metrics.limitedEndpoints.Update(float64(limited))
	f.Log.Decision("", "endpoint limits changed", logrus.Fields{
		"endpoint": id, "rate": rateText(l), "rate_before": rateText(before), "max_refusals": refusalsText(l), "max_refusals_before": refusalsText(before),
	})
}

// rateText and refusalsText return limits for the log; empty for those that are not stated.
func rateText(l admission.Limits) string {
	if !l.HasRate {
		return ""
	}
	return strconv.FormatFloat(l.Rate, 'g', -1, 64)
}

func refusalsText(l admission.Limits) string {
	if !l.Fragile {
		return ""
	}
	return strconv.Itoa(l.MaxRefusals)
}

// recordRefusal records that an endpoint refused a request, and returns the error to log. With
// status 421 the address belongs to another endpoint now.
func (f *Forwarder) recordRefusal(e *routing.Endpoint, status int) error {
	if status == http.StatusMisdirectedRequest {
		f.Placement.Ended(e.ID)
		f.OnEndpointReplaced(e.ID)
		f.Peers.Changed(e.ID) // so that they do not try it too
	} else {
		f.Placement.Refused(e.ID)
	}
	return ErrRefused.New("endpoint %s refused with status %d", e.ID, status)
}

// logAttempt logs the result of sending a plain request to an endpoint.
func (f *Forwarder) logAttempt(req *request, e *routing.Endpoint, result outcome, a *answer, err error) {
	inputs := logrus.Fields{"endpoint": e.ID, "route": req.route.Name, "configuration": req.table.Version()}
	if e.Build != "" {
		inputs["build"] = e.Build
	}
	switch result {
	case outcomeAnswered:
		inputs["status"] = a.status
		f.Log.Decision(req.ID, "answered", inputs)
	case outcomeNotRun:
		inputs["error"] = errorText(err)
		f.Log.Decision(req.ID, "not run", inputs)
	default:
		inputs["error"], inputs["content"] = errorText(err), req.contentText()
		f.Log.Refusal(req.ID, "outcome unknown", inputs)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

package forward

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// Errors of this layer.
var (
	namespace = errorx.NewNamespace("forward")
	// ErrRefused: the endpoint said that it has not run the request.
	ErrRefused = namespace.NewType("refused")
	// ErrEngine: an engine ran the request and failed it.
	ErrEngine = namespace.NewType("engine_failed")
	// ErrBudget: the instances together have sent as much once more as they may.
	ErrBudget = namespace.NewType("retry_budget", errorx.Temporary())
	// ErrEvents: a stream is not one of events.
	ErrEvents = namespace.NewType("malformed_events")
)

// connect takes a connection to an endpoint. An endpoint that can't be connected to is left out for a
// while.
func (f *Forwarder) connect(ctx context.Context, req *request, e *routing.Endpoint) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Settings.Connect)
	defer cancel()
	conn, err := f.Pool.Get(ctx, f.target(req, e))
	if err != nil && !errorx.IsOfType(err, upstream.ErrBusy) {
		f.Placement.Failed(e.ID)
	}
	return conn, err
}

// learn takes what an answer says of its endpoint.
func (f *Forwarder) learn(id string, a *platform.Answer) {
	if a.HasLoad {
		f.Placement.RecordLoad(id, a.Load.Running, a.Load.Waiting)
	}
}

// refusedBy records that an endpoint did not run a request. An address that answers for another
// endpoint belongs to that one now.
func (f *Forwarder) refusedBy(e *routing.Endpoint, status int) error {
	if status == http.StatusMisdirectedRequest {
		f.Placement.Ended(e.ID)
		f.Ended(e.ID)
		f.Others.Changed(e.ID) // the others should not try it too
	} else {
		f.Placement.Refused(e.ID)
	}
	return ErrRefused.New("endpoint %s refused with status %d", e.ID, status)
}

// logTry logs how one try ended.
func (f *Forwarder) logTry(req *request, e *routing.Endpoint, how outcome, a *answer, err error) {
	inputs := logrus.Fields{"endpoint": e.ID, "route": req.route.Name, "configuration": req.table.Version()}
	if e.Build != "" {
		inputs["build"] = e.Build
	}
	switch how {
	case answered:
		inputs["status"] = a.status
		f.Log.Decision(req.ID, "answered", inputs)
	case notRun:
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

package pipeline

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/cursor"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/shed"
)

// Headers of the callers' API.
const (
	HeaderDeadline       = "Agateway-Deadline-Ms"
	HeaderTicket         = "Agateway-Ticket"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderRan            = "Agateway-Ran"
)

// maxKeyLength bounds an idempotency key, in bytes.
const maxKeyLength = 255

// admit reads the request, finds its deployment and sets its deadline.
type admit struct{ *Deps }

func (*admit) Name() string { return "admit" }

func (a *admit) Serve(_ context.Context, x *Exchange) error {
	if a.draining.Load() {
		return apierr.New(apierr.Draining, "this instance is shutting down; ask /v1/entry for another").WithRetryAfter(time.Second)
	}
	body, err := a.readBody(x)
	if err != nil {
		return err
	}
	if len(x.IdempotencyKey) > maxKeyLength {
		return apierr.New(apierr.InvalidRequest, "at most %d characters", maxKeyLength).WithField(HeaderIdempotencyKey)
	}
	if x.Form == Plain {
		err = a.admitCall(x, body)
	} else {
		err = a.admitGeneration(x, body)
	}
	if err != nil {
		return err
	}
	if !x.Deployment.Serves(x.Team.Name) {
		return apierr.New(apierr.PermissionDenied, "team %q may not use %q", x.Team.Name, x.Deployment.Name)
	}
	x.Class = x.Deployment.Class
	if x.Form != Plain && x.Generation.Stream {
		x.events = newEventStream(a.Deps, x)
	}
	return a.setDeadline(x)
}

// readBody reads the whole body. A body above the configured limit is refused.
func (a *admit) readBody(x *Exchange) ([]byte, error) {
	limit := int64(a.Settings.Callers.BodyLimit)
	control := http.NewResponseController(x.W)
	_ = control.SetReadDeadline(x.Received.Add(a.Settings.Callers.ReadTimeout)) // without it, the body is read without a bound
	body, _, err := shed.ReadBody(x.R.Context(), http.MaxBytesReader(x.W, x.R.Body, limit), x.R.ContentLength, limit+1)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, apierr.New(apierr.InvalidRequest, "the body has more than %d bytes", limit).WithField("body")
	case errorx.IsOfType(err, shed.ErrNoRoom):
		return nil, noRoom()
	case err != nil:
		return nil, apierr.New(apierr.InvalidRequest, "the body broke off").WithField("body")
	}
	return body.Bytes(), nil
}

// RetryAfterText returns the value of a Retry-After header for a request for which the instance has no room.
func RetryAfterText() string { return strconv.Itoa(int(noRoomRetryAfter.Seconds())) }

// noRoomRetryAfter is when a caller may return for whose request there is no room.
const noRoomRetryAfter = time.Second

func noRoom() error {
	return apierr.New(apierr.Overloaded, "no room for the body").WithRetryAfter(noRoomRetryAfter)
}

// parsedCostFactor times the length of a body bounds the memory that is taken while it is parsed.
const parsedCostFactor = 16

// admitGeneration parses a request for a generation and finds its deployment.
func (a *admit) admitGeneration(x *Exchange, body []byte) error {
	giveBack, err := shed.Borrow(x.R.Context(), parsedCostFactor*int64(len(body)))
	if err != nil {
		return noRoom()
	}
	g, err := parseGeneration(x.Form, body)
	giveBack()
	if err != nil {
		return err
	}
	d, ok := a.Config.Deployment(g.Model)
	if !ok || d.Plain {
		return apierr.New(apierr.NotFound, "there is no model %q", g.Model).WithField("model")
	}
	if !d.HasAdapter(g.Adapter) {
		return apierr.New(apierr.NotFound, "%q has no adapter %q", g.Model, g.Adapter).WithField("model")
	}
	x.Deployment, x.Generation = d, g
	return a.decodeCursor(x)
}

// decodeCursor decodes and checks the cursor of a caller that resumes a generation. It does nothing
// if the caller sent none.
func (a *admit) decodeCursor(x *Exchange) error {
	text := x.lastEventID
	if text == "" {
		return nil
	}
	badCursor := func(why string) error {
		return apierr.New(apierr.BadCursor, "%s", why).WithField(HeaderLastEventID)
	}
	if !x.Generation.Stream {
		return badCursor("only a streaming request can be gone on with")
	}
	c, err := cursor.Decode([]byte(a.Settings.Keys.Cursor), text)
	switch {
	case errors.Is(err, cursor.ErrSignature):
		return badCursor("the cursor was not made by this system, or was changed")
	case err != nil:
		return badCursor("this is no cursor")
	case c.Team != x.Team.Name || c.Deployment != x.Deployment.Name:
		return badCursor("the cursor belongs to another request")
	case c.Request != x.Generation.hash:
		return badCursor("the body differs from the one that the cursor was made for")
	}
	if n := len(x.Generation.Prefix); n > 0 && (n != c.Index || generation.HashTokens(x.Generation.Prefix) != c.Hash) {
		return apierr.New(apierr.InvalidRequest, "are not the tokens that the cursor stands for").WithField("agateway_prefix")
	}
	x.cursor = &c
	return nil
}

// admitCall parses a call to /v1/services/{service}/... and finds its deployment.
func (a *admit) admitCall(x *Exchange, body []byte) error {
	rest, ok := strings.CutPrefix(x.R.URL.EscapedPath(), "/v1/services/")
	if !ok {
		return apierr.New(apierr.NotFound, "no such path")
	}
	name, path, _ := strings.Cut(rest, "/")
	d, ok := a.Config.Deployment(name)
	if !ok || !d.Plain {
		return apierr.New(apierr.NotFound, "there is no service %q", name).WithField("service")
	}
	x.Deployment = d
	path = "/" + path
	if q := x.R.URL.RawQuery; q != "" {
		path += "?" + q
	}
	x.Call = &atmostonce.Call{
		Team: x.Team.Name, Deployment: name, Method: x.R.Method, Path: path,
		ContentType: x.R.Header.Get("Content-Type"), Body: body,
	}
	return nil
}

// The last part of a request's time is reserved for the answer to reach the caller: the time
// divided by responseReserveDivisor, but at most maxResponseReserve.
const (
	responseReserveDivisor = 10
	maxResponseReserve     = 50 * time.Millisecond
)

// setDeadline sets the time by which the request has to be answered. It is on the monotonic clock.
func (a *admit) setDeadline(x *Exchange) error {
	d := x.Deployment.Deadline
	if text := x.R.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 {
			return apierr.New(apierr.InvalidRequest, "%q is no number of milliseconds", text).WithField(HeaderDeadline)
		}
		d = min(time.Duration(ms)*time.Millisecond, a.Settings.Callers.DeadlineMost)
	}
	x.Deadline = x.Received.Add(d - min(d/responseReserveDivisor, maxResponseReserve))
	if x.Call != nil {
		x.Call.Deadline = x.Deadline
	}
	return nil
}

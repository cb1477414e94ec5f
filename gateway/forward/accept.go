package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/shed"
	"github.com/agateway/agateway/platform"
)

// request is a caller's request and what has been decided about it so far.
type request struct {
	platform.ClientRequest
	httpRequest     *http.Request
	passedOnBy      string // the instance that passes the request on; empty if it comes from a caller
	runsLeft        int    // on how many endpoints that instance lets it run; 0 for no such limit
	arrivedAt       time.Time
	deadline        time.Time // zero when neither caller nor route sets one
	table           *route.Table
	route           *route.Route
	team            *route.Team // nil for public routes
	service         string
	priority        route.Priority
	rolloutDraw     float64            // compared with the share of requests that goes to a build under rollout
	claimed         *claimed           // the engine that was claimed while the request waited; nil for none
	ownerQueries    int                // consecutive owner queries; each covers the next group of engines
	ownersQueriedAt time.Time          // time of the last owner query
	checkedWork     *limits.StreamWork // the work of a stream that was let through to check an estimate; nil for none
	identity        crashers.Request
	losses          crashes.Losses
	// reached is set once an endpoint may have received the request. A further send is then a retry.
	reached atomic.Bool

	body          shed.Body
	unbuffered    io.Reader // remainder of the body that is not in memory; nil when all of it is
	contentLength int64     // of the body in bytes; -1 for a chunked body
	replayable    bool      // the whole body is in memory
}

// maxSyncWait is how long after its start an instance lets callers wait for its first read of the
// store. That read takes 15 ms when the store responds, and 200 ms when 90 instances start at once.
// Callers whose instances were all killed reconnect in this time, and many of them retry only once.
const maxSyncWait = 500 * time.Millisecond

// awaitSync waits until the first read of the store is done, or until maxSyncWait after the start.
func (f *Forwarder) awaitSync(ctx context.Context) {
	left := maxSyncWait - time.Since(f.startedAt)
	if left <= 0 || f.Settings.Disabled.FirstLook {
		return
	}
	pause.UntilWoken(ctx, left, f.Synced)
}

// accept resolves the route, team and deadline of a request. The configuration has to be known, and
// for a request with a key it must have been confirmed recently.
func (f *Forwarder) accept(r *http.Request, arrivedAt time.Time) (*request, *refusal) {
	req := &request{ClientRequest: platform.ReadClientRequest(r.Header), httpRequest: r, arrivedAt: arrivedAt, rolloutDraw: randomFraction()}
	if refused := f.resolve(req); refused != nil {
		return req, refused
	}
	req.setDeadline()
	return req, nil
}

// resolve applies the newest configuration to a request.
func (f *Forwarder) resolve(req *request) *refusal {
	table, age := f.Configuration.Table()
	if table == nil {
		return refuse(http.StatusServiceUnavailable, "no configuration yet", retrySoon()).elsewhere()
	}
	inputs := logrus.Fields{"configuration": table.Version(), "age_ms": age.Milliseconds()}
	matched, ok := table.Match(req.httpRequest.Host, req.httpRequest.URL.Path)
	if !ok {
		return f.deny(http.StatusNotFound, "no route", age, inputs)
	}
	var team *route.Team
	if !matched.Public && table.RequiresKey() {
		if team, ok = table.Team(req.Key); !ok {
			return f.deny(http.StatusUnauthorized, "unknown key", age, inputs)
		}
		if age >= f.Settings.MaxConfigAgeForKeys {
			return refuse(http.StatusServiceUnavailable, "configuration too old for keys", retryWhenStoreIsBack()).with(inputs).elsewhere()
		}
	}
	if req.route == nil || !matched.HasTarget(req.service) {
		req.service = matched.ChooseService(randomFraction())
	}
	req.table, req.route, req.team = table, matched, team
	req.priority = f.priorityOf(req)
	return nil
}

// priorityOf returns the order of a request among those of its service.
func (f *Forwarder) priorityOf(req *request) route.Priority {
	if f.Settings.Disabled.Ranks {
		return route.Priority{Level: req.route.PriorityFor(req.team)}
	}
	return req.table.Priority(req.service, req.route, req.team)
}

// deny refuses a request permanently, or temporarily when the configuration may be out of date.
func (f *Forwarder) deny(status int, reason string, age time.Duration, inputs logrus.Fields) *refusal {
	if age >= f.Settings.MaxConfigAgeForDenial {
		return refuse(http.StatusServiceUnavailable, reason+" in a configuration that may be old", retryWhenStoreIsBack()).with(inputs).elsewhere()
	}
	return refuse(status, reason, 0).with(inputs)
}

// revalidate applies the configuration again right before a request is sent, in case it changed or
// became too old while the request waited.
func (f *Forwarder) revalidate(req *request) *refusal {
	table, age := f.Configuration.Table()
	if table == req.table && (req.team == nil || age < f.Settings.MaxConfigAgeForKeys) {
		return nil
	}
	return f.resolve(req)
}

func (req *request) setDeadline() {
	timeout := req.Timeout
	if t := req.route.Timeout; t > 0 && (timeout == 0 || t < timeout) {
		timeout = t
	}
	if timeout > 0 {
		req.deadline = req.arrivedAt.Add(timeout)
	}
}

// pastDeadline reports whether the deadline of the request has passed.
func (req *request) pastDeadline(now time.Time) bool {
	return !req.deadline.IsZero() && !now.Before(req.deadline)
}

// maxRuns returns on how many endpoints the request may run.
func (req *request) maxRuns() int {
	if req.runsLeft > 0 {
		return min(req.runsLeft, req.route.MaxAttempts)
	}
	return req.route.MaxAttempts
}

// timeLeft returns how much longer the caller waits, at least 1 ms; 0 when the caller gave no
// limit.
func (req *request) timeLeft(now time.Time) time.Duration {
	if req.Timeout == 0 {
		return 0
	}
	return max(req.Timeout-now.Sub(req.arrivedAt), time.Millisecond)
}

// teamName returns the name of the request's team; empty for public routes.
func (req *request) teamName() string {
	if req.team == nil {
		return ""
	}
	return req.team.Name
}

// promptKey identifies the prompt by its last part, which is specific to the request. A caller that
// sends the same prompt again, for example after its connection was lost, gets the same key. It
// returns 0 when there is no prompt.
func (req *request) promptKey() uint64 {
	if len(req.PromptParts) == 0 {
		return 0
	}
	return req.PromptParts[len(req.PromptParts)-1].ID
}

// maxBufferedBody is the number of bytes that are kept in memory of a body that is larger than one request may
// hold. Such a body is sent on while it arrives, and only once.
const maxBufferedBody = 256 << 10

// maxStreamedBodies bounds how many bodies are sent on while they arrive. Each takes a connection to an endpoint for
// as long as its caller likes.
const maxStreamedBodies = 8

// readBody reads the body into memory, or the beginning of a body that is larger than one request may hold.
func (f *Forwarder) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *refusal {
	req.contentLength = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		req.replayable, req.contentLength = true, 0
		return nil
	}
	body := io.Reader(r.Body)
	limit := int64(req.table.Limits().BodyBytes)
	if limit > 0 {
		if r.ContentLength > limit {
			return refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		}
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	body = req.boundRead(ctx, w, body)
	buffered, whole, err := shed.ReadBody(r.Context(), body, r.ContentLength, maxBufferedBytes(r, limit))
	if err != nil {
		return refuseBody(r.Context(), err)
	}
	req.body, req.replayable = buffered, whole
	if whole {
		return nil
	}
	if f.streamedBodies.Add(1) > maxStreamedBodies {
		f.streamedBodies.Add(-1)
		return refuse(http.StatusServiceUnavailable, "too many bodies are on their way", retryWhenRoom(0)).elsewhere()
	}
	req.unbuffered = body
	return nil
}

// maxBufferedBytes returns how many bytes of a body are kept in memory at most. limit is the largest length that the
// configuration allows, 0 for any.
func maxBufferedBytes(r *http.Request, limit int64) int64 {
	longest := cmp.Or(max(r.ContentLength, 0), limit)
	if maxBody, bounded := shed.MaxBody(r.Context()); bounded && longest > 0 && longest <= maxBody {
		return longest + 1 // the end of the body has to be seen
	}
	return maxBufferedBody
}

// bodyStallTimeout bounds how long nothing may arrive of a body whose request has no deadline.
const bodyStallTimeout = time.Minute

// boundRead bounds the time in which a body is read: by the deadline of the request, or if it has none, by
// bodyStallTimeout for each read.
func (req *request) boundRead(ctx context.Context, w http.ResponseWriter, body io.Reader) io.Reader {
	control := http.NewResponseController(w)
	if req.deadline.IsZero() {
		return &stallReader{ctx, body, control}
	}
	_ = control.SetReadDeadline(req.deadline)
	return body
}

// stallReader bounds the time of each read until ctx ends.
type stallReader struct {
	ctx context.Context
	io.Reader
	control *http.ResponseController
}

// Read implements [io.Reader].
func (s *stallReader) Read(b []byte) (int, error) {
	if err := s.ctx.Err(); err != nil {
		return 0, err
	}
	_ = s.control.SetReadDeadline(time.Now().Add(bodyStallTimeout))
	n, err := s.Reader.Read(b)
	if err == io.EOF {
		_ = s.control.SetReadDeadline(time.Time{}) // the server goes on to read, to notice that the caller leaves
	}
	return n, err
}

// refuseBody returns the refusal of a request whose body was not read.
func refuseBody(ctx context.Context, err error) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	case errorx.IsOfType(err, shed.ErrNoRoom):
		return refuse(http.StatusServiceUnavailable, "no room for the body", retryWhenRoom(0)).elsewhere()
	case shed.Shed(ctx):
		return refuse(http.StatusServiceUnavailable, "closed for lack of room", retryWhenRoom(0)).elsewhere()
	}
	return refuse(http.StatusRequestTimeout, "the body did not arrive", 0)
}

// bodyReader returns a reader of the body from its beginning; nil when there is none.
func (req *request) bodyReader() io.Reader {
	switch {
	case req.unbuffered != nil:
		return io.MultiReader(req.body.Reader(), req.unbuffered)
	case req.body.Len() == 0 && req.contentLength == 0:
		return nil
	}
	return req.body.Reader()
}

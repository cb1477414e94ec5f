package forward

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// drain is a graceful shutdown in progress.
type drain struct {
	// until is when requests in progress are ended by force.
	until time.Time
	// last is when the last request without a deadline is taken.
	last time.Time
	// closed is set when no request is taken any more.
	closed bool
}

// lastParts divides the shutdown: in the last part no request without a deadline is taken.
const lastParts = 4

// errEnding is the cause with which contexts of requests are cancelled at the forced end.
var errEnding = errors.New("the instance ends")

// whyEnding tells callers so.
const whyEnding = "the instance ended before the answer came"

// Drain begins a graceful shutdown: each answer says that its connection closes, and requests that may not end before until are refused.
func (f *Forwarder) Drain(until time.Time) {
	f.drain.Store(&drain{until: until, last: until.Add(-time.Until(until) / lastParts)})
}

// Refuse makes the forwarder refuse all requests that come from now on.
func (f *Forwarder) Refuse() { f.drain.Store(&drain{closed: true}) }

// End ends the requests in progress: those that can still be answered are told what became of them.
func (f *Forwarder) End() {
	f.Refuse()
	f.end()
}

// refuses returns the refusal of a request that may not end before the process does; nil for others. A stream lasts about as long
// as the process has left.
func (d *drain) refuses(now time.Time, req *request) *refusal {
	if !d.closed && !req.route.Stream && d.ends(now, req) {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "stopping", soon())
}

// ends tells whether a request ends before the process does.
func (d *drain) ends(now time.Time, req *request) bool {
	if req.deadline.IsZero() {
		return now.Before(d.last)
	}
	return req.deadline.Before(d.until)
}

// endable returns a context that is also cancelled at the forced end. Reads of the request's body fail from then on.
func (f *Forwarder) endable(ctx context.Context, w http.ResponseWriter) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(f.ending, func() {
		cancel(errEnding)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isEnding reports whether a context was cancelled at the forced end.
func isEnding(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errEnding) }

package forward

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// drain is the state of a graceful shutdown.
type drain struct {
	// until is when requests in progress are cancelled.
	until time.Time
	// untilWithoutDeadline is until when requests without a deadline are accepted.
	untilWithoutDeadline time.Time
	// refuseAll is set when no request is accepted any more.
	refuseAll bool
}

// drainTailDivisor sets the last part of the shutdown, 1/drainTailDivisor, in which requests
// without a deadline are refused.
const drainTailDivisor = 4

// errShutdown is the cancellation cause of requests that are cancelled by the shutdown.
var errShutdown = errors.New("the instance ends")

// reasonShutdown is the reason that callers of cancelled requests receive.
const reasonShutdown = "the instance ended before the answer came"

// Drain starts a graceful shutdown that ends at deadline. From now on each answer closes its
// connection. Requests that may not end before deadline are refused.
func (f *Forwarder) Drain(deadline time.Time) {
	f.drain.Store(&drain{until: deadline, untilWithoutDeadline: deadline.Add(-time.Until(deadline) / drainTailDivisor)})
}

// RefuseRequests refuses all requests that arrive from now on.
func (f *Forwarder) RefuseRequests() { f.drain.Store(&drain{refuseAll: true}) }

// CancelRequests refuses new requests and cancels those in progress. Callers that have no answer
// yet are told whether their request may have run.
func (f *Forwarder) CancelRequests() {
	f.RefuseRequests()
	f.cancelRequests()
}

// refuses returns the refusal of a request that may not end before the process does, and nil for
// other requests. All streams are refused, since a stream lasts about as long as the shutdown.
func (d *drain) refuses(now time.Time, req *request) *refusal {
	if !d.refuseAll && !req.route.Stream && d.endsInTime(now, req) {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "stopping", retrySoon()).elsewhere()
}

// endsInTime reports whether a request ends before the process does.
func (d *drain) endsInTime(now time.Time, req *request) bool {
	if req.deadline.IsZero() {
		return now.Before(d.untilWithoutDeadline)
	}
	return req.deadline.Before(d.until)
}

// withShutdown returns a context that is also cancelled by [Forwarder.CancelRequests]. Reads of the
// request's body fail from then on.
func (f *Forwarder) withShutdown(ctx context.Context, w http.ResponseWriter) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(f.shutdownCtx, func() {
		cancel(errShutdown)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isShutdown reports whether a context was cancelled by [Forwarder.CancelRequests].
func isShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

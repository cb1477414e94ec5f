package pipeline

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/atmostonce"
)

// claim decides how the request is run: as a new generation, as one taken over from an instance
// that is gone, or as a plain call that may run at most once.
type claim struct{ *Deps }

func (*claim) Name() string { return "claim" }

func (c *claim) Serve(ctx context.Context, x *Exchange) error {
	x.claimReached = true
	if x.Form == Plain {
		c.claimCall(x)
		return nil
	}
	x.entry = directory.Entry{
		Request: x.Generation.hash, Generation: uuid.NewString(), Owner: c.Running.Owner(),
		Model: x.Deployment.Model, Version: x.Deployment.ModelVersion,
	}
	if x.cursor != nil {
		return c.resumeFromCursor(ctx, x)
	}
	if x.IdempotencyKey == "" {
		x.entry.Key = generationKey(x.Team.Name, x.entry.Generation)
		return nil
	}
	return c.claimByKey(ctx, x)
}

// callerKey returns the directory key of a request with an idempotency key. Its prefix differs from
// that of generationKey, so that callers' keys and generation ids can't collide.
func callerKey(team, key string) directory.Key { return directory.Key{Team: team, ID: "k/" + key} }

// generationKey returns the directory key of a generation without an idempotency key.
func generationKey(team, generation string) directory.Key {
	return directory.Key{Team: team, ID: "g/" + generation}
}

// cursorAttemptGap is added to the attempt number in a cursor. The instance that made the cursor
// may have used higher numbers since, and the new attempt has to be above them.
const cursorAttemptGap = 1000

// resumeFromCursor continues the generation that the caller's cursor identifies. If the directory
// has an entry for it, the attempt and the stream of that entry are used in place of the cursor's:
// they are newer if an engine died after the cursor was made.
func (c *claim) resumeFromCursor(ctx context.Context, x *Exchange) error {
	cur := x.cursor
	if cur.Model != x.Deployment.Model {
		return apierr.New(apierr.CannotContinue, "the deployment has another model now").WithRan(apierr.DidRun)
	}
	c.metrics.takeovers.Inc(1)
	x.entry.Generation, x.entry.Version = cur.Generation, cur.Version
	x.entry.Key = generationKey(x.Team.Name, cur.Generation)
	if x.IdempotencyKey != "" {
		x.entry.Key = callerKey(x.Team.Name, x.IdempotencyKey)
	}
	x.origin = generation.Origin{
		Attempt: cur.Attempt + cursorAttemptGap - 1, Stream: generation.Stream{Endpoint: cur.Endpoint, ID: cur.Stream},
		Delivered: cur.Index, DeliveredHash: cur.Hash, Prefix: x.Generation.Prefix,
	}
	if e, ok := c.Running.TakeOver(ctx, x.entry.Key, x.entry.Request); ok {
		x.origin.Attempt = e.Place.Attempt - 1
		x.origin.Stream = generation.Stream{Endpoint: e.Place.Endpoint, ID: e.Place.Stream}
	}
	return nil
}

// claimByKey registers the caller's idempotency key, or takes over the generation that is running
// under it.
func (c *claim) claimByKey(ctx context.Context, x *Exchange) error {
	x.entry.Key = callerKey(x.Team.Name, x.IdempotencyKey)
	answer, held := c.Running.Register(ctx, x.entry)
	switch answer {
	case directory.Granted:
		return nil
	case directory.Mismatch:
		return apierr.New(apierr.KeyMismatch, "the key was used for another request").WithField(HeaderIdempotencyKey)
	}
	e, ok := c.Running.TakeOver(ctx, x.entry.Key, x.entry.Request)
	if !ok {
		return apierr.New(apierr.InProgress, "a request with this key was just begun").WithField(HeaderIdempotencyKey).WithRetryAfter(time.Second)
	}
	c.metrics.takeovers.Inc(1)
	x.entry.Generation, x.entry.Version = held.Generation, e.Version
	x.origin = generation.Origin{
		Attempt: e.Place.Attempt - 1, Stream: generation.Stream{Endpoint: e.Place.Endpoint, ID: e.Place.Stream},
	}
	return nil
}

// claimCall chooses how a plain call runs at most once: by its ticket, or by a claim on its
// idempotency key. A call without either, or an idempotent one without a ticket, needs neither.
func (c *claim) claimCall(x *Exchange) {
	switch {
	case x.Ticket != "":
		x.runOnce = func(ctx context.Context) (ticket.Outcome, error) {
			return c.Tickets.Run(ctx, x.Ticket, x.Call)
		}
	case x.IdempotencyKey != "" && !x.Deployment.Idempotent(x.Call.Method):
		x.runOnce = func(ctx context.Context) (ticket.Outcome, error) {
			return c.Claims.Do(ctx, x.IdempotencyKey, x.Call)
		}
	}
}

// onceErrors maps the error types of package atmostonce to errors for callers.
var onceErrors = []struct {
	errorType  *errorx.Type
	code       apierr.Code
	ran        apierr.Ran
	retryAfter time.Duration
}{
	{atmostonce.ErrUnknown, apierr.OutcomeUnknown, apierr.Unknown, 0},
	{atmostonce.ErrExpired, apierr.OutcomeUnknown, apierr.Unknown, 0},
	{atmostonce.ErrInProgress, apierr.InProgress, apierr.Unknown, time.Second},
	{atmostonce.ErrNotRun, apierr.Unavailable, apierr.NotRun, time.Second},
	{atmostonce.ErrBusy, apierr.Unavailable, apierr.NotRun, time.Second},
	{atmostonce.ErrMismatch, apierr.KeyMismatch, apierr.NotRun, 0},
	{atmostonce.ErrBadTicket, apierr.BadTicket, apierr.NotRun, 0},
}

// OnceError converts an error of package atmostonce to an [apierr.Error].
func OnceError(err error) error {
	for _, e := range onceErrors {
		if errorx.IsOfType(err, e.errorType) {
			out := apierr.New(e.code, "%s", errorx.Cast(err).Message()).WithRan(e.ran).WithRetryAfter(e.retryAfter)
			return out
		}
	}
	return apierr.From(err)
}

// outcomeResponse returns a stored outcome as a response.
func outcomeResponse(o ticket.Outcome) *plainResponse {
	return &plainResponse{status: o.Status, contentType: o.ContentType, body: o.Body}
}

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

// claim settles who runs the request: a new generation, one taken over from an instance
// that is gone, or a plain call that may run at most once.
type claim struct{ *Deps }

func (*claim) Name() string { return "claim" }

func (c *claim) Serve(ctx context.Context, x *Exchange) error {
	x.settled = true
	if x.Form == Plain {
		c.plain(x)
		return nil
	}
	x.entry = directory.Entry{
		Request: x.Generation.hash, Generation: uuid.NewString(), Owner: c.Running.Owner(),
		Model: x.Deployment.Model, Version: x.Deployment.ModelVersion,
	}
	if x.cursor != nil {
		return c.fromCursor(ctx, x)
	}
	if x.Key == "" {
		x.entry.Key = generationKey(x.Team.Name, x.entry.Generation)
		return nil
	}
	return c.fromKey(ctx, x)
}

// The directory's keys of callers and of generations without one must not meet.
func callerKey(team, key string) directory.Key { return directory.Key{Team: team, ID: "k/" + key} }

func generationKey(team, generation string) directory.Key {
	return directory.Key{Team: team, ID: "g/" + generation}
}

// cursorGap lifts a cursor's attempt above those that its instance may have used since.
const cursorGap = 1000

// fromCursor goes on with the generation that the caller's cursor names. The directory
// may know a newer place for it, when an engine died after the cursor was made.
func (c *claim) fromCursor(ctx context.Context, x *Exchange) error {
	cur := x.cursor
	if cur.Model != x.Deployment.Model {
		return apierr.New(apierr.CannotContinue, "the deployment has another model now").WithRan(apierr.DidRun)
	}
	c.metrics.takeovers.Inc(1)
	x.entry.Generation, x.entry.Version = cur.Generation, cur.Version
	x.entry.Key = generationKey(x.Team.Name, cur.Generation)
	if x.Key != "" {
		x.entry.Key = callerKey(x.Team.Name, x.Key)
	}
	x.origin = generation.Origin{
		Attempt: cur.Attempt + cursorGap - 1, Stream: generation.Stream{Endpoint: cur.Endpoint, ID: cur.Stream},
		Delivered: cur.Index, DeliveredHash: cur.Hash, Prefix: x.Generation.Prefix,
	}
	if e, ok := c.Running.TakeOver(ctx, x.entry.Key, x.entry.Request); ok {
		x.origin.Attempt = e.Place.Attempt - 1
		x.origin.Stream = generation.Stream{Endpoint: e.Place.Endpoint, ID: e.Place.Stream}
	}
	return nil
}

// fromKey registers the caller's key, or takes over the generation that runs under it.
func (c *claim) fromKey(ctx context.Context, x *Exchange) error {
	x.entry.Key = callerKey(x.Team.Name, x.Key)
	answer, held := c.Running.Register(ctx, x.entry)
	switch answer {
	case directory.Granted:
		return nil
	case directory.Mismatch:
		return apierr.New(apierr.KeyMismatch, "the key was used for another request").WithField(HeaderKey)
	}
	e, ok := c.Running.TakeOver(ctx, x.entry.Key, x.entry.Request)
	if !ok {
		return apierr.New(apierr.InProgress, "a request with this key was just begun").WithField(HeaderKey).WithRetry(time.Second)
	}
	c.metrics.takeovers.Inc(1)
	x.entry.Generation, x.entry.Version = held.Generation, e.Version
	x.origin = generation.Origin{
		Attempt: e.Place.Attempt - 1, Stream: generation.Stream{Endpoint: e.Place.Endpoint, ID: e.Place.Stream},
	}
	return nil
}

// plain chooses how a call runs at most once.
func (c *claim) plain(x *Exchange) {
	switch {
	case x.Ticket != "":
		x.runOnce = func(ctx context.Context) (ticket.Outcome, error) {
			return c.Tickets.Run(ctx, x.Ticket, x.Call)
		}
	case x.Key != "" && !x.Deployment.Idempotent(x.Call.Method):
		x.runOnce = func(ctx context.Context) (ticket.Outcome, error) {
			return c.Claims.Do(ctx, x.Key, x.Call)
		}
	}
}

// onceErrors turns errors of the layer below into those of callers.
var onceErrors = []struct {
	below *errorx.Type
	code  apierr.Code
	ran   apierr.Ran
	retry time.Duration
}{
	{atmostonce.ErrUnknown, apierr.OutcomeUnknown, apierr.Unknown, 0},
	{atmostonce.ErrExpired, apierr.OutcomeUnknown, apierr.Unknown, 0},
	{atmostonce.ErrInProgress, apierr.InProgress, apierr.Unknown, time.Second},
	{atmostonce.ErrNotRun, apierr.Unavailable, apierr.NotRun, time.Second},
	{atmostonce.ErrBusy, apierr.Unavailable, apierr.NotRun, time.Second},
	{atmostonce.ErrMismatch, apierr.KeyMismatch, apierr.NotRun, 0},
	{atmostonce.ErrBadTicket, apierr.BadTicket, apierr.NotRun, 0},
}

// OnceError turns an error of package atmostonce into a caller's.
func OnceError(err error) error {
	for _, e := range onceErrors {
		if errorx.IsOfType(err, e.below) {
			out := apierr.New(e.code, "%s", errorx.Cast(err).Message()).WithRan(e.ran).WithRetry(e.retry)
			return out
		}
	}
	return apierr.From(err)
}

// outcomeResponse is a kept outcome as a response.
func outcomeResponse(o ticket.Outcome) *plainResponse {
	return &plainResponse{status: o.Status, contentType: o.ContentType, body: o.Body}
}

// Package once runs non-idempotent calls at most once: under tickets, which belong to one
// process ([Tickets]), and under callers' own keys, by claims in the platform ([Claims]).
//
// Failure modes: a ticket's owner is dead, cut off or paused (the outcome is unknown, and
// is said to be); the platform is down (a call with a key is refused as not run); an
// answer of the platform or of the endpoint is lost (resolved by reading again, or said
// to be unknown). Nothing here ever runs a call a second time.
package once

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/ticket"
)

// Errors of this layer. All but [ErrUnknown] and [ErrEndpoint] mean that the call did not run.
var (
	namespace = errorx.NewNamespace("once")
	// ErrUnknown: the call may have run.
	ErrUnknown = namespace.NewType("unknown")
	// ErrInProgress: the call runs now, for an earlier request.
	ErrInProgress = namespace.NewType("in_progress", errorx.Temporary())
	// ErrNotRun: the call did not run, and under this ticket never will.
	ErrNotRun = namespace.NewType("not_run")
	// ErrBusy: there is no room to remember the call, or the platform is not reachable.
	ErrBusy = namespace.NewType("busy", errorx.Temporary())
	// ErrExpired: the ticket is too old for its outcome to be known.
	ErrExpired = namespace.NewType("expired")
	// ErrMismatch: the ticket or key was used for another request.
	ErrMismatch = namespace.NewType("mismatch")
	// ErrBadTicket: the text is no ticket of ours.
	ErrBadTicket = namespace.NewType("bad_ticket")
)

// Call is a call that may run at most once.
type Call struct {
	Team, Deployment, Method, Path, ContentType string
	Body                                        []byte
	Deadline                                    time.Time
}

// Ended says what became of a call that was begun.
type Ended int

// Ends of a call.
const (
	// Ran: the outcome is known.
	Ran Ended = iota
	// NotRun: it certainly did not run.
	NotRun
	// Unknown: the endpoint's answer was lost.
	Unknown
)

// Result is what a run of a call came to.
type Result struct {
	Ended   Ended
	Outcome ticket.Outcome
	// RetryAfter is when asking again may help, for a call that did not run.
	RetryAfter time.Duration
	Detail     string
}

// Runner runs a call at an endpoint.
type Runner func(ctx context.Context, c *Call) Result

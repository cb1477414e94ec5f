// Package atmostonce runs non-idempotent calls at most once. A call runs either under a ticket, which
// belongs to one process ([Tickets]), or under an idempotency key of the caller, which is claimed
// in the platform's store ([Claims]). No call is ever run a second time.
//
// Failure modes:
//   - The owner of a ticket is dead, unreachable or paused: the outcome is reported as unknown.
//   - The platform is down: a call with a key is refused as not run.
//   - An answer of the platform is lost: the claim is written again and, on a conflict, read. If
//     that does not settle it, the call is refused as not run and the claim is released in the
//     background.
//   - An answer of the endpoint is lost: the outcome is reported as unknown.
package atmostonce

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/ticket"
)

// Errors of [Tickets] and [Claims]. With [ErrNotRun], [ErrBusy], [ErrMismatch] and [ErrBadTicket]
// the request did not run the call.
var (
	namespace = errorx.NewNamespace("once")
	// ErrUnknown means that the call may have run.
	ErrUnknown = namespace.NewType("unknown")
	// ErrInProgress means that the call is running for an earlier request.
	ErrInProgress = namespace.NewType("in_progress", errorx.Temporary())
	// ErrNotRun means that the call did not run. Under the same ticket it never will.
	ErrNotRun = namespace.NewType("not_run")
	// ErrBusy means that the ticket table is full, or that the claim could not be made in the
	// platform's store.
	ErrBusy = namespace.NewType("busy", errorx.Temporary())
	// ErrExpired means that the ticket has expired, so that its outcome is no longer known.
	ErrExpired = namespace.NewType("expired")
	// ErrMismatch means that the ticket or key was used for another request.
	ErrMismatch = namespace.NewType("mismatch")
	// ErrBadTicket means that the text is not a ticket signed with this fleet's key, or that the
	// ticket belongs to another team.
	ErrBadTicket = namespace.NewType("bad_ticket")
)

// Call is a call that may run at most once. It is not begun after Deadline.
type Call struct {
	Team, Deployment, Method, Path, ContentType string
	Body                                        []byte
	Deadline                                    time.Time
}

// RunState says whether a call ran.
type RunState int

// States of a call after [RunFunc] has returned.
const (
	// Ran means that the call ran and its outcome is known.
	Ran RunState = iota
	// NotRun means that the call certainly did not run.
	NotRun
	// Unknown means that the endpoint's answer was lost, so that the call may have run.
	Unknown
)

// Result is the result of an attempt to run a call.
type Result struct {
	State   RunState
	Outcome ticket.Outcome
	// RetryAfter is how long to wait before a retry; 0 if unknown. It is meant for a call that did
	// not run.
	RetryAfter time.Duration
	// Detail is the text of the error when State is not Ran.
	Detail string
}

// RunFunc sends a call to an endpoint. It is called at most once for a ticket or claim.
type RunFunc func(ctx context.Context, c *Call) Result

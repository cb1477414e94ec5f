// Package apierr defines the errors that callers receive. All have one form: a JSON body with a
// code, a message, the invalid field, whether the request ran, and when to retry.
package apierr

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Code identifies an error for programs. Codes are part of the API and never change.
type Code string

// Codes of errors to callers.
const (
	InvalidRequest   Code = "invalid_request"
	Unauthenticated  Code = "unauthenticated"
	PermissionDenied Code = "permission_denied"
	NotFound         Code = "not_found"
	TeamLimit        Code = "team_limit"
	Overloaded       Code = "overloaded"
	Unavailable      Code = "unavailable"
	DeadlineExceeded Code = "deadline_exceeded"
	Draining         Code = "draining"
	CannotContinue   Code = "cannot_continue"
	Superseded       Code = "superseded"
	InProgress       Code = "in_progress"
	KeyMismatch      Code = "idempotency_mismatch"
	BadCursor        Code = "bad_cursor"
	BadTicket        Code = "bad_ticket"
	OutcomeUnknown   Code = "outcome_unknown"
	EndpointError    Code = "endpoint_error"
	Internal         Code = "internal"
)

// Ran tells whether the request ran.
type Ran string

// Values of Ran. NotRun is used only if that is certain.
const (
	NotRun  Ran = "not_run"
	Unknown Ran = "unknown"
	DidRun  Ran = "ran"
)

// Error is an error for a caller.
type Error struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field names the invalid part of the request; empty if there is none.
	Field string `json:"field,omitempty"`
	Ran   Ran    `json:"ran"`
	// RetryAfter is the time after which a retry may succeed; 0 if a retry is not expected to help.
	RetryAfter time.Duration `json:"-"`
	// ValidTokens is how many tokens of an incomplete answer are correct; nil unless an event
	// stream failed.
	ValidTokens *int `json:"valid_tokens,omitempty"`
}

// Error returns the text for logs.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// WithField sets the invalid field and returns e.
func (e *Error) WithField(field string) *Error { e.Field = field; return e }

// WithRetryAfter sets the time to retry and returns e.
func (e *Error) WithRetryAfter(after time.Duration) *Error { e.RetryAfter = after; return e }

// WithRan sets whether the request ran and returns e.
func (e *Error) WithRan(r Ran) *Error { e.Ran = r; return e }

var statusByCode = map[Code]int{
	InvalidRequest: http.StatusBadRequest, Unauthenticated: http.StatusUnauthorized,
	PermissionDenied: http.StatusForbidden, NotFound: http.StatusNotFound,
	TeamLimit: http.StatusTooManyRequests, Overloaded: http.StatusServiceUnavailable,
	Unavailable: http.StatusServiceUnavailable, DeadlineExceeded: http.StatusGatewayTimeout,
	Draining: http.StatusServiceUnavailable, CannotContinue: http.StatusBadGateway,
	Superseded: http.StatusConflict, InProgress: http.StatusConflict,
	KeyMismatch: http.StatusUnprocessableEntity, BadCursor: http.StatusBadRequest,
	BadTicket: http.StatusBadRequest, OutcomeUnknown: http.StatusBadGateway,
	EndpointError: http.StatusBadGateway, Internal: http.StatusInternalServerError,
}

// New returns an error with the HTTP status of its code. It says that the request did not run; see
// [Error.WithRan].
func New(c Code, format string, args ...any) *Error {
	return &Error{Status: statusByCode[c], Code: c, Message: fmt.Sprintf(format, args...), Ran: NotRun}
}

// From returns the Error in the chain of err. Any other error becomes an internal error with an
// unknown outcome, whose message does not reveal err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "internal error").WithRan(Unknown)
}

// Body is the JSON body of an error response.
type Body struct {
	Error *Detail `json:"error"`
}

// Detail is an error together with the time to retry, in seconds.
type Detail struct {
	*Error
	// Type repeats the code, for clients of the completions protocol.
	Type              string  `json:"type"`
	RetryAfterSeconds float64 `json:"retry_after_s,omitempty"`
}

// Marshal returns the error as the JSON body of a response.
func (e *Error) Marshal() []byte {
	raw, err := json.Marshal(Body{&Detail{e, string(e.Code), e.RetryAfter.Seconds()}})
	if err != nil { // can't happen: strings and numbers can always be encoded
		panic(err)
	}
	return raw
}

// Write sends the error as the response. The time to retry is sent in the headers Retry-After, in
// seconds rounded up, and Retry-After-Ms.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.Marshal())
}

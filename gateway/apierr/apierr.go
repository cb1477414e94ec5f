// Package apierr defines the one form in which callers get errors: a JSON body with
// code, message, field, whether the request ran, and when to come back.
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

// Code names an error for programs. Codes are part of the API and never change.
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

// Values of Ran. NotRun is said only when it is certain.
const (
	NotRun  Ran = "not_run"
	Unknown Ran = "unknown"
	DidRun  Ran = "ran"
)

// Error is an error as callers see it.
type Error struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field names the part of the request that is wrong, where one is.
	Field string `json:"field,omitempty"`
	Ran   Ran    `json:"ran"`
	// RetryAfter is when asking again may help; 0 when it will not.
	RetryAfter time.Duration `json:"-"`
	// ValidTokens is how many tokens of a broken-off answer are correct.
	ValidTokens *int `json:"valid_tokens,omitempty"`
}

// Error returns the text for logs.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// WithField returns the error naming a field.
func (e *Error) WithField(f string) *Error { e.Field = f; return e }

// WithRetry returns the error with the time to come back.
func (e *Error) WithRetry(d time.Duration) *Error { e.RetryAfter = d; return e }

// WithRan returns the error with another word on whether the request ran.
func (e *Error) WithRan(r Ran) *Error { e.Ran = r; return e }

var statusOf = map[Code]int{
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

// New returns an error that says the request did not run.
func New(c Code, format string, args ...any) *Error {
	return &Error{Status: statusOf[c], Code: c, Message: fmt.Sprintf(format, args...), Ran: NotRun}
}

// From returns err as an Error; anything else becomes an internal error whose outcome
// is unknown.
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

// Detail is an error with its time to come back in seconds.
type Detail struct {
	*Error
	// Type repeats the code, for clients of the completions protocol.
	Type              string  `json:"type"`
	RetryAfterSeconds float64 `json:"retry_after_s,omitempty"`
}

// Marshal returns the JSON body.
func (e *Error) Marshal() []byte {
	raw, err := json.Marshal(Body{&Detail{e, string(e.Code), e.RetryAfter.Seconds()}})
	if err != nil { // only strings and numbers
		panic(err)
	}
	return raw
}

// Write sends the error as the response.
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

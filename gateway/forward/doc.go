// Package forward proxies requests to endpoints and passes their answers back byte for byte.
//
// Each request passes through these steps: accept.go finds the route and checks the key against a
// recent enough configuration and reads the body within its limits; then plain.go gets one answer
// from one endpoint, or session.go relays a stream of events and moves it to another engine when
// its engine is lost. Packages core/routing, core/generation and core/limits decide which endpoint
// to use, how long silence lasts before an engine counts as lost, and what may be retried. This
// package moves the bytes and reports the outcomes.
//
// Guarantees to callers: status 503 means that the request has not run and will not run, and
// Retry-After, where present, says when to try again. Statuses 502 and 504 guarantee nothing. An
// incomplete answer ends with a closed connection and never looks complete.
//
// Failure modes: while no configuration is known, or none is known to be in force, requests are
// refused with 503. An endpoint that refuses a request, is lost, or answers a different request is
// avoided. The request then goes to another endpoint if its route allows that and the shared retry
// budget has room.
package forward

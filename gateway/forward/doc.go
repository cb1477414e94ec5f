// Package forward carries requests to endpoints and their answers back, byte for byte.
//
// A request passes these filters, one file each: accept (which route, whose key, from knowledge
// fresh enough), body (read within its limits), then plain (one answer from one endpoint) or session
// (a stream of events that goes on elsewhere when its engine is lost). Which endpoint, when silence
// counts as death and what may be sent again is decided in core/routing, core/generation and
// core/limits; this package moves bytes and reports what happened.
//
// What a caller can rely on: 503 means that the request has not run and won't, and says when to come
// back; 502 and 504 promise nothing; an answer that is not whole ends with a closed connection and
// never looks complete.
//
// Failure modes: no configuration yet, or none known to be in force, is refused with 503. An endpoint
// that refuses, is lost or answers another request is left out, and the request goes on elsewhere
// where its route allows that and the shared retry budget has room.
package forward

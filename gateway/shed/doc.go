// Package shed applies the bounds of package core/shedding to the servers of a process. A [Guard] wraps a listener,
// follows the states of its connections, and accounts for the heads and bodies of requests and for answers that
// their callers have not taken.
//
// Failure modes:
//   - No room for a connection: it is closed before anything is read of it.
//   - No room for a head or a body: the request is refused with status 503 and has not been passed on.
//   - A connection that is shed is closed at once, without an answer. It is idle, its request has not arrived
//     completely, or its caller has taken nothing of the answer for some time.
//
// A guard that is disabled, and a request whose connection has no guard, have no bounds.
package shed

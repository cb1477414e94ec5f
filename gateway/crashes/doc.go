// Package crashes keeps what one instance knows of requests that crash the endpoints that run them.
// It exchanges that with the other instances and keeps the stops in the platform's store. Package
// core/crashers makes the decisions.
//
// An [Attributor] decides whether a lost request is to be recorded as the cause of a crash. A
// [Registry] holds the records, and tells the others of each change within a few tens of
// milliseconds (package exchange).
//
// A stop is written to the store once, by the instance that decided it. If the others don't hear of
// that write in time, one of them writes the stop. An instance that starts asks others for the
// stopped requests. If none of them knows, as after a restart of the whole fleet, one instance
// reads the store and tells the rest.
//
// Failure modes: while the store does not answer, a stop lasts as long as any instance does, and is
// written once the store is back. An instance that has not heard of a stop yet sends the request to
// further endpoints, one at a time.
package crashes

// Package crashes keeps which requests end the endpoints that run them, tells the other instances, and keeps the stops
// in the platform's store. The decisions are those of core/crashers.
//
// News goes to all others within a few hundredths of a second (package exchange). A stop is written to the store once: by the
// instance at which it was decided, or by another one when that is not heard of in time. An instance that starts asks
// others for what is stopped; where none knows, as after the loss of all, one of them reads the store and tells the rest.
//
// Failure modes: while the store does not answer, stops last as long as any instance does, and are written when it is back. An
// instance that has not heard of a stop yet sends the request on, to one more endpoint at a time.
package crashes

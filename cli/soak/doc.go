// Package soak runs the real daemon as separate processes against stand-ins of the platform. It injects
// random faults from outside the processes and checks what callers and endpoints see. A seed determines the
// faults.
//
// It checks these guarantees: a stream has every event once, and all of one request; an answer is whole and
// belongs to its request, or is visibly broken; a request that is not idempotent runs once at most; a request
// that was refused as not run has not run and does not run later; a revoked key is not served beyond its time
// bound; each request ends within its timeout; no stream is broken off whose endpoint was only paused, and no
// request runs at two endpoints at once for long; when the faults are over, everything is served again.
//
// Faults of connections: a proxy on the loopback address delays, resets or drops them, in one direction or
// both. Faults of processes: they are paused, killed, stopped, restarted, or told to reload their settings.
// Faults of the store: it is down, silent or slow, forgets its history, or loses answers. Faults of endpoints:
// they refuse, fail, lose answers, break off, crash, leave, or are paused together. Keys, routes and builds change
// as well. Faults follow each other quickly and overlap. Seeds from 9000 add load beyond the capacity of a service, and
// check how it is shared.
//
// The operating system decides the order of events between processes. A seed therefore repeats the faults and
// the load, but not each interleaving. The package ends only processes that it started, by their ids.
package soak

// Package soak runs the real daemon as separate processes before stand-ins, injects faults from outside
// them, at random from a seed, and checks while it runs what callers and endpoints see.
//
// Promises checked: a stream has every event once, of one request; an answer is whole and belongs to its
// request, or is visibly broken; a request that must not be repeated runs once at the most; one that was
// refused as not run has not run and does not run later; a key that was taken away is not served beyond its
// bound; each request ends within its time; when the faults are over, all is served again.
//
// Faults: connections that are delayed, reset, silenced or cut one way by a proxy on the loopback address;
// processes that are paused, killed, stopped, told to read their settings, and started again; a store that is
// down, silent or slow, forgets its history or loses answers; endpoints that refuse, fail, lose answers,
// break off, crash and leave; keys that come and go. They come in series and overlap.
//
// The order of events between processes is the machine's, so a seed repeats the faults and the load, not
// each interleaving. Only processes that it started are ended, by their ids.
package soak

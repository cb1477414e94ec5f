// Package listing decides which endpoints of the platform's list count while the list can't be
// trusted.
//
// Endpoints keep themselves in the list by heartbeats, so entries of live ones lapse while the store
// is away. They are back within a bound after its return; one that is still missing then is gone. [List]
// keeps what is missing for that long after an outage, and drops it at once at other times, since an
// endpoint that left must get no new work.
//
// Times are given by the caller, from a clock that also runs while the machine is suspended. The package
// does no I/O. A List is not safe for concurrent use.
package listing

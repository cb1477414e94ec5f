// Package listing decides which endpoints of the platform's list are used while the list can't be
// trusted.
//
// Endpoints stay in the list by heartbeats, so entries of live endpoints expire while the store is
// unreachable. They come back within a bounded time after its return; an endpoint that is still
// missing then is gone. [List] keeps missing entries for that time after an outage. At other times it
// drops them at once, since an endpoint that left must get no new requests.
//
// A list of thousands changes with every endpoint that starts or leaves. So [List.Changes] returns
// what has changed, at a cost in proportion to that.
//
// Times are given by the caller, from a clock that also runs while the machine is suspended. The
// package does no I/O. A List is not safe for concurrent use.
package listing

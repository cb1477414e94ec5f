// Package limits decides how much of the fleet one team may use, and one group
// of endpoints carry, who waits, and who is told at once to come back later.
//
//   - [Team] bounds one team's rate and concurrency. A limit belongs to the whole
//     fleet; an instance allows what the others are not known to use, and never less
//     than an equal share. What the others use comes with heartbeats, so an excess
//     lasts no longer than a heartbeat takes.
//   - [Queue] admits work to a group of endpoints in the order of the contracts:
//     recoveries, then urgent, then long, then background. Work that could not be
//     admitted within its contract is refused on arrival, with the time to come back.
//   - [Budget] bounds retries to a share of the requests, so that a failing fleet is
//     not buried in repetitions.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package limits

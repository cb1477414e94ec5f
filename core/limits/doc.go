// Package limits decides how much of the fleet each team may use, how much work a group of
// endpoints takes, which requests wait, and which are refused at once with a time to retry.
//
//   - [Team] bounds the rate and concurrency of a team. A limit applies to the whole fleet: an
//     instance allows what the other instances are not known to use, and never less than an equal
//     share. The others' usage arrives with heartbeats, so an excess lasts no longer than a
//     heartbeat takes.
//   - [Queue] admits work to a group of endpoints in the order of [Class]: recoveries first, then
//     urgent, long and background work. A request that is not expected to be admitted in time is
//     refused on arrival, with a time to retry.
//   - [WaitQueue] orders the requests that wait at one instance for capacity of a service, and
//     refuses those that are not expected to get it in time.
//   - [StreamTimes] estimates the shortest time in which a stream can be served.
//   - [RetryBudget] and [RetryWindow] bound retries to a share of the requests, so that retries do
//     not overload a failing fleet: the first for one instance, the second for all instances
//     together. [RetryGroup] says with which of them an instance shares that bound.
//   - [MaxConnections] divides the connections of an endpoint among the instances.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package limits

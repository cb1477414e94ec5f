// Package ticket lets a non-idempotent call run at most once although instances die,
// pause and wake, lists lag and the platform is down.
//
// A ticket belongs to one incarnation of one instance, the one that minted it. Only
// that incarnation may ever run a call under it, and it keeps what became of it until
// the ticket has expired. So no lease, no clock agreement and no call to the platform
// is needed: an owner that was paused can on waking run only what nobody else could.
//
// # Contract
//
//   - [Table.Begin] returns [Run] at most once for a ticket.
//   - Once [NotRun] was returned for a ticket, [Run] never is: a tombstone is written first.
//   - An outcome is kept until the ticket expires. When the table is full, a new call is
//     refused as not run; nothing is forgotten early.
//   - After expiry the table no longer knows; it answers [Expired], and the caller has
//     to be told that the outcome is unknown.
//
// Times are the owner's own monotonic clock. The package does no I/O. A Table is not
// safe for concurrent use.
package ticket

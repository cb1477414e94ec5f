// Package ticket lets a non-idempotent call run at most once, even when instances crash, pause and
// resume, when member lists are out of date, and when the platform is unreachable.
//
// A ticket belongs to the process of one instance that minted it. Only that process may ever run a
// call under the ticket, and it keeps the outcome until the ticket has expired. So no lease, no
// agreement of clocks and no call to the platform is needed: an owner that resumes after a pause can
// only run calls that no other process was able to run.
//
// # Contract
//
//   - [Table.Begin] returns [Run] at most once for a ticket.
//   - Once [NotRun] was returned for a ticket, [Run] never is: a tombstone is written first.
//   - An outcome is kept until the ticket expires. When the table is full, a new call is refused as
//     not run; nothing is dropped early.
//   - After expiry the table no longer knows the outcome and answers [Expired]. The caller has to be
//     told that the outcome is unknown.
//
// Times are those of the owner's own monotonic clock. The package does no I/O. A Table is not safe
// for concurrent use.
package ticket

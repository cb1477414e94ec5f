// Package directory remembers which generations run and where, so that a caller that
// kept nothing but its idempotency key finds the running stream again at any instance.
//
// For each key the live instances that rank highest by rendezvous hash ([Rank]) hold an
// entry each: soft state in memory. Losing an entry costs extra work, never correctness:
// engines fence by attempt number, and a generation that begins again is checked against
// nothing the caller kept.
//
// # Contract
//
//   - [Directory.Register] grants a key to one request at a time; the same key with
//     another request is told so.
//   - Each [Directory.TakeOver] returns a higher attempt number, so of two re-asks at
//     once one is fenced by the other.
//   - A running entry whose owner is gone and that nobody takes over within the grace is
//     returned by [Directory.Expire], so that its stream is cancelled.
//
// Memory is bounded; beyond it new entries are not kept. The package does no I/O and
// reads no clock. A Directory is not safe for concurrent use.
package directory

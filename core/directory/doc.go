// Package directory records which generations run and where, so that a caller that kept only its
// idempotency key finds the running stream again through any instance.
//
// For each key, the live instances that rank highest by rendezvous hash ([Rank]) hold an entry in
// memory. Losing an entry costs extra work and never correctness: engines fence by attempt number, and
// a generation that starts again has no delivered tokens to be consistent with, because the caller
// kept none.
//
// # Contract
//
//   - [Directory.Register] grants a key to one request at a time. Another request with the same key
//     gets [Mismatch].
//   - Each [Directory.TakeOver] returns a higher attempt number, so that of two concurrent takeovers
//     the engine fences off the earlier one.
//   - [Directory.Expire] returns a running entry whose owner is gone and that was not taken over
//     within OrphanGrace, so that its stream is cancelled.
//
// Memory is bounded; when the directory is full, new entries are not kept. The package does no I/O
// and reads no clock. A Directory is not safe for concurrent use.
package directory

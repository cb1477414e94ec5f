// Package generation decides how one generation survives the loss of its
// engine.
//
// A generation is one accepted request. Each engine stream that serves it is
// an attempt, numbered upwards. [Machine] holds the journal of accepted tokens,
// the current attempt, at most one contender that may replace it, and the
// deadline. It does no I/O, starts no goroutine and reads no clock: the caller
// reports what happened together with the time, and carries out the actions
// that [Machine.Ready] returns.
//
// # Contract
//
// Invariants, whatever the order of events:
//
//   - Indices that reach the caller are contiguous from the first index asked for.
//   - Every relayed token extends one lineage: a token is accepted only from the
//     current attempt, which either began at index 0 or was acknowledged by its
//     engine with the index and rolling hash of the journal.
//   - An attempt that was replaced is fenced: nothing of it is accepted again.
//   - The machine ends exactly once, with [Finish] or [Fail].
//
// Failure modes of the caller: events that arrive late, twice or out of order
// are dropped and counted in [Stats]. Calls are not safe for concurrent use.
package generation

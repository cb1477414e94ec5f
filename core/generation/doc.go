// Package generation decides how a generation survives the loss of its engine.
//
// A generation is one accepted request. Each engine stream that serves it is an attempt; attempts
// are numbered in ascending order. [Machine] holds the journal of accepted tokens, the current
// attempt, at most one contender that may replace it, and the deadline. It does no I/O, starts no
// goroutine and reads no clock: its caller reports events together with the time, and carries out
// the actions that [Machine.Ready] returns.
//
// # Contract
//
// Invariants, whatever the order of events:
//
//   - Token indices that reach the caller are contiguous from the first index asked for.
//   - Every relayed token extends one lineage. Tokens are accepted only from the current attempt,
//     which either began at index 0 or was acknowledged by its engine with the index and rolling
//     hash of the journal. With [Config.Unverified] the acknowledgement is not checked.
//   - A replaced attempt is fenced: nothing of it is accepted any more.
//   - The machine ends exactly once, with [Finish] or [Fail].
//
// Events that arrive late, twice or out of order are dropped; late and repeated tokens and index
// gaps are counted in [Stats]. Methods must not be called concurrently.
package generation

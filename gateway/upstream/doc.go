// Package upstream is the connection layer to endpoints. It sends HTTP/1.1 requests, each exactly
// once.
//
// The package never repeats a request. An error says whether any byte of the request may have been
// sent: none for [ErrNotSent], some for [ErrLost], so the request may have run.
//
// A connection is reused only after an answer that ended at its stated length or last chunk, and
// only if nothing has arrived on it since. Unexpected bytes, an end of file or a reset discard the
// connection. A late answer to an earlier request is recognised by a check of the caller and
// skipped.
//
// The head of an answer, the informational answers before it and the answers that are skipped are bounded
// in bytes; an endpoint that sends more is lost, as if it had closed the connection. Bodies are read by the
// caller, who bounds what it keeps.
//
// Failure modes: an open connection can go silent for good; only the caller's deadline ends the
// wait then. The connections to an endpoint are bounded ([ErrBusy]), since endpoints reset
// connections beyond their own bound.
package upstream

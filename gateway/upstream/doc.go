// Package upstream is the connection layer to endpoints: HTTP/1.1 requests, each sent exactly once.
//
// A request is never repeated here, whatever happens; an error says whether a byte of it may have
// left ([ErrNotSent]: none did, [ErrLost]: some may have, so it may have run). A connection is used
// again only after an answer that ended where it said it would, and only if nothing has arrived on it
// since: bytes that nobody asked for, an end or a reset throw it away. An answer to an earlier request
// that comes late is recognised by the caller's check and skipped.
//
// Failure modes: an open connection can go silent for good; only the caller's deadline ends the wait.
// Connections per endpoint are bounded ([ErrBusy]), since endpoints reset what goes beyond their own
// bound.
package upstream

// Package limitread bounds what is read of an answer whose sender may never stop sending.
//
// A [Reader] allows a number of bytes until it is given another one, so that the head of an answer, which
// libraries read whole, has a bound of its own. [All] reads a short answer whole. Both fail with [ErrTooLong]
// in place of a silent end, so that an answer that was cut is never taken for a complete one.
package limitread

import (
	"errors"
	"io"
)

// Bounds on answers, in bytes.
const (
	// MaxHead bounds the head of an answer, with the informational answers before it.
	MaxHead = 32 << 10
	// MaxSkipped bounds the body of an answer that belongs to another request and is skipped.
	MaxSkipped = 256 << 10
	// MaxEvent bounds an event of a stream. Some hundred streams of a service may have one in memory.
	MaxEvent = 32 << 10
	// MaxReport bounds an answer in which an engine describes itself, MaxStatus one with its cache events.
	MaxReport = 64 << 10
	MaxStatus = 1 << 20
	// MaxStoreAnswer bounds an answer of the store. A page has 1 MB and the rest of its last object.
	MaxStoreAnswer = 8 << 20
	// MaxPeerMessage bounds a message between instances. The largest hold pages of the store.
	MaxPeerMessage = 2 * MaxStoreAnswer
)

// ErrTooLong says that a sender sent more than it may.
var ErrTooLong = errors.New("the sender sends more than the bound allows")

// Unlimited is the bound of a [Reader] that passes on everything.
const Unlimited = -1

// Reader reads from R, and fails once the bytes that it may read are used up. It is not safe for concurrent
// use.
type Reader struct {
	R    io.Reader
	left int64
}

// NewReader returns a reader without a bound.
func NewReader(r io.Reader) *Reader { return &Reader{R: r, left: Unlimited} }

// Allow lets the reader read n more bytes, or any number if n is [Unlimited].
func (r *Reader) Allow(n int64) { r.left = n }

// Read implements [io.Reader].
func (r *Reader) Read(b []byte) (int, error) {
	if r.left == Unlimited {
		return r.R.Read(b)
	}
	if r.left == 0 {
		return 0, ErrTooLong
	}
	n, err := r.R.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	return n, err
}

// All reads r to its end. It fails with [ErrTooLong] if there are more than maxBytes.
func All(r io.Reader, maxBytes int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err == nil && int64(len(raw)) > maxBytes {
		return nil, ErrTooLong
	}
	return raw, err
}

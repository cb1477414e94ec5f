package shed

import (
	"bytes"
	"context"
	"io"

	"github.com/agateway/agateway/core/shedding"
)

// Sizes of the pieces in which a body is read. The first ones are small, since a caller may announce a body and
// send nothing.
const (
	minPiece = 16 << 10
	maxPiece = 64 << 10
)

// Body is a body in memory, in pieces. The zero value is empty.
type Body struct {
	pieces [][]byte
	length int64
}

// NewBody returns a body that consists of b.
func NewBody(b []byte) Body { return Body{pieces: [][]byte{b}, length: int64(len(b))} }

// Len returns the number of bytes.
func (b *Body) Len() int64 { return b.length }

// Pieces returns the bytes in order. They must not be changed.
func (b *Body) Pieces() [][]byte { return b.pieces }

// Reader returns a reader of the body from its beginning.
func (b *Body) Reader() io.Reader {
	if len(b.pieces) == 1 {
		return bytes.NewReader(b.pieces[0])
	}
	readers := make([]io.Reader, len(b.pieces))
	for i, p := range b.pieces {
		readers[i] = bytes.NewReader(p)
	}
	return io.MultiReader(readers...)
}

// Bytes returns the body as one slice, which must not be changed.
func (b *Body) Bytes() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	return bytes.Join(b.pieces, nil)
}

// ReadBody reads r to its end, or maxBytes of it. length is the length that the caller stated, -1 for none. It
// returns what was read and whether that is the whole body, and [ErrNoRoom] if there is no room for more; other errors
// are those of r. The memory is accounted for until the request has ended.
func ReadBody(ctx context.Context, r io.Reader, length, maxBytes int64) (b Body, whole bool, err error) {
	c := connOf(ctx)
	if c != nil && c.isHTTP2 {
		c = nil // its bodies are counted as they are read
	}
	if c != nil {
		c.ownBody.Store(true)
	}
	for size := int64(minPiece); b.length < maxBytes; size = min(2*size, maxPiece) {
		piece := pieceSize(size, length, maxBytes, b.length)
		if c != nil && !c.guard.reserve(c, shedding.Body, piece) {
			return b, false, errNoRoom
		}
		whole, err = b.readPiece(r, piece)
		if whole && Shed(ctx) {
			return b, false, errNoRoom // its end arrived too late: the answer would not be delivered
		}
		if whole || err != nil {
			return b, whole, err
		}
	}
	return b, false, nil
}

// pieceSize returns the size of the next piece, after read bytes.
func pieceSize(size, length, maxBytes, read int64) int64 {
	if length > read {
		size = min(size, length-read)
	}
	return min(size, maxBytes-read)
}

// readPiece reads up to size bytes. It reports whether r has ended.
func (b *Body) readPiece(r io.Reader, size int64) (ended bool, err error) {
	piece := make([]byte, size)
	n := 0
	for n < len(piece) && err == nil {
		var more int
		more, err = r.Read(piece[n:])
		n += more
	}
	if n > 0 {
		b.pieces = append(b.pieces, piece[:n:n])
		b.length += int64(n)
	}
	if err == io.EOF {
		return true, nil
	}
	return false, err
}

package crashers

import (
	"crypto/sha256"
	"encoding/binary"
)

// ContentHash identifies what a request asks for. It is the first half of a SHA-256, so that nobody
// can construct two requests that share one.
type ContentHash [16]byte

// HashContent returns the hash of all parts of a request. Each part is preceded by its length, so
// that no two lists of parts hash the same bytes.
func HashContent(parts ...[]byte) ContentHash {
	last := len(parts) - 1
	return HashContentInPieces(parts[last:], parts[:last]...)
}

// HashContentInPieces is [HashContent] with one more part at the end, which is given in pieces.
func HashContentInPieces(pieces [][]byte, parts ...[]byte) (c ContentHash) {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	length := 0
	for _, piece := range pieces {
		length += len(piece)
	}
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(length)))
	for _, piece := range pieces {
		_, _ = h.Write(piece)
	}
	copy(c[:], h.Sum(nil))
	return c
}

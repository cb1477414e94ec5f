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
func HashContent(parts ...[]byte) (c ContentHash) {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	copy(c[:], h.Sum(nil))
	return c
}

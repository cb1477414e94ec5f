package generation

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ExtendHash returns the rolling hash of a token sequence after one more token. The hash of the
// empty sequence is 0. Gateway and engine both compute it, so that each can check that the other
// refers to the same sequence.
func ExtendHash(hash uint64, text []byte) uint64 {
	var d xxhash.Digest
	var seed [8]byte
	d.Reset()
	binary.LittleEndian.PutUint64(seed[:], hash)
	_, _ = d.Write(seed[:])
	_, _ = d.Write(text)
	sum := d.Sum64()
	if sum == 0 { // 0 is reserved for the empty sequence
		return 1
	}
	return sum
}

// HashTokens returns the rolling hash of a token sequence.
func HashTokens(tokens []string) uint64 {
	var h uint64
	for _, t := range tokens {
		h = ExtendHash(h, []byte(t))
	}
	return h
}

// Journal is the sequence of accepted tokens. One buffer holds the text of all tokens, so that each
// token costs only its bytes and one offset.
type Journal struct {
	text       []byte
	endOffsets []uint32
	hash       uint64
}

// Len returns the number of tokens, which is also the next index.
func (j *Journal) Len() int { return len(j.endOffsets) }

// Hash returns the rolling hash of all tokens.
func (j *Journal) Hash() uint64 { return j.hash }

// Token returns token i. The slice is valid until the next token is appended.
func (j *Journal) Token(i int) []byte {
	var from uint32
	if i > 0 {
		from = j.endOffsets[i-1]
	}
	return j.text[from:j.endOffsets[i]]
}

// Tokens returns a copy of all tokens as strings, to be sent as a forced prefix.
func (j *Journal) Tokens() []string {
	out := make([]string, j.Len())
	for i := range out {
		out[i] = string(j.Token(i))
	}
	return out
}

// Text returns the concatenated text of all tokens.
func (j *Journal) Text() string { return string(j.text) }

// Bytes returns the allocated memory, in bytes.
func (j *Journal) Bytes() int { return cap(j.text) + 4*cap(j.endOffsets) }

func (j *Journal) append(text []byte) {
	j.text = append(j.text, text...)
	j.endOffsets = append(j.endOffsets, uint32(len(j.text)))
	j.hash = ExtendHash(j.hash, text)
}

func (j *Journal) reset() {
	j.text, j.endOffsets, j.hash = j.text[:0], j.endOffsets[:0], 0
}

package generation

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Extend returns the rolling hash of a token sequence after one more token.
// The hash of the empty sequence is 0. Both gateway and engine compute it, so
// that each can tell whether the other speaks of the same sequence.
func Extend(hash uint64, text []byte) uint64 {
	var d xxhash.Digest
	var seed [8]byte
	d.Reset()
	binary.LittleEndian.PutUint64(seed[:], hash)
	_, _ = d.Write(seed[:])
	_, _ = d.Write(text)
	sum := d.Sum64()
	if sum == 0 { // 0 is kept for the empty sequence
		return 1
	}
	return sum
}

// HashOf returns the rolling hash of a token sequence.
func HashOf(tokens []string) uint64 {
	var h uint64
	for _, t := range tokens {
		h = Extend(h, []byte(t))
	}
	return h
}

// Journal is the sequence of tokens accepted so far, kept as one buffer so that
// a token costs its bytes and one offset.
type Journal struct {
	text []byte
	ends []uint32
	hash uint64
}

// Len returns the number of tokens, which is also the next index.
func (j *Journal) Len() int { return len(j.ends) }

// Hash returns the rolling hash of all tokens.
func (j *Journal) Hash() uint64 { return j.hash }

// Token returns token i. The slice is valid until the next append.
func (j *Journal) Token(i int) []byte {
	var from uint32
	if i > 0 {
		from = j.ends[i-1]
	}
	return j.text[from:j.ends[i]]
}

// Tokens returns a copy of all tokens as strings, to be sent as a forced prefix.
func (j *Journal) Tokens() []string {
	out := make([]string, j.Len())
	for i := range out {
		out[i] = string(j.Token(i))
	}
	return out
}

// Text returns the concatenated text.
func (j *Journal) Text() string { return string(j.text) }

// Bytes returns the memory held, in bytes.
func (j *Journal) Bytes() int { return cap(j.text) + 4*cap(j.ends) }

func (j *Journal) append(text []byte) {
	j.text = append(j.text, text...)
	j.ends = append(j.ends, uint32(len(j.text)))
	j.hash = Extend(j.hash, text)
}

func (j *Journal) reset() {
	j.text, j.ends, j.hash = j.text[:0], j.ends[:0], 0
}

// Package cursor encodes the position that a caller has reached in a generation, so that any
// instance can continue the generation when the one that served it is gone. A cursor is an opaque,
// signed text; the system stores nothing for it.
//
// A cursor is "<head>.<tail>". The head names team, deployment, generation, attempt, endpoint and
// stream, and is the same for all tokens of an attempt. The tail holds the index, the rolling hash
// and the signature over both parts, so a further token costs one HMAC and no allocation. The
// package does no I/O.
package cursor

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash"
	"strings"
)

// Errors of [Decode].
var (
	// ErrMalformed means that the text is not a cursor.
	ErrMalformed = errors.New("cursor: malformed")
	// ErrSignature means that the text was not signed with the key, or was changed.
	ErrSignature = errors.New("cursor: bad signature")
)

// Head is the part of a cursor that is the same for all tokens of an attempt.
type Head struct {
	Team       string `json:"t"`
	Deployment string `json:"d"`
	Generation string `json:"g"`
	// Model and Version are what the generation runs on; no other model or version may continue it.
	Model   string `json:"m"`
	Version string `json:"v"`
	// Request is the hash of the request's body.
	Request  uint64 `json:"r"`
	Attempt  int    `json:"a"`
	Endpoint string `json:"e"`
	Stream   string `json:"s"`
}

// Cursor is a position in a generation: the caller holds Index tokens, whose rolling hash is Hash.
type Cursor struct {
	Head
	Index int
	Hash  uint64
}

const (
	macLen  = 16
	tailLen = 4 + 8 + macLen
)

// domain separates these signatures from others made with the same key.
var domain = []byte("agateway cursor\x00")

var encoding = base64.RawURLEncoding

// Encoder writes the cursors of one attempt. It is not safe for concurrent use.
type Encoder struct {
	mac       hash.Hash
	head      []byte
	macBuffer [sha256.Size]byte
	tail      [tailLen]byte
}

// NewEncoder returns an encoder that signs with key.
func NewEncoder(key []byte, h Head) *Encoder {
	e := &Encoder{mac: hmac.New(sha256.New, key)}
	e.SetHead(h)
	return e
}

// SetHead changes the head when another attempt continues the generation.
func (e *Encoder) SetHead(h Head) {
	raw, err := json.Marshal(h)
	if err != nil { // a struct of strings and numbers always encodes
		panic(err)
	}
	e.head = append(encoding.AppendEncode(e.head[:0], raw), '.')
}

// Append appends the cursor for an index and a rolling hash to dst.
func (e *Encoder) Append(dst []byte, index int, rollingHash uint64) []byte {
	binary.LittleEndian.PutUint32(e.tail[:4], uint32(index))
	binary.LittleEndian.PutUint64(e.tail[4:12], rollingHash)
	e.mac.Reset()
	_, _ = e.mac.Write(domain)
	_, _ = e.mac.Write(e.head)
	_, _ = e.mac.Write(e.tail[:12])
	copy(e.tail[12:], e.mac.Sum(e.macBuffer[:0])[:macLen])
	dst = append(dst, e.head...)
	return encoding.AppendEncode(dst, e.tail[:])
}

// Decode verifies the signature of a cursor and returns the cursor. The error is [ErrMalformed] or
// [ErrSignature].
func Decode(key []byte, text string) (Cursor, error) {
	dot := strings.IndexByte(text, '.')
	if dot < 0 {
		return Cursor{}, ErrMalformed
	}
	tail, err := encoding.DecodeString(text[dot+1:])
	if err != nil || len(tail) != tailLen {
		return Cursor{}, ErrMalformed
	}
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(domain)
	_, _ = mac.Write([]byte(text[:dot+1]))
	_, _ = mac.Write(tail[:12])
	if !hmac.Equal(mac.Sum(nil)[:macLen], tail[12:]) {
		return Cursor{}, ErrSignature
	}
	return decodeSigned(text[:dot], tail)
}

// decodeSigned decodes a head and a tail whose signature was verified.
func decodeSigned(head string, tail []byte) (Cursor, error) {
	raw, err := encoding.DecodeString(head)
	if err != nil {
		return Cursor{}, ErrMalformed
	}
	var c Cursor
	if err := json.Unmarshal(raw, &c.Head); err != nil {
		return Cursor{}, ErrMalformed
	}
	c.Index = int(binary.LittleEndian.Uint32(tail[:4]))
	c.Hash = binary.LittleEndian.Uint64(tail[4:12])
	return c, nil
}

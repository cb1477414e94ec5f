package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"time"
)

// Token is the signed content of a ticket. It says which process may run a call under the ticket,
// and every instance can verify it.
type Token struct {
	Team string `json:"t"`
	// Instance is the name of the owner, Peer its address for other instances.
	Instance string `json:"i"`
	Peer     string `json:"p"`
	Process  uint64 `json:"n"`
	ID       ID     `json:"d"`
	// Expires is on the owner's clock: the time since the owner's process started.
	Expires time.Duration `json:"e"`
}

// Errors of [Decode].
var (
	// ErrMalformed means that the text is not a ticket.
	ErrMalformed = errors.New("ticket: malformed")
	// ErrSignature means that the text was not signed with the key, or was changed.
	ErrSignature = errors.New("ticket: bad signature")
)

const macLen = 16

// domain separates these signatures from others made with the same key.
const domain = "agateway ticket\x00"

var encoding = base64.RawURLEncoding

// sign returns the truncated HMAC of text.
func sign(key []byte, text string) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(domain + text))
	return mac.Sum(nil)[:macLen]
}

// Encode returns the text of the token, signed with key.
func (t Token) Encode(key []byte) string {
	raw, err := json.Marshal(t)
	if err != nil { // a struct of strings and numbers always encodes
		panic(err)
	}
	text := encoding.EncodeToString(raw)
	return text + "." + encoding.EncodeToString(sign(key, text))
}

// Decode verifies the signature of a token and returns the token. The error is [ErrMalformed] or
// [ErrSignature].
func Decode(key []byte, text string) (Token, error) {
	head, tail, ok := strings.Cut(text, ".")
	if !ok {
		return Token{}, ErrMalformed
	}
	mac, err := encoding.DecodeString(tail)
	if err != nil {
		return Token{}, ErrMalformed
	}
	if !hmac.Equal(mac, sign(key, head)) {
		return Token{}, ErrSignature
	}
	raw, err := encoding.DecodeString(head)
	if err != nil {
		return Token{}, ErrMalformed
	}
	var t Token
	if err := json.Unmarshal(raw, &t); err != nil {
		return Token{}, ErrMalformed
	}
	return t, nil
}

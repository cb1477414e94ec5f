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

// Token is what a ticket's text says: which process may run a call under it. It is
// signed, so that every instance can trust it.
type Token struct {
	Team string `json:"t"`
	// Instance and Peer name the owner and its address for other instances.
	Instance string `json:"i"`
	Peer     string `json:"p"`
	Process  uint64 `json:"n"`
	ID       ID     `json:"d"`
	// Expires is on the owner's clock: the time since its process started.
	Expires time.Duration `json:"e"`
}

// Errors of [Decode].
var (
	// ErrMalformed: the text is no ticket.
	ErrMalformed = errors.New("ticket: malformed")
	// ErrSignature: the signature is not ours, or something was changed.
	ErrSignature = errors.New("ticket: bad signature")
)

const macLen = 16

// domain keeps these signatures apart from others made with the same key.
const domain = "agateway ticket\x00"

var encoding = base64.RawURLEncoding

func sign(key []byte, text string) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(domain + text))
	return mac.Sum(nil)[:macLen]
}

// Encode returns the token's text.
func (t Token) Encode(key []byte) string {
	raw, err := json.Marshal(t)
	if err != nil { // strings and numbers always encode
		panic(err)
	}
	text := encoding.EncodeToString(raw)
	return text + "." + encoding.EncodeToString(sign(key, text))
}

// Decode checks a token's signature and returns it.
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

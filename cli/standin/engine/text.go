package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/endpoint"
)

// Token returns the token that follows a sequence with the rolling hash h, for a request
// whose hash is request. salt is 0 for engines that all give the same text; another value
// stands for sampling that differs from engine to engine and from try to try. Either way
// a token shows which sequence it was made for, so that a mixture is noticed.
func Token(request, h, salt uint64) string {
	n := xxhash.Sum64String(strconv.FormatUint(request^h, 16) + "/" + strconv.FormatUint(salt, 36))
	return " " + strconv.FormatUint(salt, 36) + "." + strconv.FormatUint(n%46656, 36)
}

// RequestHash returns what a request's text depends on.
func RequestHash(r *endpoint.StartRequest) uint64 {
	return xxhash.Sum64String(strings.Join([]string{r.Model, r.Version, r.Adapter, r.Prompt, strconv.FormatInt(r.Seed, 10)}, "\x00"))
}

// Answer returns the one right answer of engines without salt.
func Answer(r *endpoint.StartRequest) string {
	var b strings.Builder
	var h uint64
	request := RequestHash(r)
	for range r.MaxTokens {
		t := Token(request, h, 0)
		b.WriteString(t)
		h = generation.ExtendHash(h, []byte(t))
	}
	return b.String()
}

// Lineage tells whether text is one whole sequence of n tokens, each made for exactly
// the tokens before it, whatever the salts.
func Lineage(r *endpoint.StartRequest, text string, n int) bool {
	var h uint64
	request := RequestHash(r)
	words := strings.Split(strings.TrimPrefix(text, " "), " ")
	if len(words) != n {
		return false
	}
	for _, w := range words {
		head, _, _ := strings.Cut(w, ".")
		salt, err := strconv.ParseUint(head, 36, 64)
		if err != nil || Token(request, h, salt) != " "+w {
			return false
		}
		h = generation.ExtendHash(h, []byte(" "+w))
	}
	return true
}

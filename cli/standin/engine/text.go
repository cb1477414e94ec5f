package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/endpoint"
)

// Token returns the token that follows a sequence with this rolling hash, for a request with this
// hash. salt is 0 for deterministic engines, which all give the same text. Other values simulate
// sampling that differs between engines and between attempts. The token contains its salt and
// depends on the whole sequence before it, so that a check finds tokens of different sequences in
// one answer.
func Token(requestHash, rollingHash, salt uint64) string {
	n := xxhash.Sum64String(strconv.FormatUint(requestHash^rollingHash, 16) + "/" + strconv.FormatUint(salt, 36))
	return " " + strconv.FormatUint(salt, 36) + "." + strconv.FormatUint(n%46656, 36)
}

// RequestHash returns the hash of the fields that determine a request's text.
func RequestHash(r *endpoint.StartRequest) uint64 {
	return xxhash.Sum64String(strings.Join([]string{r.Model, r.Version, r.Adapter, r.Prompt, strconv.FormatInt(r.Seed, 10)}, "\x00"))
}

// ExpectedText returns the only correct answer of engines without salt.
func ExpectedText(r *endpoint.StartRequest) string {
	var b strings.Builder
	var rollingHash uint64
	requestHash := RequestHash(r)
	for range r.MaxTokens {
		t := Token(requestHash, rollingHash, 0)
		b.WriteString(t)
		rollingHash = generation.ExtendHash(rollingHash, []byte(t))
	}
	return b.String()
}

// ConsistentText reports whether text is one sequence of exactly this many tokens, each generated
// after exactly the tokens before it. Any salts are accepted.
func ConsistentText(r *endpoint.StartRequest, text string, tokens int) bool {
	var rollingHash uint64
	requestHash := RequestHash(r)
	words := strings.Split(strings.TrimPrefix(text, " "), " ")
	if len(words) != tokens {
		return false
	}
	for _, w := range words {
		saltText, _, _ := strings.Cut(w, ".")
		salt, err := strconv.ParseUint(saltText, 36, 64)
		if err != nil || Token(requestHash, rollingHash, salt) != " "+w {
			return false
		}
		rollingHash = generation.ExtendHash(rollingHash, []byte(" "+w))
	}
	return true
}

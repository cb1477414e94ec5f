// Package endpoint is the client of endpoints: model engines and plain services. A stream of an
// engine can be resumed, continued from a forced prefix, probed and cancelled. Engines also report
// their status and take orders.
//
// Failures become this package's errors, which say whether work may have run: after [ErrRefused]
// it certainly did not, after [ErrBroken] it may have. Streams, and calls that must not be
// repeated, use a connection of their own. A pooled connection may have stopped responding
// unnoticed, which would leave the outcome unknown. Probes always use a new connection.
package endpoint

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("endpoint")
	// ErrRefused means that the endpoint took no work, or could not be reached.
	ErrRefused = namespace.NewType("refused", errorx.Temporary())
	// ErrGone means that nothing listens at the endpoint's address, although its machine answers.
	ErrGone = ErrRefused.NewSubtype("gone")
	// ErrBroken means that the connection ended; work may have run.
	ErrBroken = namespace.NewType("broken", errorx.Temporary())
	// ErrMismatch means that the engine can't continue the given sequence of tokens.
	ErrMismatch = namespace.NewType("mismatch")
	// ErrFenced means that the engine has seen a higher attempt or fencing number.
	ErrFenced = namespace.NewType("fenced")
	// ErrInvalid means that the engine rejected the request as invalid.
	ErrInvalid = namespace.NewType("invalid")
	// ErrWrongRequest means that the answer belongs to another request.
	ErrWrongRequest = namespace.NewType("crossed")

	retryAfter = errorx.RegisterProperty("retry_after")
)

// HexHash is a rolling hash, encoded in JSON as a hexadecimal string, since many JSON decoders
// can't represent 64-bit numbers exactly.
type HexHash uint64

// MarshalText implements encoding.TextMarshaler.
func (h HexHash) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(h), 16), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *HexHash) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*h = HexHash(n)
	return err
}

// StartRequest is a request to an engine for a new stream.
type StartRequest struct {
	Generation string `json:"generation"`
	// Attempt is the number of the caller's attempt. It serves as the fencing number of the
	// stream.
	Attempt     int      `json:"attempt"`
	Model       string   `json:"model"`
	Version     string   `json:"version,omitempty"`
	Adapter     string   `json:"adapter,omitempty"`
	Prompt      string   `json:"prompt"`
	MaxTokens   int      `json:"max_tokens"`
	Seed        int64    `json:"seed"`
	Temperature float64  `json:"temperature"`
	TopP        float64  `json:"top_p,omitempty"`
	Stop        []string `json:"stop,omitempty"`
	// Priority orders queued requests, lowest first.
	Priority int `json:"priority"`
	// Prefix holds the tokens generated so far, which the engine has to continue.
	Prefix []string `json:"prefix,omitempty"`
}

// Ack is the first event of a stream. It says which stream the engine serves, from which token
// index, and the rolling hash of the tokens before that index.
type Ack struct {
	Generation string  `json:"generation"`
	Attempt    int     `json:"attempt"`
	Stream     string  `json:"stream"`
	Index      int     `json:"index"`
	Hash       HexHash `json:"hash"`
	// Version is the version of the model that serves the stream.
	Version string `json:"version"`
	// Cached is the number of tokens of prompt and prefix that were in the engine's cache.
	Cached int `json:"cached"`
}

// End is the last event of a stream.
type End struct {
	Reason string  `json:"finish_reason"`
	Total  int     `json:"total"`
	Hash   HexHash `json:"hash"`
}

// StreamState is an engine's answer to a probe.
type StreamState struct {
	Index   int  `json:"index"`
	Running bool `json:"running"`
	Done    bool `json:"done"`
}

// LoadedModel is a model that an engine has loaded.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// CacheEvent is a change of an engine's prefix cache: a prefix was stored or, if Evicted is set,
// removed. Sequence numbers are consecutive until the engine restarts.
type CacheEvent struct {
	Sequence uint64  `json:"seq"`
	Prefix   HexHash `json:"prefix"`
	Evicted  bool    `json:"evicted,omitempty"`
}

// Status is the state that an endpoint reports of itself.
type Status struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// AgeMS is the age of the load figures, in milliseconds.
	AgeMS   int64         `json:"age_ms"`
	Leaving bool          `json:"leaving,omitempty"`
	Models  []LoadedModel `json:"models,omitempty"`
	// Role is the engine's role, such as prefill or decode. It is empty if the engine has none.
	Role string `json:"role,omitempty"`
	// Boot is an id that changes when the endpoint restarts.
	Boot   string       `json:"boot"`
	Events []CacheEvent `json:"events,omitempty"`
	// Order is the fencing number of the last order that the endpoint accepted.
	Order uint64 `json:"order,omitempty"`
}

// Order tells an engine which models to load.
type Order struct {
	Fence uint64 `json:"fence"`
	// Version is the configuration version that the order is derived from.
	Version uint64        `json:"version"`
	Models  []LoadedModel `json:"models"`
	// Role is the role that the engine takes on; empty leaves it unchanged.
	Role string `json:"role,omitempty"`
}

// prefixBlockBytes is the size of the blocks of a prompt, in bytes. Prefixes are cached in whole
// blocks.
const prefixBlockBytes = 256

// BytesPerToken is the number of prompt bytes that estimates count as one token.
const BytesPerToken = 4

// PrefixHashes returns the hashes of the prompt's prefixes in whole blocks, shortest first, and at
// most 64 of them. The model is part of each hash. Engines identify prefixes by these hashes in
// cache events.
func PrefixHashes(model, prompt string) []uint64 {
	n := min(len(prompt)/prefixBlockBytes, maxPrefixes)
	out := make([]uint64, 0, n)
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for i := range n {
		_, _ = d.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		out = append(out, d.Sum64())
	}
	return out
}

// maxPrefixes bounds the number of hashed prefixes of one prompt.
const maxPrefixes = 64

// PromptTokens estimates the length of a prompt in tokens, rounded up.
func PromptTokens(prompt string) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// Package endpoint speaks with back ends: model engines (streams that can be resumed,
// continued from a forced prefix, probed and cancelled; status; orders) and plain
// services.
//
// Failure modes are turned into this layer's errors, which say whether work may have
// run: [ErrRefused] certainly not, [ErrBroken] maybe. Streams and calls that may not be
// repeated use a connection of their own, since a pooled one may have gone silent and
// leave the outcome in doubt; probes always use a new one.
package endpoint

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

// Errors of this layer.
var (
	namespace = errorx.NewNamespace("endpoint")
	// ErrRefused: the endpoint took no work, or could not be reached.
	ErrRefused = namespace.NewType("refused", errorx.Temporary())
	// ErrGone: nothing listens at the endpoint's address, though its machine answers.
	ErrGone = ErrRefused.NewSubtype("gone")
	// ErrBroken: the connection ended; work may have run.
	ErrBroken = namespace.NewType("broken", errorx.Temporary())
	// ErrMismatch: the engine can't continue the given sequence.
	ErrMismatch = namespace.NewType("mismatch")
	// ErrFenced: the engine has seen a higher attempt or fencing number.
	ErrFenced = namespace.NewType("fenced")
	// ErrInvalid: the engine says that the request is wrong.
	ErrInvalid = namespace.NewType("invalid")
	// ErrCrossed: the answer belongs to another request.
	ErrCrossed = namespace.NewType("crossed")

	retryAfter = errorx.RegisterProperty("retry_after")
)

// HashHex is a rolling hash in JSON: 64 bits do not fit a JSON number everywhere.
type HashHex uint64

// MarshalText implements encoding.TextMarshaler.
func (h HashHex) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(h), 16), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *HashHex) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*h = HashHex(n)
	return err
}

// StartRequest asks an engine for a stream.
type StartRequest struct {
	Generation string `json:"generation"`
	// Attempt is the fencing number of the caller's attempt.
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
	// Priority orders waiting work, lowest first.
	Priority int `json:"priority"`
	// Prefix is the answer so far, which the engine has to continue.
	Prefix []string `json:"prefix,omitempty"`
}

// Ack is an engine's first event: which stream it serves, from which index, and the
// rolling hash up to there.
type Ack struct {
	Generation string  `json:"generation"`
	Attempt    int     `json:"attempt"`
	Stream     string  `json:"stream"`
	Index      int     `json:"index"`
	Hash       HashHex `json:"hash"`
	// Version is the version of the model that serves the stream.
	Version string `json:"version"`
	// Cached is how many tokens of prompt and prefix were in the engine's cache.
	Cached int `json:"cached"`
}

// End is an engine's last event.
type End struct {
	Reason string  `json:"finish_reason"`
	Total  int     `json:"total"`
	Hash   HashHex `json:"hash"`
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

// CacheEvent is news of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64  `json:"seq"`
	Prefix   HashHex `json:"prefix"`
	Evicted  bool    `json:"evicted,omitempty"`
}

// Status is an endpoint's own report.
type Status struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// AgeMS is how old the load figures are, in milliseconds.
	AgeMS   int64         `json:"age_ms"`
	Leaving bool          `json:"leaving,omitempty"`
	Models  []LoadedModel `json:"models,omitempty"`
	// Role is the engine's, such as prefill or decode; empty where it has none.
	Role string `json:"role,omitempty"`
	// Boot changes when the endpoint restarts.
	Boot   string       `json:"boot"`
	Events []CacheEvent `json:"events,omitempty"`
	// Order is the fencing number of the last order taken.
	Order uint64 `json:"order,omitempty"`
}

// Order asks an engine to have models loaded.
type Order struct {
	Fence uint64 `json:"fence"`
	// Version is the configuration version that the order follows from.
	Version uint64        `json:"version"`
	Models  []LoadedModel `json:"models"`
	// Role to take; empty leaves it.
	Role string `json:"role,omitempty"`
}

// prefixBlock is the size of a prompt block whose prefix is cached, in bytes.
const prefixBlock = 256

// BytesPerToken is the prompt bytes taken as one token in estimates.
const BytesPerToken = 4

// PrefixHashes returns the hashes of the prompt's prefixes in whole blocks, shortest
// first. Engines name them in cache events.
func PrefixHashes(model, prompt string) []uint64 {
	n := min(len(prompt)/prefixBlock, maxPrefixes)
	out := make([]uint64, 0, n)
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for i := range n {
		_, _ = d.WriteString(prompt[i*prefixBlock : (i+1)*prefixBlock])
		out = append(out, d.Sum64())
	}
	return out
}

// maxPrefixes bounds the prefixes of one prompt.
const maxPrefixes = 64

// PromptTokens estimates the length of a prompt in tokens.
func PromptTokens(prompt string) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

package pipeline

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/agateway/agateway/gateway/apierr"
)

// GenerationRequest is a request for a generation. Completions and chat both have this form.
type GenerationRequest struct {
	// Model is the name of the deployment, and Adapter the part of the requested model after a
	// colon.
	Model, Adapter string
	Prompt         string
	MaxTokens      int
	Seed           *int64
	Temperature    float64
	TopP           float64
	Stop           []string
	Stream         bool
	IncludeUsage   bool

	// Prefix holds the tokens that a caller with a cursor already has. The caller may omit them.
	Prefix []string

	hash uint64 // the digest, which identifies the request in cursors and in the directory
}

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 17
	maxStopSequences = 4
)

// completionsBody is the JSON body of a request in the completions protocol.
type completionsBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Seed                *int64          `json:"seed"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Stop                json.RawMessage `json:"stop"`
	Stream              bool            `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N              *int            `json:"n"`
	BestOf         *int            `json:"best_of"`
	Echo           bool            `json:"echo"`
	Suffix         *string         `json:"suffix"`
	Logprobs       json.RawMessage `json:"logprobs"`
	Tools          []any           `json:"tools"`
	Prefix         []string        `json:"agateway_prefix"`
	ResponseFormat *struct {
		Type string `json:"type"`
	} `json:"response_format"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func invalidField(field, format string, args ...any) error {
	return apierr.New(apierr.InvalidRequest, format, args...).WithField(field)
}

// parseGeneration parses and validates the body of a request. Its errors name the field that is
// invalid.
func parseGeneration(form Form, body []byte) (*GenerationRequest, error) {
	var b completionsBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, bodyError(err)
	}
	if err := b.checkSupported(); err != nil {
		return nil, err
	}
	g := &GenerationRequest{Seed: b.Seed, Temperature: 1, TopP: 1, Stream: b.Stream, MaxTokens: defaultMaxTokens, Prefix: b.Prefix}
	g.Model, g.Adapter, _ = strings.Cut(b.Model, ":")
	if g.Model == "" {
		return nil, invalidField("model", "is required")
	}
	g.IncludeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	var err error
	if form == Chat {
		g.Prompt, err = renderMessages(b.Messages)
	} else {
		g.Prompt, err = parsePrompt(b.Prompt)
	}
	if err != nil {
		return nil, err
	}
	if err := b.parseSampling(g); err != nil {
		return nil, err
	}
	g.hash = g.digest(form)
	return g, nil
}

// digest hashes what the answer depends on. Requests with equal digests are taken for the same
// request.
func (g *GenerationRequest) digest(form Form) uint64 {
	normalized := *g
	normalized.Prefix = nil
	return xxhash.Sum64(normalized.encoded(form))
}

// encoded returns bytes that are equal only for equal requests. Their hashes are compared between
// instances and with stored data, so the names and the order of the fields must not change.
func (g *GenerationRequest) encoded(form Form) []byte {
	raw, err := json.Marshal(struct {
		Form Form
		GenerationRequest
	}{form, *g})
	if err != nil { // can't happen: strings and numbers can always be encoded
		panic(err)
	}
	return raw
}

// bodyError converts a JSON error to an error for the caller.
func bodyError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalidField(wrongType.Field, "has the wrong type (%s)", wrongType.Value)
	}
	return invalidField("body", "is no JSON object")
}

// checkSupported returns an error for options that would change the answer and are not implemented.
func (b *completionsBody) checkSupported() error {
	switch {
	case b.N != nil && *b.N != 1:
		return invalidField("n", "only one answer per request")
	case b.BestOf != nil && *b.BestOf != 1:
		return invalidField("best_of", "is not supported")
	case b.Echo:
		return invalidField("echo", "is not supported")
	case b.Suffix != nil && *b.Suffix != "":
		return invalidField("suffix", "is not supported")
	case len(b.Logprobs) > 0 && string(b.Logprobs) != "null" && string(b.Logprobs) != "false":
		return invalidField("logprobs", "is not supported")
	case len(b.Tools) > 0:
		return invalidField("tools", "is not supported")
	case b.ResponseFormat != nil && b.ResponseFormat.Type != "text":
		return invalidField("response_format", "only text is supported")
	}
	return nil
}

// parseSampling validates the options of sampling and sets them in g.
func (b *completionsBody) parseSampling(g *GenerationRequest) error {
	for field, n := range map[string]*int{"max_tokens": b.MaxTokens, "max_completion_tokens": b.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > maxTokensLimit {
			return invalidField(field, "must be between 1 and %d", maxTokensLimit)
		}
		g.MaxTokens = *n
	}
	if b.Temperature != nil {
		if g.Temperature = *b.Temperature; !(g.Temperature >= 0 && g.Temperature <= 2) {
			return invalidField("temperature", "must be between 0 and 2")
		}
	}
	if b.TopP != nil {
		if g.TopP = *b.TopP; !(g.TopP > 0 && g.TopP <= 1) {
			return invalidField("top_p", "must be above 0 and at most 1")
		}
	}
	return b.parseStop(g)
}

// parseStop sets the stop sequences in g: none, a single string or a list.
func (b *completionsBody) parseStop(g *GenerationRequest) error {
	if len(b.Stop) == 0 || string(b.Stop) == "null" {
		return nil
	}
	var one string
	if json.Unmarshal(b.Stop, &one) == nil {
		g.Stop = []string{one}
		return nil
	}
	if err := json.Unmarshal(b.Stop, &g.Stop); err != nil || len(g.Stop) > maxStopSequences {
		return invalidField("stop", "a string, or up to %d strings", maxStopSequences)
	}
	return nil
}

// parsePrompt returns the prompt: a string, or a list of one string.
func parsePrompt(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && len(raw) > 0 {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", invalidField("prompt", "one string is required")
}

// renderMessages renders a conversation as one prompt. Every instance renders it in the same way,
// so that engines always get the same text for it.
func renderMessages(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", invalidField("messages", "at least one message is required")
	}
	var b strings.Builder
	for i, m := range messages {
		text, err := messageText(m.Content)
		if err != nil {
			return "", invalidField(fmt.Sprintf("messages[%d].content", i), "text is required")
		}
		if m.Role == "" {
			return "", invalidField(fmt.Sprintf("messages[%d].role", i), "is required")
		}
		fmt.Fprintf(&b, "<|%s|>\n%s\n", m.Role, text)
	}
	b.WriteString("<|assistant|>\n")
	return b.String(), nil
}

// messageText returns the content of a message, which is a string or a list of text parts.
func messageText(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errors.New("not text")
		}
		text += p.Text
	}
	return text, nil
}

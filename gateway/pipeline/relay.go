package pipeline

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/endpoint"
)

// relay sends the answer to the caller.
type relay struct{ *Deps }

func (*relay) Name() string { return "relay" }

func (r *relay) Serve(ctx context.Context, x *Exchange) error {
	if x.Form == Plain {
		return r.relayPlain(x)
	}
	return r.relayGeneration(ctx, x)
}

// relayGeneration waits until the generation ends or the caller is gone. It sends keepalives while
// the stream is idle.
func (r *relay) relayGeneration(ctx context.Context, x *Exchange) error {
	s := x.session
	tick := time.NewTicker(r.Settings.Callers.Keepalive)
	defer tick.Stop()
	for {
		select {
		case <-s.ended:
			return s.writeAnswer()
		case now := <-tick.C:
			s.keepalive(now, r.Settings.Callers.Keepalive)
		case <-x.writeFailed():
			return r.callerGone(x)
		case <-ctx.Done():
			return r.callerGone(x)
		}
	}
}

// keepalive sends a comment if the stream has been idle for the given time.
func (s *session) keepalive(now time.Time, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.x.events; e != nil && !s.machine.Ended() {
		e.keepalive(now, after)
	}
}

// callerGone handles a caller that disconnected or stopped reading. A caller that asked for a
// stream or sent an idempotency key can come back, here or at another instance, so its stream keeps
// running for the configured grace. After that it is cancelled, which the engine ignores if a
// higher attempt has taken the stream over.
func (r *relay) callerGone(x *Exchange) error {
	s := x.session
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.machine.CancelContender()
	for _, a := range s.machine.Ready() {
		s.perform(a)
	}
	grace := r.Settings.Callers.Grace
	if !x.Generation.Stream && x.IdempotencyKey == "" {
		grace = 0
	}
	s.keepEntry = grace > 0
	number, stream := s.machine.Attempt()
	for n, at := range s.attempts {
		at.cancelled = true
		if n != number || stream.ID == "" {
			continue
		}
		time.AfterFunc(grace, func() { r.Backends.Cancel(stream.Endpoint, stream.ID, number) })
	}
	return apierr.New(apierr.DeadlineExceeded, "the caller went away").WithRan(apierr.Unknown)
}

// apiCodes maps the codes of package generation to those of callers.
var apiCodes = map[generation.Code]apierr.Code{
	generation.CodeDeadline: apierr.DeadlineExceeded, generation.CodeNoEndpoint: apierr.Unavailable,
	generation.CodeSuperseded: apierr.Superseded, generation.CodeCannotContinue: apierr.CannotContinue,
	generation.CodeInvalid: apierr.InvalidRequest, generation.CodeAttemptsExhausted: apierr.Unavailable,
	generation.CodeCanceled: apierr.DeadlineExceeded, generation.CodeStopped: apierr.Unavailable,
}

// writeAnswer sends the rest of the answer after the generation has ended, or returns its failure.
func (s *session) writeAnswer() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail != nil {
		return s.apiError()
	}
	tokens, prompt := s.machine.Journal().Len(), endpoint.PromptTokens(s.x.Generation.Prompt)
	if e := s.x.events; e != nil {
		e.writeEnd(time.Now(), s.finish.Reason, tokens, prompt)
		return nil
	}
	return writeFullResponse(s.x, s.machine.Journal().Text(), s.finish.Reason, tokens, prompt)
}

// apiError converts the failure of the generation to an error for the caller.
func (s *session) apiError() error {
	f := s.fail
	e := apierr.New(apiCodes[f.Code], "%s", f.Detail).WithRetryAfter(f.RetryAfter)
	if f.MayHaveRun {
		e.Ran = apierr.DidRun
	}
	if s.x.Generation.Stream {
		e.ValidTokens = &f.ValidTokens
	}
	return e
}

// fullResponse is the JSON body of an answer that is not streamed.
type fullResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []fullChoice `json:"choices"`
	Usage   usage        `json:"usage"`
}

type fullChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *fullMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type fullMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// writeFullResponse sends an answer that is not streamed. tokens and prompt are the numbers of
// tokens of the answer and of the prompt.
func writeFullResponse(x *Exchange, text, reason string, tokens, prompt int) error {
	a := fullResponse{
		ID: answerID(x), Object: "text_completion", Created: x.Received.Unix(), Model: modelName(x),
		Choices: []fullChoice{{FinishReason: reason, Text: &text}},
		Usage:   usage{Prompt: prompt, Completion: tokens, Total: prompt + tokens},
	}
	if x.Form == Chat {
		a.Object = "chat.completion"
		a.Choices = []fullChoice{{FinishReason: reason, Message: &fullMessage{Role: "assistant", Content: text}}}
	}
	x.responseStarted = true
	x.W.Header().Set("Content-Type", "application/json")
	x.W.Header().Set(HeaderRan, string(apierr.DidRun))
	return json.NewEncoder(x.W).Encode(a)
}

// relayPlain copies the answer of a plain service to the caller.
func (r *relay) relayPlain(x *Exchange) error {
	p := x.response
	h := x.W.Header()
	if p.contentType != "" {
		h.Set("Content-Type", p.contentType)
	}
	h.Set(HeaderRan, string(apierr.DidRun))
	x.responseStarted = true
	x.W.WriteHeader(p.status)
	if p.stream == nil {
		_, err := x.W.Write(p.body)
		return err
	}
	if _, err := io.Copy(x.W, p.stream); err != nil {
		x.truncated = true
		return apierr.New(apierr.EndpointError, "the endpoint's answer broke off").WithRan(apierr.DidRun)
	}
	return nil
}

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

// relay brings the answer to the caller.
type relay struct{ *Deps }

func (*relay) Name() string { return "relay" }

func (r *relay) Serve(ctx context.Context, x *Exchange) error {
	if x.Form == Plain {
		return r.plain(x)
	}
	return r.generation(ctx, x)
}

// generation waits for the end, keeping an idle stream alive.
func (r *relay) generation(ctx context.Context, x *Exchange) error {
	s := x.session
	tick := time.NewTicker(r.Settings.Callers.Keepalive)
	defer tick.Stop()
	for {
		select {
		case <-s.ended:
			return s.answer()
		case now := <-tick.C:
			s.keepalive(now, r.Settings.Callers.Keepalive)
		case <-x.unread():
			return r.callerGone(x)
		case <-ctx.Done():
			return r.callerGone(x)
		}
	}
}

func (s *session) keepalive(now time.Time, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.x.events; e != nil && !s.machine.Ended() {
		e.idle(now, after)
	}
}

// callerGone leaves the stream running for a while when the caller is able to come back
// for it, here or at another instance; then it is cancelled, unless a higher attempt has
// taken it over by then.
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
	if !x.Generation.Stream && x.Key == "" {
		grace = 0
	}
	s.keepEntry = grace > 0
	number, stream := s.machine.Attempt()
	for n, at := range s.attempts {
		at.dropped = true
		if n != number || stream.ID == "" {
			continue
		}
		time.AfterFunc(grace, func() { r.Backends.Cancel(stream.Endpoint, stream.ID, number) })
	}
	return apierr.New(apierr.DeadlineExceeded, "the caller went away").WithRan(apierr.Unknown)
}

// failCodes turns the machine's codes into those of callers.
var failCodes = map[generation.Code]apierr.Code{
	generation.CodeDeadline: apierr.DeadlineExceeded, generation.CodeNoEndpoint: apierr.Unavailable,
	generation.CodeSuperseded: apierr.Superseded, generation.CodeCannotContinue: apierr.CannotContinue,
	generation.CodeInvalid: apierr.InvalidRequest, generation.CodeAttemptsExhausted: apierr.Unavailable,
	generation.CodeCanceled: apierr.DeadlineExceeded, generation.CodeStopped: apierr.Unavailable,
}

// answer sends what is left to send when the generation has ended.
func (s *session) answer() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail != nil {
		return s.failure()
	}
	tokens, prompt := s.machine.Journal().Len(), endpoint.PromptTokens(s.x.Generation.Prompt)
	if e := s.x.events; e != nil {
		e.end(time.Now(), s.finish.Reason, tokens, prompt)
		return nil
	}
	return writeWhole(s.x, s.machine.Journal().Text(), s.finish.Reason, tokens, prompt)
}

func (s *session) failure() error {
	f := s.fail
	e := apierr.New(failCodes[f.Code], "%s", f.Detail).WithRetry(f.RetryAfter)
	if f.MayHaveRun {
		e.Ran = apierr.DidRun
	}
	if s.x.Generation.Stream {
		e.ValidTokens = &f.ValidTokens
	}
	return e
}

// whole is an answer that is sent at once.
type whole struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   usage         `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Message      *wholeMessage `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func writeWhole(x *Exchange, text, reason string, tokens, prompt int) error {
	a := whole{
		ID: answerID(x), Object: "text_completion", Created: x.Received.Unix(), Model: modelName(x),
		Choices: []wholeChoice{{FinishReason: reason, Text: &text}},
		Usage:   usage{Prompt: prompt, Completion: tokens, Total: prompt + tokens},
	}
	if x.Form == Chat {
		a.Object = "chat.completion"
		a.Choices = []wholeChoice{{FinishReason: reason, Message: &wholeMessage{Role: "assistant", Content: text}}}
	}
	x.answered = true
	x.W.Header().Set("Content-Type", "application/json")
	x.W.Header().Set(HeaderRan, string(apierr.DidRun))
	return json.NewEncoder(x.W).Encode(a)
}

// plain copies a plain service's answer.
func (r *relay) plain(x *Exchange) error {
	p := x.response
	h := x.W.Header()
	if p.contentType != "" {
		h.Set("Content-Type", p.contentType)
	}
	h.Set(HeaderRan, string(apierr.DidRun))
	x.answered = true
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

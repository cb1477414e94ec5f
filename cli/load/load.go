// Package load holds what the demo and the load tool share: prompts, the check of every
// answer, the measure of resume latency, and the count of work done by the engines.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/standin/engine"
	"github.com/agateway/agateway/gateway/endpoint"
)

// Prompt returns prompt i, of about n tokens. Prompts share no prefix.
func Prompt(i, n int) string {
	return (fmt.Sprintf("case %d: ", i) + strings.Repeat(fmt.Sprintf("%03d ", i%1000), n))[:n*endpoint.BytesPerToken]
}

// PromptTokens returns the length of such a prompt in tokens.
func PromptTokens(n int) int { return n }

// StartRequest returns what an engine is asked for a deployment's request.
func StartRequest(d *operatorv1.Deployment, prompt string, tokens int, seed int64) *endpoint.StartRequest {
	return &endpoint.StartRequest{Model: d.GetModel(), Version: d.GetVersion(), Prompt: prompt, MaxTokens: tokens, Seed: seed}
}

// Faults are the times at which faults were brought about.
type Faults struct {
	mu sync.Mutex
	at []time.Time
}

// Add notes a fault.
func (f *Faults) Add(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at = append(f.at, t)
}

// noticeable is the gap between tokens from which a fault is taken to have hit an answer.
const noticeable = 100 * time.Millisecond

// between returns the time from a fault to the next token, where a fault lies in a gap.
func (f *Faults) between(before, after time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.at {
		if !t.Before(before) && t.Before(after) {
			return after.Sub(t), true
		}
	}
	return 0, false
}

// Tally counts the outcomes. It is safe for concurrent use.
type Tally struct {
	mu                                          sync.Mutex
	Complete, Refused, Wrong, Missing, Repeated int
	// Lost counts requests that ended in neither an answer nor a refusal.
	Lost int
	// Resume is the time from a fault to the next token, in milliseconds, for the answers
	// that a fault held up.
	Resume *hdrhistogram.Histogram
	// FirstToken in milliseconds, where wanted.
	FirstToken *hdrhistogram.Histogram
	// Refusal is how long a refused request waited for its refusal, in milliseconds.
	Refusal  *hdrhistogram.Histogram
	Failures []string
}

const mostFailures = 20

func (t *Tally) note(format string, args ...any) {
	if len(t.Failures) < mostFailures {
		t.Failures = append(t.Failures, fmt.Sprintf(format, args...))
	}
}

// Generation checks a generation's outcome against the right answer.
func (t *Tally) Generation(a *caller.Answer, err error, want string, tokens int, faults *Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumes(a, faults)
	if err != nil {
		t.failed(a, err, want)
		return
	}
	if t.FirstToken != nil {
		_ = t.FirstToken.RecordValue(a.FirstToken.Milliseconds())
	}
	switch {
	case a.Text == want:
		t.Complete++
	case a.Tokens < tokens:
		t.Missing += tokens - a.Tokens
		t.note("%d tokens instead of %d", a.Tokens, tokens)
	case a.Tokens > tokens:
		t.Repeated += a.Tokens - tokens
		t.note("%d tokens instead of %d", a.Tokens, tokens)
	default:
		t.Wrong++
		t.note("another text")
	}
}

// failed checks that what a refused request did receive is right.
func (t *Tally) failed(a *caller.Answer, err error, want string) {
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		t.Lost++
		t.note("lost after %d tokens: %v", a.Tokens, err)
		return
	}
	t.Refused++
	t.note("refused after %d tokens: %v", a.Tokens, err)
	if !strings.HasPrefix(want, a.Text) {
		t.Wrong++
	}
}

func (t *Tally) resumes(a *caller.Answer, faults *Faults) {
	if a == nil || faults == nil || t.Resume == nil {
		return
	}
	for i := 1; i < len(a.TokenTimes); i++ {
		if a.TokenTimes[i].Sub(a.TokenTimes[i-1]) < noticeable {
			continue
		}
		if d, hit := faults.between(a.TokenTimes[i-1], a.TokenTimes[i]); hit {
			_ = t.Resume.RecordValue(max(d.Milliseconds(), 1))
		}
	}
}

// Call checks a plain call's outcome: want has to be in the answer.
func (t *Tally) Call(a *caller.PlainAnswer, err error, want string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var refusal *caller.Refusal
	switch {
	case errors.As(err, &refusal):
		t.Refused++
	case err != nil:
		t.Lost++
		t.note("call lost: %v", err)
	case !strings.Contains(string(a.Body), want):
		t.Wrong++
		t.note("call answered %q", a.Body)
	default:
		t.Complete++
	}
}

// Work sums up what the engines did, also those that die.
type Work struct {
	addresses []string
	mu        sync.Mutex
	last      map[string]engine.Stats
}

// NewWork returns a count over the engines at the addresses.
func NewWork(addresses []string) *Work {
	return &Work{addresses: addresses, last: map[string]engine.Stats{}}
}

const pollEvery = 50 * time.Millisecond

// Poll reads the engines' totals until ctx ends.
func (w *Work) Poll(ctx context.Context) {
	for ctx.Err() == nil {
		w.Read(ctx)
		time.Sleep(pollEvery)
	}
}

// Read reads the engines' totals once. An engine that does not answer keeps its last.
func (w *Work) Read(ctx context.Context) {
	for _, a := range w.addresses {
		var st engine.Stats
		if getJSON(ctx, "http://"+a+"/admin/stats", &st) == nil {
			w.mu.Lock()
			w.last[a] = st
			w.mu.Unlock()
		}
	}
}

// Total returns the tokens prefilled and generated.
func (w *Work) Total() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum int64
	for _, st := range w.last {
		sum += st.Generated + st.Prefilled
	}
	return sum
}

// Runs returns how often each call ran at a service stand-in.
func Runs(ctx context.Context, address string) (map[string]int, error) {
	var runs map[string]int
	err := getJSON(ctx, "http://"+address+"/admin/runs", &runs)
	return runs, err
}

var client = &http.Client{Timeout: 500 * time.Millisecond}

func getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

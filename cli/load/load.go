// Package load holds what the demo and the benchmark share. It makes prompts, checks every answer,
// measures resume latency, and sums up the work that the simulated engines did.
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
	"github.com/agateway/agateway/gateway/answerhead"
	"github.com/agateway/agateway/gateway/endpoint"
)

// Prompt returns prompt i, n tokens long. Prompts of different i share no cached prefix.
func Prompt(i, n int) string {
	return (fmt.Sprintf("case %d: ", i) + strings.Repeat(fmt.Sprintf("%03d ", i%1000), n))[:n*endpoint.BytesPerToken]
}

// PromptTokens returns the length of Prompt(i, n) in tokens.
func PromptTokens(n int) int { return n }

// StartRequest returns the request that an engine gets for a generation of a deployment, without its
// generation ID and attempt.
func StartRequest(d *operatorv1.Deployment, prompt string, tokens int, seed int64) *endpoint.StartRequest {
	return &endpoint.StartRequest{Model: d.GetModel(), Version: d.GetVersion(), Prompt: prompt, MaxTokens: tokens, Seed: seed}
}

// Faults are the times of injected faults. It is safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	times []time.Time
}

// Add records a fault at time t.
func (f *Faults) Add(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.times = append(f.times, t)
}

// minFaultGap is the shortest gap between two tokens that is attributed to a fault.
const minFaultGap = 100 * time.Millisecond

// resumeTime returns the time from a fault to the next token, for a gap between the tokens at
// before and after. It reports false if no fault was injected in the gap.
func (f *Faults) resumeTime(before, after time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.times {
		if !t.Before(before) && t.Before(after) {
			return after.Sub(t), true
		}
	}
	return 0, false
}

// Tally counts the outcomes of requests. Its methods are safe for concurrent use. MissingTokens and
// RepeatedTokens are in tokens, the other counts in requests.
type Tally struct {
	mu                                                      sync.Mutex
	Complete, Refused, Wrong, MissingTokens, RepeatedTokens int
	// Lost counts requests that ended in neither an answer nor a refusal.
	Lost int
	// Resume is the time from a fault to the next token, in milliseconds, for the answers that a
	// fault delayed; nil to measure none.
	Resume *hdrhistogram.Histogram
	// FirstToken is the time from the start of a request to its first token, in milliseconds; nil to
	// measure none.
	FirstToken *hdrhistogram.Histogram
	// Refusal is how long a refused request waited for its refusal, in milliseconds. The benchmark
	// records it.
	Refusal *hdrhistogram.Histogram
	// Failures describes the first maxFailures failures.
	Failures []string
}

const maxFailures = 20

func (t *Tally) addFailure(format string, args ...any) {
	if len(t.Failures) < maxFailures {
		t.Failures = append(t.Failures, fmt.Sprintf(format, args...))
	}
}

// RecordGeneration compares a generation's outcome with the expected text, want, and its length in
// tokens. faults may be nil.
func (t *Tally) RecordGeneration(a *caller.Answer, err error, want string, tokens int, faults *Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordResumes(a, faults)
	if err != nil {
		t.recordFailure(a, err, want)
		return
	}
	if t.FirstToken != nil {
		_ = t.FirstToken.RecordValue(a.FirstToken.Milliseconds())
	}
	switch {
	case a.Text == want:
		t.Complete++
	case a.Tokens < tokens:
		t.MissingTokens += tokens - a.Tokens
		t.addFailure("%d tokens instead of %d", a.Tokens, tokens)
	case a.Tokens > tokens:
		t.RepeatedTokens += a.Tokens - tokens
		t.addFailure("%d tokens instead of %d", a.Tokens, tokens)
	default:
		t.Wrong++
		t.addFailure("another text")
	}
}

// recordFailure counts a generation that failed, as wrong too if it was refused and what it had
// received is not a prefix of the expected text.
func (t *Tally) recordFailure(a *caller.Answer, err error, want string) {
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		t.Lost++
		t.addFailure("lost after %d tokens: %v", a.Tokens, err)
		return
	}
	t.Refused++
	t.addFailure("refused after %d tokens: %v", a.Tokens, err)
	if !strings.HasPrefix(want, a.Text) {
		t.Wrong++
	}
}

// recordResumes records the resume latency of each gap in which a fault was injected.
func (t *Tally) recordResumes(a *caller.Answer, faults *Faults) {
	if a == nil || faults == nil || t.Resume == nil {
		return
	}
	for i := 1; i < len(a.TokenTimes); i++ {
		if a.TokenTimes[i].Sub(a.TokenTimes[i-1]) < minFaultGap {
			continue
		}
		if d, hit := faults.resumeTime(a.TokenTimes[i-1], a.TokenTimes[i]); hit {
			_ = t.Resume.RecordValue(max(d.Milliseconds(), 1))
		}
	}
}

// RecordCall counts a plain call's outcome. The answer is complete if it contains want.
func (t *Tally) RecordCall(a *caller.PlainAnswer, err error, want string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var refusal *caller.Refusal
	switch {
	case errors.As(err, &refusal):
		t.Refused++
	case err != nil:
		t.Lost++
		t.addFailure("call lost: %v", err)
	case !strings.Contains(string(a.Body), want):
		t.Wrong++
		t.addFailure("call answered %q", a.Body)
	default:
		t.Complete++
	}
}

// EngineWork sums up the work of the engines. For an engine that died, the last totals read count.
type EngineWork struct {
	addresses []string
	mu        sync.Mutex
	lastStats map[string]engine.Stats
}

// NewEngineWork returns the work of the engines at the addresses. It reads nothing yet.
func NewEngineWork(addresses []string) *EngineWork {
	return &EngineWork{addresses: addresses, lastStats: map[string]engine.Stats{}}
}

const pollInterval = 50 * time.Millisecond

// Poll reads the engines' totals every pollInterval until ctx ends.
func (w *EngineWork) Poll(ctx context.Context) {
	for ctx.Err() == nil {
		w.Update(ctx)
		time.Sleep(pollInterval)
	}
}

// Update reads the engines' totals once. An engine that does not answer keeps its last totals.
func (w *EngineWork) Update(ctx context.Context) {
	for _, a := range w.addresses {
		var st engine.Stats
		if getJSON(ctx, "http://"+a+"/admin/stats", &st) == nil {
			w.mu.Lock()
			w.lastStats[a] = st
			w.mu.Unlock()
		}
	}
}

// Total returns the number of tokens that the engines prefilled and generated.
func (w *EngineWork) Total() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum int64
	for _, st := range w.lastStats {
		sum += st.Generated + st.Prefilled
	}
	return sum
}

// Runs returns how often each call ran at the simulated plain service at address, by "METHOD /path
// body".
func Runs(ctx context.Context, address string) (map[string]int, error) {
	var runs map[string]int
	err := getJSON(ctx, "http://"+address+"/admin/runs", &runs)
	return runs, err
}

var httpClient = &http.Client{Timeout: 500 * time.Millisecond, Transport: answerhead.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

func getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

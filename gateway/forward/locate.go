package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/platform"
)

// When a caller resumes a stream that no instance remembers, for example after all instances lost
// power, the engine that holds its prompt has to be found. Prefilling 8,000 tokens again takes a
// second of an engine's time; querying some engines takes some milliseconds of each. Instances
// place a prompt among the engines that rank highest for it, so only those are queried, however
// many there are: 90 instances that query 180 engines each would make 16,200 calls.
const (
	// locateTimeout bounds the search. Beyond it, prefilling again costs less.
	locateTimeout = 80 * time.Millisecond
	// heldPromptsTTL is how long an answer is reused. Callers reconnect at the same time, so one
	// query serves many of them.
	heldPromptsTTL = 700 * time.Millisecond
	// maxLocateEngines is how many engines are queried for a prompt: the six among which it was
	// placed, and two in case engines have come or gone since.
	maxLocateEngines = 8
	// minLocateTokens is the length of the shortest prompt that is searched for.
	minLocateTokens = 2000
)

// promptLocator remembers recent queries of engines. The zero value is ready to use. It is safe for
// concurrent use.
type promptLocator struct {
	mu      sync.Mutex
	queries map[string]*heldPromptsQuery
}

// heldPromptsQuery is a query of one engine for the prompts that it holds.
type heldPromptsQuery struct {
	at   time.Time
	done chan struct{}
}

// locatePrompt finds out which engines hold the prompt of a request, unless one is already known.
// It returns when the first such engine or all engines have answered, or after locateTimeout.
func (f *Forwarder) locatePrompt(ctx context.Context, req *request) {
	key := req.promptKey()
	if f.Settings.Disabled.Search || key == 0 || req.PromptTokens < minLocateTokens || f.Placement.HoldsPrompt(key) {
		return
	}
	engines := f.Placement.Likely(f.engineRequest(req), maxLocateEngines)
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	answers := make(chan struct{}, len(engines))
	for i := range engines {
		q := f.queryHeldPrompts(&engines[i])
		go func() {
			select {
			case <-q.done:
			case <-ctx.Done():
			}
			answers <- struct{}{}
		}()
	}
	found := false
	for i := 0; i < len(engines) && !found; i++ {
		<-answers
		found = f.Placement.HoldsPrompt(key)
	}
	elapsed := time.Since(startedAt)
	f.metrics.promptSearch.RecordDuration(elapsed)
	f.Log.Decision(req.ID, "prompt searched", logrus.Fields{"engines": len(engines), "found": found, "took_ms": elapsed.Milliseconds()})
}

// queryHeldPrompts asks an engine which prompts it holds, or returns the last query if it is
// recent.
func (f *Forwarder) queryHeldPrompts(e *routing.Endpoint) *heldPromptsQuery {
	f.locator.mu.Lock()
	defer f.locator.mu.Unlock()
	now := time.Now()
	if q := f.locator.queries[e.ID]; q != nil && now.Sub(q.at) < heldPromptsTTL {
		return q
	}
	if f.locator.queries == nil {
		f.locator.queries = map[string]*heldPromptsQuery{}
	}
	for id, q := range f.locator.queries {
		if now.Sub(q.at) >= heldPromptsTTL {
			delete(f.locator.queries, id)
		}
	}
	q := &heldPromptsQuery{at: now, done: make(chan struct{})}
	f.locator.queries[e.ID] = q
	go func() {
		defer close(q.done)
		// Other requests wait for the answer too, so it does not end with the request that asked
		// first.
		ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
		defer cancel()
		raw, err := f.callEngine(ctx, e, http.MethodGet, platform.HeldPromptsPath, nil)
		if err != nil {
			return // an engine that does not answer in time is no candidate
		}
		f.recordHeldPrompts(e.ID, raw)
	}()
	return q
}

func (f *Forwarder) recordHeldPrompts(id string, raw []byte) {
	prompts, err := platform.DecodeHeldPrompts(raw)
	if err != nil {
		f.Log.Refusal("", "malformed list of prompts", logrus.Fields{"endpoint": id, "error": err.Error()})
		return
	}
	for _, p := range prompts {
		if p.Tokens >= minLocateTokens {
			f.Placement.RecordCachedPrompt(id, p.ID)
		}
	}
}

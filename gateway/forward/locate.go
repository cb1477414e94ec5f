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

// Looking for the engine that has read a prompt, for a caller who goes on with a stream that no instance
// remembers, such as after all of them lost power. Reading 8,000 tokens again takes a second of an
// engine's time; asking some engines takes some milliseconds of each. Instances place a prompt among the engines that
// rank highest for it, so those are asked, however many there are: 90 instances that ask 180 engines each would make
// 16,200 calls.
const (
	// locateTimeout bounds the search: beyond it, reading again is the smaller loss.
	locateTimeout = 80 * time.Millisecond
	// locateKept is how long an answer is used: callers come back together, and one question serves many.
	locateKept = 700 * time.Millisecond
	// locateMost is how many engines are asked for a prompt: those among which it was placed, and two for engines that
	// have come or gone since.
	locateMost = 8
	// locateLeast is the prompt, in tokens, from which a search pays.
	locateLeast = 2000
)

// locator remembers which engines were asked of late. The zero value is ready; it is safe for concurrent use.
type locator struct {
	mu    sync.Mutex
	asked map[string]*question
}

// question is one engine's list of what it keeps, asked for at a time.
type question struct {
	at   time.Time
	done chan struct{}
}

// locate finds out which engines keep the prompt of a request, unless that is known. It returns as soon as one that does
// has answered.
func (f *Forwarder) locate(ctx context.Context, req *request) {
	key := req.promptKey()
	if f.Settings.Without.Search || key == 0 || req.PromptTokens < locateLeast || f.Placement.HoldsPrompt(key) {
		return
	}
	engines := f.Placement.Likely(f.engineRequest(req), locateMost)
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	answers := make(chan struct{}, len(engines))
	for i := range engines {
		q := f.question(&engines[i])
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
	took := time.Since(began)
	f.metrics.search.RecordDuration(took)
	f.Log.Decision(req.ID, "prompt looked for", logrus.Fields{"engines": len(engines), "found": found, "took_ms": took.Milliseconds()})
}

// question asks an engine which prompts it keeps, unless it was asked a short while ago.
func (f *Forwarder) question(e *routing.Endpoint) *question {
	f.locator.mu.Lock()
	defer f.locator.mu.Unlock()
	now := time.Now()
	if q := f.locator.asked[e.ID]; q != nil && now.Sub(q.at) < locateKept {
		return q
	}
	if f.locator.asked == nil {
		f.locator.asked = map[string]*question{}
	}
	for id, q := range f.locator.asked {
		if now.Sub(q.at) >= locateKept {
			delete(f.locator.asked, id)
		}
	}
	q := &question{at: now, done: make(chan struct{})}
	f.locator.asked[e.ID] = q
	go func() {
		defer close(q.done)
		// Others wait for the answer too, so it does not end with the request that asked first.
		ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
		defer cancel()
		raw, err := f.ask(ctx, e, http.MethodGet, platform.HeldPath, nil)
		if err != nil {
			return // one that does not answer in time is not worth going to
		}
		f.takeHeld(e.ID, raw)
	}()
	return q
}

func (f *Forwarder) takeHeld(id string, raw []byte) {
	parts, err := platform.DecodeHeld(raw)
	if err != nil {
		f.Log.Refusal("", "list of prompts can't be read", logrus.Fields{"endpoint": id, "error": err.Error()})
		return
	}
	for _, p := range parts {
		if p.Tokens >= locateLeast {
			f.Placement.RecordCachedPrompt(id, p.ID)
		}
	}
}

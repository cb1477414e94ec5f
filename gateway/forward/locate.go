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
// engine's time; asking two dozen engines takes some milliseconds of each.
const (
	// locateTimeout bounds the search: beyond it, reading again is the smaller loss.
	locateTimeout = 80 * time.Millisecond
	// locateKept is how long an answer is used: callers come back together, and one search serves all.
	locateKept = 700 * time.Millisecond
	// locateMost bounds the engines that are asked; with more of them, the search costs more than it
	// saves.
	locateMost = 150
	// locateLeast is the prompt, in tokens, from which a search pays.
	locateLeast = 2000
)

// locator makes searches one after the other. The zero value is ready.
type locator struct {
	mu sync.Mutex
	at map[string]time.Time // of the last search, by service
}

// locate finds out which engines keep the prompt of a request, unless that is known.
func (f *Forwarder) locate(ctx context.Context, req *request) {
	key := req.promptKey()
	if key == 0 || req.PromptTokens < locateLeast || f.Placement.Holds(key) {
		return
	}
	f.locator.mu.Lock()
	defer f.locator.mu.Unlock()
	if time.Since(f.locator.at[req.service]) < locateKept || f.Placement.Holds(key) {
		return
	}
	engines := f.engines(req)
	if len(engines) == 0 || len(engines) > locateMost {
		return
	}
	f.search(ctx, engines)
	if f.locator.at == nil {
		f.locator.at = map[string]time.Time{}
	}
	f.locator.at[req.service] = time.Now()
	f.Log.Decision(req.ID, "prompt looked for", logrus.Fields{"engines": len(engines), "found": f.Placement.Holds(key)})
}

// engines returns the engines that a request may go to.
func (f *Forwarder) engines(req *request) []routing.Endpoint {
	var out []routing.Endpoint
	for _, e := range f.Placement.List() {
		if e.Service == req.service && e.State == routing.Live && !e.Suspected && e.Memory > 0 {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// search asks all engines at once which prompts they keep.
func (f *Forwarder) search(ctx context.Context, engines []routing.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := range engines {
		wg.Go(func() {
			raw, err := f.ask(ctx, &engines[i], http.MethodGet, platform.HeldPath, nil)
			if err != nil {
				return // one that does not answer in time is not worth going to
			}
			f.takeHeld(engines[i].ID, raw)
		})
	}
	wg.Wait()
}

func (f *Forwarder) takeHeld(id string, raw []byte) {
	parts, err := platform.DecodeHeld(raw)
	if err != nil {
		f.Log.Refusal("", "list of prompts can't be read", logrus.Fields{"endpoint": id, "error": err.Error()})
		return
	}
	for _, p := range parts {
		if p.Tokens >= locateLeast {
			f.Placement.Stored(id, p.ID)
		}
	}
}

package forward

import (
	"sync"

	"github.com/agateway/agateway/core/routing"
)

// promptLocations holds the engines that have prefilled the prompts of streams in progress. It is
// announced to the other instances. When this instance is lost, the instance that a caller turns to
// can then use the engine that holds the prompt. The zero value is empty. It is safe for concurrent
// use.
type promptLocations struct {
	mu        sync.Mutex
	endpoints map[uint64]string
}

func (r *promptLocations) add(prompt uint64, endpoint string) {
	if prompt == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endpoints == nil {
		r.endpoints = map[uint64]string{}
	}
	r.endpoints[prompt] = endpoint
}

func (r *promptLocations) remove(prompt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.endpoints, prompt)
}

// PromptLocations returns the prompts of streams in progress that engines have prefilled, with the
// engine of each.
func (f *Forwarder) PromptLocations() []routing.PrefilledPrompt {
	f.promptLocations.mu.Lock()
	defer f.promptLocations.mu.Unlock()
	locations := make([]routing.PrefilledPrompt, 0, len(f.promptLocations.endpoints))
	for prompt, endpoint := range f.promptLocations.endpoints {
		locations = append(locations, routing.PrefilledPrompt{Endpoint: endpoint, Prompt: prompt})
	}
	return locations
}

package forward

import (
	"sync"

	"github.com/agateway/agateway/core/routing"
)

// reads is which engines have read the prompts of the streams in progress. Other instances are told, so
// that a caller who comes to them, because this one was lost, is served where its prompt is kept. The
// zero value is empty; it is safe for concurrent use.
type reads struct {
	mu sync.Mutex
	at map[uint64]string
}

func (r *reads) add(prompt uint64, endpoint string) {
	if prompt == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at == nil {
		r.at = map[uint64]string{}
	}
	r.at[prompt] = endpoint
}

func (r *reads) remove(prompt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.at, prompt)
}

// Read returns the prompts of streams in progress that engines have read.
func (f *Forwarder) Read() []routing.PrefilledPrompt {
	f.reads.mu.Lock()
	defer f.reads.mu.Unlock()
	out := make([]routing.PrefilledPrompt, 0, len(f.reads.at))
	for prompt, endpoint := range f.reads.at {
		out = append(out, routing.PrefilledPrompt{Endpoint: endpoint, Prompt: prompt})
	}
	return out
}

package engine

import (
	"net/http"
	"strings"
	"time"

	"github.com/agateway/agateway/cli/standin/serve"
)

// Fault is what the engine does wrong. A call replaces the fault before it.
type Fault struct {
	// Die ends the engine at once; DieAtToken when any stream reaches that many tokens.
	Die        bool `json:"die,omitempty"`
	DieAtToken int  `json:"die_at_token,omitempty"`
	// DieAtPrompt ends the engine when it has read a prompt that contains this.
	DieAtPrompt string `json:"die_at_prompt,omitempty"`
	// Freeze stops everything until a fault without it is set.
	Freeze bool `json:"freeze,omitempty"`
	// Silent makes the connections that are open now silent for good; new ones work.
	Silent bool `json:"silent,omitempty"`
	// Cross writes tokens of one stream into another.
	Cross bool `json:"cross,omitempty"`
	// Skip leaves out the token with this index, once per connection.
	Skip int `json:"skip,omitempty"`
	// DelayMS delays every event.
	DelayMS int `json:"delay_ms,omitempty"`
	// Refuse answers new streams with 503.
	Refuse bool `json:"refuse,omitempty"`
	// NoPrefix refuses to continue a forced prefix.
	NoPrefix bool `json:"no_prefix,omitempty"`
	// ListedLeaving makes the platform's list say that the engine leaves.
	ListedLeaving bool `json:"listed_leaving,omitempty"`
	// Leaving says so in the status. New streams are taken all the same: not to send any is
	// the gateways' part.
	Leaving bool `json:"leaving,omitempty"`
}

// SetFault brings a fault about.
func (e *Engine) SetFault(f Fault) {
	e.gate.Set(f.Freeze)
	e.mu.Lock()
	e.fault = f
	if f.Silent {
		e.silence()
	}
	e.mu.Unlock()
	if f.Die {
		e.die()
	}
}

// silence mutes the open connections, which notice by their number.
func (e *Engine) silence() {
	for _, s := range e.streams {
		s.mutedTo = s.openings
	}
}

func (e *Engine) die() {
	if e.cfg.Exit != nil {
		e.cfg.Exit()
	}
	e.Close()
}

// endsAt tells whether the engine ends at a stream that is about to run.
func (e *Engine) endsAt(s *stream) bool {
	if e.fault.DieAtPrompt == "" || !strings.Contains(s.request.Prompt, e.fault.DieAtPrompt) {
		return false
	}
	go e.die()
	return true
}

func (e *Engine) dieAt(tokens int) {
	if e.fault.DieAtToken > 0 && tokens >= e.fault.DieAtToken {
		e.fault.DieAtToken = 0
		go e.die()
	}
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if serve.Read(w, r, &f) {
		w.WriteHeader(http.StatusNoContent)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		go func() {
			time.Sleep(time.Millisecond) // the answer goes out first
			e.SetFault(f)
		}()
	}
}

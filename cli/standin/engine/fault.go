package engine

import (
	"net/http"
	"strings"
	"time"

	"github.com/agateway/agateway/cli/standin/serve"
)

// Fault is the set of faults in effect. Each call of SetFault replaces it whole.
type Fault struct {
	// Die ends the engine at once. DieAtToken ends it when a stream reaches that many tokens, forced
	// prefix included; 0 for never.
	Die        bool `json:"die,omitempty"`
	DieAtToken int  `json:"die_at_token,omitempty"`
	// DieAtPrompt ends the engine when the prefill of a prompt that contains this text is done;
	// empty for never.
	DieAtPrompt string `json:"die_at_prompt,omitempty"`
	// Freeze stops everything but admin calls until a fault without Freeze is set.
	Freeze bool `json:"freeze,omitempty"`
	// Silent makes the connections that are open now silent for good. New connections work.
	Silent bool `json:"silent,omitempty"`
	// Cross sends a stream's tokens under the ID of another stream.
	Cross bool `json:"cross,omitempty"`
	// Skip leaves out the token with this index, once per connection; 0 for none.
	Skip int `json:"skip,omitempty"`
	// DelayMS delays each write of tokens, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// Refuse answers new streams with 503.
	Refuse bool `json:"refuse,omitempty"`
	// RefusePrefix refuses with 422 to continue a forced prefix.
	RefusePrefix bool `json:"no_prefix,omitempty"`
	// ListedLeaving marks the engine as leaving in the platform's list.
	ListedLeaving bool `json:"listed_leaving,omitempty"`
	// Leaving marks the engine as leaving in its status. The engine still accepts new streams: it is
	// up to the gateways to send none.
	Leaving bool `json:"leaving,omitempty"`
}

// SetFault replaces the faults in effect.
func (e *Engine) SetFault(f Fault) {
	e.gate.SetFrozen(f.Freeze)
	e.mu.Lock()
	e.fault = f
	if f.Silent {
		e.silenceConnections()
	}
	e.mu.Unlock()
	if f.Die {
		e.die()
	}
}

// silenceConnections silences the connections open now, which compare their number with
// silencedUpTo. The lock is held.
func (e *Engine) silenceConnections() {
	for _, s := range e.streams {
		s.silencedUpTo = s.connections
	}
}

// die closes the engine as a crash does.
func (e *Engine) die() {
	if e.cfg.Exit != nil {
		e.cfg.Exit()
	}
	e.Close()
}

// dieAtPrompt ends the engine if DieAtPrompt matches the stream's prompt, and reports whether it
// does. The lock is held.
func (e *Engine) dieAtPrompt(s *stream) bool {
	if e.fault.DieAtPrompt == "" || !strings.Contains(s.request.Prompt, e.fault.DieAtPrompt) {
		return false
	}
	go e.die()
	return true
}

// dieAtToken ends the engine if a stream's tokens have reached DieAtToken. The lock is held.
func (e *Engine) dieAtToken(tokens int) {
	if e.fault.DieAtToken > 0 && tokens >= e.fault.DieAtToken {
		e.fault.DieAtToken = 0
		go e.die()
	}
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if serve.ReadJSON(w, r, &f) {
		w.WriteHeader(http.StatusNoContent)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		go func() {
			time.Sleep(time.Millisecond) // lets the response go out first
			e.SetFault(f)
		}()
	}
}

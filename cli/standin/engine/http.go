package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateway/agateway/cli/standin/serve"
	"github.com/agateway/agateway/gateway/endpoint"
)

func (e *Engine) routes() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				e.gate.Wait(r.Context())
				next.ServeHTTP(w, r)
			})
		})
		r.Post("/v1/streams", e.handleOpen)
		r.Get("/v1/streams/{id}", e.handleResume)
		r.Get("/v1/streams/{id}/state", e.handleState)
		r.Delete("/v1/streams/{id}", e.handleCancel)
		r.Get("/v1/status", e.handleStatus)
		r.Post("/v1/orders", e.handleOrder)
	})
	r.Post("/admin/fault", e.handleFault)
	r.Get("/admin/stats", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, e.Stats()) })
	return r
}

func (e *Engine) handleOpen(w http.ResponseWriter, r *http.Request) {
	var req endpoint.StartRequest
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	if status, text := e.refusal(&req); status != 0 {
		w.Header().Set("Retry-After-Ms", "200")
		http.Error(w, text, status)
		return
	}
	s := e.openStream(&req)
	e.serveStream(w, r, s, 1, req.Attempt, len(req.Prefix))
}

// refusal returns the status and text with which a request is refused, or 0 if it is accepted.
func (e *Engine) refusal(req *endpoint.StartRequest) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.fault.Refuse:
		return http.StatusServiceUnavailable, "refusing"
	case !e.hasModel(req):
		return http.StatusNotFound, "model not loaded"
	case e.fault.RefusePrefix && len(req.Prefix) > 0:
		return http.StatusUnprocessableEntity, "can't continue a prefix"
	case req.MaxTokens <= 0 || req.MaxTokens < len(req.Prefix):
		return http.StatusBadRequest, "max_tokens"
	}
	return 0, ""
}

// hasModel reports whether the request's model is loaded, in its version if it names one. The lock
// is held.
func (e *Engine) hasModel(req *endpoint.StartRequest) bool {
	for _, m := range e.models {
		if m.Name == req.Model && (req.Version == "" || req.Version == m.Version) {
			return true
		}
	}
	return false
}

// handleResume opens another connection to a stream. It answers 410 if the stream is unknown or
// cancelled, 409 if the attempt is not higher than all before, and 422 if the stream has fewer
// tokens.
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.Atoi(r.URL.Query().Get("from"))
	attempt, err2 := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err1 != nil || err2 != nil {
		http.Error(w, "from, attempt", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.streams[chi.URLParam(r, "id")]
	status, number := 0, 0
	switch {
	case s == nil || s.cancelled:
		status = http.StatusGone
	case attempt <= s.attempt:
		status = http.StatusConflict
	case from > len(s.tokens):
		status = http.StatusUnprocessableEntity
	default:
		s.attempt = attempt
		s.connections++
		number = s.connections
		s.notify() // older connections see that they are fenced
	}
	e.mu.Unlock()
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	e.serveStream(w, r, s, number, attempt, from)
}

func (e *Engine) handleState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[chi.URLParam(r, "id")]
	if s == nil || s.cancelled {
		http.Error(w, "no such stream", http.StatusGone)
		return
	}
	serve.WriteJSON(w, endpoint.StreamState{Index: len(s.tokens), Running: !s.done, Done: s.done})
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	attempt, _ := strconv.Atoi(r.URL.Query().Get("attempt"))
	serve.WriteJSON(w, map[string]bool{"cancelled": e.cancel(chi.URLParam(r, "id"), attempt)})
}

func (e *Engine) handleStatus(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("cache_since"), 10, 64)
	now := time.Now()
	e.mu.Lock()
	st := e.reportedLoad
	st.Slots, st.Leaving, st.Models, st.Boot, st.Order = e.cfg.Slots, e.fault.Leaving, e.models, e.boot, e.lastFence
	st.Role = e.role
	st.AgeMS = now.Sub(e.reportedAt).Milliseconds()
	st.Events = e.cache.since(now, since)
	e.mu.Unlock()
	serve.WriteJSON(w, st)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if !serve.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	stale := o.Fence < e.lastFence
	if stale {
		e.stats.StaleOrders++
	}
	if stale && e.cfg.ChecksFencing {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.lastFence = o.Fence
	e.stats.Orders++
	e.mu.Unlock()
	go e.applyOrder(&o)
	serve.WriteJSON(w, struct{}{})
}

// applyOrder takes over the models and the role of an order once the load time has passed.
func (e *Engine) applyOrder(o *endpoint.Order) {
	time.Sleep(e.cfg.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = o.Models
	if o.Role != "" {
		e.role = o.Role
	}
}

// keepaliveInterval is how often a connection without tokens gets a comment line.
const keepaliveInterval = 100 * time.Millisecond

// connection is one open response of a stream.
type connection struct {
	w         http.ResponseWriter
	flush     func()
	s         *stream
	number    int // see stream.connections
	attempt   int
	nextIndex int // of the next token to write
	skipped   bool
}

// serveStream writes a stream's tokens from index from on, until the stream ends, the connection is
// fenced or its client leaves.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, number, attempt, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := &connection{w: w, s: s, number: number, attempt: attempt, nextIndex: from}
	if f, ok := w.(http.Flusher); ok {
		c.flush = f.Flush
	}
	e.mu.Lock()
	ack := endpoint.Ack{Generation: s.request.Generation, Attempt: attempt, Stream: s.id, Index: from, Hash: endpoint.HexHash(s.prefixHash(from)), Version: s.request.Version, Cached: s.cachedTokens}
	e.mu.Unlock()
	c.writeEvent(endpoint.EventAck, "", ack)
	c.flush()
	idle := time.NewTicker(keepaliveInterval)
	defer idle.Stop()
	for e.writePending(r, c) {
		e.mu.Lock()
		changed, more := s.changed, c.nextIndex < len(s.tokens) || s.done || s.cancelled
		e.mu.Unlock()
		if more {
			continue
		}
		select {
		case <-changed:
		case <-idle.C:
			e.gate.Wait(r.Context())
			if !e.silenced(c) {
				_, _ = w.Write([]byte(": keepalive\n\n"))
				c.flush()
			}
		case <-r.Context().Done():
			return
		case <-e.Context().Done():
			return
		}
	}
}

func (e *Engine) silenced(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.number <= c.s.silencedUpTo
}

// writePending writes the tokens not yet written, and reports whether the connection stays open.
func (e *Engine) writePending(r *http.Request, c *connection) bool {
	e.gate.Wait(r.Context())
	e.mu.Lock()
	s := c.s
	fenced, cancelled, silenced := s.attempt > c.attempt, s.cancelled, c.number <= s.silencedUpTo
	tokens := s.tokens[min(c.nextIndex, len(s.tokens)):]
	done, f := s.done, e.fault
	end := endpoint.End{Reason: "length", Total: len(s.tokens), Hash: endpoint.HexHash(s.rollingHash)}
	otherID := e.otherStreamID(s)
	e.mu.Unlock()
	switch {
	case silenced:
		<-r.Context().Done()
		return false
	case fenced:
		c.writeEvent(endpoint.EventFenced, "", struct{}{})
		c.flush()
		return false
	case cancelled || r.Context().Err() != nil:
		return false
	}
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	c.writeTokens(tokens, &f, otherID)
	if done {
		c.writeEvent(endpoint.EventEnd, s.id+":", end)
	}
	c.flush()
	return !done
}

// otherStreamID returns the ID of some other running stream, for Fault.Cross. The lock is held.
func (e *Engine) otherStreamID(s *stream) string {
	for _, o := range e.running {
		if o != s {
			return o.id
		}
	}
	return "other"
}

func (c *connection) writeTokens(tokens []string, f *Fault, otherID string) {
	for _, t := range tokens {
		name := c.s.id
		if f.Cross {
			name = otherID
		}
		if f.Skip > 0 && c.nextIndex == f.Skip && !c.skipped {
			c.skipped = true
			c.nextIndex++
			continue
		}
		raw, _ := json.Marshal(t)
		_, _ = fmt.Fprintf(c.w, "id: %s:%d\ndata: %s\n\n", name, c.nextIndex, raw)
		c.nextIndex++
	}
}

func (c *connection) writeEvent(name, id string, v any) {
	raw, _ := json.Marshal(v)
	if id != "" {
		_, _ = fmt.Fprintf(c.w, "id: %s\n", id)
	}
	_, _ = fmt.Fprintf(c.w, "event: %s\ndata: %s\n\n", name, raw)
}

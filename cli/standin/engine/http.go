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
				e.gate.Pass(r.Context())
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
	r.Get("/admin/stats", func(w http.ResponseWriter, _ *http.Request) { serve.JSON(w, e.Stats()) })
	return r
}

func (e *Engine) handleOpen(w http.ResponseWriter, r *http.Request) {
	var req endpoint.StartRequest
	if !serve.Read(w, r, &req) {
		return
	}
	if status, text := e.refusal(&req); status != 0 {
		w.Header().Set("Retry-After-Ms", "200")
		http.Error(w, text, status)
		return
	}
	s := e.open(&req)
	e.serve(w, r, s, 1, req.Attempt, len(req.Prefix))
}

func (e *Engine) refusal(req *endpoint.StartRequest) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.fault.Refuse:
		return http.StatusServiceUnavailable, "refusing"
	case !e.loaded(req):
		return http.StatusNotFound, "model not loaded"
	case e.fault.NoPrefix && len(req.Prefix) > 0:
		return http.StatusUnprocessableEntity, "can't continue a prefix"
	case req.MaxTokens <= 0 || req.MaxTokens < len(req.Prefix):
		return http.StatusBadRequest, "max_tokens"
	}
	return 0, ""
}

func (e *Engine) loaded(req *endpoint.StartRequest) bool {
	for _, m := range e.models {
		if m.Name == req.Model && (req.Version == "" || req.Version == m.Version) {
			return true
		}
	}
	return false
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.Atoi(r.URL.Query().Get("from"))
	attempt, err2 := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err1 != nil || err2 != nil {
		http.Error(w, "from, attempt", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.streams[chi.URLParam(r, "id")]
	status, opening := 0, 0
	switch {
	case s == nil || s.gone:
		status = http.StatusGone
	case attempt <= s.attempt:
		status = http.StatusConflict
	case from > len(s.tokens):
		status = http.StatusUnprocessableEntity
	default:
		s.attempt = attempt
		s.openings++
		opening = s.openings
		s.wake() // older connections notice that they are fenced
	}
	e.mu.Unlock()
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	e.serve(w, r, s, opening, attempt, from)
}

func (e *Engine) handleState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[chi.URLParam(r, "id")]
	if s == nil || s.gone {
		http.Error(w, "no such stream", http.StatusGone)
		return
	}
	serve.JSON(w, endpoint.StreamState{Index: len(s.tokens), Running: !s.done, Done: s.done})
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	attempt, _ := strconv.Atoi(r.URL.Query().Get("attempt"))
	serve.JSON(w, map[string]bool{"cancelled": e.cancel(chi.URLParam(r, "id"), attempt)})
}

func (e *Engine) handleStatus(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("cache_since"), 10, 64)
	now := time.Now()
	e.mu.Lock()
	st := e.load
	st.Slots, st.Leaving, st.Models, st.Boot, st.Order = e.cfg.Slots, e.fault.Leaving, e.models, e.boot, e.fence
	st.Role = e.role
	st.AgeMS = now.Sub(e.loadAt).Milliseconds()
	st.Events = e.cache.since(now, since)
	e.mu.Unlock()
	serve.JSON(w, st)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if !serve.Read(w, r, &o) {
		return
	}
	e.mu.Lock()
	old := o.Fence < e.fence
	if old {
		e.stats.OldOrders++
	}
	if old && e.cfg.ChecksFencing {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = o.Fence
	e.stats.Orders++
	e.mu.Unlock()
	go e.carryOut(&o)
	serve.JSON(w, struct{}{})
}

// carryOut loads the models of an order and then takes its role.
func (e *Engine) carryOut(o *endpoint.Order) {
	time.Sleep(e.cfg.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = o.Models
	if o.Role != "" {
		e.role = o.Role
	}
}

const keepalive = 100 * time.Millisecond

// connection is one open response.
type connection struct {
	w       http.ResponseWriter
	flush   func()
	s       *stream
	opening int
	attempt int
	next    int
	skipped bool
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, s *stream, opening, attempt, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := &connection{w: w, s: s, opening: opening, attempt: attempt, next: from}
	if f, ok := w.(http.Flusher); ok {
		c.flush = f.Flush
	}
	e.mu.Lock()
	ack := endpoint.Ack{Generation: s.request.Generation, Attempt: attempt, Stream: s.id, Index: from, Hash: endpoint.HexHash(s.hashAt(from)), Version: s.request.Version, Cached: s.cached}
	e.mu.Unlock()
	c.event(endpoint.EventAck, "", ack)
	c.flush()
	idle := time.NewTicker(keepalive)
	defer idle.Stop()
	for e.writeNew(r, c) {
		e.mu.Lock()
		changed, more := s.changed, c.next < len(s.tokens) || s.done || s.gone
		e.mu.Unlock()
		if more {
			continue
		}
		select {
		case <-changed:
		case <-idle.C:
			e.gate.Pass(r.Context())
			if !e.muted(c) {
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

func (e *Engine) muted(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.opening <= c.s.mutedTo
}

// writeNew writes what is new, and tells whether the connection goes on.
func (e *Engine) writeNew(r *http.Request, c *connection) bool {
	e.gate.Pass(r.Context())
	e.mu.Lock()
	s := c.s
	fenced, gone, muted := s.attempt > c.attempt, s.gone, c.opening <= s.mutedTo
	tokens := s.tokens[min(c.next, len(s.tokens)):]
	done, f := s.done, e.fault
	end := endpoint.End{Reason: "length", Total: len(s.tokens), Hash: endpoint.HexHash(s.rolling)}
	other := e.another(s)
	e.mu.Unlock()
	switch {
	case muted:
		<-r.Context().Done()
		return false
	case fenced:
		c.event(endpoint.EventFenced, "", struct{}{})
		c.flush()
		return false
	case gone || r.Context().Err() != nil:
		return false
	}
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	c.tokens(tokens, &f, other)
	if done {
		c.event(endpoint.EventEnd, s.id+":", end)
	}
	c.flush()
	return !done
}

// another returns the name of some other running stream, for crossed tokens.
func (e *Engine) another(s *stream) string {
	for _, o := range e.running {
		if o != s {
			return o.id
		}
	}
	return "other"
}

func (c *connection) tokens(tokens []string, f *Fault, other string) {
	for _, t := range tokens {
		name := c.s.id
		if f.Cross {
			name = other
		}
		if f.Skip > 0 && c.next == f.Skip && !c.skipped {
			c.skipped = true
			c.next++
			continue
		}
		raw, _ := json.Marshal(t)
		_, _ = fmt.Fprintf(c.w, "id: %s:%d\ndata: %s\n\n", name, c.next, raw)
		c.next++
	}
}

func (c *connection) event(name, id string, v any) {
	raw, _ := json.Marshal(v)
	if id != "" {
		_, _ = fmt.Fprintf(c.w, "id: %s\n", id)
	}
	_, _ = fmt.Fprintf(c.w, "event: %s\ndata: %s\n\n", name, raw)
}

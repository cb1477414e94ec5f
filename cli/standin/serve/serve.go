// Package serve holds what the simulated systems share: an HTTP server that closes as a crash does,
// a gate that simulates a frozen process, registration in the platform's list, and JSON helpers.
package serve

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/platform"
)

// Server is a listening HTTP server. Addr is its address with the port in use.
type Server struct {
	Addr   string
	server *http.Server
	cancel context.CancelFunc
	ctx    context.Context
}

// Start listens on address and serves h until the server is closed. It fails if address can't be
// listened on.
func Start(n network.Network, address string, h http.Handler) (*Server, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{Addr: l.Addr().String(), server: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}, ctx: ctx, cancel: cancel}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Context returns a context that ends when the server is closed.
func (s *Server) Context() context.Context { return s.ctx }

// Close closes the listener and all connections at once, as a crash does.
func (s *Server) Close() {
	s.cancel()
	_ = s.server.Close()
}

const (
	registerInterval = time.Second
	registerTTL      = 3 * time.Second
)

// Register keeps an entry in the platform's list until ctx ends, as the real platform does for its
// instances. It calls entry before each write. A nil client means no registration.
func Register(ctx context.Context, p platform.Client, entry func() platform.Listed) {
	if p == nil {
		return
	}
	tick := time.NewTicker(registerInterval)
	defer tick.Stop()
	for {
		_ = p.Register(ctx, entry(), registerTTL) // a failure is retried at the next tick
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Gate simulates a frozen process: Wait blocks while the gate is frozen. The zero Gate is open.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{} // closed when the gate opens; nil while it is open
}

// SetFrozen freezes or opens the gate.
func (g *Gate) SetFrozen(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case frozen && g.closed == nil:
		g.closed = make(chan struct{})
	case !frozen && g.closed != nil:
		close(g.closed)
		g.closed = nil
	}
}

// Wait blocks until the gate is open or ctx ends.
func (g *Gate) Wait(ctx context.Context) {
	g.mu.Lock()
	c := g.closed
	g.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case <-c:
	case <-ctx.Done():
	}
}

// WriteJSON writes v as the JSON response. A failure to encode or write is ignored.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the request's JSON body into v and reports whether it could. If not, it has
// answered 400.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

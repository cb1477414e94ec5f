// Package serve holds what the stand-ins share: a listener that can be killed, a gate
// that freezes, registration in the platform's list, and JSON helpers.
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

// Server is a listening stand-in.
type Server struct {
	Addr   string
	server *http.Server
	cancel context.CancelFunc
	ctx    context.Context
}

// Start listens on address and serves h until the server is closed.
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

// Context ends when the server is closed.
func (s *Server) Context() context.Context { return s.ctx }

// Close drops the listener and all connections at once, as a crash does.
func (s *Server) Close() {
	s.cancel()
	_ = s.server.Close()
}

const (
	registerEvery = time.Second
	registerTTL   = 3 * time.Second
)

// Register keeps an entry in the platform's list until ctx ends, as the real platform
// does for its instances. entry is asked each time.
func Register(ctx context.Context, p platform.Client, entry func() platform.Listed) {
	if p == nil {
		return
	}
	tick := time.NewTicker(registerEvery)
	defer tick.Stop()
	for {
		_ = p.Register(ctx, entry(), registerTTL) // the next tick tries again
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Gate blocks those who pass while it is closed: a frozen process.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil when open
}

// Set closes or opens the gate.
func (g *Gate) Set(frozen bool) {
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

// Pass waits until the gate is open or ctx ends.
func (g *Gate) Pass(ctx context.Context) {
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

// JSON writes v as the response.
func JSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the request's JSON body into v and answers 400 if it can't.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

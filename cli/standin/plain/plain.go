// Package plain is a stand-in for a plain service with calls that may not be repeated:
// it counts how often each ran, and has faults by an admin call.
package plain

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/agateway/agateway/cli/standin/serve"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/platform"
)

// Config describes a stand-in.
type Config struct {
	ID, Address, DataCentre, Service string
	Slots                            int
	// Work is the time that a call takes.
	Work     time.Duration
	Exit     func()
	Platform platform.Client
	Network  network.Network
}

// Fault is what the service does wrong. A call replaces the fault before it.
type Fault struct {
	Die    bool `json:"die,omitempty"`
	Freeze bool `json:"freeze,omitempty"`
	// DropAfterRun runs calls and breaks the connection instead of answering.
	DropAfterRun bool `json:"drop_after_run,omitempty"`
	// NotRun answers that the call did not run.
	NotRun bool `json:"not_run,omitempty"`
	// Cross answers with the id of another request.
	Cross   bool `json:"cross,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// Truncate breaks the connection in the middle of the answer's body.
	Truncate bool `json:"truncate,omitempty"`
}

// Plain is a running stand-in.
type Plain struct {
	cfg  Config
	boot string
	gate serve.Gate
	*serve.Server

	mu      sync.Mutex
	fault   Fault
	runs    map[string]int
	running int
}

// Start runs a service.
func Start(cfg Config) (*Plain, error) {
	p := &Plain{cfg: cfg, boot: uuid.NewString(), runs: map[string]int{}}
	s, err := serve.Start(cfg.Network, cfg.Address, p.routes())
	if err != nil {
		return nil, err
	}
	p.Server = s
	go serve.Register(s.Context(), cfg.Platform, p.listed)
	return p, nil
}

func (p *Plain) listed() platform.Listed {
	p.gate.Pass(p.Context())
	return platform.Listed{ID: p.cfg.ID, Role: platform.RolePlain, Address: p.Addr, DataCentre: p.cfg.DataCentre, Service: p.cfg.Service}
}

// Runs returns how often each call ran: "METHOD /path body" to count.
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, n := range p.runs {
		out[k] = n
	}
	return out
}

// SetFault brings a fault about.
func (p *Plain) SetFault(f Fault) {
	p.gate.Set(f.Freeze)
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f.Die {
		if p.cfg.Exit != nil {
			p.cfg.Exit()
		}
		p.Close()
	}
}

func (p *Plain) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/status", p.handleStatus)
	r.Post("/admin/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if serve.Read(w, r, &f) {
			w.WriteHeader(http.StatusNoContent)
			go p.SetFault(f)
		}
	})
	r.Get("/admin/runs", func(w http.ResponseWriter, _ *http.Request) { serve.JSON(w, p.Runs()) })
	r.HandleFunc("/*", p.handleCall)
	return r
}

func (p *Plain) handleStatus(w http.ResponseWriter, r *http.Request) {
	p.gate.Pass(r.Context())
	p.mu.Lock()
	st := endpoint.Status{Slots: p.cfg.Slots, Running: p.running, Leaving: p.fault.Leaving, Boot: p.boot}
	p.mu.Unlock()
	serve.JSON(w, st)
}

func (p *Plain) handleCall(w http.ResponseWriter, r *http.Request) {
	p.gate.Pass(r.Context())
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	f := p.fault
	if !f.NotRun {
		p.runs[strings.Join([]string{r.Method, r.URL.Path, string(body)}, " ")]++
	}
	p.running++
	p.mu.Unlock()
	time.Sleep(p.cfg.Work)
	p.gate.Pass(r.Context())
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	p.answer(w, r, body, f)
}

func (p *Plain) answer(w http.ResponseWriter, r *http.Request, body []byte, f Fault) {
	id := r.Header.Get(endpoint.HeaderRequestID)
	switch {
	case f.NotRun:
		w.Header().Set(endpoint.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f.DropAfterRun:
		panic(http.ErrAbortHandler)
	case f.Truncate:
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case f.Cross:
		id = "another-request"
	}
	w.Header().Set(endpoint.HeaderRequestID, id)
	serve.JSON(w, map[string]string{"method": r.Method, "path": r.URL.Path, "body": string(body), "traceparent": r.Header.Get("traceparent")})
}

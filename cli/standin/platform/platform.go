// Package platform is a stand-in for the platform's object API: it serves
// [platform.Memory] over HTTP, and can be slow, down, or lose an answer after the write
// took effect. Its list of instances lags.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/cli/standin/serve"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/platform"
)

// Fault is what the platform does wrong. A call replaces the fault before it.
type Fault struct {
	Down   bool `json:"down,omitempty"`
	SlowMS int  `json:"slow_ms,omitempty"`
	// LoseWrites is how many writes take effect although their answers are lost.
	LoseWrites int `json:"lose_writes,omitempty"`
}

// Counts are the calls taken, by kind.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Lists   int64 `json:"lists"`
}

// Platform is a running stand-in.
type Platform struct {
	*serve.Server
	Memory *platform.Memory

	mu     sync.Mutex
	fault  Fault
	counts Counts
}

// Start runs a platform whose list lags.
func Start(n network.Network, address string, lag time.Duration) (*Platform, error) {
	p := &Platform{Memory: platform.NewMemory(lag)}
	s, err := serve.Start(n, address, p.routes())
	p.Server = s
	return p, err
}

// URL returns the base URL.
func (p *Platform) URL() string { return "http://" + p.Addr }

// SetFault brings a fault about.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Counts returns the calls taken so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) routes() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(p.faulty)
		r.Get("/v1/objects/{kind}", p.handleList)
		r.Get("/v1/objects/{kind}/{name}", p.handleGet)
		r.Put("/v1/objects/{kind}/{name}", p.handleWrite)
		r.Delete("/v1/objects/{kind}/{name}", p.handleWrite)
		r.Get("/v1/watch", p.handleWatch)
		r.Get("/v1/instances", p.handleInstances)
		r.Put("/v1/instances/{id}", p.handleRegister)
	})
	r.Post("/admin/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if serve.Read(w, r, &f) {
			p.SetFault(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	r.Get("/admin/counts", func(w http.ResponseWriter, _ *http.Request) { serve.JSON(w, p.Counts()) })
	return r
}

// faulty counts the call, and applies the fault around it.
func (p *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.fault
		p.count(r)
		object := r.Method != http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/objects/")
		lose := object && f.LoseWrites > 0
		if lose {
			p.fault.LoseWrites--
		}
		p.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if lose {
			next.ServeHTTP(discard{}, r)
			panic(http.ErrAbortHandler) // the write took effect; the answer is lost
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) count(r *http.Request) {
	switch {
	case r.URL.Path == "/v1/watch":
		p.counts.Watches++
	case strings.HasPrefix(r.URL.Path, "/v1/instances"):
		p.counts.Lists++
	case r.Method == http.MethodGet:
		p.counts.Reads++
	default:
		p.counts.Writes++
	}
}

type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := p.Memory.List(r.Context(), chi.URLParam(r, "kind"))
	answer(w, platform.ListBody{Objects: objects, Revision: revision}, err)
}

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	o, err := p.Memory.Get(r.Context(), chi.URLParam(r, "kind"), chi.URLParam(r, "name"))
	answer(w, o, err)
}

func (p *Platform) handleWrite(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil {
		http.Error(w, "if_version", http.StatusBadRequest)
		return
	}
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	if r.Method == http.MethodDelete {
		o, err := p.Memory.Delete(r.Context(), kind, name, version)
		answer(w, o, err)
		return
	}
	const mostValue = 1 << 20
	value, err := io.ReadAll(io.LimitReader(r.Body, mostValue))
	if err != nil || !json.Valid(value) {
		http.Error(w, "value", http.StatusBadRequest)
		return
	}
	o, err := p.Memory.Put(r.Context(), kind, name, value, version)
	answer(w, o, err)
}

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	objects, revision, err := p.Memory.Watch(r.Context(), strings.Split(q.Get("kinds"), ","), since, time.Duration(wait)*time.Millisecond)
	answer(w, platform.ListBody{Objects: objects, Revision: revision}, err)
}

func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	l, err := p.Memory.Instances(r.Context())
	answer(w, l, err)
}

func (p *Platform) handleRegister(w http.ResponseWriter, r *http.Request) {
	var l platform.Listed
	if !serve.Read(w, r, &l) {
		return
	}
	ttl, _ := strconv.Atoi(r.URL.Query().Get("ttl_ms"))
	answer(w, struct{}{}, p.Memory.Register(r.Context(), l, time.Duration(ttl)*time.Millisecond))
}

func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		serve.JSON(w, v)
	case errorx.IsOfType(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errorx.IsOfType(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// Package platform runs the stand-in for the platform's metadata store as a server, with its faults by an
// admin call. Its list of instances lags.
package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateway/agateway/cli/standin/serve"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/platform/standin"
)

// Fault is what the platform does wrong. A call replaces the fault before it.
type Fault struct {
	Down   bool `json:"down,omitempty"`
	SlowMS int  `json:"slow_ms,omitempty"`
	// LoseWrites is how many writes take effect although their answers are lost.
	LoseWrites int `json:"lose_writes,omitempty"`
}

// Platform is a running stand-in.
type Platform struct {
	*serve.Server
	Store *standin.Store

	lag    time.Duration
	mu     sync.Mutex
	list   *httptest.ResponseRecorder
	listAt time.Time
}

// Start runs a platform whose list lags.
func Start(n network.Network, address string, lag time.Duration) (*Platform, error) {
	p := &Platform{Store: standin.NewStore(0), lag: lag}
	s, err := serve.Start(n, address, p.routes())
	p.Server = s
	return p, err
}

// URL returns the base URL.
func (p *Platform) URL() string { return "http://" + p.Addr }

// SetFault brings a fault about.
func (p *Platform) SetFault(f Fault) {
	out := standin.Fault{SlowMS: f.SlowMS, LoseWrites: f.LoseWrites, SpareKind: listKind}
	if f.Down {
		out.Outage = standin.Busy
	}
	p.Store.SetFault(out)
}

// Counts returns the calls taken so far.
func (p *Platform) Counts() standin.Counts { return p.Store.Counts() }

func (p *Platform) routes() http.Handler {
	r := chi.NewRouter()
	r.Handle("/objects/*", http.HandlerFunc(p.serveObjects))
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

// The list of instances, and where it is read.
const (
	listKind = "agateway-listed"
	listPath = "/objects/" + listKind
)

// serveObjects passes calls on to the store; the list of instances is as old as the lag.
func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || strings.TrimSuffix(r.URL.Path, "/") != listPath {
		p.Store.ServeHTTP(w, r)
		return
	}
	old := p.lagging(r)
	if old == nil { // the store refuses: as it is
		p.Store.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(old) // the caller may be gone
}

// lagging returns the list as it was read last, read again when it is older than the lag; nil when the
// store refuses to give it.
func (p *Platform) lagging(r *http.Request) []byte {
	fresh := httptest.NewRecorder()
	p.Store.ServeHTTP(fresh, r)
	if fresh.Code != http.StatusOK {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.list == nil || time.Since(p.listAt) >= p.lag {
		p.list, p.listAt = fresh, time.Now()
	}
	return p.list.Body.Bytes()
}

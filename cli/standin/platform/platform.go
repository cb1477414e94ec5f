// Package platform serves the simulated metadata store of the platform over HTTP. Its list of
// instances lags. An admin call injects faults.
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

// Fault is the set of faults in effect. Each call of SetFault replaces it whole.
type Fault struct {
	// Down makes the store answer calls with 503. SlowMS delays calls, in milliseconds.
	Down   bool `json:"down,omitempty"`
	SlowMS int  `json:"slow_ms,omitempty"`
	// LoseWrites is how many of the next writes take effect although their answers are lost. Writes
	// to the list of instances are not counted and not lost.
	LoseWrites int `json:"lose_writes,omitempty"`
}

// Platform is a running simulated platform.
type Platform struct {
	*serve.Server
	Store *standin.Store

	lag        time.Duration
	mu         sync.Mutex
	list       *httptest.ResponseRecorder
	listReadAt time.Time
}

// Start runs a platform until it is closed. Its list of instances is up to lag old. Start fails if
// the address can't be listened on.
func Start(n network.Network, address string, lag time.Duration) (*Platform, error) {
	p := &Platform{Store: standin.NewStore(0), lag: lag}
	s, err := serve.Start(n, address, p.routes())
	p.Server = s
	return p, err
}

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.Addr }

// SetFault replaces the faults in effect.
func (p *Platform) SetFault(f Fault) {
	out := standin.Fault{SlowMS: f.SlowMS, LoseWrites: f.LoseWrites, SpareKind: listKind}
	if f.Down {
		out.Outage = standin.Busy
	}
	p.Store.SetFault(out)
}

// Counts returns how many calls the store has received, by sort.
func (p *Platform) Counts() standin.Counts { return p.Store.Counts() }

func (p *Platform) routes() http.Handler {
	r := chi.NewRouter()
	r.Handle("/objects/*", http.HandlerFunc(p.serveObjects))
	r.Post("/admin/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if serve.ReadJSON(w, r, &f) {
			p.SetFault(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	r.Get("/admin/counts", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, p.Counts()) })
	return r
}

// The kind of the entries in the list of instances, and the path of the list.
const (
	listKind = "agateway-listed"
	listPath = "/objects/" + listKind
)

// serveObjects passes calls on to the store, except that reads of the list of instances get the
// lagging list.
func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || strings.TrimSuffix(r.URL.Path, "/") != listPath {
		p.Store.ServeHTTP(w, r)
		return
	}
	list := p.laggedList(r)
	if list == nil { // the store refuses the read: pass the refusal on
		p.Store.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(list) // the client may have left
}

// laggedList returns a copy of the list that is less than the lag old, and replaces the copy once it
// is older. It returns nil if the store refuses to give the list.
func (p *Platform) laggedList(r *http.Request) []byte {
	fresh := httptest.NewRecorder()
	p.Store.ServeHTTP(fresh, r)
	if fresh.Code != http.StatusOK {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.list == nil || time.Since(p.listReadAt) >= p.lag {
		p.list, p.listReadAt = fresh, time.Now()
	}
	return p.list.Body.Bytes()
}

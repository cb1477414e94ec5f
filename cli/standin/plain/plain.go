// Package plain simulates a plain service whose calls must not run twice, for tests and demos. It
// counts how often each call ran. An admin call injects faults.
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
	"github.com/agateway/agateway/platform/standin"
)

// Config describes a service.
type Config struct {
	ID, Address, DataCentre, Service string
	Slots                            int
	// CallDuration is how long a call runs.
	CallDuration time.Duration
	// Exit is called by the fault Die; it may be nil.
	Exit func()
	// Platform is where the service registers; nil for no registration.
	Platform platform.Client
	Network  network.Network
}

// Fault is the set of faults in effect. Each call of SetFault replaces it whole.
type Fault struct {
	// Die ends the service as a crash does. Freeze stops everything but admin calls until a fault
	// without Freeze is set.
	Die    bool `json:"die,omitempty"`
	Freeze bool `json:"freeze,omitempty"`
	// DropAfterRun runs calls and closes the connection instead of answering.
	DropAfterRun bool `json:"drop_after_run,omitempty"`
	// NotRun answers calls with 503 and the header that says that the call did not run.
	NotRun bool `json:"not_run,omitempty"`
	// Cross answers with the ID of another request.
	Cross bool `json:"cross,omitempty"`
	// Leaving marks the service as leaving in its status.
	Leaving bool `json:"leaving,omitempty"`
	// Truncate closes the connection in the middle of the answer's body.
	Truncate bool `json:"truncate,omitempty"`
	// Unframed answers without a length and without chunks, so that an answer ends with its connection.
	// DieInBody ends the service in the middle of such an answer.
	Unframed  bool `json:"unframed,omitempty"`
	DieInBody bool `json:"die_in_body,omitempty"`
	// ResetUpload answers during the upload of a call and resets the connection; nil for no such fault.
	ResetUpload *standin.ResetUpload `json:"reset_upload,omitempty"`
	// MalformedHead answers with a head that HTTP does not allow; nil for no such fault.
	MalformedHead *standin.MalformedHead `json:"malformed_head,omitempty"`
}

// Plain is a running simulated service.
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

// Start runs a service until it is closed. It fails if the address can't be listened on.
func Start(cfg Config) (*Plain, error) {
	p := &Plain{cfg: cfg, boot: uuid.NewString(), runs: map[string]int{}}
	s, err := serve.Start(cfg.Network, cfg.Address, p.routes())
	if err != nil {
		return nil, err
	}
	p.Server = s
	go serve.Register(s.Context(), cfg.Platform, p.registration)
	return p, nil
}

// registration returns the service's entry in the platform's list. It blocks while the service is
// frozen.
func (p *Plain) registration() platform.Listed {
	p.gate.Wait(p.Context())
	return platform.Listed{ID: p.cfg.ID, Role: platform.RolePlain, Address: p.Addr, DataCentre: p.cfg.DataCentre, Service: p.cfg.Service}
}

// Runs returns how often each call ran, by "METHOD /path body".
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, n := range p.runs {
		out[k] = n
	}
	return out
}

func (p *Plain) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// SetFault replaces the faults in effect.
func (p *Plain) SetFault(f Fault) {
	p.gate.SetFrozen(f.Freeze)
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
		if serve.ReadJSON(w, r, &f) {
			w.WriteHeader(http.StatusNoContent)
			go p.SetFault(f)
		}
	})
	r.Get("/admin/runs", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, p.Runs()) })
	r.HandleFunc("/*", p.handleCall)
	return r
}

func (p *Plain) handleStatus(w http.ResponseWriter, r *http.Request) {
	p.gate.Wait(r.Context())
	p.mu.Lock()
	st := endpoint.Status{Slots: p.cfg.Slots, Running: p.running, Leaving: p.fault.Leaving, Boot: p.boot}
	p.mu.Unlock()
	serve.WriteJSON(w, st)
}

func (p *Plain) handleCall(w http.ResponseWriter, r *http.Request) {
	p.gate.Wait(r.Context())
	if f := p.currentFault().ResetUpload; f != nil {
		f.Serve(w, endpoint.HeaderRequestID+": "+r.Header.Get(endpoint.HeaderRequestID)+"\r\n")
		return
	}
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
	time.Sleep(p.cfg.CallDuration)
	p.gate.Wait(r.Context())
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
	if f.Unframed {
		p.answerUnframed(w, f, id)
		return
	}
	if f.MalformedHead != nil {
		f.MalformedHead.Serve(w, "HTTP/1.1 200 OK\r\n"+endpoint.HeaderRequestID+": "+id+"\r\n", "an answer with a malformed head")
		return
	}
	w.Header().Set(endpoint.HeaderRequestID, id)
	serve.WriteJSON(w, map[string]string{"method": r.Method, "path": r.URL.Path, "body": string(body), "traceparent": r.Header.Get("traceparent")})
}

// UnframedBody is the body of answers under [Fault.Unframed].
const UnframedBody = "an answer that ends with its connection"

func (p *Plain) answerUnframed(w http.ResponseWriter, f Fault, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := UnframedBody
	if f.DieInBody {
		text = text[:len(text)/2]
		defer p.SetFault(Fault{Die: true}) // before the connection closes
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+endpoint.HeaderRequestID+": "+id+"\r\n\r\n"+text) // a failure shows as a lost answer
}

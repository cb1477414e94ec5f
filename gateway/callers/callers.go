// Package callers serves the HTTP API for callers: generations in the form of the
// completions protocol, plain services, entry addresses, tickets, health and metrics.
package callers

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/fleet"
	"github.com/agateway/agateway/gateway/pipeline"
)

// Options of the API.
type Options struct {
	Pipeline  *pipeline.Pipeline
	Config    *config.Config
	Fleet     *fleet.Fleet
	Tickets   *atmostonce.Tickets
	EntryKeep time.Duration
	Metrics   http.Handler
	// Ready tells whether this instance is able to serve, and why not.
	Ready func() (bool, string)
}

// Handler returns the API.
func Handler(o Options) http.Handler {
	r := chi.NewRouter()
	serve := func(form pipeline.Form) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { o.Pipeline.Serve(w, r, form) }
	}
	r.Post("/v1/completions", serve(pipeline.Completion))
	r.Post("/v1/chat/completions", serve(pipeline.Chat))
	r.HandleFunc("/v1/services/*", serve(pipeline.Plain))
	r.Get("/v1/models", o.models)
	r.Get("/v1/entry", o.entry)
	r.Post("/v1/tickets", o.mint)
	r.Get("/v1/tickets/{ticket}", o.ask)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, state{State: "alive"}) })
	r.Get("/readyz", o.ready)
	r.Handle("/metrics", o.Metrics)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) { apierr.New(apierr.NotFound, "no such path").Write(w) })
	return r
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}

type state struct {
	State string `json:"state"`
	Why   string `json:"why,omitempty"`
}

func (o *Options) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, why := o.Ready(); !ok {
		writeJSON(w, http.StatusServiceUnavailable, state{"not ready", why})
		return
	}
	writeJSON(w, http.StatusOK, state{State: "ready"})
}

// Entry is the answer to GET /v1/entry.
type Entry struct {
	Addresses []EntryAddress `json:"addresses"`
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds float64 `json:"keep_s"`
}

// EntryAddress is an address to use, best first.
type EntryAddress struct {
	Address    string `json:"address"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
}

// mostEntries bounds the addresses in an answer.
const mostEntries = 8

func (o *Options) entry(w http.ResponseWriter, r *http.Request) {
	members := o.Fleet.EntryMembers(r.URL.Query().Get("data_centre"))
	e := Entry{KeepSeconds: o.EntryKeep.Seconds(), Addresses: []EntryAddress{}}
	for _, m := range members[:min(len(members), mostEntries)] {
		e.Addresses = append(e.Addresses, EntryAddress{m.Address, m.ID, m.DataCentre})
	}
	writeJSON(w, http.StatusOK, e)
}

// Ticket is the answer to POST /v1/tickets.
type Ticket struct {
	Ticket string `json:"ticket"`
	// ExpiresSeconds is how long it is valid.
	ExpiresSeconds float64 `json:"expires_s"`
}

func (o *Options) mint(w http.ResponseWriter, r *http.Request) {
	team, err := pipeline.Authenticate(o.Config, r.Header.Get("Authorization"))
	if err != nil {
		apierr.From(err).Write(w)
		return
	}
	text, ttl := o.Tickets.Mint(team.Name)
	writeJSON(w, http.StatusCreated, Ticket{text, ttl.Seconds()})
}

// ask answers what became of a ticket: the kept response, or an error that says whether
// the call ran.
func (o *Options) ask(w http.ResponseWriter, r *http.Request) {
	team, err := pipeline.Authenticate(o.Config, r.Header.Get("Authorization"))
	if err != nil {
		apierr.From(err).Write(w)
		return
	}
	outcome, err := o.Tickets.Ask(r.Context(), chi.URLParam(r, "ticket"), team.Name)
	if err != nil {
		e := apierr.From(pipeline.OnceError(err))
		w.Header().Set(pipeline.HeaderRan, string(e.Ran))
		e.Write(w)
		return
	}
	w.Header().Set("Content-Type", outcome.ContentType)
	w.Header().Set(pipeline.HeaderRan, string(apierr.DidRun))
	w.WriteHeader(outcome.Status)
	_, _ = w.Write(outcome.Body)
}

// model is an entry of GET /v1/models, in the form of the completions protocol.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (o *Options) models(w http.ResponseWriter, r *http.Request) {
	team, err := pipeline.Authenticate(o.Config, r.Header.Get("Authorization"))
	if err != nil {
		apierr.From(err).Write(w)
		return
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", []model{}}
	for _, d := range o.Config.Deployments() {
		if d.Plain || !d.Serves(team.Name) {
			continue
		}
		list.Data = append(list.Data, model{d.Name, "model", "agateway"})
		for _, a := range d.Adapters() {
			list.Data = append(list.Data, model{d.Name + ":" + a, "model", "agateway"})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

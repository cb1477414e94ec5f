// Package callers serves the HTTP API for callers: generations in the form of the completions
// protocol, calls to plain services, entry addresses, tickets, the list of models, health and
// metrics. Generations and plain calls are handled by package pipeline. Errors have the form of
// package apierr.
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

// Options configures the API. All fields but EntryTTL are required.
type Options struct {
	Pipeline *pipeline.Pipeline
	Config   *config.Config
	Fleet    *fleet.Fleet
	Tickets  *atmostonce.Tickets
	// EntryTTL is how long callers may cache the answer to GET /v1/entry; 0 means not at all.
	EntryTTL time.Duration
	// Metrics serves GET /metrics.
	Metrics http.Handler
	// Ready returns whether this instance is able to serve, and if not, the reason.
	Ready func() (bool, string)
}

// Handler returns the handler of the API.
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
	r.Post("/v1/tickets", o.mintTicket)
	r.Get("/v1/tickets/{ticket}", o.ticketOutcome)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, health{State: "alive"}) })
	r.Get("/readyz", o.readyz)
	r.Handle("/metrics", o.Metrics)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) { apierr.New(apierr.NotFound, "no such path").Write(w) })
	return r
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
}

// health is the answer to GET /healthz and GET /readyz.
type health struct {
	State  string `json:"state"`
	Reason string `json:"why,omitempty"`
}

func (o *Options) readyz(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := o.Ready(); !ok {
		writeJSON(w, http.StatusServiceUnavailable, health{"not ready", reason})
		return
	}
	writeJSON(w, http.StatusOK, health{State: "ready"})
}

// Entry is the answer to GET /v1/entry.
type Entry struct {
	// Addresses are ordered by preference, the best first.
	Addresses []EntryAddress `json:"addresses"`
	// TTLSeconds is how long the answer may be cached.
	TTLSeconds float64 `json:"keep_s"`
}

// EntryAddress is the address of an instance that a caller may use.
type EntryAddress struct {
	Address    string `json:"address"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
}

// maxEntryAddresses bounds the number of addresses in an answer.
const maxEntryAddresses = 8

func (o *Options) entry(w http.ResponseWriter, r *http.Request) {
	members := o.Fleet.EntryMembers(r.URL.Query().Get("data_centre"))
	e := Entry{TTLSeconds: o.EntryTTL.Seconds(), Addresses: []EntryAddress{}}
	for _, m := range members[:min(len(members), maxEntryAddresses)] {
		e.Addresses = append(e.Addresses, EntryAddress{m.Address, m.ID, m.DataCentre})
	}
	writeJSON(w, http.StatusOK, e)
}

// Ticket is the answer to POST /v1/tickets.
type Ticket struct {
	Ticket string `json:"ticket"`
	// ExpiresSeconds is how long the ticket is valid.
	ExpiresSeconds float64 `json:"expires_s"`
}

func (o *Options) mintTicket(w http.ResponseWriter, r *http.Request) {
	team, err := pipeline.Authenticate(o.Config, r.Header.Get("Authorization"))
	if err != nil {
		apierr.From(err).Write(w)
		return
	}
	text, ttl := o.Tickets.Mint(team.Name)
	writeJSON(w, http.StatusCreated, Ticket{text, ttl.Seconds()})
}

// ticketOutcome answers with the outcome of the call that a ticket was used for: the stored
// response, or an error that says whether the call ran.
func (o *Options) ticketOutcome(w http.ResponseWriter, r *http.Request) {
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

// model is an element of the answer to GET /v1/models, in the form of the completions protocol.
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

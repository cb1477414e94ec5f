package front

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/rollouts"
)

// StatePath is where an instance tells what it believes, on its metrics address.
const StatePath = "/state"

// ReleasePath is where a stopped request is let go, by its content, on the metrics address of any instance.
const ReleasePath = "/stopped/{content}/release"

// State is what an instance believes now.
type State struct {
	Instance string `json:"instance"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// Configuration is the version in force, 0 for none; AgeMS is how long ago it was known to be the
	// newest, in milliseconds.
	Configuration uint64 `json:"configuration"`
	AgeMS         int64  `json:"age_ms"`
	Open          int    `json:"open_requests"`
	StoreCalls    uint64 `json:"store_calls"`
	// Follows is the instance that is asked in place of the store; empty for the store itself. CutOff tells that
	// the store does not answer this instance.
	Follows   string          `json:"follows"`
	CutOff    bool            `json:"cut_off"`
	Peers     []exchange.Peer `json:"peers"`
	Endpoints []EndpointState `json:"endpoints"`
	// Stopped are the requests that are stopped, or were and have not been served since.
	Stopped []crashes.State `json:"stopped"`
	// Rollouts are the orders to move services to other builds.
	Rollouts []rollouts.State `json:"rollouts"`
}

// EndpointState is what is believed of an endpoint.
type EndpointState struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Build      string `json:"build,omitempty"`
	Leaving    bool   `json:"leaving"`
	// Suspected endpoints failed this instance a short while ago.
	Suspected bool `json:"suspected"`
	// Load is the number of requests believed to be there, Open those of this instance.
	Load int `json:"load"`
	Open int `json:"open"`
}

// State returns what the instance believes now.
func (f *Front) State() State {
	s := State{
		Instance: f.settings.Instance.ID, Ready: f.ready(), Stopping: f.draining.Load(),
		Open: f.forwarder.OpenRequests(), StoreCalls: f.store.Calls(), Peers: f.exchange.Others(),
		Follows: f.relay.Follows(), CutOff: f.access() == source.StoreUnreachable, Stopped: f.crashes.State(),
	}
	if table, age := f.configuration.Table(); table != nil {
		s.Configuration, s.AgeMS = table.Version(), age.Milliseconds()
	}
	if f.rollouts != nil {
		s.Rollouts = f.rollouts.State()
	}
	for _, e := range f.placement.List() {
		s.Endpoints = append(s.Endpoints, EndpointState{
			ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Build: e.Build,
			Leaving: e.State == routing.Leaving, Suspected: e.Suspected, Load: e.Estimate, Open: e.Open,
		})
	}
	return s
}

func (f *Front) answerState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(f.State()); err != nil {
		f.telemetry.Log.WithError(err).Debug("state not delivered")
	}
}

// answerRelease lets a stopped request go, at all instances.
func (f *Front) answerRelease(w http.ResponseWriter, r *http.Request) {
	if f.crashes.ReleaseContent(chi.URLParam(r, "content")) == 0 {
		http.Error(w, "no stopped request has this content", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

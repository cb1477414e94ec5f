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
	"github.com/agateway/agateway/gateway/sharedqueue"
)

// StatePath is the path on the metrics address where an instance shows its [State].
const StatePath = "/state"

// ReleasePath is the path on the metrics address of any instance where a stopped request, named by
// the hash of its content, is released.
const ReleasePath = "/stopped/{content}/release"

// State is a snapshot of what an instance knows, as the operator's tool reads it.
type State struct {
	Instance string `json:"instance"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// Configuration is the version in force; 0 for none. AgeMS is how many milliseconds ago it was
	// known to be the newest.
	Configuration uint64 `json:"configuration"`
	AgeMS         int64  `json:"age_ms"`
	Open          int    `json:"open_requests"`
	StoreCalls    uint64 `json:"store_calls"`
	// Follows is the instance that is followed instead of the store; empty for the store itself.
	// CutOff says that the store does not answer this instance.
	Follows string `json:"follows"`
	CutOff  bool   `json:"cut_off"`
	// StoreEra is the newest era of the store that is known; 0 if it states none.
	StoreEra uint64 `json:"store_era"`
	// NoEndpoints says that the instance reaches no endpoint, and passes requests on to others.
	NoEndpoints bool            `json:"no_endpoints"`
	Peers       []exchange.Peer `json:"peers"`
	Endpoints   []EndpointState `json:"endpoints"`
	// Stopped are the requests that are stopped now, and those that were and have not been served
	// since.
	Stopped []crashes.State `json:"stopped"`
	// Rollouts are the orders to move services to other builds; empty where rollouts are switched
	// off.
	Rollouts []rollouts.State `json:"rollouts"`
	// Queues is what teams use of the shared queues that this instance owns.
	Queues []sharedqueue.Use `json:"queues,omitempty"`
}

// EndpointState is what an instance knows of an endpoint.
type EndpointState struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Build      string `json:"build,omitempty"`
	Leaving    bool   `json:"leaving"`
	// Suspected says that the endpoint failed requests of this instance a short time ago.
	Suspected bool `json:"suspected"`
	// Load is the estimated number of requests at the endpoint, of all instances. Open is the
	// number of those of this instance.
	Load int `json:"load"`
	Open int `json:"open"`
	// Rate is how many requests a second the endpoint states that it takes from all instances, and
	// MaxRefusals how many refusals in a second it bears; nil where it states none.
	Rate        *float64 `json:"rate,omitempty"`
	MaxRefusals *int     `json:"max_refusals,omitempty"`
}

// State returns a snapshot of what the instance knows.
func (f *Front) State() State {
	s := State{
		Instance: f.settings.Instance.ID, Ready: f.ready(), Stopping: f.draining.Load(),
		Open: f.forwarder.OpenRequests(), StoreCalls: f.store.Calls(), Peers: f.exchange.Others(),
		Follows: f.relay.Follows(), CutOff: f.storeAccess() == source.StoreUnreachable, StoreEra: f.relay.Era(), NoEndpoints: f.reach.CutOff(), Stopped: f.crashes.State(),
	}
	if table, age := f.configuration.Table(); table != nil {
		s.Configuration, s.AgeMS = table.Version(), age.Milliseconds()
	}
	if f.rollouts != nil {
		s.Rollouts = f.rollouts.State()
	}
	if f.queues != nil {
		s.Queues = f.queues.owner.Uses()
	}
	for _, e := range f.placement.List() {
		s.Endpoints = append(s.Endpoints, endpointState(&e))
	}
	return s
}

func endpointState(e *routing.Status) EndpointState {
	s := EndpointState{
		ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Build: e.Build,
		Leaving: e.State == routing.Leaving, Suspected: e.Suspected, Load: e.Estimate, Open: e.Open,
	}
	if e.Limits.HasRate {
		s.Rate = &e.Limits.Rate
	}
	if e.Limits.Fragile {
		s.MaxRefusals = &e.Limits.MaxRefusals
	}
	return s
}

func (f *Front) answerState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(f.State()); err != nil {
		f.telemetry.Log.WithError(err).Debug("could not write the state")
	}
}

// answerRelease releases a stopped request at all instances.
func (f *Front) answerRelease(w http.ResponseWriter, r *http.Request) {
	if f.crashes.ReleaseContent(chi.URLParam(r, "content")) == 0 {
		http.Error(w, "no stopped request has this content", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

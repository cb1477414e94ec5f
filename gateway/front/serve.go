package front

import (
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"

	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/gateway/relay"
	"github.com/agateway/agateway/platform"
)

// compressLeast is the size of an answer to another instance, in bytes, from which it is compressed: smaller ones
// fit a packet as they are.
const compressLeast = 1200

// serve begins to answer on all addresses.
func (f *Front) serve(l *listeners) {
	f.callers = newCallers(f.forwarder, f.configuration, l.callers, f.telemetry.Log)
	f.work.Go(f.callers.run)
	f.handle(l.ready, func(r chi.Router) { r.Get(platform.ReadyPath, f.answerReady) })
	f.handle(l.directory, func(r chi.Router) { r.Get(platform.ResolvePath, f.answerResolve) })
	path, handler := peerv1connect.NewPeerServiceHandler(&relay.Server{Relay: f.relay}, connect.WithCompressMinBytes(compressLeast))
	f.handle(l.calls, func(r chi.Router) { r.Handle(path+"*", handler) })
	if l.metrics != nil {
		f.handle(l.metrics, func(r chi.Router) {
			r.Method(http.MethodGet, "/metrics", f.telemetry.Metrics)
			r.Get(StatePath, f.answerState)
			r.Post(ReleasePath, f.answerRelease)
		})
	}
}

// smallTimeout bounds the header of a small call, and its idle connections.
const smallTimeout = 10 * time.Second

func (f *Front) handle(l net.Listener, routes func(chi.Router)) {
	r := chi.NewRouter()
	routes(r)
	server := &http.Server{Handler: r, ReadHeaderTimeout: smallTimeout, IdleTimeout: smallTimeout, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true) // between instances
	f.servers = append(f.servers, server)
	f.work.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.telemetry.Log.WithError(err).Error("listener failed")
		}
	})
}

func (f *Front) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !f.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// addressesMost is how many addresses a caller is told at the most.
const addressesMost = 64

func (f *Front) answerResolve(w http.ResponseWriter, r *http.Request) {
	place := platform.ReadPlace(r.URL.Query())
	addresses := f.exchange.EntryAddresses(place.DataCentre, place.Region)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeAddresses(addresses[:min(len(addresses), addressesMost)], f.settings.Bounds.Keep)
	if err != nil {
		f.telemetry.Log.WithError(err).Error("addresses can't be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // the caller may be gone
}

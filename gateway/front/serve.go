package front

import (
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"

	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/gateway/forward"
	"github.com/agateway/agateway/gateway/relay"
	"github.com/agateway/agateway/gateway/shed"
	"github.com/agateway/agateway/platform"
)

// compressMinBytes is the size from which answers to other instances are compressed. Smaller ones
// fit one packet uncompressed.
const compressMinBytes = 1200

// serve starts the servers for all addresses.
func (f *Front) serve(l *listeners) {
	f.callers = newCallerServers(f.forwarder, f.configuration, l.callers, f.callersGuard, f.telemetry.Log)
	f.goroutines.Go(f.callers.run)
	f.serveRoutes(l.ready, f.internalGuard, func(r chi.Router) { r.Get(platform.ReadyPath, f.answerReady) })
	f.serveRoutes(l.directory, f.callersGuard, func(r chi.Router) { r.Get(platform.ResolvePath, f.answerResolve) })
	path, handler := peerv1connect.NewPeerServiceHandler(&relay.Server{Relay: f.relay}, connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(limitread.MaxPeerMessage))
	f.servePeers(l.peerCalls, func(r chi.Router) {
		r.Use(f.servePassedOn)
		r.Handle(path+"*", handler)
	})
	if l.metrics != nil {
		f.serveRoutes(l.metrics, f.internalGuard, func(r chi.Router) {
			r.Method(http.MethodGet, "/metrics", f.telemetry.Metrics)
			r.Get(StatePath, f.answerState)
			r.Post(ReleasePath, f.answerRelease)
		})
	}
}

// auxiliaryTimeout bounds the reading of a request's header, and the idle time of a connection, on
// all addresses but the one for callers.
const auxiliaryTimeout = 10 * time.Second

// auxiliaryHeaderBytes bounds the header of a request to the addresses for look-ups, readiness and metrics.
const auxiliaryHeaderBytes = 16 << 10

// serveRoutes serves short requests without bodies.
func (f *Front) serveRoutes(l net.Listener, guard *shed.Guard, routes func(chi.Router)) {
	f.serveWith(&http.Server{ReadTimeout: auxiliaryTimeout, MaxHeaderBytes: auxiliaryHeaderBytes}, l, guard, routes)
}

// servePeers serves the calls of other instances and the requests that they pass on, whose headers are as large as
// those of callers.
func (f *Front) servePeers(l net.Listener, routes func(chi.Router)) {
	server := &http.Server{Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	f.serveWith(server, l, f.internalGuard, routes)
}

func (f *Front) serveWith(server *http.Server, l net.Listener, guard *shed.Guard, routes func(chi.Router)) {
	r := chi.NewRouter()
	routes(r)
	server.Handler, server.ReadHeaderTimeout, server.IdleTimeout = r, auxiliaryTimeout, auxiliaryTimeout
	guard.Serve(server)
	f.servers = append(f.servers, server)
	f.goroutines.Go(func() {
		if err := server.Serve(guard.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
			f.telemetry.Log.WithError(err).Error("listener failed")
		}
	})
}

// servePassedOn hands requests that other instances pass on to the forwarder, whatever their path.
func (f *Front) servePassedOn(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forward.IsPassedOn(r) {
			f.forwarder.ServePeer(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (f *Front) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !f.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// maxAddresses is how many addresses the directory returns at most.
const maxAddresses = 64

func (f *Front) answerResolve(w http.ResponseWriter, r *http.Request) {
	place := platform.ReadClientLocation(r.URL.Query())
	addresses := f.exchange.EntryAddresses(place.DataCentre, place.Region)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeAddresses(addresses[:min(len(addresses), maxAddresses)], f.settings.Bounds.Keep)
	if err != nil {
		f.telemetry.Log.WithError(err).Error("addresses can't be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails if the caller is gone
}

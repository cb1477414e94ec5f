// Package daemon puts an entry instance together and runs it.
//
// Failure modes: an address that can't be listened on ends the start with an error; the
// platform being down does not (the configuration comes from peers, or later).
package daemon

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/agateway/agateway/api/operator/v1/operatorv1connect"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/lease"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/backends"
	"github.com/agateway/agateway/gateway/callers"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/fleet"
	"github.com/agateway/agateway/gateway/generations"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/operator"
	"github.com/agateway/agateway/gateway/orders"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/peering"
	"github.com/agateway/agateway/gateway/peers"
	"github.com/agateway/agateway/gateway/pipeline"
	"github.com/agateway/agateway/gateway/platform"
	"github.com/agateway/agateway/gateway/settings"
	"github.com/agateway/agateway/gateway/telemetry"
)

// Daemon is a running entry instance.
type Daemon struct {
	// Callers and Peers are the addresses listened on.
	Callers, Peers string

	Config   *config.Config
	Fleet    *fleet.Fleet
	Backends *backends.Backends
	Pool     *peers.Pool
	Pipeline *pipeline.Pipeline
	Tickets  *atmostonce.Tickets
	Orders   *orders.Controller

	settings  *settings.Settings
	telemetry *telemetry.Telemetry
	network   network.Network
	platform  *platform.Objects
	running   *generations.Directory
	crashes   *crashes.Registry
	peering   *peering.Service
	servers   []*http.Server
	cancel    context.CancelFunc
	closing   chan struct{} // closed when the drain begins
	work      sync.WaitGroup
}

// Start listens and runs an instance. Logs go to out.
func Start(s *settings.Settings, n network.Network, out io.Writer) (*Daemon, error) {
	t, err := telemetry.New(s, out)
	if err != nil {
		return nil, err
	}
	callersAt, err := n.Listen(s.Instance.Callers)
	if err != nil {
		return nil, err
	}
	peersAt, err := n.Listen(s.Instance.Peers)
	if err != nil {
		_ = callersAt.Close()
		return nil, err
	}
	d := &Daemon{Callers: callersAt.Addr().String(), Peers: peersAt.Addr().String(), settings: s, telemetry: t, network: n, closing: make(chan struct{})}
	d.build()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.serve(callersAt, d.callersHandler(), nil)
	d.serve(peersAt, d.peersHandler(), peerProtocols())
	d.run(ctx)
	t.Log.WithField("callers", d.Callers).WithField("peers", d.Peers).Info("started")
	return d, nil
}

func peerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// build makes the parts and joins them.
func (d *Daemon) build() {
	s, t := d.settings, d.telemetry
	d.platform = platform.NewObjects(s.Platform.URL, s.Platform.Timeout, d.network)
	d.Pool = peers.NewPool(s.Keys.Peer, s.Peers.Timeout, d.network)
	client := endpoint.NewClient(s.Endpoints.ConnectTimeout, d.network)
	d.Config = config.New(d.platform, t.Log, t.Scope, func(r []revision.Record) { d.peering.Spread(r) })
	d.buildFleet()
	view := routing.DefaultSettings()
	view.QueueFactor = s.Endpoints.QueueFactor
	d.Backends = backends.New(backends.Options{
		Client: client, Settings: view, Poll: s.Endpoints.Poll, StatusTimeout: s.Endpoints.StatusTimeout,
		Subset: s.Endpoints.Subset, Instance: s.Instance.ID, Log: t.Log, Scope: t.Scope, Seed: rand.Uint64(),
	})
	d.Orders = orders.New(orders.Options{
		Name: s.Instance.ID, Lease: lease.DefaultSettings(), Planner: lease.DefaultPlannerSettings(), Platform: d.platform,
		Config: d.Config, Backends: d.Backends, Client: client, Log: t.Log, Scope: t.Scope, Candidate: d.reads,
	})
	d.running = generations.New(generations.Options{
		Settings: directory.DefaultSettings(), Fleet: d.Fleet, Pool: d.Pool, Timeout: s.Peers.Timeout, Scope: t.Scope,
		CancelOrphan: func(_ context.Context, e directory.Entry) {
			d.Backends.Cancel(e.Place.Endpoint, e.Place.Stream, e.Place.Attempt)
		},
	})
	run := func(ctx context.Context, c *atmostonce.Call) atmostonce.Result { return d.Pipeline.RunCall(ctx, c) }
	d.Tickets = atmostonce.NewTickets(atmostonce.Options{
		Key: []byte(s.Keys.Cursor), MaxEntries: s.Tickets.Entries, MaxOutcomeBytes: s.Tickets.Bytes, MaxKeptBodyBytes: s.Tickets.BodyKept,
		TTL: s.Tickets.TTL, Fleet: d.Fleet, Pool: d.Pool, Timeout: s.Peers.Timeout, Run: run, Scope: t.Scope,
	})
	met := make(chan struct{})
	close(met) // the list of instances does not say which requests are stopped
	d.crashes = crashes.New(crashes.Options{
		Settings: crashers.DefaultSettings(), Self: s.Instance.ID, Store: d.platform.Store(),
		Discovered: func() <-chan struct{} { return met },
		Instances:  func() (int, int) { n := len(d.Fleet.Others()) + 1; return n, n },
		Broadcast:  func(facts []crashers.Fact, complete bool) { d.peering.SpreadCrashes(facts, complete) },
		OnStopped:  func(crashers.Request) {}, Log: t.Log, Scope: t.Scope,
	})
	d.Pipeline = pipeline.New(&pipeline.Deps{
		Settings: s, Config: d.Config, Backends: d.Backends, Client: client, Crashes: d.crashes, Fleet: d.Fleet, Running: d.running,
		Tickets: d.Tickets, Claims: &atmostonce.Claims{Platform: d.platform, Run: run, MaxKeptBodyBytes: s.Tickets.BodyKept, Scope: t.Scope},
		Tracer: t.Tracer, Scope: t.Scope, Log: t.Log,
	})
	d.peering = &peering.Service{
		Config: d.Config, Fleet: d.Fleet, Running: d.running, Tickets: d.Tickets, Pool: d.Pool,
		Timeout: s.Peers.Timeout, Scope: t.Scope, Lists: d.lists(), Crashes: d.crashes,
	}
}

func (d *Daemon) buildFleet() {
	s, t := d.settings, d.telemetry
	set := membership.DefaultSettings()
	set.Interval = s.Peers.Interval
	d.Fleet = fleet.New(fleet.Options{
		Self: membership.Member{
			ID: s.Instance.ID, DataCentre: s.Instance.DataCentre, Address: d.Callers, PeerAddress: d.Peers,
			Process: rand.Uint64(), Incarnation: uint64(time.Now().UnixNano()),
		},
		Settings: set, Timeout: s.Peers.Timeout, Seeds: s.Peers.Seeds, Pool: d.Pool, Log: t.Log, Scope: t.Scope,
		Stats:            d.figures,
		OnConfigMismatch: func(m membership.Member) { d.peering.Pull(m) },
	})
}

func (d *Daemon) figures() fleet.Stats {
	return fleet.Stats{OpenRequests: uint32(d.Pipeline.OpenRequests()), ConfigDigest: d.Config.Digest(), Usage: d.Pipeline.Usage()}
}

func (d *Daemon) lists() *peering.Lists {
	return &peering.Lists{
		Platform: d.platform, Pool: d.Pool, Timeout: d.settings.Peers.Timeout, Every: d.settings.Platform.List,
		Readers: d.readers, Take: d.takeList,
	}
}

// readers returns the instances of this data centre that read the platform: the few that
// rank highest among the live ones.
func (d *Daemon) readers() ([]membership.Member, bool) {
	self := d.Fleet.Self()
	byID := map[string]membership.Member{}
	var ids []string
	for _, m := range d.Fleet.Members() {
		if m.DataCentre == self.DataCentre && m.State == membership.Alive && !m.Leaving {
			ids = append(ids, m.ID)
			byID[m.ID] = m
		}
	}
	var out []membership.Member
	reads := len(ids) == 0
	for _, id := range directory.Rank(directory.Key{ID: "readers"}, ids, d.settings.Platform.Watchers) {
		if id == self.ID {
			reads = true
			continue
		}
		out = append(out, byID[id])
	}
	return out, reads
}

// takeList takes the platform's list: endpoints, and members to try.
func (d *Daemon) takeList(ctx context.Context, listed []platform.Listed) {
	var members []membership.Member
	for _, l := range listed {
		if l.Role == platform.RoleGateway {
			members = append(members, membership.Member{ID: l.ID, PeerAddress: l.Address, DataCentre: l.DataCentre, Leaving: l.Leaving})
		}
	}
	d.Fleet.Seed(members)
	d.Backends.SetList(ctx, listed)
}

func (d *Daemon) callersHandler() http.Handler {
	path, handler := operatorv1connect.NewOperatorServiceHandler(&operator.Service{
		Config: d.Config, Fleet: d.Fleet, Backends: d.Backends,
		Closing:           d.closing,
		PlatformReachable: func() bool { return d.platform.Reachable(d.settings.Platform.Watch + d.settings.Platform.Timeout) },
	})
	mux := http.NewServeMux()
	mux.Handle(path, operator.Authorize(d.settings.Keys.Operator, handler))
	mux.Handle("/", callers.Handler(callers.Options{
		Pipeline: d.Pipeline, Config: d.Config, Fleet: d.Fleet, Tickets: d.Tickets,
		EntryTTL: d.settings.Callers.EntryKeep, Metrics: d.telemetry.Metrics, Ready: d.ready,
	}))
	return mux
}

// ready tells whether this instance has a configuration to serve by.
func (d *Daemon) ready() (bool, string) {
	if d.Config.Digest() == 0 {
		return false, "no configuration yet"
	}
	if d.Fleet.Self().Leaving {
		return false, "leaving"
	}
	return true, ""
}

func (d *Daemon) peersHandler() http.Handler {
	path, handler := peerv1connect.NewPeerServiceHandler(d.peering)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	return peers.Authorize(d.settings.Keys.Peer, mux)
}

func (d *Daemon) serve(l net.Listener, h http.Handler, p *http.Protocols) {
	const headerTimeout = 10 * time.Second
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, Protocols: p}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.telemetry.Log.WithError(err).Error("listener failed")
		}
	}()
}

// run starts the parts that work on their own.
func (d *Daemon) run(ctx context.Context) {
	sweeper := &atmostonce.Sweeper{
		Platform: d.platform, Enabled: d.Orders.HoldsLease, TTL: d.settings.Tickets.ClaimTTL, Interval: sweepEvery, DeletesPerSecond: sweepRate, Scope: d.telemetry.Scope,
	}
	parts := []func(context.Context){d.shareEndpoints, sweeper.Run, d.Orders.Run, d.Fleet.Run, d.running.Run, d.peering.Lists.Run, d.follow, d.crashes.Run, d.peering.AskCrashes}
	if d.settings.Instance.Register {
		parts = append(parts, d.register)
	}
	for _, p := range parts {
		d.work.Go(func() { p(ctx) })
	}
}

// Sweeps of old claims: often enough, and well below what the platform takes.
const (
	sweepEvery = 10 * time.Minute
	sweepRate  = 20
)

const watchPause = 100 * time.Millisecond

// follow reads the configuration once, and then watches when it is this instance's turn.
func (d *Daemon) follow(ctx context.Context) {
	if err := d.Config.Load(ctx); err != nil {
		d.telemetry.Log.WithError(err).Warn("the platform gave no configuration; waiting for it and for peers")
	}
	d.Config.Follow(ctx, config.Sync{Wait: d.settings.Platform.Watch, Pause: watchPause, Watches: d.reads})
}

// reads tells whether this instance is one of those of its data centre that read the platform.
func (d *Daemon) reads() bool {
	_, reads := d.readers()
	return reads
}

const shareEvery = time.Second

// shareEndpoints keeps each instance's own part of the endpoints in step with the members.
func (d *Daemon) shareEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		ids := []string{}
		for _, m := range d.Fleet.Others() {
			if !m.Leaving {
				ids = append(ids, m.ID)
			}
		}
		d.Backends.SetMembers(ids)
		pause.For(ctx, shareEvery)
	}
}

// Registration in the platform's list.
const (
	registerEvery = 5 * time.Second
	registerTTL   = 15 * time.Second
)

func (d *Daemon) register(ctx context.Context) {
	d.registerOnce(ctx)
	pause.Every(ctx, registerEvery, func() { d.registerOnce(ctx) })
}

func (d *Daemon) registerOnce(ctx context.Context) {
	self := d.Fleet.Self()
	entry := platform.Listed{ID: self.ID, Role: platform.RoleGateway, Address: d.Peers, DataCentre: self.DataCentre, Leaving: self.Leaving}
	if err := d.platform.Register(ctx, entry, registerTTL); err != nil {
		d.telemetry.Log.WithError(err).Warn("own entry not renewed; tried again soon")
	}
}

// Drain shuts down gracefully: it leaves the entry answers, refuses new requests after a
// while, lets those in progress end, and hands its ticket outcomes over.
func (d *Daemon) Drain(ctx context.Context) {
	log := d.telemetry.Log
	log.Info("leaving")
	d.Fleet.Leave(ctx)
	pause.For(ctx, d.settings.Callers.DrainAnnounce)
	d.Pipeline.Drain()
	close(d.closing)
	drain, cancel := context.WithTimeout(ctx, d.settings.Callers.Drain)
	defer cancel()
	if err := d.servers[0].Shutdown(drain); err != nil {
		log.WithField("open", d.Pipeline.OpenRequests()).Error("requests were still in progress when the time to drain was over")
	}
	d.Tickets.HandOver(ctx)
	log.Info("drained")
	d.Close()
}

// Close ends the instance at once, as a crash does.
func (d *Daemon) Close() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.work.Wait()
	d.telemetry.Close()
}

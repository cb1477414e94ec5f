// Package daemon assembles an entry instance from its parts and runs it.
//
// Failure modes: if an address can't be listened on, the start fails with an error. If the
// platform is down, the instance starts nevertheless and receives its configuration from peers, or
// from the platform later.
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

	"connectrpc.com/connect"

	"github.com/agateway/agateway/api/operator/v1/operatorv1connect"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/lease"
	"github.com/agateway/agateway/core/limitread"
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
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/gateway/generations"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/operator"
	"github.com/agateway/agateway/gateway/orders"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/peering"
	"github.com/agateway/agateway/gateway/peers"
	"github.com/agateway/agateway/gateway/pipeline"
	"github.com/agateway/agateway/gateway/platform"
	"github.com/agateway/agateway/gateway/restore"
	"github.com/agateway/agateway/gateway/settings"
	"github.com/agateway/agateway/gateway/shed"
	"github.com/agateway/agateway/gateway/telemetry"
	"github.com/agateway/agateway/gateway/unusable"
)

// Daemon is a running entry instance.
type Daemon struct {
	// Callers and Peers are the addresses that the instance listens on for callers and for peers.
	Callers, Peers string

	Config   *config.Config
	Fleet    *fleet.Fleet
	Backends *backends.Backends
	Pool     *peers.Pool
	Pipeline *pipeline.Pipeline
	Tickets  *atmostonce.Tickets
	Orders   *orders.Controller

	settings   *settings.Settings
	telemetry  *telemetry.Telemetry
	network    network.Network
	platform   *platform.Objects
	running    *generations.Directory
	crashes    *crashes.Registry
	restore    *restore.Loop
	peering    *peering.Service
	servers    []*http.Server
	guards     []*shed.Guard
	cancel     context.CancelFunc
	closing    chan struct{} // closed when the instance refuses new requests
	background sync.WaitGroup
}

// Start listens on the addresses in s and runs an instance until [Daemon.Drain] or [Daemon.Close].
// It writes its logs to out. It returns an error if the log level or the trace exporter is
// invalid, or if an address can't be listened on.
func Start(s *settings.Settings, n network.Network, out io.Writer) (*Daemon, error) {
	t, err := telemetry.New(s, out)
	if err != nil {
		return nil, err
	}
	callersListener, err := n.Listen(s.Instance.Callers)
	if err != nil {
		return nil, err
	}
	peersListener, err := n.Listen(s.Instance.Peers)
	if err != nil {
		_ = callersListener.Close()
		return nil, err
	}
	d := &Daemon{Callers: callersListener.Addr().String(), Peers: peersListener.Addr().String(), settings: s, telemetry: t, network: n, closing: make(chan struct{})}
	d.build()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	callersGuard, peersGuard := d.newGuards()
	d.serve(callersListener, &http.Server{Handler: d.callersHandler(), MaxHeaderBytes: s.Callers.HeaderLimit}, callersGuard)
	d.serve(peersListener, &http.Server{Handler: d.peersHandler(), MaxHeaderBytes: maxPeerHeaderBytes, Protocols: peerProtocols()}, peersGuard)
	d.startBackground(ctx)
	t.Log.WithField("callers", d.Callers).WithField("peers", d.Peers).Info("started")
	return d, nil
}

func peerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// build creates the parts and connects them. Their callbacks refer to fields of d that may be set
// later, so no part may run before build has returned.
func (d *Daemon) build() {
	s, t := d.settings, d.telemetry
	d.platform = platform.NewObjects(s.Platform.URL, s.Platform.Timeout, d.network)
	d.platform.Unusable = unusable.New(t.Log, t.Scope)
	d.Pool = peers.NewPool(s.Keys.Peer, s.Peers.Timeout, d.network)
	client := endpoint.NewClient(s.Endpoints.ConnectTimeout, d.network)
	d.Config = config.New(d.platform, t.Log, t.Scope, func(r []revision.Record) { d.peering.PushRecords(r) })
	d.buildFleet()
	routingSettings := routing.DefaultSettings()
	routingSettings.QueueFactor = s.Endpoints.QueueFactor
	d.Backends = backends.New(backends.Options{
		Client: client, Settings: routingSettings, Poll: s.Endpoints.Poll, StatusTimeout: s.Endpoints.StatusTimeout,
		Subset: s.Endpoints.Subset, Instance: s.Instance.ID, Log: t.Log, Scope: t.Scope, Seed: rand.Uint64(),
	})
	d.Orders = orders.New(orders.Options{
		Name: s.Instance.ID, Lease: lease.DefaultSettings(), Planner: lease.DefaultPlannerSettings(), Platform: d.platform,
		Config: d.Config, Backends: d.Backends, Client: client, Log: t.Log, Scope: t.Scope, Candidate: d.isPlatformReader,
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
	discovered := make(chan struct{})
	close(discovered) // nothing to wait for: the list of instances doesn't name stopped requests
	d.crashes = crashes.New(crashes.Options{
		Settings: crashers.DefaultSettings(), Self: s.Instance.ID, Store: d.platform.Store(),
		Discovered: func() <-chan struct{} { return discovered },
		Instances:  func() (int, int) { n := len(d.Fleet.Others()) + 1; return n, n },
		Broadcast:  func(facts []crashers.Fact, complete bool) { d.peering.BroadcastCrashes(facts, complete) },
		OnStopped:  func(crashers.Subject) {}, Log: t.Log, Scope: t.Scope, Unusable: d.platform.Unusable,
	})
	claims := &atmostonce.Claims{Platform: d.platform, Run: run, MaxKeptBodyBytes: s.Tickets.BodyKept, Scope: t.Scope, Log: t.Log}
	d.restore = restore.New(restore.Options{
		Hold: follow.ReturnHold, LongerRunning: d.longerRunning, StoreAnswers: func() bool { return true }, Write: d.crashes.RestoreStops,
	})
	d.platform.OnReturn(func() {
		t.Log.Warn("the platform's store has returned from an older copy")
		claims.StoreReturned(context.Background())
		d.restore.StoreReturned()
	})
	d.Pipeline = pipeline.New(&pipeline.Deps{
		Settings: s, Config: d.Config, Backends: d.Backends, Client: client, Crashes: d.crashes, Fleet: d.Fleet, Running: d.running,
		Tickets: d.Tickets, Claims: claims,
		Tracer: t.Tracer, Scope: t.Scope, Log: t.Log,
	})
	d.peering = &peering.Service{
		Config: d.Config, Fleet: d.Fleet, Running: d.running, Tickets: d.Tickets, Pool: d.Pool,
		Timeout: s.Peers.Timeout, Scope: t.Scope, Instances: d.newLists(), Crashes: d.crashes,
	}
}

// longerRunning returns how many other instances that are alive have run longer than this one.
func (d *Daemon) longerRunning() int {
	self := d.Fleet.Self()
	longer := 0
	for _, m := range d.Fleet.Others() {
		if m.Start().Before(self.Start()) {
			longer++
		}
	}
	return longer
}

func (d *Daemon) buildFleet() {
	s, t := d.settings, d.telemetry
	membershipSettings := membership.DefaultSettings()
	membershipSettings.Interval = s.Peers.Interval
	d.Fleet = fleet.New(fleet.Options{
		Self: membership.Member{
			ID: s.Instance.ID, DataCentre: s.Instance.DataCentre, Address: d.Callers, PeerAddress: d.Peers,
			Process: rand.Uint64(), Incarnation: uint64(time.Now().UnixNano()),
		},
		Settings: membershipSettings, Timeout: s.Peers.Timeout, Seeds: s.Peers.Seeds, Pool: d.Pool, Log: t.Log, Scope: t.Scope,
		Stats:            d.stats,
		OnConfigMismatch: func(m membership.Member) { d.peering.PullRecords(m) },
	})
}

func (d *Daemon) stats() fleet.Stats {
	return fleet.Stats{OpenRequests: uint32(d.Pipeline.OpenRequests()), ConfigDigest: d.Config.Digest(), Usage: d.Pipeline.Usage()}
}

func (d *Daemon) newLists() *peering.InstanceList {
	return &peering.InstanceList{
		Platform: d.platform, Pool: d.Pool, Timeout: d.settings.Peers.Timeout, Interval: d.settings.Platform.List,
		Readers: d.platformReaders, OnChange: d.applyList,
	}
}

// platformReaders returns the other instances of this data centre that read the platform, and
// whether this instance does. Readers are the few live instances that rank highest by rendezvous
// hash, so the load on the platform does not grow with the number of instances. If no instance
// qualifies, for example while the only one is leaving, this instance reads.
func (d *Daemon) platformReaders() ([]membership.Member, bool) {
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
	isReader := len(ids) == 0
	for _, id := range directory.Rank(directory.Key{ID: "readers"}, ids, d.settings.Platform.Watchers) {
		if id == self.ID {
			isReader = true
			continue
		}
		out = append(out, byID[id])
	}
	return out, isReader
}

// applyList applies the platform's list: its gateways become seeds of the membership, and its
// endpoints those of the backends.
func (d *Daemon) applyList(ctx context.Context, listed []platform.Listed) {
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

// ready reports whether this instance can serve: it has a configuration and is not leaving. If it
// can't, it also returns the reason.
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
	path, handler := peerv1connect.NewPeerServiceHandler(d.peering, connect.WithReadMaxBytes(limitread.MaxPeerMessage))
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	return peers.Authorize(d.settings.Keys.Peer, mux)
}

// idleTimeout bounds how long a connection stays open between two requests.
const idleTimeout = 2 * time.Minute

// maxPeerHeaderBytes bounds the header of a call of another instance.
const maxPeerHeaderBytes = 64 << 10

// newGuards returns the bounds on the connections of callers and operators, and on those of other instances.
func (d *Daemon) newGuards() (callers, peers *shed.Guard) {
	callersLimits, peersLimits := shed.Limits(d.settings.Process.Memory, d.settings.Process.Descriptors)
	o := shed.Options{Name: "callers", Settings: callersLimits, ReceiveBuffer: shed.CallersReceiveBuffer, RetryAfter: pipeline.RetryAfterText, Log: d.telemetry.Log, Scope: d.telemetry.Scope}
	callers = shed.New(o)
	o.Name, o.Settings, o.ReceiveBuffer = "internal", peersLimits, 0
	o.TrustedBodies = true // of calls that show the key of the fleet, of up to limitread.MaxPeerMessage
	return callers, shed.New(o)
}

// serve serves the connections of a listener within the bounds of a guard.
func (d *Daemon) serve(l net.Listener, server *http.Server, guard *shed.Guard) {
	const headerTimeout = 10 * time.Second
	server.ReadHeaderTimeout, server.IdleTimeout = headerTimeout, idleTimeout
	guard.Serve(server)
	d.servers = append(d.servers, server)
	d.guards = append(d.guards, guard)
	go func() {
		if err := server.Serve(guard.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
			d.telemetry.Log.WithError(err).Error("listener failed")
		}
	}()
}

// startBackground starts the loops of the parts. They run until ctx ends.
func (d *Daemon) startBackground(ctx context.Context) {
	sweeper := &atmostonce.Sweeper{
		Platform: d.platform, Enabled: d.Orders.HoldsLease, TTL: d.settings.Tickets.ClaimTTL, Interval: sweepInterval, DeletesPerSecond: sweptPerSecond, Scope: d.telemetry.Scope,
	}
	loops := []func(context.Context){d.updateSubsets, sweeper.Run, d.Orders.Run, d.Fleet.Run, d.running.Run, d.peering.Instances.Run, d.followConfig, d.crashes.Run, d.restore.Run, d.peering.PollCrashes}
	if d.settings.Instance.Register {
		loops = append(loops, d.register)
	}
	for _, g := range d.guards {
		loops = append(loops, g.Run)
	}
	for _, p := range loops {
		d.background.Go(func() { p(ctx) })
	}
}

// Old claims are swept often enough to bound their number. The rate, in deletions per second,
// stays well below what the platform can handle.
const (
	sweepInterval  = 10 * time.Minute
	sweptPerSecond = 20
)

const watchRetryPause = 100 * time.Millisecond

// followConfig loads the configuration once. Afterwards it watches the platform for as long as
// this instance is one of the platform's readers.
func (d *Daemon) followConfig(ctx context.Context) {
	if err := d.Config.Load(ctx); err != nil {
		d.telemetry.Log.WithError(err).Warn("failed to load the configuration from the platform; waiting for the platform or a peer")
	}
	d.Config.Follow(ctx, config.FollowOptions{WatchTimeout: d.settings.Platform.Watch, RetryPause: watchRetryPause, Watches: d.isPlatformReader})
}

// isPlatformReader reports whether this instance is one of those of its data centre that read the
// platform.
func (d *Daemon) isPlatformReader() bool {
	_, isReader := d.platformReaders()
	return isReader
}

const subsetInterval = time.Second

// updateSubsets tells the backends periodically which instances are live, since each instance's
// own subset of the endpoints depends on it.
func (d *Daemon) updateSubsets(ctx context.Context) {
	for ctx.Err() == nil {
		ids := []string{}
		for _, m := range d.Fleet.Others() {
			if !m.Leaving {
				ids = append(ids, m.ID)
			}
		}
		d.Backends.SetMembers(ids)
		pause.For(ctx, subsetInterval)
	}
}

// An entry in the platform's list expires after three registration intervals without a renewal.
const (
	registerInterval = 5 * time.Second
	registerTTL      = 15 * time.Second
)

func (d *Daemon) register(ctx context.Context) {
	d.registerOnce(ctx)
	pause.Every(ctx, registerInterval, func() { d.registerOnce(ctx) })
}

func (d *Daemon) registerOnce(ctx context.Context) {
	self := d.Fleet.Self()
	entry := platform.Listed{ID: self.ID, Role: platform.RoleGateway, Address: d.Peers, DataCentre: self.DataCentre, Leaving: self.Leaving}
	if err := d.platform.Register(ctx, entry, registerTTL); err != nil {
		d.telemetry.Log.WithError(err).Warn("failed to renew this instance's entry in the platform's list; will retry")
	}
}

// Drain shuts down gracefully. It announces that the instance is leaving, waits until peers and
// callers have learned it, and then refuses new requests. It waits for the requests in progress,
// but at most for the configured drain time, and hands the outcomes of its tickets over to peers.
// Finally it closes the instance.
func (d *Daemon) Drain(ctx context.Context) {
	log := d.telemetry.Log
	log.Info("leaving")
	d.Fleet.Leave(ctx)
	pause.For(ctx, d.settings.Callers.DrainAnnounce)
	d.Pipeline.Drain()
	close(d.closing)
	drainCtx, cancel := context.WithTimeout(ctx, d.settings.Callers.Drain)
	defer cancel()
	if err := d.servers[0].Shutdown(drainCtx); err != nil {
		log.WithField("open", d.Pipeline.OpenRequests()).Error("drain time exceeded with requests still in progress")
	}
	d.Tickets.HandOver(ctx)
	log.Info("drained")
	d.Close()
}

// Close stops the instance at once, without a drain. To callers and peers it looks like a crash.
func (d *Daemon) Close() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.background.Wait()
	d.telemetry.Close()
}

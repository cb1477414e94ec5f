// Package front assembles and runs an instance that forwards requests on a platform.
//
// An address that can't be listened on makes the start fail. An unreachable store does not: until a
// configuration is known, the instance is not ready and refuses requests with status 503.
package front

import (
	"cmp"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/answerhead"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/decisions"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/gateway/forward"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/peers"
	"github.com/agateway/agateway/gateway/placement"
	"github.com/agateway/agateway/gateway/reach"
	"github.com/agateway/agateway/gateway/relay"
	"github.com/agateway/agateway/gateway/restore"
	"github.com/agateway/agateway/gateway/rollouts"
	"github.com/agateway/agateway/gateway/settings"
	"github.com/agateway/agateway/gateway/shed"
	"github.com/agateway/agateway/gateway/telemetry"
	"github.com/agateway/agateway/gateway/unusable"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("front")
	// ErrListen says that an address of the settings can't be listened on.
	ErrListen = namespace.NewType("listen")
)

// Front is a running instance.
type Front struct {
	settings  *settings.Front
	env       Environment
	telemetry *telemetry.Telemetry
	logWriter *decisions.Writer
	decisions *decisions.Log

	store         *platform.Store
	configuration *follow.Configuration
	endpoints     *follow.Endpoints
	placement     *placement.Placement
	pool          *upstream.Pool
	reach         *reach.Monitor
	forwarder     *forward.Forwarder
	exchange      *exchange.Exchange
	crashes       *crashes.Registry
	// queues is nil where the settings switch the shared queue off.
	queues *sharedQueues
	// rollouts and rolloutOrders are nil where the settings switch rollouts off or set no bounds
	// for them.
	rollouts      *rollouts.Controller
	rolloutOrders *follow.Rollouts
	mirror        *follow.Mirror
	relay         *relay.Relay
	// restore writes again what instances had written and the store has lost.
	restore *restore.Loop
	// sourceRegained tells that the store, or an instance that is followed, answers again.
	sourceRegained pause.Signal

	// synced is closed once the configuration, the rollouts and a list of endpoints that is not
	// empty have been read.
	synced          chan struct{}
	syncedOnce      sync.Once
	memoryLimitOnce sync.Once

	// callersGuard bounds what callers make the process hold, internalGuard what other instances, the platform and
	// operators do.
	callersGuard, internalGuard *shed.Guard

	callers    *callerServers
	servers    []*http.Server
	draining   atomic.Bool
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Environment holds what an instance takes from the operating system, so that tests can replace it.
type Environment struct {
	Network network.Network
	// Clock returns a monotonic time that also advances while the machine is suspended.
	Clock clock.Func
	// Out receives the log lines.
	Out io.Writer
}

// Start listens on all addresses of the settings and runs an instance. It returns [ErrListen] if an
// address can't be listened on. The caller ends the instance with Drain or Close.
func Start(s *settings.Front, env Environment) (*Front, error) {
	f := &Front{settings: s, env: env, logWriter: decisions.NewWriter(env.Out), synced: make(chan struct{})}
	t, err := telemetry.NewFront(s, f.logWriter)
	if err != nil {
		return nil, err
	}
	f.telemetry = t
	time.AfterFunc(memoryLimitDelay, f.limitMemory)
	listeners, err := listen(s, env.Network)
	if err != nil {
		return nil, err
	}
	f.build(listeners)
	f.serve(listeners)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	loops := []func(context.Context){f.exchange.Run, f.crashes.Run, f.runFollowers, f.reach.Run, f.decisions.Run, f.sweepConnections, f.tuneMemory, f.callersGuard.Run, f.internalGuard.Run}
	if s.Mechanisms.Restore {
		loops = append(loops, f.restore.Run)
	}
	if f.rollouts != nil {
		loops = append(loops, f.rollouts.Run)
	}
	if f.queues != nil {
		loops = append(loops, f.queues.client.Run, f.queues.owner.Run)
	}
	for _, run := range loops {
		f.goroutines.Go(func() { run(ctx) })
	}
	t.Log.WithField("callers", s.Listen.Callers).WithField("store", s.Store.Address).Info("started")
	return f, nil
}

// listeners holds a listener for each address of the settings. metrics is nil where the settings
// name no address for it.
type listeners struct {
	callers, ready, directory, metrics net.Listener
	// Other instances use one address for both: datagrams (UDP) and calls (TCP).
	peerDatagrams net.PacketConn
	peerCalls     net.Listener
}

func listen(s *settings.Front, n network.Network) (*listeners, error) {
	l := &listeners{}
	for _, a := range []struct {
		target  *net.Listener
		address string
	}{
		{&l.callers, s.Listen.Callers}, {&l.ready, s.Listen.Ready}, {&l.directory, s.Listen.Directory}, {&l.metrics, s.Listen.Metrics},
		{&l.peerCalls, s.Listen.Peers},
	} {
		if a.address == "" {
			continue
		}
		var err error
		if *a.target, err = n.Listen(a.address); err != nil {
			return nil, ErrListen.Wrap(err, "can't listen on %s", a.address)
		}
	}
	var err error
	if l.peerDatagrams, err = n.ListenPacket(s.Listen.Peers); err != nil {
		return nil, ErrListen.Wrap(err, "can't listen on %s", s.Listen.Peers)
	}
	return l, nil
}

// keyBoundShare is the part of Bounds.Revoke that the proof of the configuration may age while
// requests with keys are still served. The rest covers two delays: a watch may report no change for
// up to a second after there was one, as the store's documentation allows, and the request takes
// time to reach the endpoint.
const keyBoundShare = 0.78

// denyBoundShare is the part of Bounds.Apply that the proof of the configuration may age while
// requests are still denied for good (401, 404).
const denyBoundShare = 0.85

// build creates the components and connects them.
func (f *Front) build(l *listeners) {
	s, t := f.settings, f.telemetry
	dial := network.DialerWithTimeout(f.env.Network, s.Streams.Connect)
	f.decisions = decisions.New(t.Log)
	f.store = platform.NewStore(s.Store.Address, s.Store.Timeout, answerhead.NewTransport(platform.NewTransport(network.DialerWithTimeout(f.env.Network, s.Store.Timeout))))
	f.store.Observe(f.countStoreCall)
	if !s.Mechanisms.Eras {
		f.store.IgnoreEras()
	}
	routingSettings := routing.DefaultSettings()
	routingSettings.SharedSilence = s.Mechanisms.SharedSilence
	routingSettings.Choices, routingSettings.Deadlines = routingChoices, s.Overload.Deadlines
	routingSettings.Speeds = s.Overload.Speeds
	routingSettings.DeadlinesOnlyRanked = s.Overload.OnlyRanked
	routingSettings.QueueFactor, routingSettings.FallBackToSuspected, routingSettings.ByPrompt = queueFactor, true, s.Mechanisms.ByPrompt
	if !s.Mechanisms.Doubt {
		routingSettings.SuspicionPenalty = 0
	}
	f.placement = placement.New(routingSettings, rand.Uint64())
	f.placement.OnDeparture(f.onDeparture)
	f.callersGuard, f.internalGuard = f.newGuards()
	f.pool = upstream.NewPool(dial)
	f.pool.Unbounded = !s.Mechanisms.AnswerBounds
	malformedAnswers := t.Scope.Counter("answers_malformed_total")
	f.pool.OnMalformed = func() { malformedAnswers.Inc(1) }
	f.reach = reach.New(reach.Options{Dial: dial, Sample: f.placement.Sample, OnChange: f.onReachChange, Log: t.Log, Scope: t.Scope})
	f.mirror = follow.NewMirror(f.env.Clock, func() time.Duration { return s.WatchWait() + staleMargin + f.relay.Slack() })
	odd := unusable.New(t.Log, t.Scope)
	followOptions := follow.Options{Source: f.source, First: f.firstSource, Regained: &f.sourceRegained, Mirror: f.mirror, Wait: s.WatchWait(), Now: f.env.Clock, Log: t.Log, Unusable: odd}
	f.configuration = follow.NewConfiguration(followOptions, f.onConfigurationChange)
	f.endpoints = follow.NewEndpoints(followOptions, f.isServiceConfigured, f.placement.InUse, f.onEndpointsChange)
	f.buildRollouts(followOptions)
	f.crashes = crashes.New(crashes.Options{
		Settings: crashers.DefaultSettings(), Self: s.Instance.ID, Store: f.store,
		Discovered: func() <-chan struct{} { return f.exchange.DiscoveryDone() },
		Instances:  func() (int, int) { return f.exchange.Instances() },
		Broadcast:  func(facts []crashers.Fact, complete bool) { f.exchange.TellCrashes(facts, complete) },
		OnStopped:  func(r crashers.Subject) { f.forwarder.StopRequest(r) },
		Log:        t.Log, Scope: t.Scope, Regained: &f.sourceRegained, Unusable: odd,
	})
	f.buildQueues()
	f.exchange = exchange.New(exchange.Options{
		Self: exchange.Peer{
			ID: s.Instance.ID, Callers: s.Listen.Callers, Peers: cmp.Or(s.Listen.PeersAdvertised, s.Listen.Peers), DataCentre: s.Instance.DataCentre, Region: s.Instance.Region,
			Link: int(s.Process.Link),
		},
		Conn: l.peerDatagrams, Store: f.store, Ready: f.ready, StoreAccess: f.storeAccess, EndpointAccess: f.endpointAccess, Endpoints: &peerEndpoints{f}, Crashes: f.crashes, Rollouts: f.exchangeRollouts(), Queues: f.exchangeQueues(), ServiceCounts: f.retryCounts, Retries: &retryHistory{f}, RetryWindow: s.Retries.Window, Clock: f.env.Clock, Log: t.Log, Scope: t.Scope, Unusable: odd,
	})
	f.restore = f.newRestore()
	f.relay = relay.New(relay.Options{
		Settings: f.sourceSettings(), Store: f.store, Mirror: f.mirror, Others: f.exchange.Others,
		Pool: peers.NewPool("", s.Streams.Connect, f.env.Network, peers.WithoutCompression()), AccessChanged: func() { f.exchange.Changed() }, Regained: &f.sourceRegained, EraChanged: f.onEraChange, Clock: f.env.Clock, Log: t.Log,
	})
	f.forwarder = forward.New(forward.Options{
		Settings: forward.Settings{
			Instance: s.Instance.ID, DataCentre: s.Instance.DataCentre, MaxConfigAgeForKeys: f.keyBound(), MaxConfigAgeForDenial: time.Duration(denyBoundShare * float64(s.Bounds.Apply)),
			RetryShare: s.Retries.Share, RetryReserve: s.Retries.Reserve, RetryWindow: s.Retries.Window,
			SilenceFloor: s.Streams.Silence, FirstEventTimeout: s.Streams.FirstEvent, ProbeTimeout: s.Streams.Probe, ConnectTimeout: s.Streams.Connect,
			Overload: forward.Overload{Deadlines: s.Overload.Deadlines, Speeds: s.Overload.Speeds, SharedQueue: s.Overload.SharedQueue, OnlyRanked: s.Overload.OnlyRanked},
			Disabled: disabledMechanisms(&s.Mechanisms),
		},
		Configuration: f.configuration, Synced: f.synced, Placement: f.placement, Pool: f.pool, Peers: f.forwardOthers(), Reach: f.reach, Crashes: f.forwardCrashes(), Rollouts: f.forwardRollouts(), Queue: f.forwardQueue(), Clock: f.env.Clock,
		OnEndpointReplaced: f.endpoints.MarkEnded, Log: f.decisions, Scope: t.Scope, Tracer: t.Tracer,
	})
}

// newGuards returns the bounds on the connections of callers, and on those of other instances, the platform and
// operators.
func (f *Front) newGuards() (callers, internal *shed.Guard) {
	p := &f.settings.Process
	callersLimits, internalLimits := shed.Limits(p.Memory, p.Descriptors)
	o := shed.Options{
		Name: "callers", Settings: callersLimits, ReceiveBuffer: shed.CallersReceiveBuffer, RetryAfter: forward.RetryAfterText, Disabled: !f.settings.Mechanisms.Shedding,
		Log: f.telemetry.Log, Scope: f.telemetry.Scope,
	}
	callers = shed.New(o)
	o.Name, o.Settings, o.ReceiveBuffer = "internal", internalLimits, 0
	return callers, shed.New(o)
}

// disabledMechanisms returns the mechanisms of forwarding that the settings switch off.
func disabledMechanisms(m *settings.FrontMechanisms) forward.DisabledMechanisms {
	return forward.DisabledMechanisms{
		Copies: !m.Copies, CopyElsewhere: !m.CopyElsewhere, Search: !m.Search, Health: !m.Health, Pace: !m.Pace,
		SharedRetries: !m.SharedRetries, WaitQueue: !m.Line, FirstLook: !m.FirstLook, Claims: !m.Claims, Limits: !m.Limits, Room: !m.Room, ViaPeers: !m.ViaPeers, Departures: !m.Departures, Pauses: !m.Pauses,
		Stay: !m.Stay, SharedSilence: !m.SharedSilence, OwnPauses: !m.OwnPauses, PromptParts: !m.PromptParts, Ranks: !m.Ranks,
	}
}

// staleMargin is how much older than WatchWait the data may be that an instance passes on to its
// followers while nothing changes. It covers the pause and the shorter watch that follow a change.
const staleMargin = 600 * time.Millisecond

// countStoreCall counts calls to the store by what they ask for, since each call has a price.
func (f *Front) countStoreCall(c platform.StoreCall) {
	f.telemetry.Scope.Tagged(map[string]string{"kind": c.Kind, "call": c.Verb, "stale": strconv.FormatBool(c.Stale)}).Counter("store_calls_total").Inc(1)
}

// runFollowers keeps the configuration, the rollouts and the endpoints up to date from the store or
// from another instance. It starts once the exchange has looked for the other instances.
func (f *Front) runFollowers(ctx context.Context) {
	select {
	case <-f.exchange.DiscoveryDone():
	case <-ctx.Done():
		return
	}
	f.goroutines.Go(func() { f.configuration.Run(ctx) })
	if f.rolloutOrders != nil {
		f.goroutines.Go(func() { f.rolloutOrders.Run(ctx) })
	}
	f.endpoints.Run(ctx)
}

// source returns the store or the instance that the followers ask next.
func (f *Front) source() follow.Source { return f.relay.Source() }

// firstSource returns the instance that the followers ask in place of the store at the start.
func (f *Front) firstSource(tried int) (follow.Source, bool) { return f.relay.First(tried) }

// storeAccess reports whether the store answers this instance.
func (f *Front) storeAccess() source.Access { return f.relay.Access() }

func (f *Front) sourceSettings() source.Settings {
	s := source.DefaultSettings()
	s.Self, s.DataCentre, s.Region = f.settings.Instance.ID, f.settings.Instance.DataCentre, f.settings.Instance.Region
	s.LinkMbps = int(f.settings.Process.Link)
	s.Roots = f.settings.Store.Readers
	if !f.settings.Mechanisms.Tree {
		s.Roots = math.MaxInt
	}
	// A call that hangs must not let the configuration become too old for requests with keys.
	s.MaxTimeout = max(min(f.settings.Store.Timeout, f.keyBound()-f.settings.WatchWait()), s.MinTimeout)
	return s
}

// routingChoices is how many endpoints a pick compares. An instance learns of the picks of others
// some tens of milliseconds late. With many candidates, all instances pick the same engine when a
// data centre is lost and its streams move at once: with 8 candidates of 24 engines, one engine got
// four streams. With 6 candidates, a pick nearly always finds an engine that is not prefilling
// while a quarter of the engines are.
const routingChoices = 6

// retryCounts returns the requests and retries that this instance has counted, by service.
func (f *Front) retryCounts() map[string]limits.RetryCounts { return f.forwarder.RetryCounts() }

// queueFactor times its slots is the number of requests that an endpoint may hold. A request that
// waits there for a slot is served sooner than one that waits at the instance, as long as the wait
// is within the route's target latency. At three times the slots, a request waits for two others.
const queueFactor = 3

func (f *Front) keyBound() time.Duration {
	return time.Duration(keyBoundShare * float64(f.settings.Bounds.Revoke))
}

// isServiceConfigured reports whether the configuration names a service. Until a configuration has
// been read, it is true for all services.
func (f *Front) isServiceConfigured(name string) bool {
	table, _ := f.configuration.Table()
	return table == nil || table.Service(name) != nil
}

// ready reports whether callers may be sent to this instance: it does not drain, and the proof of
// its configuration is recent enough for requests with keys, if any route requires one.
func (f *Front) ready() bool {
	table, age := f.configuration.Table()
	if table == nil || f.draining.Load() {
		return false
	}
	return !table.RequiresKey() || age < f.keyBound()
}

// sweepInterval is the time between two checks of the idle connections.
const sweepInterval = time.Second

// sweepConnections closes idle connections that endpoints are about to close, and those whose
// endpoint is no longer listed.
func (f *Front) sweepConnections(ctx context.Context) {
	pause.Every(ctx, sweepInterval, func() { f.pool.Retain(f.placement.IsListed) })
}

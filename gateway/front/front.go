// Package front puts together an instance that forwards requests on a platform, and runs it.
//
// Failure modes: an address that can't be listened on ends the start with an error. The store being
// down does not: until a configuration is known, requests are refused with 503 and the instance is not
// ready.
package front

import (
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
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/source"
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
	"github.com/agateway/agateway/gateway/relay"
	"github.com/agateway/agateway/gateway/rollouts"
	"github.com/agateway/agateway/gateway/settings"
	"github.com/agateway/agateway/gateway/telemetry"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// Errors of this layer.
var (
	namespace = errorx.NewNamespace("front")
	// ErrListen: an address of the settings can't be listened on.
	ErrListen = namespace.NewType("listen")
)

// Front is a running instance.
type Front struct {
	settings  *settings.Front
	env       Environment
	telemetry *telemetry.Telemetry
	output    *decisions.Writer
	decisions *decisions.Log

	store         *platform.Store
	configuration *follow.Configuration
	endpoints     *follow.Endpoints
	placement     *placement.Placement
	pool          *upstream.Pool
	forwarder     *forward.Forwarder
	exchange      *exchange.Exchange
	crashes       *crashes.Register
	// rollouts and orders are nil where services are not moved to other builds.
	rollouts *rollouts.Register
	orders   *follow.Rollouts
	mirror   *follow.Mirror
	relay    *relay.Relay

	// known is closed once a configuration and a list of endpoints are known.
	known     chan struct{}
	knownOnce sync.Once
	tuned     sync.Once

	callers  *callers
	servers  []*http.Server
	draining atomic.Bool
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

// Environment is what an instance runs in.
type Environment struct {
	Network network.Network
	// Clock also runs while the machine is suspended.
	Clock clock.Now
	// Out takes the log lines.
	Out io.Writer
}

// Start listens and runs an instance.
func Start(s *settings.Front, env Environment) (*Front, error) {
	f := &Front{settings: s, env: env, output: decisions.NewWriter(env.Out), known: make(chan struct{})}
	t, err := telemetry.NewFront(s, f.output)
	if err != nil {
		return nil, err
	}
	f.telemetry = t
	time.AfterFunc(tuneAfter, f.limitMemory)
	listeners, err := listen(s, env.Network)
	if err != nil {
		return nil, err
	}
	f.build(listeners)
	f.serve(listeners)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	parts := []func(context.Context){f.exchange.Run, f.crashes.Run, f.follow, f.decisions.Run, f.sweep}
	if f.rollouts != nil {
		parts = append(parts, f.rollouts.Run)
	}
	for _, run := range parts {
		f.work.Go(func() { run(ctx) })
	}
	t.Log.WithField("callers", s.Listen.Callers).WithField("store", s.Store.Address).Info("started")
	return f, nil
}

// listeners are all the addresses that are listened on.
type listeners struct {
	callers, ready, directory, metrics net.Listener
	// Other instances are reached at one address: by datagrams, and for calls.
	peers net.PacketConn
	calls net.Listener
}

func listen(s *settings.Front, n network.Network) (*listeners, error) {
	l := &listeners{}
	for _, a := range []struct {
		to      *net.Listener
		address string
	}{
		{&l.callers, s.Listen.Callers}, {&l.ready, s.Listen.Ready}, {&l.directory, s.Listen.Directory}, {&l.metrics, s.Listen.Metrics},
		{&l.calls, s.Listen.Peers},
	} {
		if a.address == "" {
			continue
		}
		var err error
		if *a.to, err = n.Listen(a.address); err != nil {
			return nil, ErrListen.Wrap(err, "can't listen on %s", a.address)
		}
	}
	var err error
	if l.peers, err = n.ListenPacket(s.Listen.Peers); err != nil {
		return nil, ErrListen.Wrap(err, "can't listen on %s", s.Listen.Peers)
	}
	return l, nil
}

// Of the bound on keys that were taken away, a request may use a part. The rest is for a watch that heard
// of no change for a second although there was one, as the store's pages allow, and for the request on
// its way to the endpoint.
const keyShare = 0.78

// Of the bound on applying a change, the part within which a request may be denied for good.
const denyShare = 0.85

// build makes the parts and joins them.
func (f *Front) build(l *listeners) {
	s, t := f.settings, f.telemetry
	dial := network.Within(f.env.Network, s.Streams.Connect)
	f.decisions = decisions.New(t.Log)
	f.store = platform.NewStore(s.Store.Address, s.Store.Timeout, network.Within(f.env.Network, s.Store.Timeout))
	f.store.Observe(f.countCall)
	view := routing.DefaultSettings()
	view.Choices = choices
	view.QueueFactor, view.FallBackToSuspected, view.ByPrompt = queueFactor, true, s.Mechanisms.ByPrompt
	if !s.Mechanisms.Doubt {
		view.SuspicionPenalty = 0
	}
	f.placement = placement.New(view, rand.Uint64())
	f.pool = upstream.NewPool(dial)
	f.mirror = follow.NewMirror(f.env.Clock, func() time.Duration { return s.WatchWait() + staleMargin + f.relay.Slack() })
	following := follow.Options{Source: f.source, Mirror: f.mirror, Wait: s.WatchWait(), Now: f.env.Clock, Log: t.Log}
	f.configuration = follow.NewConfiguration(following, f.reconfigured)
	f.endpoints = follow.NewEndpoints(following, f.knownService, f.placement.InUse, f.listed)
	f.buildRollouts(following)
	f.crashes = crashes.New(crashes.Options{
		Settings: crashers.DefaultSettings(), Self: s.Instance.ID, Store: f.store,
		Met:       func() <-chan struct{} { return f.exchange.DiscoveryDone() },
		Instances: func() (int, int) { return f.exchange.Instances() },
		Tell:      func(facts []crashers.Fact, complete bool) { f.exchange.TellCrashes(facts, complete) },
		Stopped:   func(r crashers.Request) { f.forwarder.Stopped(r) },
		Log:       t.Log, Scope: t.Scope,
	})
	f.exchange = exchange.New(exchange.Options{
		Self: exchange.Peer{
			ID: s.Instance.ID, Callers: s.Listen.Callers, Peers: s.Listen.Peers, DataCentre: s.Instance.DataCentre, Region: s.Instance.Region,
			Link: int(s.Process.Link),
		},
		Conn: l.peers, Store: f.store, Ready: f.ready, StoreAccess: f.access, Endpoints: &shared{f}, Crashes: f.crashes, Rollouts: f.toldRollouts(), ServiceCounts: f.uses, Clock: f.env.Clock, Log: t.Log, Scope: t.Scope,
	})
	f.relay = relay.New(relay.Options{
		Settings: f.sourceSettings(), Store: f.store, Mirror: f.mirror, Others: f.exchange.Others,
		Pool: peers.NewPool("", s.Streams.Connect, f.env.Network), Changed: func() { f.exchange.Changed() }, Clock: f.env.Clock, Log: t.Log,
	})
	f.forwarder = forward.New(forward.Options{
		Settings: forward.Settings{
			DataCentre: s.Instance.DataCentre, KeyBound: f.keyBound(), DenyBound: time.Duration(denyShare * float64(s.Bounds.Apply)),
			RetryShare: s.Retries.Share, RetryReserve: s.Retries.Reserve, RetryWindow: s.Retries.Window,
			SilenceFloor: s.Streams.Silence, FirstEvent: s.Streams.FirstEvent, Probe: s.Streams.Probe, Connect: s.Streams.Connect,
			Without: without(&s.Mechanisms),
		},
		Configuration: f.configuration, Known: f.known, Placement: f.placement, Pool: f.pool, Others: f.others(), Crashes: f.held(), Rollouts: f.forwardRollouts(), Clock: f.env.Clock,
		Ended: f.endpoints.Ended, Log: f.decisions, Scope: t.Scope, Tracer: t.Tracer,
	})
}

// without returns the mechanisms of forwarding that are switched off.
func without(m *settings.FrontMechanisms) forward.Without {
	return forward.Without{
		Copies: !m.Copies, CopyElsewhere: !m.CopyElsewhere, Search: !m.Search, Health: !m.Health, Pace: !m.Pace,
		SharedRetries: !m.SharedRetries, Line: !m.Line, FirstLook: !m.FirstLook, Claims: !m.Claims,
	}
}

// staleMargin is by how much what an instance tells its followers may be older than a watch waits, in calm times:
// it covers the pause and the shorter watch that follow a change.
const staleMargin = 600 * time.Millisecond

// countCall counts the calls to the store by what they ask for: each one is paid for.
func (f *Front) countCall(c platform.StoreCall) {
	f.telemetry.Scope.Tagged(map[string]string{"kind": c.Kind, "call": c.Verb, "stale": strconv.FormatBool(c.Stale)}).Counter("store_calls_total").Inc(1)
}

// follow keeps routes and endpoints in step with the store, or with another instance, once it is known which others there
// are.
func (f *Front) follow(ctx context.Context) {
	select {
	case <-f.exchange.DiscoveryDone():
	case <-ctx.Done():
		return
	}
	f.work.Go(func() { f.configuration.Run(ctx) })
	if f.orders != nil {
		f.work.Go(func() { f.orders.Run(ctx) })
	}
	f.endpoints.Run(ctx)
}

// source returns whom the followers ask next.
func (f *Front) source() follow.Source { return f.relay.Source() }

// access tells whether the store answers this instance.
func (f *Front) access() source.Access { return f.relay.Access() }

func (f *Front) sourceSettings() source.Settings {
	s := source.DefaultSettings()
	s.Self, s.DataCentre, s.Region = f.settings.Instance.ID, f.settings.Instance.DataCentre, f.settings.Instance.Region
	s.LinkMbps = int(f.settings.Process.Link)
	s.Roots = f.settings.Store.Readers
	if !f.settings.Mechanisms.Tree {
		s.Roots = math.MaxInt
	}
	// Knowledge must not grow too old for keys while one call is waited for.
	s.MaxTimeout = max(min(f.settings.Store.Timeout, f.keyBound()-f.settings.WatchWait()), s.MinTimeout)
	return s
}

// choices is how many endpoints a choice compares at random, besides one of the own data centre. What
// is known of the others' choices is some tens of milliseconds old, so with many candidates all
// instances would take the same one when a data centre is lost and its streams move at once: with 8 of
// 24 an engine got four of them. With 6, one that reads no prompt is nearly always found while a quarter
// of the engines read one.
const choices = 6

// uses returns what this instance has counted, by service.
func (f *Front) uses() map[string]limits.Counted { return f.forwarder.Uses() }

// queueFactor times its slots is what an endpoint may hold: what waits there for a slot is served
// sooner than what waits here, as long as the wait is within the aim. At three times the slots, a
// request waits for two others.
const queueFactor = 3

func (f *Front) keyBound() time.Duration {
	return time.Duration(keyShare * float64(f.settings.Bounds.Revoke))
}

// reconfigured takes a new configuration: engines' memory comes with their service.
func (f *Front) reconfigured(*route.Table) { f.endpoints.Publish() }

// knownService tells whether the configuration names a service; all count before one is known.
func (f *Front) knownService(name string) bool {
	table, _ := f.configuration.Table()
	return table == nil || table.Service(name) != nil
}

// listed takes the list of endpoints.
func (f *Front) listed(all []routing.Endpoint) {
	table, _ := f.configuration.Table()
	for i := range all {
		if table == nil {
			break
		}
		if s := table.Service(all[i].Service); s != nil && s.Engine != nil {
			all[i].Memory = s.Engine.KVCapacityTokens
		}
	}
	if f.rollouts != nil {
		all = f.rollouts.Usable(all)
	}
	f.placement.SetEndpoints(all)
	if table != nil && len(all) > 0 && (f.rollouts == nil || f.rollouts.Known()) {
		f.knownOnce.Do(func() {
			close(f.known)
			f.forwarder.FirstLook()
			f.limitMemory()
		})
	}
}

// ready tells whether callers may be sent here: a configuration is known to be in force.
func (f *Front) ready() bool {
	table, age := f.configuration.Table()
	if table == nil || f.draining.Load() {
		return false
	}
	return !table.RequiresKey() || age < f.keyBound()
}

// sweepEvery is how often idle connections are looked through.
const sweepEvery = time.Second

// sweep closes idle connections that endpoints are about to close, or whose endpoint is gone.
func (f *Front) sweep(ctx context.Context) {
	pause.Every(ctx, sweepEvery, func() { f.pool.Retain(f.placement.Known) })
}

package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// The deployment under test. Streams take about two seconds, so that each meets several faults.
const (
	dataCentres       = 3
	revokeBound       = 3 * time.Second
	entryTTL          = 1500 * time.Millisecond
	heartbeatInterval = 400 * time.Millisecond
	eventInterval     = 30 * time.Millisecond
	eventsPerStream   = 60
	promptTokens      = 2000
	host              = "desk.example"
	permanentKey      = "kept-key"
)

// worker is an endpoint behind a proxy. It registers itself in the store, as an endpoint on the
// platform does.
type worker struct {
	env    *environment
	name   string
	config standin.WorkerConfig
	proxy  *proxy

	mu       sync.Mutex
	current  *standin.Worker
	stop     func()
	state    string
	starts   int
	previous []*standin.Worker // earlier incarnations
	limits   admission.Limits  // that each incarnation states
	// leavingSince holds, by the id of an incarnation, when the store had accepted that it is
	// leaving.
	leavingSince map[string]time.Time
	// saysLeavingSince holds, by the id of an incarnation, since when its answers say that it is
	// leaving.
	saysLeavingSince map[string]time.Time
	// unregisteredUntil is until when the worker does not register itself.
	unregisteredUntil time.Time
}

// environment is the system under test: the store, the endpoints and the processes of the daemon.
type environment struct {
	store        *standin.Store
	storeAddress string
	stopStore    func()
	proxies      []*proxy // between the processes and the store, one for each process
	fleet        *standin.Fleet
	workers      []*worker
	processes    []*process
	closed       chan struct{}

	ports         portAllocator
	disruptions   disruptions
	fatalRequests fatalRequests
	rollouts      rollouts
	limits        limits
	cuts          cuts
	pauses        pauses
	workerProxies []*proxy // guarded by mu
	links         instanceLinks
	// returning is set while the store is about to return from a copy.
	returning atomic.Bool
	// burst runs additional callers until ctx ends.
	burst          func(ctx context.Context, callers int)
	foreignWorkers []*standin.Worker // of another service, at reused addresses

	mu        sync.Mutex
	config    route.Configuration
	revoked   map[string]revocation // by key
	keyNumber int
	// routeAcceptedAt holds, by configuration version, when the store had accepted a version with a
	// route of its own.
	routeAcceptedAt map[uint64]time.Time
	overload        bool // a service has more load than it can serve
}

func newEnvironment(dir, program string, o Options) (*environment, error) {
	w := &environment{store: standin.NewStore(entryTTL), fleet: standin.NewFleet(), closed: make(chan struct{}), revoked: map[string]revocation{}, routeAcceptedAt: map[uint64]time.Time{}}
	w.config, w.overload = configuration(), isOverloadSeed(o.Seed)
	if w.overload {
		addOverload(&w.config)
	}
	w.store.PutConfiguration(&w.config)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress, w.stopStore = l.Addr().String(), standin.Serve(l, w.store)
	for i := range o.Engines {
		if err := w.add(fmt.Sprint("e", i), standin.WorkerConfig{Service: "engines", DataCentre: dataCentreName(i), Slots: 16, PrefillTokensPerMS: 20, EventInterval: eventInterval, Events: eventsPerStream}); err != nil {
			return nil, err
		}
	}
	for i := range o.PlainEndpoints {
		if err := w.add(fmt.Sprint("p", i), standin.WorkerConfig{Service: "plain", DataCentre: dataCentreName(i), Slots: 16, WorkTime: o.WorkTime}); err != nil {
			return nil, err
		}
	}
	for i := 0; w.overload && i < overloadEngines; i++ {
		if err := w.add(fmt.Sprint("o", i), overloadWorker(i)); err != nil {
			return nil, err
		}
	}
	for i := range o.Instances {
		p, err := newProxy(l.Addr().String())
		if err != nil {
			return nil, err
		}
		w.proxies = append(w.proxies, p)
		process, err := newProcess(dir, program, p.address(), i, w, &o)
		if err != nil {
			return nil, err
		}
		w.processes = append(w.processes, process)
		go process.run()
	}
	return w, nil
}

func dataCentreName(i int) string { return fmt.Sprint("dc", i%dataCentres) }

func configuration() route.Configuration {
	to := func(s string) []route.Target { return []route.Target{{Service: s, Weight: 1}} }
	engine := &route.Engine{Slots: 16, KVCapacityTokens: 88000, ContinuousCopies: true, CopiesOnRequest: true, CopyTTL: 2 * time.Second}
	return route.Configuration{
		Version: 1,
		Routes: []route.Route{
			{Name: "brief", Host: host, Prefix: "/brief/", Targets: to("engines"), Stream: true, RetryPolicy: route.Resumable,
				Timeout: streamWait, TargetLatency: 4 * time.Second, TargetGap: 700 * time.Millisecond, MaxAttempts: 5},
			{Name: "log", Host: host, Prefix: "/log/", Targets: to("plain"), Timeout: plainWait, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2},
			{Name: "ping", Host: host, Prefix: "/ping/", Targets: to("plain"), RetryPolicy: route.Idempotent, Timeout: plainWait, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2},
		},
		Services: []route.Service{{Name: "engines", MaxConnections: 400, Engine: engine}, {Name: "plain", MaxConnections: 400}},
		Teams:    []route.Team{{Name: "desk", Keys: []string{permanentKey}}},
	}
}

// add starts a worker behind a proxy.
func (w *environment) add(name string, cfg standin.WorkerConfig) error {
	p, err := w.newWorkerProxy("")
	if err != nil {
		return err
	}
	cfg.Address = p.address()
	k := &worker{env: w, name: name, config: cfg, proxy: p, leavingSince: map[string]time.Time{}, saysLeavingSince: map[string]time.Time{}}
	w.workers = append(w.workers, k)
	if err := k.start(); err != nil {
		return err
	}
	go k.heartbeat()
	return nil
}

// start starts a new incarnation.
func (k *worker) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.starts++
	cfg := k.config
	cfg.ID = fmt.Sprintf("i-%s-%d", k.name, k.starts)
	if k.current != nil {
		k.previous = append(k.previous, k.current)
	}
	k.current, k.state = k.env.fleet.NewWorker(cfg), "ready"
	if k.limits.Stated() {
		k.applyLimits()
	}
	k.stop = standin.Serve(l, k.current)
	k.proxy.setServer(l.Addr().String())
	return nil
}

// crash ends the incarnation, which loses its memory. A new one starts after down. It does nothing
// if the worker is down already.
func (k *worker) crash(down time.Duration) {
	k.mu.Lock()
	alreadyDown := k.state == ""
	k.mu.Unlock()
	if alreadyDown {
		return
	}
	end := k.end()
	time.AfterFunc(down, func() {
		_ = k.start()          // without a free port it stays down
		_ = k.proxy.relisten() // it stays down too if its address is taken
		end()
	})
}

// end ends the incarnation: its connections are reset and new ones refused. The worker counts as
// disrupted until endDisruption is called.
func (k *worker) end() (endDisruption func()) {
	endDisruption = k.env.disruptions.start(k.name)
	k.mu.Lock()
	k.state = ""
	k.env.fleet.Remove(k.current)
	k.stop()
	k.mu.Unlock()
	k.proxy.refuse()
	return endDisruption
}

// addressReuseDelay is how long an address is unused before another service uses it.
const addressReuseDelay = 2 * time.Second

// replaceWithForeign ends the incarnation and lets a worker of another service use its address for
// the duration used. It returns false, and changes nothing, if there is no free port.
func (k *worker) replaceWithForeign(used time.Duration) bool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false
	}
	end := k.end()
	if k.proxy.relisten() != nil {
		return true // another process has taken the address
	}
	k.proxy.set(reset)
	cfg := k.config
	cfg.ID, cfg.Service = "i-stranger-"+k.name, "others"
	other := k.env.fleet.NewWorker(cfg)
	k.env.mu.Lock()
	k.env.foreignWorkers = append(k.env.foreignWorkers, other)
	k.env.mu.Unlock()
	stop := standin.Serve(l, other)
	time.AfterFunc(addressReuseDelay, func() {
		k.proxy.setServer(l.Addr().String())
		k.proxy.set(passThrough)
	})
	time.AfterFunc(addressReuseDelay+used, func() {
		stop()
		k.proxy.set(reset)
		k.proxy.set(passThrough)
		_ = k.start() // without a free port it stays down
		end()
	})
	return true
}

// allRunning reports whether all workers run.
func (w *environment) allRunning() bool {
	for _, k := range w.workers {
		k.mu.Lock()
		up := k.state != ""
		k.mu.Unlock()
		if !up {
			return false
		}
	}
	return true
}

// drainDuration is how long a worker keeps running after it said that it is leaving: twice as long
// as it may still get requests.
const drainDuration = 5 * time.Second

// leave registers the worker as draining, lets it run for drainDuration, and then crashes and
// restarts it.
func (k *worker) leave() {
	k.mu.Lock()
	if k.state == "ready" {
		k.state = "draining"
		k.env.store.Put(platform.KindEndpoint, k.current.Config().ID, k.current.Registration(k.state))
		k.leavingSince[k.current.Config().ID] = time.Now()
	}
	k.mu.Unlock()
	time.AfterFunc(drainDuration, func() { k.crash(500 * time.Millisecond) })
}

// heartbeat registers the worker at each heartbeatInterval while it runs.
func (k *worker) heartbeat() {
	for {
		k.mu.Lock()
		if k.state != "" && !time.Now().Before(k.unregisteredUntil) {
			k.env.store.Put(platform.KindEndpoint, k.current.Config().ID, k.current.Registration(k.state))
		}
		k.mu.Unlock()
		select {
		case <-time.After(heartbeatInterval):
		case <-k.env.closed:
			return
		}
	}
}

func (k *worker) setFault(f standin.WorkerFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current.SetFault(f)
}

// workerRun is a request that an incarnation ran.
type workerRun struct {
	standin.Run
	worker      *worker
	incarnation *standin.Worker
	// leavingSince is when the store had accepted that the incarnation is leaving; zero if it is
	// not.
	leavingSince time.Time
}

// incarnations returns the current incarnation and those before it.
func (k *worker) incarnations() []*standin.Worker {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*standin.Worker{k.current}, k.previous...)
}

// runs returns what all incarnations ran.
func (k *worker) runs() []workerRun {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []workerRun
	for _, one := range append([]*standin.Worker{k.current}, k.previous...) {
		for _, r := range one.Runs() {
			out = append(out, workerRun{r, k, one, k.leavingSince[one.Config().ID]})
		}
	}
	return out
}

// disruptStore starts a fault of the store and returns the function that ends it.
func (w *environment) disruptStore(f standin.Fault) func() {
	end := w.disruptions.start(storeSubject)
	w.store.SetFault(f)
	return func() {
		w.store.SetFault(standin.Fault{})
		end()
	}
}

// versionPath returns the path of the route that only one configuration version has.
func versionPath(version uint64) string { return fmt.Sprintf("/version/%d/", version) }

// replaceRoute publishes a configuration version with a route of its own, which replaces the one of
// an earlier version. It returns the version.
func (w *environment) replaceRoute() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Version++
	routes := configuration().Routes
	own := routes[len(routes)-1]
	own.Name, own.Prefix = fmt.Sprint("version-", w.config.Version), versionPath(w.config.Version)
	w.config.Routes = append(routes, own)
	if w.overload {
		w.config.Routes = append(w.config.Routes, overloadRoutes()...)
	}
	w.putConfiguration()
	w.routeAcceptedAt[w.config.Version] = time.Now()
	return w.config.Version
}

// latestRouteVersion returns the newest version that has a route of its own, 0 for none.
func (w *environment) latestRouteVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last uint64
	for v := range w.routeAcceptedAt {
		last = max(last, v)
	}
	return last
}

// routeLifetime returns when the store had accepted the version with this route, and when it had
// accepted the next one, which removed the route. The times are zero if there is no such version.
func (w *environment) routeLifetime(version uint64) (from, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from = w.routeAcceptedAt[version]
	for v, at := range w.routeAcceptedAt {
		if v > version && (until.IsZero() || at.Before(until)) {
			until = at
		}
	}
	return from, until
}

// replaceKey adds a key and revokes the one before.
func (w *environment) replaceKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keyNumber++
	old := fmt.Sprint("key-", w.keyNumber-1)
	w.config.Version++ // the route that an earlier version added stays
	w.config.Teams = []route.Team{{Name: "desk", Keys: []string{permanentKey, fmt.Sprint("key-", w.keyNumber)}}}
	if w.overload {
		w.config.Teams = append(w.config.Teams, teamsUnderOverload()...)
	}
	w.putConfiguration()
	w.revoked[old] = revocation{at: time.Now(), version: w.config.Version}
}

// latestKeys returns the key in force and the one before it.
func (w *environment) latestKeys() (current, previous string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprint("key-", w.keyNumber), fmt.Sprint("key-", w.keyNumber-1)
}

// revokedAt returns when a key was revoked; false while it is valid.
func (w *environment) revokedAt(key string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.revoked[key]
	return r.at, ok
}

func (w *environment) close() {
	close(w.closed)
	for _, p := range w.processes {
		p.stop()
	}
	for _, k := range w.workers {
		k.proxy.close()
		k.mu.Lock()
		k.stop()
		k.mu.Unlock()
	}
	for _, p := range w.proxies {
		p.close()
	}
	w.links.close()
	w.stopStore()
}

package soak

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// The deployment that is run. Streams take two seconds, so that each meets several faults.
const (
	dataCentres = 3
	revokeBound = 3 * time.Second
	entryTTL    = 1500 * time.Millisecond
	beat        = 400 * time.Millisecond
	streamStep  = 30 * time.Millisecond
	streamSize  = 60
	promptSize  = 2000
	host        = "desk.example"
	keptKey     = "kept-key"
)

// worker is an endpoint behind a proxy. It registers itself as one on the platform does.
type worker struct {
	world  *world
	name   string
	config standin.WorkerConfig
	proxy  *proxy

	mu       sync.Mutex
	now      *standin.Worker
	stop     func()
	state    string
	starts   int
	previous []*standin.Worker // earlier incarnations
	// leaving is since when the store has known that an incarnation leaves, by its id.
	leaving map[string]time.Time
}

// world is the store, endpoints and processes.
type world struct {
	store        *standin.Store
	storeAddress string
	stopStore    func()
	proxies      []*proxy // of the store, one for each process
	fleet        *standin.Fleet
	workers      []*worker
	processes    []*process
	closed       chan struct{}

	ports     ports
	harms     harms
	fatals    fatals
	rollouts  rollouts
	strangers []*standin.Worker // of another service, at addresses that were used before

	mu      sync.Mutex
	config  route.Configuration
	revoked map[string]time.Time // keys that were taken away, and when the store had accepted it
	keys    int
	// routes holds when the store had accepted each version with a route of its own, by version.
	routes map[uint64]time.Time
}

func newWorld(dir, program string, o Options) (*world, error) {
	w := &world{store: standin.NewStore(entryTTL), fleet: standin.NewFleet(), closed: make(chan struct{}), revoked: map[string]time.Time{}, routes: map[uint64]time.Time{}}
	w.config = configuration()
	w.store.PutConfiguration(&w.config)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress, w.stopStore = l.Addr().String(), standin.Serve(l, w.store)
	for i := range o.Engines {
		if err := w.add(fmt.Sprint("e", i), standin.WorkerConfig{Service: "engines", DataCentre: zone(i), Slots: 16, PrefillTokensPerMS: 20, EventInterval: streamStep, Events: streamSize}); err != nil {
			return nil, err
		}
	}
	for i := range o.Plain {
		if err := w.add(fmt.Sprint("p", i), standin.WorkerConfig{Service: "plain", DataCentre: zone(i), Slots: 16, WorkTime: o.Work}); err != nil {
			return nil, err
		}
	}
	for i := range o.Fronts {
		p, err := newProxy(l.Addr().String())
		if err != nil {
			return nil, err
		}
		w.proxies = append(w.proxies, p)
		process, err := newProcess(dir, program, p.address(), i, &w.ports, &w.harms, &o)
		if err != nil {
			return nil, err
		}
		w.processes = append(w.processes, process)
		go process.run()
	}
	return w, nil
}

func zone(i int) string { return fmt.Sprint("dc", i%dataCentres) }

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
		Teams:    []route.Team{{Name: "desk", Keys: []string{keptKey}}},
	}
}

// add starts a worker behind a proxy.
func (w *world) add(name string, cfg standin.WorkerConfig) error {
	p, err := newProxy("")
	if err != nil {
		return err
	}
	cfg.Address = p.address()
	k := &worker{world: w, name: name, config: cfg, proxy: p, leaving: map[string]time.Time{}}
	w.workers = append(w.workers, k)
	if err := k.start(); err != nil {
		return err
	}
	go k.beat()
	return nil
}

// start begins a new incarnation.
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
	if k.now != nil {
		k.previous = append(k.previous, k.now)
	}
	k.now, k.state = k.world.fleet.NewWorker(cfg), "ready"
	k.stop = standin.Serve(l, k.now)
	k.proxy.point(l.Addr().String())
	return nil
}

// crash ends the incarnation, and its memory is lost. A new one begins later.
func (k *worker) crash(down time.Duration) {
	k.mu.Lock()
	gone := k.state == ""
	k.mu.Unlock()
	if gone {
		return
	}
	end := k.end()
	time.AfterFunc(down, func() {
		_ = k.start()        // without a free port it stays away
		_ = k.proxy.listen() // as well without its own
		end()
	})
}

// end ends the incarnation: its connections are closed, and new ones refused.
func (k *worker) end() (harmEnds func()) {
	harmEnds = k.world.harms.begin(k.name)
	k.mu.Lock()
	k.state = ""
	k.world.fleet.Remove(k.now)
	k.stop()
	k.mu.Unlock()
	k.proxy.refuse()
	return harmEnds
}

// reusedAfter is how long an address rests before it is used again.
const reusedAfter = 2 * time.Second

// replace ends the incarnation, and lets a worker of another service use the address for some time.
func (k *worker) replace(used time.Duration) bool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false
	}
	end := k.end()
	if k.proxy.listen() != nil {
		return true // the address is somebody else's now
	}
	k.proxy.set(reset)
	cfg := k.config
	cfg.ID, cfg.Service = "i-stranger-"+k.name, "others"
	other := k.world.fleet.NewWorker(cfg)
	k.world.mu.Lock()
	k.world.strangers = append(k.world.strangers, other)
	k.world.mu.Unlock()
	stop := standin.Serve(l, other)
	time.AfterFunc(reusedAfter, func() {
		k.proxy.point(l.Addr().String())
		k.proxy.set(pass)
	})
	time.AfterFunc(reusedAfter+used, func() {
		stop()
		k.proxy.set(reset)
		k.proxy.set(pass)
		_ = k.start() // without a free port it stays away
		end()
	})
	return true
}

// allUp tells whether all workers run.
func (w *world) allUp() bool {
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

// leavesFor is how long a worker that said that it leaves goes on: twice as long as it may still get work.
const leavesFor = 5 * time.Second

// leave makes the worker say that it leaves, go on for a while, and begin anew.
func (k *worker) leave() {
	k.mu.Lock()
	if k.state == "ready" {
		k.state = "draining"
		k.world.store.Put(platform.KindEndpoint, k.now.Config().ID, k.now.Registration(k.state))
		k.leaving[k.now.Config().ID] = time.Now()
	}
	k.mu.Unlock()
	time.AfterFunc(leavesFor, func() { k.crash(500 * time.Millisecond) })
}

// beat registers the worker again and again.
func (k *worker) beat() {
	for {
		k.mu.Lock()
		if k.state != "" {
			k.world.store.Put(platform.KindEndpoint, k.now.Config().ID, k.now.Registration(k.state))
		}
		k.mu.Unlock()
		select {
		case <-time.After(beat):
		case <-k.world.closed:
			return
		}
	}
}

func (k *worker) setFault(f standin.WorkerFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now.SetFault(f)
}

// ran is a request that an incarnation ran.
type ran struct {
	standin.Run
	worker *worker
	// leaving is since when the store has known that the incarnation leaves; zero when it does not.
	leaving time.Time
}

// runs returns what all incarnations ran.
func (k *worker) runs() []ran {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []ran
	for _, one := range append([]*standin.Worker{k.now}, k.previous...) {
		for _, r := range one.Runs() {
			out = append(out, ran{r, k, k.leaving[one.Config().ID]})
		}
	}
	return out
}

// harmStore brings a fault of the store about, and returns what ends it.
func (w *world) harmStore(f standin.Fault) func() {
	end := w.harms.begin(theStore)
	w.store.SetFault(f)
	return func() {
		w.store.SetFault(standin.Fault{})
		end()
	}
}

// versionPath is the path of the route that one version alone has.
func versionPath(version uint64) string { return fmt.Sprintf("/version/%d/", version) }

// newRoute sends a version with a route of its own, and takes the one of the version before away.
func (w *world) newRoute() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Version++
	kept := configuration().Routes
	own := kept[len(kept)-1]
	own.Name, own.Prefix = fmt.Sprint("version-", w.config.Version), versionPath(w.config.Version)
	w.config.Routes = append(kept, own)
	w.store.PutConfiguration(&w.config)
	w.routes[w.config.Version] = time.Now()
	return w.config.Version
}

// lastRoute returns the newest version that has a route of its own, 0 for none.
func (w *world) lastRoute() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last uint64
	for v := range w.routes {
		last = max(last, v)
	}
	return last
}

// inForce returns when the store had accepted a version with a route of its own, and when it had accepted the next
// one, which took the route away; zero times where there is none.
func (w *world) inForce(version uint64) (from, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from = w.routes[version]
	for v, at := range w.routes {
		if v > version && (until.IsZero() || at.Before(until)) {
			until = at
		}
	}
	return from, until
}

// newKey adds a key, and takes the one before away.
func (w *world) newKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys++
	old := fmt.Sprint("key-", w.keys-1)
	w.config.Version++ // the route of its own that an earlier version had stays
	w.config.Teams = []route.Team{{Name: "desk", Keys: []string{keptKey, fmt.Sprint("key-", w.keys)}}}
	w.store.PutConfiguration(&w.config)
	w.revoked[old] = time.Now()
}

// lastKeys returns the key in force and the one before it.
func (w *world) lastKeys() (now, before string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprint("key-", w.keys), fmt.Sprint("key-", w.keys-1)
}

// takenAway returns when a key was taken away; false while it holds.
func (w *world) takenAway(key string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.revoked[key]
	return at, ok
}

func (w *world) close() {
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
	w.stopStore()
}

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
	grace       = 4 * time.Second
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
}

// world is the store, endpoints and processes.
type world struct {
	store     *standin.Store
	stopStore func()
	proxies   []*proxy // of the store, one for each process
	fleet     *standin.Fleet
	workers   []*worker
	processes []*process
	closed    chan struct{}

	mu      sync.Mutex
	config  route.Configuration
	revoked map[string]time.Time // keys that were taken away, and when the store had accepted it
	keys    int
}

func newWorld(dir, program string, o Options) (*world, error) {
	w := &world{store: standin.NewStore(entryTTL), fleet: standin.NewFleet(), closed: make(chan struct{}), revoked: map[string]time.Time{}}
	w.config = configuration()
	w.store.PutConfiguration(&w.config)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.stopStore = standin.Serve(l, w.store)
	for i := range o.Engines {
		if err := w.add(fmt.Sprint("e", i), standin.WorkerConfig{Service: "engines", Zone: zone(i), Slots: 16, Prefill: 20, Step: streamStep, Events: streamSize}); err != nil {
			return nil, err
		}
	}
	for i := range o.Plain {
		if err := w.add(fmt.Sprint("p", i), standin.WorkerConfig{Service: "plain", Zone: zone(i), Slots: 16, Work: 15 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	for i := range o.Fronts {
		p, err := newProxy(l.Addr().String())
		if err != nil {
			return nil, err
		}
		w.proxies = append(w.proxies, p)
		process, err := newProcess(dir, program, p.address(), i)
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
	engine := &route.Engine{Slots: 16, Memory: 88000, Copies: true, Asked: true, CopyKept: 2 * time.Second}
	return route.Configuration{
		Version: 1,
		Routes: []route.Route{
			{Name: "brief", Host: host, Prefix: "/brief/", Targets: to("engines"), Stream: true, Repeat: route.Resumable,
				Timeout: streamWait, Aim: 4 * time.Second, Pause: 700 * time.Millisecond, Attempts: 5},
			{Name: "log", Host: host, Prefix: "/log/", Targets: to("plain"), Timeout: plainWait, Aim: 300 * time.Millisecond, Attempts: 2},
			{Name: "ping", Host: host, Prefix: "/ping/", Targets: to("plain"), Repeat: route.Idempotent, Timeout: plainWait, Aim: 300 * time.Millisecond, Attempts: 2},
		},
		Services: []route.Service{{Name: "engines", Connections: 400, Engine: engine}, {Name: "plain", Connections: 400}},
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
	k := &worker{world: w, name: name, config: cfg, proxy: p}
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

// crash ends the incarnation: its connections are reset and its memory is lost. A new one begins later.
func (k *worker) crash(down time.Duration) {
	k.mu.Lock()
	k.state = ""
	k.world.fleet.Remove(k.now)
	k.stop()
	k.mu.Unlock()
	k.proxy.set(reset)
	time.AfterFunc(down, func() {
		k.proxy.set(pass)
		_ = k.start() // without a free port it stays away
	})
}

// leave makes the worker say that it leaves, go on for a while, and begin anew.
func (k *worker) leave() {
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	time.AfterFunc(3*time.Second, func() { k.crash(500 * time.Millisecond) })
}

// beat registers the worker again and again.
func (k *worker) beat() {
	for {
		k.mu.Lock()
		if k.state != "" {
			k.world.store.Put(platform.KindEndpoint, k.now.Config().ID, k.now.Entry(k.state))
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

// runs returns what all incarnations ran.
func (k *worker) runs() []standin.Run {
	k.mu.Lock()
	all := append([]*standin.Worker{k.now}, k.previous...)
	k.mu.Unlock()
	var out []standin.Run
	for _, one := range all {
		out = append(out, one.Runs()...)
	}
	return out
}

// newKey adds a key, and takes the one before away.
func (w *world) newKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys++
	old := fmt.Sprint("key-", w.keys-1)
	w.config.Version++
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

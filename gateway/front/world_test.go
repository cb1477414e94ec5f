package front_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/gateway/front"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/settings"
	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// world is a store, instances, engines and plain endpoints in virtual time.
type world struct {
	t *testing.T
	// outer is the test in which the world was built: what it checks fails there.
	outer   *testing.T
	net     *memnet.Net
	began   time.Time
	store   *standin.Store
	fleet   *standin.Fleet
	config  route.Configuration
	fronts  []*front.Front
	engines []*standin.Worker
	plains  []*standin.Worker
	stops   []func()
	logs    *lockedBuffer
	// settings are added to those of each instance, and plainWork is how long a plain request takes.
	settings  string
	plainWork time.Duration
	// frontsMu guards fronts where instances are killed while others ask.
	frontsMu sync.Mutex

	mu   sync.Mutex
	next int
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

const (
	host        = "desk.example"
	key         = "key-of-the-desk"
	keyOfField  = "key-of-the-field"
	events      = 60
	step        = 50 * time.Millisecond
	promptSize  = 8000
	plainWork   = 20 * time.Millisecond
	slots       = 8
	dataCentres = 3
	// routeLog is the index of the route of calls that must not be repeated.
	routeLog = 2
)

func dc(i int) string { return fmt.Sprint("dc", i%dataCentres) }

// run builds a world, lets it come together, and runs f in it.
func run(t *testing.T, fronts, engines, plains int, f func(*world)) {
	runWith(t, fronts, engines, plains, func(*world) {}, f)
}

// runWith does the same in a world that prepare has changed.
func runWith(t *testing.T, fronts, engines, plains int, prepare, f func(*world)) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, outer: outer, net: memnet.New(), began: time.Now(), store: standin.NewStore(0), fleet: standin.NewFleet(), logs: &lockedBuffer{},
			plainWork: plainWork,
		}
		w.config = configuration()
		prepare(w)
		w.store.PutConfiguration(&w.config)
		l, err := w.net.Node("store").Listen("10.0.9.1:80")
		assert.NilError(t, err)
		w.stops = append(w.stops, standin.Serve(l, w.store))
		for i := range engines {
			w.engines = append(w.engines, w.engine(i, ""))
		}
		for i := range plains {
			w.plains = append(w.plains, w.plain(i))
		}
		for i := range fronts {
			w.fronts = append(w.fronts, w.front(i))
		}
		defer w.end()
		time.Sleep(3 * time.Second)
		f(w)
	})
}

// end takes the world down.
func (w *world) end() {
	if w.t.Failed() || w.outer.Failed() {
		w.t.Log(w.logs.String())
	}
	w.store.SetFault(standin.Fault{})
	for _, f := range w.fronts {
		if f != nil {
			f.Close()
		}
	}
	for _, stop := range w.stops {
		stop()
	}
	w.net.CloseAll()
	time.Sleep(2 * time.Hour) // what was on its way ends, also on connections that went silent
}

func configuration() route.Configuration {
	engine := &route.Engine{Slots: slots, KVCapacityTokens: 88000, ContinuousCopies: true, CopiesOnRequest: true, CopyTTL: 4 * time.Second}
	to := func(s string) []route.Target { return []route.Target{{Service: s, Weight: 1}} }
	return route.Configuration{
		Version: 3,
		Routes: []route.Route{
			{Name: "brief", Host: host, Prefix: "/brief/", Targets: to("engines"), Stream: true, RetryPolicy: route.Resumable,
				Timeout: 25 * time.Second, TargetLatency: 4500 * time.Millisecond, TargetGap: 700 * time.Millisecond, MaxAttempts: 5},
			{Name: "note", Host: host, Prefix: "/note/", Targets: to("engines"), Stream: true, Timeout: 25 * time.Second, TargetLatency: 4500 * time.Millisecond, MaxAttempts: 3},
			{Name: "log", Host: host, Prefix: "/log/", Targets: to("plain"), RetryPolicy: route.AtMostOnce, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond, MaxAttempts: 3},
			{Name: "ping", Host: host, Prefix: "/ping/", Targets: to("plain"), RetryPolicy: route.Idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2},
			{Name: "open", Host: host, Prefix: "/open/", Targets: to("plain"), RetryPolicy: route.Idempotent, Timeout: 1500 * time.Millisecond, MaxAttempts: 2, Public: true},
		},
		Services: []route.Service{{Name: "engines", MaxConnections: 200, Engine: engine}, {Name: "plain", MaxConnections: 100}},
		Teams: []route.Team{
			{Name: "desk", Keys: []string{key, "another-key"}}, {Name: "field", Keys: []string{keyOfField}},
		},
		Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: 2 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// engine starts a model worker; suffix tells a new incarnation at the same address.
func (w *world) engine(i int, suffix string) *standin.Worker {
	return w.worker(fmt.Sprint("e", i), suffix, standin.WorkerConfig{
		Service: "engines", Address: fmt.Sprintf("10.1.0.%d:80", i+1), DataCentre: dc(i), Slots: slots, PrefillTokensPerMS: 8, EventInterval: step, Events: events,
	})
}

func (w *world) plain(i int) *standin.Worker {
	return w.worker(fmt.Sprint("p", i), "", standin.WorkerConfig{Service: "plain", Address: fmt.Sprintf("10.2.0.%d:80", i+1), DataCentre: dc(i), Slots: slots, WorkTime: w.plainWork})
}

func (w *world) worker(node, suffix string, cfg standin.WorkerConfig) *standin.Worker {
	cfg.ID = "i-" + node + suffix
	worker := w.fleet.NewWorker(cfg)
	w.net.SetCrashed(node, false)
	l, err := w.net.Node(node).Listen(cfg.Address)
	assert.NilError(w.t, err)
	w.stops = append(w.stops, standin.Serve(l, worker))
	w.store.Put(platform.KindEndpoint, cfg.ID, worker.Registration("ready"))
	return worker
}

// frontIP is the address of an instance, of which there may be hundreds.
func frontIP(i int) string {
	const inANet = 250
	return fmt.Sprintf("10.0.%d.%d", i/inANet, i%inANet+1)
}

func frontAddress(i int) string     { return frontIP(i) + ":80" }
func readyAddress(i int) string     { return frontIP(i) + ":81" }
func directoryAddress(i int) string { return frontIP(i) + ":82" }

func metricsAddress(i int) string { return frontIP(i) + ":84" }

// frontSettings are the settings of an instance.
func frontSettings(i int) string {
	return fmt.Sprintf(`
[instance]
id = f%d
data_centre = %s
region = r
[listen]
callers = %s
ready = %s
directory = %s
peers = %s:83
metrics = %s
[store]
address = 10.0.9.1:80
[retries]
share = 0.8
reserve = 150
[rollouts]
share = 0.1
reserve = 50
roll_back = 5s
`, i, dc(i), frontAddress(i), readyAddress(i), directoryAddress(i), frontIP(i), metricsAddress(i))
}

// front starts an instance.
func (w *world) front(i int) *front.Front {
	s, err := settings.ParseFront([]byte(frontSettings(i) + w.settings))
	assert.NilError(w.t, err)
	node := fmt.Sprint("f", i)
	w.net.SetCrashed(node, false)
	clock := func() time.Duration { return time.Since(w.began) + time.Hour }
	f, err := front.Start(s, front.Environment{Network: w.net.Node(node), Clock: clock, Out: w.logs})
	assert.NilError(w.t, err)
	return f
}

// killFront ends an instance as a kill does.
func (w *world) killFront(i int) {
	w.net.Crash(fmt.Sprint("f", i))
	w.frontsMu.Lock()
	defer w.frontsMu.Unlock()
	w.fronts[i].Close()
	w.fronts[i] = nil
}

// startFront starts an instance again that was killed.
func (w *world) startFront(i int) {
	f := w.front(i)
	w.frontsMu.Lock()
	defer w.frontsMu.Unlock()
	w.fronts[i] = f
}

// isUp tells whether an instance runs.
func (w *world) isUp(i int) bool {
	w.frontsMu.Lock()
	defer w.frontsMu.Unlock()
	return w.fronts[i] != nil
}

// crashEngine resets all connections of an engine and loses its memory.
func (w *world) crashEngine(id string) {
	for i, e := range w.engines {
		if e.Config().ID == id {
			w.fleet.Remove(e)
			w.net.Crash(fmt.Sprint("e", i))
			return
		}
	}
	w.t.Fatalf("no engine %s", id)
}

// darken makes an engine silent: nothing it sends arrives, and connections to it hang.
func (w *world) darken(id string) {
	for i, e := range w.engines {
		if e.Config().ID == id {
			w.fleet.Remove(e)
			node := fmt.Sprint("e", i)
			w.net.AddCut(func(a, b string) bool { return a == node || b == node })
			return
		}
	}
	w.t.Fatalf("no engine %s", id)
}

func (w *world) id() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	return fmt.Sprintf("%016x", w.next)
}

func (w *world) do(i int, r standin.Request) (standin.Answer, error) {
	return w.doWithin(context.Background(), i, r)
}

func (w *world) doWithin(ctx context.Context, i int, r standin.Request) (standin.Answer, error) {
	if r.Host == "" {
		r.Host = host
	}
	if r.ID == "" {
		r.ID = w.id()
	}
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	return standin.Do(ctx, w.net.Node("caller").Dial, frontAddress(i), r)
}

func brief(prompt string) standin.Request {
	return standin.Request{Path: "/brief/1", Key: key, Body: "the case", Timeout: 25 * time.Second, PromptID: prompt, PromptTokens: promptSize}
}

func logLift() standin.Request {
	return standin.Request{Path: "/log/1?x=%2F", Key: key, Body: "lift", Timeout: 3 * time.Second}
}

func ping() standin.Request {
	return standin.Request{Method: http.MethodGet, Path: "/ping/1", Key: key, Timeout: 3 * time.Second}
}

// stream asks for a brief in the background.
func (w *world) stream(i int, r standin.Request) chan standin.Answer {
	out := make(chan standin.Answer, 1)
	go func() {
		a, err := w.do(i, r)
		if err != nil {
			a.Body = err.Error()
		}
		out <- a
	}()
	return out
}

// serving returns the engine that works on a prompt's stream, and the one that keeps its copy.
func (w *world) serving() (engine, copyAt string) {
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			if r.Ended == "failed" { // still at work
				engine, copyAt = e.Config().ID, r.CopyTo
			}
		}
	}
	for _, e := range w.engines {
		if e.Config().Address == copyAt {
			copyAt = e.Config().ID
		}
	}
	return engine, copyAt
}

// read sums up the prompt tokens that engines have read.
func (w *world) read() int {
	total := 0
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			total += r.Read
		}
	}
	return total
}

func (w *world) plainRuns(id string) int {
	n := 0
	for _, p := range w.plains {
		for _, r := range p.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

func (w *world) moved() int {
	n := 0
	for _, e := range w.engines {
		n += e.CopyRequests()
	}
	return n
}

// whole checks that a stream has every event once, from one prompt, after the last one held.
func whole(t *testing.T, a standin.Answer, prompt string, after int) {
	t.Helper()
	assert.Equal(t, a.Status, http.StatusOK, a.Body)
	assert.Assert(t, a.Complete)
	assert.Assert(t, strings.HasPrefix(a.Signature, "signed-by-"))
	assert.Equal(t, len(a.Events), events-after)
	for i, e := range a.Events {
		assert.Equal(t, e.ID, after+i+1)
		assert.Equal(t, e.Data, fmt.Sprintf("%s %d", prompt, after+i+1))
	}
}

// TestState: what an instance believes can be looked at.
func TestState(t *testing.T) {
	run(t, 2, 1, 1, func(w *world) {
		s := w.fronts[0].State()
		assert.Assert(t, s.Ready)
		assert.Equal(t, s.Configuration, uint64(3))
		assert.Assert(t, s.AgeMS < 1500)
		assert.Equal(t, len(s.Peers), 1)
		assert.Equal(t, len(s.Endpoints), 2)
	})
}

func (w *world) isReady(i int) bool {
	a, err := standin.Do(context.Background(), w.net.Node("caller").Dial, readyAddress(i), standin.Request{Method: http.MethodGet, Path: "/ready", Host: "x"})
	return err == nil && a.Status == http.StatusOK
}

func (w *world) entry(i int) []string {
	a, _ := standin.Resolve(context.Background(), w.net.Node("caller").Dial, directoryAddress(i), "r", dc(i))
	return a
}

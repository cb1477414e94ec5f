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

// world is a simulated deployment in virtual time: a store, instances, engines and plain endpoints.
type world struct {
	t *testing.T
	// outerT is the test that created the world, outside of the synctest bubble. Checks may fail on
	// it or on t.
	outerT  *testing.T
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
	// settings is appended to the settings of each instance. plainWork is how long a plain request
	// takes, and answerBytes the least length of its answer.
	settings    string
	plainWork   time.Duration
	answerBytes int
	// frontsMu guards fronts in tests that kill instances while requests are sent.
	frontsMu sync.Mutex

	mu     sync.Mutex
	lastID int
	// promptCount is the number of prompts sent by streamLoad.
	promptCount int
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
	routeHost     = "desk.example"
	deskKey       = "key-of-the-desk"
	fieldKey      = "key-of-the-field"
	streamEvents  = 60
	eventInterval = 50 * time.Millisecond
	promptTokens  = 8000
	plainWork     = 20 * time.Millisecond
	endpointSlots = 8
	dataCentres   = 3
	// logRouteIndex is the index of the route for calls that must not be repeated.
	logRouteIndex = 2
)

func dc(i int) string { return fmt.Sprint("dc", i%dataCentres) }

// run creates a world, waits until the instances know each other, and runs f in it.
func run(t *testing.T, fronts, engines, plains int, f func(*world)) {
	runWith(t, fronts, engines, plains, func(*world) {}, f)
}

// runWith is run in a world that prepare has changed before anything starts.
func runWith(t *testing.T, fronts, engines, plains int, prepare, f func(*world)) {
	outer := t
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, outerT: outer, net: memnet.New(), began: time.Now(), store: standin.NewStore(0), fleet: standin.NewFleet(), logs: &lockedBuffer{},
			plainWork: plainWork,
		}
		w.config = configuration()
		prepare(w)
		w.store.PutConfiguration(&w.config)
		l, err := w.net.Node("store").Listen("10.0.9.1:80")
		assert.NilError(t, err)
		w.stops = append(w.stops, standin.Serve(l, w.store))
		for i := range engines {
			w.engines = append(w.engines, w.newEngine(i, ""))
		}
		for i := range plains {
			w.plains = append(w.plains, w.newPlain(i, ""))
		}
		for i := range fronts {
			w.fronts = append(w.fronts, w.newFront(i))
		}
		defer w.tearDown()
		time.Sleep(3 * time.Second)
		f(w)
	})
}

// tearDown ends the world, and prints the logs if the test failed.
func (w *world) tearDown() {
	if w.t.Failed() || w.outerT.Failed() {
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
	time.Sleep(2 * time.Hour) // outlasts all timeouts, also those of silent connections
}

func configuration() route.Configuration {
	engine := &route.Engine{Slots: endpointSlots, KVCapacityTokens: 88000, ContinuousCopies: true, CopiesOnRequest: true, CopyTTL: 4 * time.Second}
	to := func(s string) []route.Target { return []route.Target{{Service: s, Weight: 1}} }
	return route.Configuration{
		Version: 3,
		Routes: []route.Route{
			{Name: "brief", Host: routeHost, Prefix: "/brief/", Targets: to("engines"), Stream: true, RetryPolicy: route.Resumable,
				Timeout: 25 * time.Second, TargetLatency: 4500 * time.Millisecond, TargetGap: 700 * time.Millisecond, MaxAttempts: 5},
			{Name: "note", Host: routeHost, Prefix: "/note/", Targets: to("engines"), Stream: true, Timeout: 25 * time.Second, TargetLatency: 4500 * time.Millisecond, MaxAttempts: 3},
			{Name: "log", Host: routeHost, Prefix: "/log/", Targets: to("plain"), RetryPolicy: route.AtMostOnce, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond, MaxAttempts: 3},
			{Name: "ping", Host: routeHost, Prefix: "/ping/", Targets: to("plain"), RetryPolicy: route.Idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2},
			{Name: "open", Host: routeHost, Prefix: "/open/", Targets: to("plain"), RetryPolicy: route.Idempotent, Timeout: 1500 * time.Millisecond, MaxAttempts: 2, Public: true},
		},
		Services: []route.Service{{Name: "engines", MaxConnections: 200, Engine: engine}, {Name: "plain", MaxConnections: 100}},
		Teams: []route.Team{
			{Name: "desk", Keys: []string{deskKey, "another-key"}}, {Name: "field", Keys: []string{fieldKey}},
		},
		Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: 2 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// newEngine starts a model worker. suffix distinguishes a new incarnation at the same address.
func (w *world) newEngine(i int, suffix string) *standin.Worker {
	return w.newWorker(fmt.Sprint("e", i), suffix, standin.WorkerConfig{
		Service: "engines", Address: fmt.Sprintf("10.1.0.%d:80", i+1), DataCentre: dc(i), Slots: endpointSlots, PrefillTokensPerMS: 8, EventInterval: eventInterval, Events: streamEvents,
	})
}

func (w *world) newPlain(i int, suffix string) *standin.Worker {
	return w.newWorker(fmt.Sprint("p", i), suffix, standin.WorkerConfig{Service: "plain", Address: fmt.Sprintf("10.2.0.%d:80", i+1), DataCentre: dc(i), Slots: endpointSlots, WorkTime: w.plainWork, AnswerBytes: w.answerBytes})
}

func (w *world) newWorker(node, suffix string, cfg standin.WorkerConfig) *standin.Worker {
	cfg.ID = "i-" + node + suffix
	worker := w.fleet.NewWorker(cfg)
	w.net.SetCrashed(node, false)
	l, err := w.net.Node(node).Listen(cfg.Address)
	assert.NilError(w.t, err)
	w.stops = append(w.stops, standin.Serve(l, worker))
	w.store.Put(platform.KindEndpoint, cfg.ID, worker.Registration("ready"))
	return worker
}

// frontIP returns the address of an instance; there may be hundreds of them.
func frontIP(i int) string {
	const instancesPerSubnet = 250
	return fmt.Sprintf("10.0.%d.%d", i/instancesPerSubnet, i%instancesPerSubnet+1)
}

func frontAddress(i int) string     { return frontIP(i) + ":80" }
func readyAddress(i int) string     { return frontIP(i) + ":81" }
func directoryAddress(i int) string { return frontIP(i) + ":82" }

func metricsAddress(i int) string { return frontIP(i) + ":84" }

// frontSettings returns the settings of an instance.
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

// newFront starts an instance.
func (w *world) newFront(i int) *front.Front {
	s, err := settings.ParseFront([]byte(frontSettings(i) + w.settings))
	assert.NilError(w.t, err)
	node := fmt.Sprint("f", i)
	w.net.SetCrashed(node, false)
	clock := func() time.Duration { return time.Since(w.began) + time.Hour }
	f, err := front.Start(s, front.Environment{Network: w.net.Node(node), Clock: clock, Out: w.logs})
	assert.NilError(w.t, err)
	return f
}

// killFront ends an instance as SIGKILL does.
func (w *world) killFront(i int) {
	w.net.Crash(fmt.Sprint("f", i))
	w.frontsMu.Lock()
	defer w.frontsMu.Unlock()
	w.fronts[i].Close()
	w.fronts[i] = nil
}

// startFront starts an instance again that was killed.
func (w *world) startFront(i int) {
	f := w.newFront(i)
	w.frontsMu.Lock()
	defer w.frontsMu.Unlock()
	w.fronts[i] = f
}

// isRunning reports whether an instance runs.
func (w *world) isRunning(i int) bool {
	w.frontsMu.Lock()
	defer w.frontsMu.Unlock()
	return w.fronts[i] != nil
}

// crashEngine ends an engine: all its connections are reset and its memory is lost.
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

// silenceEngine makes an engine silent: nothing that it sends arrives, and connections to it hang.
func (w *world) silenceEngine(id string) {
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

func (w *world) newRequestID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%016x", w.lastID)
}

func (w *world) send(i int, r standin.Request) (standin.Answer, error) {
	return w.sendContext(context.Background(), i, r)
}

func (w *world) sendContext(ctx context.Context, i int, r standin.Request) (standin.Answer, error) {
	if r.Host == "" {
		r.Host = routeHost
	}
	if r.ID == "" {
		r.ID = w.newRequestID()
	}
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	return standin.Do(ctx, w.net.Node("caller").Dial, frontAddress(i), r)
}

func briefRequest(prompt string) standin.Request {
	return standin.Request{Path: "/brief/1", Key: deskKey, Body: "the case", Timeout: 25 * time.Second, PromptID: prompt, PromptTokens: promptTokens}
}

func logRequest() standin.Request {
	return standin.Request{Path: "/log/1?x=%2F", Key: deskKey, Body: "lift", Timeout: 3 * time.Second}
}

func pingRequest() standin.Request {
	return standin.Request{Method: http.MethodGet, Path: "/ping/1", Key: deskKey, Timeout: 3 * time.Second}
}

// startStream sends a request in the background and returns the channel for its answer.
func (w *world) startStream(i int, r standin.Request) chan standin.Answer {
	out := make(chan standin.Answer, 1)
	go func() { out <- w.answer(i, r) }()
	return out
}

// answer sends a request and returns the answer. If there was none, it has no status, and its body is the error.
func (w *world) answer(i int, r standin.Request) standin.Answer {
	a, err := w.send(i, r)
	if err != nil {
		a.Body = err.Error()
	}
	return a
}

// streamEngines returns the engine that runs a stream, and the one that holds its copy.
func (w *world) streamEngines() (engine, copyAt string) {
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			if r.Ended == "failed" { // still running
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

// prefilledTokens returns the number of prompt tokens that all engines have prefilled.
func (w *world) prefilledTokens() int {
	total := 0
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			total += r.Read
		}
	}
	return total
}

func (w *world) plainRunCount(id string) int {
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

func (w *world) movedCopies() int {
	n := 0
	for _, e := range w.engines {
		n += e.CopyRequests()
	}
	return n
}

// assertWhole checks that a stream has every event after lastEvent once, in order and from one
// prompt.
func assertWhole(t *testing.T, a standin.Answer, prompt string, lastEvent int) {
	t.Helper()
	assert.Equal(t, a.Status, http.StatusOK, a.Body)
	assert.Assert(t, a.Complete)
	assert.Assert(t, strings.HasPrefix(a.Signature, "signed-by-"))
	assert.Equal(t, len(a.Events), streamEvents-lastEvent)
	for i, e := range a.Events {
		assert.Equal(t, e.ID, lastEvent+i+1)
		assert.Equal(t, e.Data, fmt.Sprintf("%s %d", prompt, lastEvent+i+1))
	}
}

// TestState checks the snapshot of what an instance knows.
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

func (w *world) resolve(i int) []string {
	a, _ := standin.Resolve(context.Background(), w.net.Node("caller").Dial, directoryAddress(i), "r", dc(i))
	return a
}

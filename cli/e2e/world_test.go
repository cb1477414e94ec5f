// Package e2e proves what must always hold, with the daemons' own code before stand-ins,
// in virtual time and over a network in memory.
package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/load"
	"github.com/agateway/agateway/cli/standin/engine"
	"github.com/agateway/agateway/cli/standin/plain"
	standin "github.com/agateway/agateway/cli/standin/platform"
	"github.com/agateway/agateway/gateway/daemon"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/platform"
	"github.com/agateway/agateway/gateway/settings"
)

// shape says what a world consists of.
type shape struct {
	gateways, engines, services int
	policy                      string
	salt                        uint64
	slots                       int
	interval                    time.Duration
	extra                       string // further settings
	ignoreFencing               bool
	anyVersion                  bool               // the deployment names none
	versions                    func(i int) string // loaded by engine i; "1" if nil
}

const (
	teamName    = "almaty-desk"
	teamKey     = "agw_almaty-desk_0123456789"
	operatorKey = "operator-key"
	model       = "brief"
	prompt      = "summarise the case of the caller"
	token       = 20 * time.Millisecond
)

// world is a fleet in virtual time.
type world struct {
	t        *testing.T
	shape    shape
	net      *memnet.Net
	platform *standin.Platform
	engines  []*engine.Engine
	services []*plain.Plain
	gateways []*daemon.Daemon
	logs     *lockedBuffer
	exited   func(i int) // is called when an engine ends by itself
	dep      *operatorv1.Deployment
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

// run builds a world, waits until it has come together, and runs f in it.
func run(t *testing.T, s shape, f func(*world)) {
	t.Helper()
	t.Parallel() // each world has a clock of its own
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, shape: s, net: memnet.New(), logs: &lockedBuffer{}}
		defer w.close()
		w.build()
		f(w)
	})
}

func (w *world) build() {
	var err error
	w.platform, err = standin.Start(w.net.Node("platform"), "10.0.9.1:80", 500*time.Millisecond)
	assert.NilError(w.t, err)
	for i := range w.shape.engines {
		w.addEngine(i)
	}
	for i := range w.shape.services {
		p, err := plain.Start(plain.Config{
			ID: fmt.Sprint("s", i), Address: "10.0.2.1:0", DataCentre: dc(i), Service: "queue-app", Slots: 64,
			CallDuration: 5 * time.Millisecond, Platform: w.platformFrom(fmt.Sprint("s", i)), Network: w.net.Node(fmt.Sprint("s", i)),
		})
		assert.NilError(w.t, err)
		w.services = append(w.services, p)
	}
	for i := range w.shape.gateways {
		w.gateways = append(w.gateways, w.startGateway(i))
	}
	w.configure()
	time.Sleep(5 * time.Second)
}

func dc(i int) string { return [...]string{"alm-hall-a", "alm-hall-b", "shym-hall"}[i%3] }

func (w *world) platformFrom(node string) *platform.Objects {
	return platform.NewObjects(w.platform.URL(), 2*time.Second, w.net.Node(node))
}

func (w *world) addEngine(i int) {
	slots, interval := w.shape.slots, w.shape.interval
	if slots == 0 {
		slots = 16
	}
	if interval == 0 {
		interval = token
	}
	id, version := fmt.Sprint("e", i), "1"
	if w.shape.versions != nil {
		version = w.shape.versions(i)
	}
	e, err := engine.Start(engine.Config{
		ID: id, Address: "10.0.1.1:0", DataCentre: dc(i), Service: "brief-llm", Slots: slots, Interval: interval,
		PrefillRate: 20000, CacheBlocks: 1000, Lag: 200 * time.Millisecond, EventLoss: 0.1, ChecksFencing: !w.shape.ignoreFencing,
		LoadTime: time.Second, Salt: w.shape.salt, Seed: uint64(i), Models: []endpoint.LoadedModel{{Name: model, Version: version}},
		Platform: w.platformFrom(id), Network: w.net.Node(id),
		Exit: func() {
			if w.exited != nil {
				w.exited(i)
			}
		},
	})
	assert.NilError(w.t, err)
	if i < len(w.engines) {
		w.engines[i] = e
		return
	}
	w.engines = append(w.engines, e)
}

func (w *world) startGateway(i int) *daemon.Daemon {
	hash := sha256.Sum256([]byte(operatorKey))
	s, err := settings.Parse([]byte(fmt.Sprintf(`
[instance]
id = g%d
data_centre = %s
callers = 10.0.0.%d:0
peers = 10.0.0.%d:0
[platform]
url = %s
[keys]
cursor = cursor-key-0123456789
peer = peer-key-0123456789
operator_sha256 = %s
%s`, i, dc(i), i+1, i+1, w.platform.URL(), hex.EncodeToString(hash[:]), w.shape.extra)))
	assert.NilError(w.t, err)
	d, err := daemon.Start(s, w.net.Node(fmt.Sprint("g", i)), w.logs)
	assert.NilError(w.t, err)
	return d
}

func (w *world) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	w.t.Cleanup(cancel)
	return ctx
}

func (w *world) configure() {
	ctx := w.ctx()
	hash := sha256.Sum256([]byte(teamKey))
	c := w.gateways[0].Config
	_, err := c.PutTeam(ctx, &operatorv1.Team{Name: teamName, KeySha256: []string{hex.EncodeToString(hash[:])}}, 0, "team")
	assert.NilError(w.t, err)
	w.dep = w.deployment()
	_, err = c.PutDeployment(ctx, w.dep, 0, "generations")
	assert.NilError(w.t, err)
	_, err = c.PutDeployment(ctx, &operatorv1.Deployment{
		Name: "queue-app", Kind: operatorv1.Kind_KIND_PLAIN, Service: "queue-app", Teams: []string{teamName},
		Contract: &operatorv1.Contract{Class: "background", DeadlineMs: 5000, QueueMs: 500},
	}, 0, "plain")
	assert.NilError(w.t, err)
}

func (w *world) deployment() *operatorv1.Deployment {
	version := "1"
	if w.shape.anyVersion {
		version = ""
	}
	return &operatorv1.Deployment{
		Name: "brief-llm", Kind: operatorv1.Kind_KIND_GENERATION, Service: "brief-llm", Model: model, Version: version,
		Teams: []string{teamName}, Recovery: &operatorv1.Recovery{Policy: w.shape.policy},
		Contract: &operatorv1.Contract{Class: "urgent", DeadlineMs: 60000, QueueMs: 2000},
	}
}

func (w *world) close() {
	if w.t.Failed() {
		w.t.Logf("logs:\n%s", w.logs.buf.String())
	}
	for _, g := range w.gateways {
		g.Close()
	}
	for _, e := range w.engines {
		e.SetFault(engine.Fault{})
		e.Close()
	}
	for _, s := range w.services {
		s.SetFault(plain.Fault{})
		s.Close()
	}
	w.platform.Close()
	w.net.CloseAll()
	time.Sleep(2 * time.Hour) // what sleeps between retries ends
}

// client returns a caller that knows all instances, beginning with the i-th.
func (w *world) client(i int) *caller.Client {
	var entries []string
	for n := range w.gateways {
		entries = append(entries, w.gateways[(i+n)%len(w.gateways)].Callers)
	}
	return caller.New(caller.Options{Entries: entries, Key: teamKey, Network: w.net.Node("caller"), DataCentre: dc(i)})
}

func (w *world) request(tokens int) caller.Request {
	return caller.Request{Model: "brief-llm", Prompt: prompt, MaxTokens: tokens, Seed: 7, Timeout: 50 * time.Second}
}

// check compares an answer with the right one.
func (w *world) check(r caller.Request, a *caller.Answer, err error) {
	w.t.Helper()
	assert.NilError(w.t, err)
	start := load.StartRequest(w.dep, r.Prompt, r.MaxTokens, r.Seed)
	assert.Equal(w.t, a.Tokens, r.MaxTokens)
	if w.shape.salt == 0 {
		assert.Equal(w.t, a.Text, engine.ExpectedText(start))
		return
	}
	assert.Assert(w.t, engine.ConsistentText(start, a.Text, r.MaxTokens), "mixed: %s", a.Text)
}

// serving returns the engine that runs streams.
func (w *world) serving() int {
	for i, e := range w.engines {
		if e.OpenStreams() > 0 {
			return i
		}
	}
	w.t.Fatal("no engine serves")
	return -1
}

// total sums up the engines' totals.
func (w *world) total() engine.Stats {
	var sum engine.Stats
	for _, e := range w.engines {
		st := e.Stats()
		sum.Generated += st.Generated
		sum.Prefilled += st.Prefilled
		sum.Streams += st.Streams
		sum.Cancelled += st.Cancelled
		sum.Discarded += st.Discarded
	}
	return sum
}

func (w *world) killEngine(i int) {
	w.engines[i].Close()
	w.net.Crash(fmt.Sprint("e", i))
}

func (w *world) killGateway(i int) {
	w.net.Crash(fmt.Sprint("g", i))
	w.gateways[i].Close()
}

// post sends a raw request to an instance.
func (w *world) post(gateway int, path string, header map[string]string, body string) (int, http.Header, string) {
	w.t.Helper()
	tr := &http.Transport{DialContext: w.net.Node("caller").Dial, DisableKeepAlives: true}
	req, err := http.NewRequest(http.MethodPost, "http://"+w.gateways[gateway].Callers+path, strings.NewReader(body))
	assert.NilError(w.t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := (&http.Client{Transport: tr}).Do(req)
	assert.NilError(w.t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(w.t, err)
	return resp.StatusCode, resp.Header, string(raw)
}

func startRequest(w *world, prompt string, tokens int) *endpoint.StartRequest {
	return load.StartRequest(w.dep, prompt, tokens, 7)
}

func asError[T error](err error, target *T) bool { return errors.As(err, target) }

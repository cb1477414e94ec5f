// Package e2e tests guarantees of the whole system. It runs instances with the daemon's own code
// against stand-ins for engines, services and the platform, in virtual time and over an in-memory
// network.
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

// clusterConfig says what a cluster consists of. Zero slots mean 16, a zero interval means
// tokenInterval.
type clusterConfig struct {
	gateways, engines, services int
	policy                      string
	textSalt                    uint64
	slots                       int
	interval                    time.Duration
	extraSettings               string // added to the settings of each instance
	ignoreFencing               bool
	anyVersion                  bool               // the deployment requires no model version
	modelVersion                func(i int) string // version loaded by engine i; "1" if nil
}

const (
	teamName      = "almaty-desk"
	teamKey       = "agw_almaty-desk_0123456789"
	operatorKey   = "operator-key"
	model         = "brief"
	prompt        = "summarise the case of the caller"
	tokenInterval = 20 * time.Millisecond
)

// cluster is a set of instances, engines, services and a platform in virtual time.
type cluster struct {
	t                    *testing.T
	config               clusterConfig
	net                  *memnet.Net
	platform             *standin.Platform
	engines              []*engine.Engine
	services             []*plain.Plain
	gateways             []*daemon.Daemon
	logs                 *lockedBuffer
	onEngineExit         func(i int) // called when engine i exits because of a fault; may be nil
	generationDeployment *operatorv1.Deployment
}

// lockedBuffer is a buffer that several instances can write to.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// runCluster starts a cluster, waits until its instances know each other and the engines, and runs f.
func runCluster(t *testing.T, s clusterConfig, f func(*cluster)) {
	t.Helper()
	t.Parallel() // each cluster has its own clock
	synctest.Test(t, func(t *testing.T) {
		w := &cluster{t: t, config: s, net: memnet.New(), logs: &lockedBuffer{}}
		defer w.close()
		w.build()
		f(w)
	})
}

// build starts all processes of the cluster, configures it and waits until the configuration is in
// force.
func (w *cluster) build() {
	var err error
	w.platform, err = standin.Start(w.net.Node("platform"), "10.0.9.1:80", 500*time.Millisecond)
	assert.NilError(w.t, err)
	for i := range w.config.engines {
		w.addEngine(i)
	}
	for i := range w.config.services {
		p, err := plain.Start(plain.Config{
			ID: fmt.Sprint("s", i), Address: "10.0.2.1:0", DataCentre: dataCentre(i), Service: "queue-app", Slots: 64,
			CallDuration: 5 * time.Millisecond, Platform: w.platformClient(fmt.Sprint("s", i)), Network: w.net.Node(fmt.Sprint("s", i)),
		})
		assert.NilError(w.t, err)
		w.services = append(w.services, p)
	}
	for i := range w.config.gateways {
		w.gateways = append(w.gateways, w.startGateway(i))
	}
	w.configure()
	time.Sleep(5 * time.Second)
}

func dataCentre(i int) string { return [...]string{"alm-hall-a", "alm-hall-b", "shym-hall"}[i%3] }

// platformClient returns a client of the platform at a node of the network.
func (w *cluster) platformClient(node string) *platform.Objects {
	return platform.NewObjects(w.platform.URL(), 2*time.Second, w.net.Node(node))
}

// addEngine starts engine i, or starts it again.
func (w *cluster) addEngine(i int) {
	slots, interval := w.config.slots, w.config.interval
	if slots == 0 {
		slots = 16
	}
	if interval == 0 {
		interval = tokenInterval
	}
	id, version := fmt.Sprint("e", i), "1"
	if w.config.modelVersion != nil {
		version = w.config.modelVersion(i)
	}
	e, err := engine.Start(engine.Config{
		ID: id, Address: "10.0.1.1:0", DataCentre: dataCentre(i), Service: "brief-llm", Slots: slots, Interval: interval,
		PrefillRate: 20000, CacheBlocks: 1000, Lag: 200 * time.Millisecond, EventLoss: 0.1, ChecksFencing: !w.config.ignoreFencing,
		LoadTime: time.Second, Salt: w.config.textSalt, Seed: uint64(i), Models: []endpoint.LoadedModel{{Name: model, Version: version}},
		Platform: w.platformClient(id), Network: w.net.Node(id),
		Exit: func() {
			if w.onEngineExit != nil {
				w.onEngineExit(i)
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

func (w *cluster) startGateway(i int) *daemon.Daemon {
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
%s`, i, dataCentre(i), i+1, i+1, w.platform.URL(), hex.EncodeToString(hash[:]), w.config.extraSettings)))
	assert.NilError(w.t, err)
	d, err := daemon.Start(s, w.net.Node(fmt.Sprint("g", i)), w.logs)
	assert.NilError(w.t, err)
	return d
}

func (w *cluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	w.t.Cleanup(cancel)
	return ctx
}

// configure creates the team and the deployments through the first instance.
func (w *cluster) configure() {
	ctx := w.ctx()
	hash := sha256.Sum256([]byte(teamKey))
	c := w.gateways[0].Config
	_, err := c.PutTeam(ctx, &operatorv1.Team{Name: teamName, KeySha256: []string{hex.EncodeToString(hash[:])}}, 0, "team")
	assert.NilError(w.t, err)
	w.generationDeployment = w.deployment()
	_, err = c.PutDeployment(ctx, w.generationDeployment, 0, "generations")
	assert.NilError(w.t, err)
	_, err = c.PutDeployment(ctx, &operatorv1.Deployment{
		Name: "queue-app", Kind: operatorv1.Kind_KIND_PLAIN, Service: "queue-app", Teams: []string{teamName},
		Contract: &operatorv1.Contract{Class: "background", DeadlineMs: 5000, QueueMs: 500},
	}, 0, "plain")
	assert.NilError(w.t, err)
}

func (w *cluster) deployment() *operatorv1.Deployment {
	version := "1"
	if w.config.anyVersion {
		version = ""
	}
	return &operatorv1.Deployment{
		Name: "brief-llm", Kind: operatorv1.Kind_KIND_GENERATION, Service: "brief-llm", Model: model, Version: version,
		Teams: []string{teamName}, Recovery: &operatorv1.Recovery{Policy: w.config.policy},
		Contract: &operatorv1.Contract{Class: "urgent", DeadlineMs: 60000, QueueMs: 2000},
	}
}

// close stops everything, and logs what the instances logged if the test failed.
func (w *cluster) close() {
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
	time.Sleep(2 * time.Hour) // goroutines that sleep between retries end
}

// callerOfAll returns a caller that knows all instances and begins with instance i.
func (w *cluster) callerOfAll(i int) *caller.Client {
	var entries []string
	for n := range w.gateways {
		entries = append(entries, w.gateways[(i+n)%len(w.gateways)].Callers)
	}
	return caller.New(caller.Options{Entries: entries, Key: teamKey, Network: w.net.Node("caller"), DataCentre: dataCentre(i)})
}

func (w *cluster) request(tokens int) caller.Request {
	return caller.Request{Model: "brief-llm", Prompt: prompt, MaxTokens: tokens, Seed: 7, Timeout: 50 * time.Second}
}

// checkAnswer compares an answer with the right one. If the engines have a salt, it checks instead that
// each token was made for exactly the tokens before it, so that texts of two attempts are not mixed.
func (w *cluster) checkAnswer(r caller.Request, a *caller.Answer, err error) {
	w.t.Helper()
	assert.NilError(w.t, err)
	start := load.StartRequest(w.generationDeployment, r.Prompt, r.MaxTokens, r.Seed)
	assert.Equal(w.t, a.Tokens, r.MaxTokens)
	if w.config.textSalt == 0 {
		assert.Equal(w.t, a.Text, engine.ExpectedText(start))
		return
	}
	assert.Assert(w.t, engine.ConsistentText(start, a.Text, r.MaxTokens), "mixed: %s", a.Text)
}

// servingEngine returns the index of the first engine with an open stream. It fails the test if
// there is none.
func (w *cluster) servingEngine() int {
	for i, e := range w.engines {
		if e.OpenStreams() > 0 {
			return i
		}
	}
	w.t.Fatal("no engine serves")
	return -1
}

// totalStats returns the sum of the totals of all engines.
func (w *cluster) totalStats() engine.Stats {
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

func (w *cluster) killEngine(i int) {
	w.engines[i].Close()
	w.net.Crash(fmt.Sprint("e", i))
}

func (w *cluster) killGateway(i int) {
	w.net.Crash(fmt.Sprint("g", i))
	w.gateways[i].Close()
}

// post sends a request to an instance with its own connection, and returns status, headers and body.
func (w *cluster) post(gateway int, path string, header map[string]string, body string) (int, http.Header, string) {
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

func startRequest(w *cluster, prompt string, tokens int) *endpoint.StartRequest {
	return load.StartRequest(w.generationDeployment, prompt, tokens, 7)
}

func asError[T error](err error, target *T) bool { return errors.As(err, target) }

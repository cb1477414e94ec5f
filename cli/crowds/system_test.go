// Package crowds tests that clients which send without end, or stop in the middle, end no process. The tests
// start the daemon as processes on loopback addresses. They check that a process lives, that its memory and its
// open descriptors stay within bounds, and that an ordinary request is answered; they check no times.
//
// Run them one at a time and apart from other load: make test-crowds.
package crowds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/agateway/agateway/cli/internal/testsystem"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform/standin"
)

// Limits on callers in the configuration. All that the crowds send is within them.
const (
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 4 << 20
	headerTimeout  = 30 * time.Second
	idleTimeout    = 30 * time.Second
	requestTimeout = 30 * time.Second
)

const (
	host = "desk.example"
	key  = "desk-key"
	// plainPath is a route that may not be repeated, longPath one with long answers, streamPath one with streams.
	plainPath  = "/log/1"
	longPath   = "/long/1"
	streamPath = "/brief/1"
)

// longAnswerBytes is the length of an answer of longPath. It is more than an instance keeps of an answer.
const longAnswerBytes = 512 << 10

// system is a store, endpoints and an instance that forwards to them.
type system struct {
	*process
	t                                          *testing.T
	callers, ready, directory, peers, operator string
}

// startSystem starts a system and waits until it answers requests.
func startSystem(t *testing.T, l processLimits) *system {
	t.Helper()
	store := standin.NewStore(0)
	store.PutConfiguration(configuration())
	storeAddress := testsystem.Serve(t, func(l net.Listener) func() { return standin.Serve(l, store) })
	fleet := standin.NewFleet()
	s := &system{t: t}
	for i := range 2 {
		testsystem.AddWorker(t, store, fleet, standin.WorkerConfig{ID: fmt.Sprint("i-p", i), Service: "plain", Slots: 16, WorkTime: 5 * time.Millisecond})
		testsystem.AddWorker(t, store, fleet, standin.WorkerConfig{ID: fmt.Sprint("i-l", i), Service: "long", Slots: 16, WorkTime: 5 * time.Millisecond, AnswerBytes: longAnswerBytes})
		testsystem.AddWorker(t, store, fleet, standin.WorkerConfig{ID: fmt.Sprint("i-e", i), Service: "engines", Slots: 16, PrefillTokensPerMS: 20, EventInterval: 5 * time.Millisecond, Events: 10})
	}
	a := testsystem.FreeAddresses(t, 5)
	s.callers, s.ready, s.directory, s.peers, s.operator = a[0], a[1], a[2], a[3], a[4]
	s.process = startProcess(t, l, a, fmt.Sprintf(`[instance]
id = front-0
data_centre = dc0
region = r
[listen]
callers = %s
ready = %s
directory = %s
peers = %s
metrics = %s
[store]
address = %s
[process]
memory_mb = %d
`, s.callers, s.ready, s.directory, s.peers, s.operator, storeAddress, l.memoryMB), "front", "--config")
	s.assertServes()
	return s
}

// endpointConnections is how many connections all instances together may have to an endpoint: fewer than a crowd has members.
const endpointConnections = 48

func configuration() *route.Configuration {
	to := func(s string) []route.Target { return []route.Target{{Service: s, Weight: 1}} }
	plain := func(name string) route.Route {
		return route.Route{Name: name, Host: host, Prefix: "/" + name + "/", Targets: to(name), Timeout: requestTimeout, TargetLatency: 2 * time.Second, MaxAttempts: 2}
	}
	log := plain("log")
	log.Targets = to("plain")
	return &route.Configuration{
		Version: 1,
		Limits:  route.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		Routes: []route.Route{
			{Name: "brief", Host: host, Prefix: "/brief/", Targets: to("engines"), Stream: true, RetryPolicy: route.Resumable, Timeout: requestTimeout, TargetLatency: 4 * time.Second, TargetGap: 700 * time.Millisecond, MaxAttempts: 5},
			log, plain("long"),
		},
		Services: []route.Service{
			{Name: "engines", MaxConnections: endpointConnections, Engine: &route.Engine{Slots: 16, KVCapacityTokens: 88000}},
			{Name: "plain", MaxConnections: endpointConnections}, {Name: "long", MaxConnections: endpointConnections},
		},
		Teams: []route.Team{{Name: "desk", Keys: []string{key}}},
	}
}

// assertServes checks that the instance answers an ordinary request of each kind, and the look-ups of callers,
// the platform and the operators.
func (s *system) assertServes() {
	s.t.Helper()
	for _, request := range []func() standin.Request{ordinaryRequest, ordinaryStream} {
		s.assertAnswered(s.t, func() error {
			r := request() // each try has an ID of its own
			return ask(s.callers, r.Encode())
		})
	}
	for _, url := range []string{s.directory + "/resolve?name=" + host + "&region=r&zone=dc0", s.ready + "/ready", s.operator + "/metrics"} {
		s.assertAnswered(s.t, func() error { return get("http://" + url) })
	}
}

// ordinaryRequest is a plain request with a body of common size.
func ordinaryRequest() standin.Request {
	return standin.Request{Method: "POST", Host: host, Path: plainPath, ID: nextID(), Key: key, Body: strings.Repeat("x", 8<<10), Timeout: requestTimeout}
}

// ordinaryStream is a request for a stream.
func ordinaryStream() standin.Request {
	r := ordinaryRequest()
	r.Path, r.PromptID, r.PromptTokens, r.OutputTokens = streamPath, "a1", 1000, 100
	return r
}

// errNoSuccess says that an answer came that is not a worker's whole success.
var errNoSuccess = errors.New("the answer is no success")

// ask sends a request on a new connection and returns an error if the answer is not a worker's.
func ask(address, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	var d net.Dialer
	a, err := standin.Exchange(ctx, d.DialContext, address, text)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK || a.Signature == "" || !a.Complete {
		return fmt.Errorf("%w: status %d %s", errNoSuccess, a.Status, strings.TrimSpace(a.Body))
	}
	return nil
}

// get returns an error if the answer to a GET request on a new connection is no success.
func get(url string) error {
	client := http.Client{Timeout: tryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errNoSuccess, resp.StatusCode)
	}
	return nil
}

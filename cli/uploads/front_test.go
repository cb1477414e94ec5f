package uploads

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/cli/internal/testsystem"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/gateway/front"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/settings"
	"github.com/agateway/agateway/platform/standin"
)

const (
	host           = "desk.example"
	key            = "desk-key"
	requestTimeout = 5 * time.Second
	startTimeout   = 20 * time.Second
)

// Paths of routes of each kind.
const (
	oncePath       = "/log/1"
	repeatablePath = "/ping/1"
	onceStreamPath = "/note/1"
	resumablePath  = "/brief/1"
)

// frontSystem is a store, workers and an instance that forwards to them.
type frontSystem struct {
	callers string
	workers []*standin.Worker
	path    string // of requests
}

func startFrontSystem(t *testing.T, path string) *frontSystem {
	t.Helper()
	s := &frontSystem{path: path}
	store, fleet := standin.NewStore(0), standin.NewFleet()
	store.PutConfiguration(configuration())
	storeAddress := testsystem.Serve(t, func(l net.Listener) func() { return standin.Serve(l, store) })
	for i := range 2 {
		s.workers = append(s.workers, testsystem.AddWorker(t, store, fleet, standin.WorkerConfig{ID: fmt.Sprint("i-p", i), Service: "plain", Slots: 16}))
		s.workers = append(s.workers, testsystem.AddWorker(t, store, fleet, standin.WorkerConfig{ID: fmt.Sprint("i-e", i), Service: "engines", Slots: 16, PrefillTokensPerMS: 20, EventInterval: time.Millisecond, Events: 10}))
	}
	a := testsystem.FreeAddresses(t, 4)
	s.callers = a[0]
	parsed, err := settings.ParseFront(fmt.Appendf(nil, `[instance]
id = front-0
data_centre = dc0
region = r
[listen]
callers = %s
ready = %s
directory = %s
peers = %s
[store]
address = %s
`, a[0], a[1], a[2], a[3], storeAddress))
	assert.NilError(t, err)
	began := time.Now()
	f, err := front.Start(parsed, front.Environment{Network: network.TCP{}, Clock: func() time.Duration { return time.Since(began) + time.Hour }, Out: io.Discard})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	awaitStart(t, func() error { return s.send(1).asError() })
	return s
}

func (s *frontSystem) setFault(f *standin.ResetUpload) {
	for _, w := range s.workers {
		w.SetFault(standin.WorkerFault{ResetUpload: f})
	}
}

func (s *frontSystem) send(bodySize int) result {
	request := standin.Request{Method: "POST", Host: host, Path: s.path, ID: uuid.NewString(), Key: key, Body: strings.Repeat("x", bodySize), Timeout: requestTimeout}
	if s.path == onceStreamPath || s.path == resumablePath {
		request.PromptID, request.PromptTokens, request.OutputTokens = "a1", 1000, 100
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var d net.Dialer
	a, err := standin.Exchange(ctx, d.DialContext, s.callers, request.Encode())
	if err != nil {
		return result{}
	}
	return result{status: a.Status, complete: a.Complete}
}

func configuration() *route.Configuration {
	newRoute := func(name, service string, policy route.RetryPolicy, stream bool) route.Route {
		return route.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Targets: []route.Target{{Service: service, Weight: 1}}, RetryPolicy: policy, Stream: stream,
			Timeout: requestTimeout, TargetLatency: 2 * time.Second, TargetGap: 700 * time.Millisecond, MaxAttempts: 2,
		}
	}
	return &route.Configuration{
		Version: 1,
		Limits:  route.Limits{HeaderBytes: 64 << 10, BodyBytes: 4 << 20, HeaderTimeout: requestTimeout, IdleTimeout: requestTimeout},
		Routes: []route.Route{
			newRoute("log", "plain", route.AtMostOnce, false), newRoute("ping", "plain", route.Idempotent, false),
			newRoute("note", "engines", route.AtMostOnce, true), newRoute("brief", "engines", route.Resumable, true),
		},
		Services: []route.Service{
			{Name: "engines", MaxConnections: 100, Engine: &route.Engine{Slots: 16, KVCapacityTokens: 88000}}, {Name: "plain", MaxConnections: 100},
		},
		Teams: []route.Team{{Name: "desk", Keys: []string{key}}},
	}
}

// TestResetUploads guards against a part of an answer without a length that is delivered as a complete answer when
// its endpoint resets the connection during the upload of the request.
func TestResetUploads(t *testing.T) {
	for path, rounds := range map[string]int{oncePath: 10, repeatablePath: 10, onceStreamPath: 3, resumablePath: 3} {
		t.Run(strings.Trim(path, "/1"), func(t *testing.T) {
			s := startFrontSystem(t, path)
			assertNoParts(t, func(*testing.T) system { return s }, rounds, 64<<10, 512<<10, 3<<20)
		})
	}
}

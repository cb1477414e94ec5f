package uploads

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/cli/internal/testsystem"
	"github.com/agateway/agateway/cli/standin/plain"
	standinplatform "github.com/agateway/agateway/cli/standin/platform"
	"github.com/agateway/agateway/gateway/daemon"
	"github.com/agateway/agateway/gateway/network"
	gatewayplatform "github.com/agateway/agateway/gateway/platform"
	"github.com/agateway/agateway/gateway/settings"
	"github.com/agateway/agateway/platform/standin"
)

const (
	teamKey     = "agw_desk_0123456789"
	operatorKey = "operator-key-0123456789"
	serviceName = "queue-app"
)

// ownSystem is a platform, services and an instance of the own interface.
type ownSystem struct {
	callers  string
	services []*plain.Plain
	method   string // of calls
}

func startOwnSystem(t *testing.T, method string) *ownSystem {
	t.Helper()
	p, err := standinplatform.Start(network.TCP{}, "127.0.0.1:0", 0)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	s := &ownSystem{method: method}
	for i := range 8 {
		service, err := plain.Start(plain.Config{
			ID: fmt.Sprint("s", i), Address: "127.0.0.1:0", DataCentre: "dc0", Service: serviceName, Slots: 64,
			Platform: gatewayplatform.NewObjects(p.URL(), 2*time.Second, network.TCP{}), Network: network.TCP{},
		})
		assert.NilError(t, err)
		t.Cleanup(service.Close)
		s.services = append(s.services, service)
	}
	a := testsystem.FreeAddresses(t, 2)
	s.callers = a[0]
	parsed, err := settings.Parse(fmt.Appendf(nil, `[instance]
id = g0
data_centre = dc0
callers = %s
peers = %s
[platform]
url = %s
[keys]
cursor = cursor-key-0123456789
peer = peer-key-0123456789
operator_sha256 = %s
`, a[0], a[1], p.URL(), testsystem.KeyHash(operatorKey)))
	assert.NilError(t, err)
	d, err := daemon.Start(parsed, network.TCP{}, io.Discard)
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	called := testsystem.Service{Name: serviceName, Team: "desk", TeamKey: teamKey, Deadline: requestTimeout}
	awaitStart(t, func() error { return called.Configure(s.callers, operatorKey, time.Second) })
	awaitStart(t, func() error { return s.call(http.MethodPut, 1).asError() })
	return s
}

func (s *ownSystem) setFault(f *standin.ResetUpload) {
	for _, p := range s.services {
		p.SetFault(plain.Fault{ResetUpload: f})
	}
}

func (s *ownSystem) send(bodySize int) result { return s.call(s.method, bodySize) }

// call sends a call with a body of some bytes.
func (s *ownSystem) call(method string, bodySize int) result {
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+s.callers+"/v1/services/"+serviceName+"/x", strings.NewReader(strings.Repeat("x", bodySize)))
	if err != nil {
		return result{}
	}
	r.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := client.Do(r)
	if err != nil {
		return result{}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return result{status: resp.StatusCode, complete: err == nil}
}

// TestResetUploadsOfOwnInterface is TestResetUploads for the own interface: calls that may run once and calls that may
// be repeated. A service that resets is not used again at once, so each fault gets a system of its own.
func TestResetUploadsOfOwnInterface(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			start := func(t *testing.T) system { return startOwnSystem(t, method) }
			assertNoParts(t, start, 10, 64<<10, 1<<20)
		})
	}
}

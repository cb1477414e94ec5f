package crowds

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
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/platform"
)

const (
	teamName    = "desk"
	teamKey     = "agw_desk_0123456789"
	operatorKey = "operator-key-0123456789"
	serviceName = "queue-app"
)

// ownProcess is a process with the default of its memory.
var ownProcess = processLimits{memoryMB: 256, descriptors: 1000, maxOpen: 900}

// Crowds of the own interface, in its default limits.
const (
	ownMembers     = 300
	ownBodySize    = 1 << 20
	ownHeadMembers = 60
	ownHeadSize    = 900 << 10
	ownIdleMembers = 1200
)

// ownSystem is a platform, a service and an instance of the own interface.
type ownSystem struct {
	*process
	t              *testing.T
	callers, peers string
}

func startOwnSystem(t *testing.T) *ownSystem {
	t.Helper()
	p, err := standinplatform.Start(network.TCP{}, "127.0.0.1:0", 0)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	service, err := plain.Start(plain.Config{
		ID: "s0", Address: "127.0.0.1:0", DataCentre: "dc0", Service: serviceName, Slots: 64, CallDuration: 5 * time.Millisecond,
		Platform: platform.NewObjects(p.URL(), 2*time.Second, network.TCP{}), Network: network.TCP{},
	})
	assert.NilError(t, err)
	t.Cleanup(service.Close)
	a := testsystem.FreeAddresses(t, 2)
	s := &ownSystem{t: t, callers: a[0], peers: a[1]}
	s.process = startProcess(t, ownProcess, a, fmt.Sprintf(`[instance]
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
`, s.callers, s.peers, p.URL(), testsystem.KeyHash(operatorKey)), "--config")
	s.assertAnswered(t, s.configure)
	s.assertServes()
	return s
}

// configure creates the team and the service.
func (s *ownSystem) configure() error {
	service := testsystem.Service{Name: serviceName, Team: teamName, TeamKey: teamKey, Deadline: requestTimeout}
	return service.Configure(s.callers, operatorKey, tryTimeout)
}

// assertServes checks that an ordinary call is answered.
func (s *ownSystem) assertServes() {
	s.t.Helper()
	s.assertAnswered(s.t, func() error { return call(s.callers, strings.Repeat("x", 8<<10)) })
}

// call sends a call with a body on a new connection and returns an error if it is not answered.
func call(address, body string) error {
	client := http.Client{Timeout: tryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/"+serviceName+"/x", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if raw, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d %s", errNoSuccess, resp.StatusCode, raw)
	}
	return nil
}

// assertOutlasts checks that the system stays sound while a crowd stays, answers beside it, and answers after
// it has left.
func (s *ownSystem) assertOutlasts(c *crowd) {
	s.t.Helper()
	s.process.assertOutlasts(s.t, c, s.assertServes)
}

func callHead(lines string) string {
	return "POST /v1/services/" + serviceName + "/x HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + teamKey + "\r\n" + lines + "\r\n"
}

// TestOwnInterfaceBodiesShortOfTheirEnd guards against the sum of bodies that an instance of the own interface
// holds while it waits for their ends.
func TestOwnInterfaceBodiesShortOfTheirEnd(t *testing.T) {
	length := func() string { return callHead(fmt.Sprintf("Content-Length: %d\r\n", ownBodySize)) }
	inChunks := func() string { return callHead("Transfer-Encoding: chunked\r\n") }
	for _, shape := range []struct {
		name string
		head func() string
		body body
	}{
		{"whole", length, bodyOf(ownBodySize, ownBodySize)},
		{"in-pieces", length, bodyOf(ownBodySize, largeChunk)},
		{"large-chunks", inChunks, chunksOf(ownBodySize, largeChunk, 1)},
		{"small-chunks", inChunks, chunksOf(ownBodySize/8, 1, pieceSize)},
	} {
		t.Run(shape.name, func(t *testing.T) {
			s := startOwnSystem(t)
			s.assertOutlasts(join(t, s.callers, ownMembers, sendBody(shape.head, shape.body, 0)))
		})
	}
}

// TestOwnInterfaceHeadersOfManyLines guards against heads without a key whose lines take many times their size.
func TestOwnInterfaceHeadersOfManyLines(t *testing.T) {
	for _, part := range []struct {
		name    string
		address func(*ownSystem) string
	}{
		{"callers", func(s *ownSystem) string { return s.callers }},
		{"peers", func(s *ownSystem) string { return s.peers }},
	} {
		t.Run(part.name, func(t *testing.T) {
			s := startOwnSystem(t)
			lines := headerLines(ownHeadSize, headerShapes["short-names"])
			s.assertOutlasts(join(t, part.address(s), ownHeadMembers, func(_ int, w io.Writer) error {
				_, err := io.WriteString(w, "GET /v1/models HTTP/1.1\r\nHost: "+host+"\r\n"+lines)
				return err
			}))
		})
	}
}

// TestOwnInterfaceIdleConnections guards against connections without a request that take all descriptors.
func TestOwnInterfaceIdleConnections(t *testing.T) {
	s := startOwnSystem(t)
	s.assertOutlasts(join(t, s.callers, ownIdleMembers, sendNothing))
}

// TestOwnInterfaceSingleLegalCall guards against bounds that refuse a call within the limits while there is no
// other.
func TestOwnInterfaceSingleLegalCall(t *testing.T) {
	s := startOwnSystem(t)
	assert.NilError(t, call(s.callers, strings.Repeat("x", ownBodySize)))
	assert.NilError(t, call(s.callers, ""))
}

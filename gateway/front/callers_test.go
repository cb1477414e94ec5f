package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/shedding"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/shed"
)

// changingConfiguration is a configuration whose limits a test changes.
type changingConfiguration struct{ table atomic.Pointer[route.Table] }

func (c *changingConfiguration) Table() (*route.Table, time.Duration) { return c.table.Load(), 0 }

func (c *changingConfiguration) set(l route.Limits) {
	c.table.Store(route.NewTable(&route.Configuration{Limits: l}))
}

// startCallerServers serves answers of status 200 at an address in memory.
func startCallerServers(t *testing.T, n *memnet.Net, c *changingConfiguration) (s *callerServers, address string) {
	t.Helper()
	l, err := n.Node("instance").Listen("10.0.0.1:0")
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	guard := shed.New(shed.Options{Name: "callers", Settings: shedding.Settings{Bytes: 64 << 20, Connections: 100}, RetryAfter: func() string { return "1" }, Log: log.WithField("test", t.Name()), Scope: tally.NoopScope})
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s = newCallerServers(ok, c, l, guard, log.WithField("test", t.Name()))
	go s.run()
	return s, l.Addr().String()
}

// callOn sends a request on a connection and returns the status of the answer, 0 if there is none.
func callOn(conn net.Conn) int {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestChangedLimitsEndOpenConnections guards against connections that keep the limits of the configuration in which
// they were opened, and against a server for each configuration.
func TestChangedLimitsEndOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := memnet.New(), &changingConfiguration{}
		c.set(route.Limits{IdleTimeout: time.Hour})
		s, address := startCallerServers(t, n, c)
		dial := func() net.Conn {
			conn, err := n.Node("caller").Dial(t.Context(), "tcp", address)
			assert.NilError(t, err)
			return conn
		}
		kept := dial()
		assert.Equal(t, callOn(kept), http.StatusOK)
		assert.Equal(t, callOn(kept), http.StatusOK)
		for i := range 20 {
			c.set(route.Limits{IdleTimeout: time.Duration(i+1) * time.Second})
			conn := dial()
			assert.Equal(t, callOn(conn), http.StatusOK)
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, callOn(kept), 0, "the connection has been closed")
		s.mu.Lock()
		servers := len(s.servers)
		s.mu.Unlock()
		assert.Equal(t, servers, 1)
		s.close()
		n.CloseAll()
	})
}

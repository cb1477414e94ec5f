package front

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/gateway/forward"
	"github.com/agateway/agateway/gateway/shed"
)

// callerServers serves the requests of callers. The limits on callers come with the configuration,
// and an [http.Server] can't change its limits while it runs. So a change of the limits starts a
// new server for new connections. The connections of the one before are closed as soon as no request
// is in progress on them.
type callerServers struct {
	handler  http.Handler
	limits   func() route.Limits
	listener net.Listener
	guard    *shed.Guard
	log      *logrus.Entry

	mu              sync.Mutex
	current         *http.Server
	currentLimits   route.Limits
	currentListener *connListener
	servers         []*http.Server // that have connections
}

// Limits that apply until a configuration has been read, and where it sets none.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// idleMargin is added to the configured idle timeout, so that a request that a caller sends
	// right at the limit does not meet a closed connection.
	idleMargin = 500 * time.Millisecond
)

func newCallerServers(h http.Handler, c forward.Configuration, l net.Listener, guard *shed.Guard, entry *logrus.Entry) *callerServers {
	limits := func() route.Limits {
		if table, _ := c.Table(); table != nil {
			return table.Limits()
		}
		return route.Limits{}
	}
	return &callerServers{handler: h, limits: limits, listener: guard.Listener(l), guard: guard, log: entry}
}

// run accepts connections until the listener is closed.
func (c *callerServers) run() {
	for {
		conn, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.log.WithError(err).Error("can't accept a connection")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c.dispatch(conn)
	}
}

// acceptRetryDelay keeps an instance without free file descriptors from spinning.
const acceptRetryDelay = 20 * time.Millisecond

// dispatch hands a connection to the server with the current limits.
func (c *callerServers) dispatch(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits := c.limits(); c.current == nil || limits != c.currentLimits {
		c.replaceServer(limits)
	}
	c.currentListener.deliver(conn)
}

func (c *callerServers) replaceServer(l route.Limits) {
	if c.current != nil {
		c.currentListener.shut()
		go c.retire(c.current)
	}
	c.currentLimits, c.currentListener = l, newConnListener(c.listener.Addr())
	c.current = &http.Server{
		Handler: c.handler, MaxHeaderBytes: intOrDefault(l.HeaderBytes, defaultHeaderBytes),
		ReadHeaderTimeout: durationOrDefault(l.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       durationOrDefault(l.IdleTimeout, defaultIdleTimeout) + idleMargin,
		ErrorLog:          log.New(io.Discard, "", 0), // errors of callers are counted by status
	}
	c.guard.Serve(c.current)
	c.servers = append(c.servers, c.current)
	go func(s *http.Server, q *connListener) { _ = s.Serve(q) }(c.current, c.currentListener) // returns once the listener is closed
}

// retire closes the connections of a server when no request is in progress on them, and forgets the server after
// the last one.
func (c *callerServers) retire(s *http.Server) {
	_ = s.Shutdown(context.Background()) // returns when the last connection is closed
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = slices.DeleteFunc(c.servers, func(o *http.Server) bool { return o == s })
}

// stopAccepting closes the listener for callers.
func (c *callerServers) stopAccepting() { _ = c.listener.Close() }

// shutdown accepts no more connections, closes idle ones and waits up to timeout until the answers
// on the others are written.
func (c *callerServers) shutdown(timeout time.Duration) {
	c.stopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.mu.Lock()
	servers := slices.Clone(c.servers)
	c.mu.Unlock()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			c.log.WithError(err).Warn("connections were still in use at the end of the drain")
		}
	}
}

// close accepts no more connections and closes all that are open.
func (c *callerServers) close() {
	c.stopAccepting()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		_ = s.Close()
	}
}

func intOrDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}

func durationOrDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// connListener is a [net.Listener] that accepts the connections given to deliver.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newConnListener(address net.Addr) *connListener {
	return &connListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (q *connListener) deliver(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		_ = conn.Close()
	}
}

func (q *connListener) shut() { q.once.Do(func() { close(q.closed) }) }

// Accept implements [net.Listener].
func (q *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (q *connListener) Close() error {
	q.shut()
	return nil
}

// Addr implements [net.Listener].
func (q *connListener) Addr() net.Addr { return q.address }

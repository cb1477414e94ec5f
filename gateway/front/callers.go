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
)

// callers serves requests to be forwarded. The limits on callers come with the configuration, so a
// change of them takes a new server; connections that are open stay with the one before.
type callers struct {
	handler  http.Handler
	limits   func() route.Limits
	listener net.Listener
	log      *logrus.Entry

	mu      sync.Mutex
	current *http.Server
	inForce route.Limits
	conns   *queue
	servers []*http.Server
}

// Limits before a configuration is known, and where it sets none.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// idleMargin is by how much an idle connection outlives its limit, so that a request that comes
	// at the limit does not meet its close.
	idleMargin = 500 * time.Millisecond
)

func newCallers(h *forward.Forwarder, c forward.Configuration, l net.Listener, entry *logrus.Entry) *callers {
	limits := func() route.Limits {
		if table, _ := c.Table(); table != nil {
			return table.Limits()
		}
		return route.Limits{}
	}
	return &callers{handler: h, limits: limits, listener: l, log: entry}
}

// run accepts connections until the listener is closed.
func (c *callers) run() {
	for {
		conn, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.log.WithError(err).Error("can't accept a connection")
			time.Sleep(acceptPause)
			continue
		}
		c.give(conn)
	}
}

// acceptPause keeps an instance without free descriptors from spinning.
const acceptPause = 20 * time.Millisecond

// give hands a connection to the server of the limits in force.
func (c *callers) give(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits := c.limits(); c.current == nil || limits != c.inForce {
		c.renew(limits)
	}
	c.conns.put(conn)
}

func (c *callers) renew(l route.Limits) {
	if c.conns != nil {
		c.conns.end()
	}
	c.inForce, c.conns = l, newQueue(c.listener.Addr())
	c.current = &http.Server{
		Handler: c.handler, MaxHeaderBytes: orInt(l.HeaderBytes, defaultHeaderBytes),
		ReadHeaderTimeout: orDuration(l.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDuration(l.IdleTimeout, defaultIdleTimeout) + idleMargin,
		ErrorLog:          log.New(io.Discard, "", 0), // what callers do wrong is counted by status
	}
	c.servers = append(c.servers, c.current)
	go func(s *http.Server, q *queue) { _ = s.Serve(q) }(c.current, c.conns) // ends with the queue
}

// stop takes no more connections.
func (c *callers) stop() { _ = c.listener.Close() }

// shutdown takes no more connections, closes idle ones and waits for a time at the most until the answers of the others are written.
func (c *callers) shutdown(most time.Duration) {
	c.stop()
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	c.mu.Lock()
	servers := slices.Clone(c.servers)
	c.mu.Unlock()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			c.log.WithError(err).Warn("connections were in use at the end")
		}
	}
}

// close ends all connections.
func (c *callers) close() {
	c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		_ = s.Close()
	}
}

func orInt(n, otherwise int) int {
	if n > 0 {
		return n
	}
	return otherwise
}

func orDuration(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// queue is a listener that is given its connections.
type queue struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newQueue(address net.Addr) *queue {
	return &queue{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (q *queue) put(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		_ = conn.Close()
	}
}

func (q *queue) end() { q.once.Do(func() { close(q.closed) }) }

// Accept implements [net.Listener].
func (q *queue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (q *queue) Close() error {
	q.end()
	return nil
}

// Addr implements [net.Listener].
func (q *queue) Addr() net.Addr { return q.address }

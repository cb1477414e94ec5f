package shed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateway/agateway/core/shedding"
)

// conn is a connection whose bytes count. The server reads heads through it, and the account follows the states
// that the server reports.
type conn struct {
	net.Conn
	guard  *Guard
	holder *shedding.Holder

	// scanning is set while the head of a request is awaited or read.
	scanning atomic.Bool
	scanner  shedding.HeadScanner
	begun    bool // bytes have been read
	isHTTP2  bool
	// ownBody is set if what reads the body of the current request accounts for it itself.
	ownBody atomic.Bool

	shed         atomic.Bool
	writeStarted atomic.Int64 // in nanoseconds since the guard was created; 0 while nothing is written
	stalled      atomic.Bool  // a write is in progress that the account calls Sending

	deadlineMu    sync.Mutex
	writeDeadline time.Time
}

// errShed ends the reads of a connection that is closed for lack of room. The server takes it for a connection that
// was lost, and answers nothing.
var errShed error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("closed for lack of room")}

// Read implements [net.Conn].
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.shed.Load() {
		return 0, errShed
	}
	if n > 0 && c.scanning.Load() && !c.countHead(b[:n]) {
		c.refuse()
		return 0, errShed
	}
	return n, err
}

var http2Preface = []byte("PRI ")

// countHead accounts for bytes that may belong to a head. It returns false if there is no room for them.
func (c *conn) countHead(b []byte) bool {
	if !c.begun {
		c.begun = true
		if c.isHTTP2 = bytes.HasPrefix(b, http2Preface); c.isHTTP2 {
			c.scanning.Store(false) // the server bounds its heads, which count when their requests are served
			return true
		}
	}
	first := !c.scanner.Begun()
	cost := c.scanner.Scan(b)
	if c.scanner.Ended() {
		c.scanning.Store(false)
	}
	if first {
		c.guard.setState(c, shedding.Receiving)
		cost += requestCost
	}
	return c.guard.reserve(c, shedding.Head, cost)
}

// refusalTimeout bounds the time in which a refusal is written.
const refusalTimeout = 50 * time.Millisecond

// refuse answers a request for whose head there is no room.
func (c *conn) refuse() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", c.guard.RetryAfter()) // the connection is closed anyway
}

// interrupt makes all reads and writes fail, so that the server closes the connection.
func (c *conn) interrupt() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	_ = c.Conn.SetDeadline(time.Unix(1, 0)) // fails only if it is closed
}

// sendTimeout bounds how long a caller may take nothing of an answer that has no deadline.
const sendTimeout = time.Minute

// Write implements [net.Conn].
func (c *conn) Write(b []byte) (int, error) {
	now := time.Now()
	c.boundWrite(now)
	c.writeStarted.Store(max(int64(now.Sub(c.guard.created)), 1))
	n, err := c.Conn.Write(b)
	c.writeStarted.Store(0)
	if c.stalled.Swap(false) {
		c.guard.setState(c, shedding.Serving)
	}
	return n, err
}

// boundWrite sets a deadline for one write if none was set.
func (c *conn) boundWrite(now time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.writeDeadline.IsZero() && !c.shed.Load() {
		_ = c.Conn.SetWriteDeadline(now.Add(sendTimeout)) // fails only if it is closed
	}
}

// writingSince returns when the write in progress began; zero if there is none.
func (c *conn) writingSince() time.Time {
	if nanos := c.writeStarted.Load(); nanos > 0 {
		return c.guard.created.Add(time.Duration(nanos)) // on the monotonic clock
	}
	return time.Time{}
}

// SetDeadline implements [net.Conn].
func (c *conn) SetDeadline(t time.Time) error {
	return c.setDeadline(func() error {
		c.writeDeadline = t
		return c.Conn.SetDeadline(t)
	})
}

// SetReadDeadline implements [net.Conn].
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(func() error { return c.Conn.SetReadDeadline(t) })
}

// SetWriteDeadline implements [net.Conn].
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline(func() error {
		c.writeDeadline = t
		return c.Conn.SetWriteDeadline(t)
	})
}

// setDeadline sets a deadline unless the connection is shed, whose deadline has passed.
func (c *conn) setDeadline(set func() error) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.shed.Load() {
		return nil
	}
	return set()
}

// CloseWrite closes the direction to the caller. The server does that before it waits for a caller that still
// sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.guard.close(c)
	return err
}

// connState follows the state of a connection.
func (g *Guard) connState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.scanning.Store(false)
	case http.StateIdle:
		c.scanner = shedding.HeadScanner{}
		c.ownBody.Store(false)
		g.endRequest(c)
		c.scanning.Store(!c.isHTTP2)
	}
}

type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request; nil if it has no guard.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

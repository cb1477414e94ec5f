package endpoint

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/agateway/agateway/gateway/network"
)

// countedConn is a connection that counts the bytes which it takes.
type countedConn struct {
	net.Conn
	mu      sync.Mutex // held during a write
	written int64
}

// countWrites returns a function that dials connections which count what is written to them.
func countWrites(dial network.DialFunc) network.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c}, nil
	}
}

// Write implements [net.Conn].
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// count returns how many bytes were written. It awaits a write that is under way.
func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sentCall tells whether a call was written whole. The trace of net/http does not: it reports a call as written while the
// end of it may be in a buffer.
type sentCall struct {
	conn   *countedConn
	before int64        // bytes that conn had taken before the call
	head   int64        // bytes of the head so far
	length atomic.Int64 // bytes of the call; 0 until the head is complete
}

// traceCall returns r with a trace, and what the trace finds. The length of r must be known.
func traceCall(r *http.Request) (*http.Request, *sentCall) {
	s := &sentCall{}
	requestLine := r.Method + " " + r.URL.RequestURI() + " HTTP/1.1\r\n"
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// The transport may repeat a call of which nothing was sent on another connection.
			s.head = int64(len(requestLine))
			s.length.Store(0)
			if c, ok := unwrapConn(info.Conn).(*countedConn); ok {
				s.conn, s.before = c, c.count()
			}
		},
		WroteHeaderField: func(name string, values []string) {
			for _, v := range values {
				s.head += int64(len(name + ": " + v + "\r\n"))
			}
		},
		WroteHeaders: func() { s.length.Store(s.head + int64(len("\r\n")) + r.ContentLength) },
	})
	return r.WithContext(ctx), s
}

// unwrapConn returns the connection that was dialed.
func unwrapConn(c net.Conn) net.Conn {
	for {
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = w.NetConn()
	}
}

// endWhole closes the connection, and reports whether it has taken the whole call. An answer must have begun.
func (s *sentCall) endWhole() bool {
	if s.conn == nil {
		return false
	}
	_ = s.conn.Close() // ends a write that waits
	written := s.conn.count() - s.before
	length := s.length.Load()
	return length > 0 && written >= length
}

package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/gateway/answerhead"
)

// Error types of this package.
var (
	namespace = errorx.NewNamespace("upstream")
	// ErrNotSent says that no byte of the request was sent, so it has not run.
	ErrNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// ErrGone says that nothing listens at the endpoint's address, although its machine answers. It
	// is a subtype of ErrNotSent.
	ErrGone = ErrNotSent.NewSubtype("gone")
	// ErrReset says that the endpoint reset the connection while it was opened: its process exits, or it
	// has too many connections. It is a subtype of ErrNotSent.
	ErrReset = ErrNotSent.NewSubtype("reset")
	// ErrLost says that the request may have been received, and that there is no complete answer.
	ErrLost = namespace.NewType("lost")
	// ErrBusy says that all connections that this instance may have to the endpoint are in use.
	ErrBusy = namespace.NewType("busy", errorx.Temporary())
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Target is an endpoint to connect to.
type Target struct {
	// ID names one incarnation of an endpoint. Connections to another incarnation are not reused
	// for it.
	ID, Address string
	// MaxConnections bounds the connections of this instance to the endpoint; 0 for no bound.
	MaxConnections int
}

// Pool holds idle connections to endpoints, and counts the open ones. It is safe for concurrent
// use.
type Pool struct {
	// Unbounded lifts the bounds on heads of answers. It is set before the first use.
	Unbounded bool
	// OnMalformed is called for each answer with a malformed field, which is lost; nil for no such calls. It is set
	// before the first use.
	OnMalformed func()

	dial      DialFunc
	mu        sync.Mutex
	endpoints map[string]*endpointConns // by Target.ID
}

// endpointConns are the connections to one endpoint.
type endpointConns struct {
	idle []*Conn // least recently used first
	open int     // including idle ones
}

// NewPool returns an empty pool.
func NewPool(dial DialFunc) *Pool { return &Pool{dial: dial, endpoints: map[string]*endpointConns{}} }

// Conn is a connection to an endpoint. It serves one request at a time.
type Conn struct {
	net.Conn
	pool       *Pool
	target     Target
	limit      *limitread.Reader  // bounds what heads reads
	heads      *answerhead.Reader // checks what reader reads
	reader     *bufio.Reader
	reuseUntil time.Time // not reused later, as the endpoint may close it; zero before PutBack or Finish
	reused     bool
	closed     sync.Once
}

// Buffer sizes in bytes. A connection holds one buffer of each size, so a thousand open connections
// take 6 MB.
const (
	readBufferSize  = 4 << 10
	writeBufferSize = 2 << 10
)

// Get returns an idle connection on which nothing has arrived, or a new one. The error is [ErrBusy]
// or [ErrNotSent].
func (p *Pool) Get(ctx context.Context, t Target) (*Conn, error) {
	for {
		c := p.takeIdle(t.ID)
		if c == nil {
			break
		}
		if time.Now().Before(c.reuseUntil) && c.inputEmpty() {
			c.reused = true
			return c, nil
		}
		c.Discard()
	}
	return p.connect(ctx, t)
}

func (p *Pool) takeIdle(id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil || len(e.idle) == 0 {
		return nil
	}
	c := e.idle[len(e.idle)-1]
	e.idle = e.idle[:len(e.idle)-1]
	return c
}

// Dial returns a new connection, for uses that must not depend on the state of an open one. The
// error is [ErrBusy] or [ErrNotSent].
func (p *Pool) Dial(ctx context.Context, t Target) (*Conn, error) { return p.connect(ctx, t) }

func (p *Pool) connect(ctx context.Context, t Target) (*Conn, error) {
	if !p.reserve(t) {
		return nil, ErrBusy.New("all %d connections to %s are in use", t.MaxConnections, t.ID)
	}
	raw, err := p.dial(ctx, "tcp", t.Address)
	if err != nil {
		p.release(t.ID)
		return nil, dialError(err).Wrap(err, "can't connect to %s at %s", t.ID, t.Address)
	}
	limit := limitread.NewReader(raw)
	heads := &answerhead.Reader{R: limit}
	return &Conn{Conn: raw, pool: p, target: t, limit: limit, heads: heads, reader: bufio.NewReaderSize(heads, readBufferSize)}, nil
}

// dialError returns the type of the error for a connection that could not be opened.
func dialError(err error) *errorx.Type {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ErrGone
	case errors.Is(err, syscall.ECONNRESET):
		return ErrReset
	}
	return ErrNotSent
}

func (p *Pool) reserve(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[t.ID]
	if e == nil {
		e = &endpointConns{}
		p.endpoints[t.ID] = e
	}
	if t.MaxConnections > 0 && e.open >= t.MaxConnections {
		return false
	}
	e.open++
	return true
}

func (p *Pool) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.open--
		if e.open <= 0 && len(e.idle) == 0 {
			delete(p.endpoints, id)
		}
	}
}

// defaultIdleTimeout is how long a connection is reused if the endpoint states no idle timeout. It
// is the shortest idle timeout that endpoints are known to have (they use whole seconds), less a
// margin.
const defaultIdleTimeout = 800 * time.Millisecond

// putIdle makes a connection available for reuse. idleTimeout is the idle timeout that the endpoint
// states; 0 if it states none.
func (p *Pool) putIdle(c *Conn, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	// A fifth less, so that the endpoint does not close the connection while a request is on its way.
	c.reuseUntil = time.Now().Add(idleTimeout - idleTimeout/5)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[c.target.ID]
	if e == nil {
		e = &endpointConns{open: 1}
		p.endpoints[c.target.ID] = e
	}
	e.idle = append(e.idle, c)
}

// Retain closes idle connections that their endpoint is about to close, and those to endpoints for
// which keep returns false.
func (p *Pool) Retain(keep func(id string) bool) {
	now := time.Now()
	for _, c := range p.takeExpired(now, keep) {
		c.Discard()
	}
}

// takeExpired removes the connections that [Pool.Retain] closes from the pool, and returns them.
func (p *Pool) takeExpired(now time.Time, keep func(id string) bool) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Conn
	for id, e := range p.endpoints {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if keep(id) && now.Before(c.reuseUntil) {
				kept = append(kept, c)
				continue
			}
			out = append(out, c)
		}
		e.idle = kept
	}
	return out
}

// Discard closes the connection. It may be called at any time and more than once.
func (c *Conn) Discard() {
	c.closed.Do(func() {
		_ = c.Conn.Close()
		c.pool.release(c.target.ID)
	})
}

// allow lets n more bytes of answers be read, or any number if n is [limitread.Unlimited].
func (c *Conn) allow(n int64) {
	if !c.pool.Unbounded {
		c.limit.Allow(n)
	}
}

// countIfMalformed reports an answer that failed for a malformed field.
func (p *Pool) countIfMalformed(err error) {
	if p.OnMalformed != nil && errors.Is(err, answerhead.ErrMalformed) {
		p.OnMalformed()
	}
}

// expectHead makes the connection expect the head of an answer, which is checked as it is read.
func (c *Conn) expectHead() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.heads.Expect(buffered)
}

// PutBack returns a connection to the pool on which nothing was sent.
func (c *Conn) PutBack() { c.pool.putIdle(c, 0) }

// Closed reports whether the endpoint closes the connection within the given time. Nothing may have
// been sent on the connection.
func (c *Conn) Closed(within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// Reused reports whether the connection has served a request before.
func (c *Conn) Reused() bool { return c.reused }

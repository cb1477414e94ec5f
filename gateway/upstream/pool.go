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
)

// Errors of this layer.
var (
	namespace = errorx.NewNamespace("upstream")
	// ErrNotSent: no byte of the request left, so it has not run.
	ErrNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// ErrGone: nothing listens at the endpoint's address, though its machine answers.
	ErrGone = ErrNotSent.NewSubtype("gone")
	// ErrLost: the request may have been received, and there is no whole answer.
	ErrLost = namespace.NewType("lost")
	// ErrBusy: all connections that this instance may have to the endpoint are in use.
	ErrBusy = namespace.NewType("busy", errorx.Temporary())
)

// DialFunc connects.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Target is an endpoint to connect to.
type Target struct {
	// ID is one incarnation of an endpoint: connections to another one are not used for it.
	ID, Address string
	// Connections bounds the connections of this instance; 0 for no bound.
	Connections int
}

// Pool holds idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dial DialFunc
	mu   sync.Mutex
	ends map[string]*end
}

// end is what the pool knows of one endpoint.
type end struct {
	idle []*Conn // last used last
	open int     // idle ones included
}

// NewPool returns an empty pool.
func NewPool(dial DialFunc) *Pool { return &Pool{dial: dial, ends: map[string]*end{}} }

// Conn is a connection that serves one request at a time.
type Conn struct {
	net.Conn
	pool      *Pool
	target    Target
	reader    *bufio.Reader
	idleUntil time.Time // when the endpoint may close it; zero when it did not say
	reused    bool
	closed    sync.Once
}

// Buffer sizes: a connection holds one of each, so a thousand open ones take 6 MB.
const (
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
)

// Get returns an idle connection that is still quiet, or a new one.
func (p *Pool) Get(ctx context.Context, t Target) (*Conn, error) {
	for {
		c := p.takeIdle(t.ID)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.quiet() {
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
	e := p.ends[id]
	if e == nil || len(e.idle) == 0 {
		return nil
	}
	c := e.idle[len(e.idle)-1]
	e.idle = e.idle[:len(e.idle)-1]
	return c
}

// Dial returns a new connection, for what must not share the fate of the open ones.
func (p *Pool) Dial(ctx context.Context, t Target) (*Conn, error) { return p.connect(ctx, t) }

func (p *Pool) connect(ctx context.Context, t Target) (*Conn, error) {
	if !p.reserve(t) {
		return nil, ErrBusy.New("all %d connections to %s are in use", t.Connections, t.ID)
	}
	raw, err := p.dial(ctx, "tcp", t.Address)
	if err != nil {
		p.release(t.ID)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ErrGone.Wrap(err, "can't connect to %s at %s", t.ID, t.Address)
		}
		return nil, ErrNotSent.Wrap(err, "can't connect to %s at %s", t.ID, t.Address)
	}
	return &Conn{Conn: raw, pool: p, target: t, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (p *Pool) reserve(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.ends[t.ID]
	if e == nil {
		e = &end{}
		p.ends[t.ID] = e
	}
	if t.Connections > 0 && e.open >= t.Connections {
		return false
	}
	e.open++
	return true
}

func (p *Pool) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.ends[id]; e != nil {
		e.open--
		if e.open <= 0 && len(e.idle) == 0 {
			delete(p.ends, id)
		}
	}
}

// Connections an endpoint did not give an idle time for are used again within defaultIdle: the
// shortest idle time that endpoints are known to have, in whole seconds, less a margin.
const defaultIdle = 800 * time.Millisecond

// keep returns a connection after an answer that ended cleanly. idle is the endpoint's own idle time;
// 0 when it did not say.
func (p *Pool) keep(c *Conn, idle time.Duration) {
	if idle == 0 {
		idle = defaultIdle
	}
	// A fifth less than the endpoint says, so that a request does not cross its close.
	c.idleUntil = time.Now().Add(idle - idle/5)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.ends[c.target.ID]
	if e == nil {
		e = &end{open: 1}
		p.ends[c.target.ID] = e
	}
	e.idle = append(e.idle, c)
}

// Retain closes the idle connections to endpoints that keep does not want, and those that the
// endpoints are about to close.
func (p *Pool) Retain(keep func(id string) bool) {
	now := time.Now()
	for _, c := range p.expired(now, keep) {
		c.Discard()
	}
}

func (p *Pool) expired(now time.Time, keep func(id string) bool) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Conn
	for id, e := range p.ends {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if keep(id) && now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			out = append(out, c)
		}
		e.idle = kept
	}
	return out
}

// Discard closes the connection for good. It may be called at any time, also twice.
func (c *Conn) Discard() {
	c.closed.Do(func() {
		_ = c.Conn.Close()
		c.pool.release(c.target.ID)
	})
}

// Keep returns a connection on which nothing was sent.
func (c *Conn) Keep() { c.pool.keep(c, 0) }

// Closed tells whether the endpoint closes a connection on which nothing was sent, within a time.
func (c *Conn) Closed(within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// Reused tells that the connection served a request before.
func (c *Conn) Reused() bool { return c.reused }

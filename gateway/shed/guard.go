package shed

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/shedding"
)

// Costs of a connection, and of a request in progress beside its head and body, in bytes: buffers, stacks of
// goroutines and objects of the server, and for a connection also what the system has received and the server has
// not read.
const (
	connectionCost = 40 << 10
	requestCost    = 16 << 10
)

// CallersReceiveBuffer is the receive buffer, in bytes, of connections of callers. The system receives up to one and
// a half times as much on a connection, also before it is accepted.
const CallersReceiveBuffer = 16 << 10

// Options configures a Guard.
type Options struct {
	// Name names the connections in metrics and logs.
	Name string
	// Settings are the bounds.
	Settings shedding.Settings
	// ReceiveBuffer is the size of the receive buffer of a connection in bytes; 0 for the system's default.
	ReceiveBuffer int
	// RetryAfter returns the value of the header with that name for requests for which there is no room.
	RetryAfter func() string
	// TrustedBodies leaves bodies out of the account, since their senders are authorized before they are read.
	TrustedBodies bool
	// Disabled removes all bounds.
	Disabled bool
	Log      *logrus.Entry
	Scope    tally.Scope
}

// Guard bounds what the connections of some listeners hold together. It is safe for concurrent use.
type Guard struct {
	Options
	metrics metrics
	created time.Time

	mu     sync.Mutex
	budget *shedding.Budget
	conns  map[*shedding.Holder]*conn
	spell  spell
}

// New returns a guard without connections.
func New(o Options) *Guard {
	return &Guard{Options: o, metrics: newMetrics(o.Scope, o.Name), created: time.Now(), budget: shedding.New(o.Settings), conns: map[*shedding.Holder]*conn{}}
}

// Usage returns what the connections hold.
func (g *Guard) Usage() shedding.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Usage()
}

// Serve makes a server's connections and requests count. Its listener has to be one that Listener returned.
func (g *Guard) Serve(s *http.Server) {
	if g.Disabled {
		return
	}
	s.ConnState, s.ConnContext, s.Handler = g.connState, withConn, g.handler(s.Handler)
}

// Listener returns a listener that closes the connections for which there is no room.
func (g *Guard) Listener(l net.Listener) net.Listener {
	if g.Disabled {
		return l
	}
	if g.ReceiveBuffer > 0 {
		setReceiveBuffer(l, g.ReceiveBuffer)
	}
	return &listener{Listener: l, guard: g}
}

// setReceiveBuffer sets the receive buffer of the connections that a listener accepts. Where that fails, the system's
// default applies.
func setReceiveBuffer(l net.Listener, bytes int) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return // a listener in memory
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
	}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// open returns the connection with an account of its own; nil if there is no room.
func (g *Guard) open(raw net.Conn) *conn {
	c := &conn{Conn: raw, guard: g}
	c.scanning.Store(true)
	now := time.Now()
	g.mu.Lock()
	h, victims := g.budget.Open(now, connectionCost)
	if h == nil && g.markStalled(now) {
		var more []*shedding.Holder
		h, more = g.budget.Open(now, connectionCost)
		victims = append(victims, more...)
	}
	if h != nil {
		c.holder = h
		g.conns[h] = c
	}
	evicted := g.victims(now, victims)
	if h == nil {
		g.refused(now, shedding.Connection)
	}
	g.mu.Unlock()
	evict(evicted)
	if h == nil {
		return nil
	}
	return c
}

// reserve adds to what a connection holds. It returns false if there is no room.
func (g *Guard) reserve(c *conn, k shedding.Kind, n int64) bool {
	now := time.Now()
	g.mu.Lock()
	victims, ok := g.budget.Reserve(now, c.holder, k, n)
	if !ok && g.markStalled(now) {
		var more []*shedding.Holder
		more, ok = g.budget.Reserve(now, c.holder, k, n)
		victims = append(victims, more...)
	}
	evicted := g.victims(now, victims)
	if !ok {
		g.refused(now, k)
	}
	g.mu.Unlock()
	evict(evicted)
	return ok
}

// charge adds to what a connection holds, whether or not there is room.
func (g *Guard) charge(c *conn, k shedding.Kind, n int64) {
	now := time.Now()
	g.mu.Lock()
	victims := g.budget.Charge(now, c.holder, k, n)
	evicted := append(g.victims(now, victims), g.relieve(now)...)
	g.mu.Unlock()
	evict(evicted)
}

// relieve returns the connections that are to be closed since answers, which are never refused, have exceeded the
// bound. The caller holds the lock.
func (g *Guard) relieve(now time.Time) []*conn {
	if !g.budget.Exceeded() {
		return nil
	}
	g.markStalled(now)
	return g.victims(now, g.budget.Relieve(now))
}

// release takes bytes from what a connection holds.
func (g *Guard) release(c *conn, k shedding.Kind, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Release(c.holder, k, n)
}

// setState sets what a connection does from now on.
func (g *Guard) setState(c *conn, s shedding.State) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetState(now, c.holder, s)
}

// endRequest releases what a request held. Its connection is idle.
func (g *Guard) endRequest(c *conn) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range []shedding.Kind{shedding.Head, shedding.Body, shedding.Answer} {
		g.budget.ReleaseAll(c.holder, k)
	}
	g.budget.SetState(now, c.holder, shedding.Idle)
}

// close removes a connection.
func (g *Guard) close(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Close(c.holder)
	delete(g.conns, c.holder)
}

// sendStall is how long a caller may take nothing of its answer before its connection may be shed.
const sendStall = time.Second

// markStalled marks the connections whose callers do not take their answers, and reports whether there are any. The
// caller holds the lock.
func (g *Guard) markStalled(now time.Time) bool {
	found := false
	for h, c := range g.conns {
		if since := c.writingSince(); h.State() == shedding.Serving && !since.IsZero() && now.Sub(since) >= sendStall {
			g.budget.SetState(since, h, shedding.Sending)
			c.stalled.Store(true)
			found = true
		}
	}
	return found
}

// victims returns the connections of holders that are to be closed, and counts them. The caller holds the lock.
func (g *Guard) victims(now time.Time, holders []*shedding.Holder) []*conn {
	var out []*conn
	for _, h := range holders {
		if c := g.conns[h]; c != nil { // not if it is being opened
			c.shed.Store(true)
			out = append(out, c)
		}
		g.countShed(now, h)
	}
	return out
}

func evict(conns []*conn) {
	for _, c := range conns {
		c.interrupt()
	}
}

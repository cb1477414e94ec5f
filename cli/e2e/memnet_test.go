package e2e

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// memnet is a network in memory for one test. Each node has a name; the network can crash
// a node, cut it off from others (connections go silent, new ones hang), and make the open
// connections of a node silent for good while new ones work.
type memnet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     map[*memConn]bool
	crashed   map[string]bool
	cut       func(a, b string) bool
	port      int
}

func newMemnet() *memnet {
	return &memnet{
		listeners: map[string]*memListener{}, conns: map[*memConn]bool{}, crashed: map[string]bool{},
		cut: func(string, string) bool { return false },
	}
}

// node returns the network as a node sees it.
func (n *memnet) node(name string) *memNode { return &memNode{n, name} }

type memNode struct {
	net  *memnet
	name string
}

type memListener struct {
	node   *memNode
	addr   memAddr
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type memAddr string

func (a memAddr) Network() string { return "tcp" }
func (a memAddr) String() string  { return string(a) }

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

func (m *memNode) Listen(address string) (net.Listener, error) {
	n := m.net
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if port == "0" {
		n.port++
		port = fmt.Sprint(20000 + n.port)
	}
	address = net.JoinHostPort(host, port)
	l := &memListener{node: m, addr: memAddr(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	n := l.node.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[string(l.addr)] == l {
		delete(n.listeners, string(l.addr))
	}
	return nil
}

func (l *memListener) Addr() net.Addr { return l.addr }

func (m *memNode) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := m.net
	n.mu.Lock()
	l := n.listeners[address]
	crashed := n.crashed[m.name]
	cut := l != nil && n.cut(m.name, l.node.name)
	n.mu.Unlock()
	if crashed {
		return nil, errors.New("crashed")
	}
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errRefused
	}
	ours, theirs := net.Pipe()
	a, b := n.conn(ours, m.name, l.node.name), n.conn(theirs, l.node.name, m.name)
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = a.Close()
	_ = b.Close()
	return nil, errRefused
}

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	net       *memnet
	from, to  string
	mu        sync.Mutex
	silent    bool
	closeOnce sync.Once
}

func (n *memnet) conn(c net.Conn, from, to string) *memConn {
	mc := &memConn{Conn: c, net: n, from: from, to: to}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[mc] = true
	return mc
}

func (c *memConn) LocalAddr() net.Addr  { return memAddr("10.0.0.1:1") }
func (c *memConn) RemoteAddr() net.Addr { return memAddr("10.0.0.2:2") }

// Write swallows what is written while the connection is silent or cut: the bytes are lost
// on the way, and the writer does not notice.
func (c *memConn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	lost := c.net.cut(c.from, c.to)
	c.net.mu.Unlock()
	c.mu.Lock()
	lost = lost || c.silent
	c.silent = lost // a stream with a hole is of no use any more
	c.mu.Unlock()
	if lost {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *memConn) Close() error {
	c.closeOnce.Do(func() {
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
	})
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent { // the other end does not hear of it
		go func() {
			time.Sleep(time.Hour)
			_ = c.Conn.Close()
		}()
		return c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

func (n *memnet) each(f func(*memConn)) {
	n.mu.Lock()
	all := make([]*memConn, 0, len(n.conns))
	for c := range n.conns {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		f(c)
	}
}

// setCrashed says whether a node may connect.
func (n *memnet) setCrashed(name string, crashed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashed[name] = crashed
}

// crash closes all connections and listeners of a node.
func (n *memnet) crash(name string) {
	n.setCrashed(name, true)
	n.mu.Lock()
	var ls []*memListener
	for _, l := range n.listeners {
		if l.node.name == name {
			ls = append(ls, l)
		}
	}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	n.each(func(c *memConn) {
		if c.from == name || c.to == name {
			_ = c.Conn.Close()
		}
	})
}

// silence makes the open connections between two nodes silent for good.
func (n *memnet) silence(a, b string) {
	n.each(func(c *memConn) {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
		}
	})
}

// partition cuts nodes for which side differs; nil heals.
func (n *memnet) partition(side func(name string) int) {
	n.setCut(func(a, b string) bool { return side != nil && side(a) != side(b) })
}

func (n *memnet) setCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *memnet) closeAll() {
	n.mu.Lock()
	ls := n.listeners
	n.listeners = map[string]*memListener{}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	n.each(func(c *memConn) { _ = c.Conn.Close() })
}

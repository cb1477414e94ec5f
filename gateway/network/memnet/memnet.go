// Package memnet is a network in memory for tests in virtual time. Its nodes can crash, be cut off from
// each other (connections go silent, new ones hang), and have their open connections go silent for good
// while new ones work.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Net is a network for one test. It is safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	packets   map[string]*packetConn
	crashed   map[string]bool
	hosts     map[string]string // of nodes that listen, by name
	cut       func(a, b string) bool
	port      int
}

// New returns a network without nodes.
func New() *Net {
	return &Net{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, packets: map[string]*packetConn{}, crashed: map[string]bool{},
		hosts: map[string]string{},
		cut:   func(string, string) bool { return false },
	}
}

// Node returns the network as a node sees it.
func (n *Net) Node(name string) *Node { return &Node{n, name} }

// Node is the network as one node sees it.
type Node struct {
	net  *Net
	name string
}

type listener struct {
	node   *Node
	at     addr
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// Listen implements the network of the project.
func (m *Node) Listen(address string) (net.Listener, error) {
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
	l := &listener{node: m, at: addr(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	n.hosts[m.name] = host
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	n := l.node.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[string(l.at)] == l {
		delete(n.listeners, string(l.at))
	}
	return nil
}

func (l *listener) Addr() net.Addr { return l.at }

// Dial implements the network of the project.
func (m *Node) Dial(ctx context.Context, _, address string) (net.Conn, error) {
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
	a, b := n.open(ours, m.name, l.node.name), n.open(theirs, l.node.name, m.name)
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

// conn is one end of a connection.
type conn struct {
	net.Conn
	net       *Net
	from, to  string
	mu        sync.Mutex
	silent    bool
	closeOnce sync.Once
}

func (n *Net) open(c net.Conn, from, to string) *conn {
	mc := &conn{Conn: c, net: n, from: from, to: to}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[mc] = true
	return mc
}

func (c *conn) LocalAddr() net.Addr  { return c.net.addressOf(c.from) }
func (c *conn) RemoteAddr() net.Addr { return c.net.addressOf(c.to) }

// addressOf returns the address of a node's end of a connection: its host where it listens, with any port.
func (n *Net) addressOf(node string) net.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	host := n.hosts[node]
	if host == "" {
		host = "192.0.2.1"
	}
	return addr(host + ":1")
}

// Write swallows what is written while the connection is silent or cut: the bytes are lost
// on the way, and the writer does not notice.
func (c *conn) Write(b []byte) (int, error) {
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

func (c *conn) Close() error {
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

func (n *Net) each(f func(*conn)) {
	n.mu.Lock()
	all := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		f(c)
	}
}

// SetCrashed says whether a node may connect.
func (n *Net) SetCrashed(name string, crashed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashed[name] = crashed
}

// Crash closes all connections and listeners of a node.
func (n *Net) Crash(name string) {
	n.SetCrashed(name, true)
	n.mu.Lock()
	var ls []*listener
	for _, l := range n.listeners {
		if l.node.name == name {
			ls = append(ls, l)
		}
	}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	n.each(func(c *conn) {
		if c.from == name || c.to == name {
			_ = c.Conn.Close()
		}
	})
}

// Silence makes the open connections between two nodes silent for good.
func (n *Net) Silence(a, b string) {
	n.each(func(c *conn) {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
		}
	})
}

// Partition cuts nodes for which side differs; nil heals.
func (n *Net) Partition(side func(name string) int) {
	n.SetCut(func(a, b string) bool { return side != nil && side(a) != side(b) })
}

// SetCut sets which nodes are cut off from each other.
func (n *Net) SetCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// CloseAll closes all listeners and connections.
func (n *Net) CloseAll() {
	n.mu.Lock()
	ls := n.listeners
	n.listeners = map[string]*listener{}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	n.each(func(c *conn) { _ = c.Conn.Close() })
}

// AddCut cuts more nodes off from each other, besides those that are.
func (n *Net) AddCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.cut
	n.cut = func(a, b string) bool { return before(a, b) || cut(a, b) }
}

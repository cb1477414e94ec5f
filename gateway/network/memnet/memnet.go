// Package memnet is a network in memory for tests in virtual time. A test can crash its nodes, cut
// the links between them (open connections go silent, new ones hang), and make open connections
// silent for good while new ones work.
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
	hosts     map[string]string      // of nodes that listen, by node name
	cut       func(a, b string) bool // whether data from a to b is lost
	refused   func(a, b string) bool // whether new connections from a to b are refused
	dropped   func(a, b string) bool // whether a datagram from a to b is lost
	port      int
}

// New returns a network without nodes.
func New() *Net {
	return &Net{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, packets: map[string]*packetConn{}, crashed: map[string]bool{},
		hosts: map[string]string{},
		cut:   func(string, string) bool { return false }, refused: func(string, string) bool { return false },
		dropped: func(string, string) bool { return false },
	}
}

// Node returns the network as seen by the node with this name.
func (n *Net) Node(name string) *Node { return &Node{n, name} }

// Node is the network as one node sees it. It implements the network of package network.
type Node struct {
	net  *Net
	name string
}

type listener struct {
	node    *Node
	address addr
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// Listen listens for connections on an address; port 0 takes a free port.
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
	l := &listener{node: m, address: addr(address), accept: make(chan net.Conn), closed: make(chan struct{})}
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
	if n.listeners[string(l.address)] == l {
		delete(n.listeners, string(l.address))
	}
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }

// Dial connects to an address. It fails at once if this node has crashed or nothing listens there.
// It blocks until ctx ends if the link to that node is cut.
func (m *Node) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := m.net
	n.mu.Lock()
	l := n.listeners[address]
	crashed := n.crashed[m.name]
	cut := l != nil && n.cut(m.name, l.node.name)
	refused := l != nil && n.refused(m.name, l.node.name)
	n.mu.Unlock()
	if crashed {
		return nil, errors.New("crashed")
	}
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil || refused {
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

// addressOf returns an address for a node's end of a connection: the host it listens on, with a
// fixed port.
func (n *Net) addressOf(node string) net.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	host := n.hosts[node]
	if host == "" {
		host = "192.0.2.1"
	}
	return addr(host + ":1")
}

// Write drops the data if the connection is silent or its link is cut. The writer is not told.
func (c *conn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	lost := c.net.cut(c.from, c.to)
	c.net.mu.Unlock()
	c.mu.Lock()
	lost = lost || c.silent
	c.silent = lost // after a gap in the stream, later data must not arrive
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
	if silent { // the other end must not notice the close
		go func() {
			time.Sleep(time.Hour)
			_ = c.Conn.Close()
		}()
		return c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

func (n *Net) forEachConn(f func(*conn)) {
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

// SetCrashed sets whether a node has crashed. A crashed node can't connect, and datagrams from and
// to it are lost.
func (n *Net) SetCrashed(name string, crashed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashed[name] = crashed
}

// Crash marks a node as crashed and closes all its connections and listeners.
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
	n.forEachConn(func(c *conn) {
		if c.from == name || c.to == name {
			_ = c.Conn.Close()
		}
	})
}

// Silence makes the open connections between two nodes silent for good. New connections work.
func (n *Net) Silence(a, b string) {
	n.forEachConn(func(c *conn) {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
		}
	})
}

// Partition cuts the links between nodes for which side returns different values. Nil removes all
// cuts.
func (n *Net) Partition(side func(name string) int) {
	n.SetCut(func(a, b string) bool { return side != nil && side(a) != side(b) })
}

// SetCut replaces the function that reports whether the link from node a to node b is cut.
func (n *Net) SetCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// SetRefused replaces the function that reports whether new connections from node a to node b are
// refused. Open ones stay.
func (n *Net) SetRefused(refused func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = refused
}

// SetDropped replaces the function that reports whether a datagram from node a to node b is lost. It is called for
// each datagram, by one goroutine at a time. Connections are not affected.
func (n *Net) SetDropped(dropped func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped = dropped
}

// Reset closes the open connections between nodes for which between returns true.
func (n *Net) Reset(between func(a, b string) bool) {
	n.forEachConn(func(c *conn) {
		if between(c.from, c.to) || between(c.to, c.from) {
			_ = c.Conn.Close()
		}
	})
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
	n.forEachConn(func(c *conn) { _ = c.Conn.Close() })
}

// AddCut cuts further links and keeps those that are cut already.
func (n *Net) AddCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.cut
	n.cut = func(a, b string) bool { return previous(a, b) || cut(a, b) }
}

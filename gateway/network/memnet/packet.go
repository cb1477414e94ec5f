package memnet

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxQueuedPackets is how many datagrams wait for a slow reader; further ones are lost. A socket's
// usual buffer of 212 kB holds about as many of the small datagrams that instances send.
const maxQueuedPackets = 256

// packetConn sends and receives datagrams. Those between nodes whose link is cut, and those from or
// to a crashed node, are lost.
type packetConn struct {
	node    *Node
	address string
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
}

type packet struct {
	data []byte
	from net.Addr
}

// ListenPacket listens for datagrams on an address.
func (m *Node) ListenPacket(address string) (net.PacketConn, error) {
	c := &packetConn{node: m, address: address, queue: make(chan packet, maxQueuedPackets), closed: make(chan struct{})}
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.net.packets[address] = c
	return c, nil
}

// ReadFrom implements [net.PacketConn].
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.queue:
		return copy(b, p.data), p.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements [net.PacketConn].
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := c.node.net
	n.mu.Lock()
	other := n.packets[to.String()]
	lost := other == nil || n.crashed[c.node.name] || n.crashed[other.node.name] || n.cut(c.node.name, other.node.name) || n.dropped(c.node.name, other.node.name)
	n.mu.Unlock()
	if lost {
		return len(b), nil
	}
	select {
	case other.queue <- packet{append([]byte(nil), b...), c.LocalAddr()}:
	default:
	}
	return len(b), nil
}

// Close implements [net.PacketConn].
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements [net.PacketConn].
func (c *packetConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(netip.MustParseAddrPort(c.address))
}

// SetDeadline implements [net.PacketConn]. It does nothing.
func (c *packetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements [net.PacketConn]. It does nothing.
func (c *packetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements [net.PacketConn]. It does nothing.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// Package network is how processes listen and connect: over TCP and UDP, or in tests over a network
// in memory that can lose data and cut connections (package memnet).
package network

import (
	"context"
	"net"
	"time"
)

// Network listens and connects. Implementations are safe for concurrent use.
type Network interface {
	// Listen listens for connections on an address; port 0 takes a free port.
	Listen(address string) (net.Listener, error)
	// ListenPacket listens for datagrams on an address.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial connects. Its errors may be of any type; [DialerWithTimeout] wraps them.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the network of the operating system, with TCP for connections and UDP for datagrams.
type TCP struct {
	// Source is the IP number from which connections are made; nil for any.
	Source net.IP
}

// Listen implements [Network].
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// ListenPacket implements [Network].
func (TCP) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}

// Dial implements [Network].
func (t TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	if t.Source != nil {
		d.LocalAddr = &net.TCPAddr{IP: t.Source}
	}
	return d.DialContext(ctx, network, address)
}

// DialFunc is the type of function that net/http takes to dial.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// DialerWithTimeout returns a dialer that fails after timeout. All its errors are of type
// *net.OpError with Op "dial". Reads of its connections may return [ErrNotReceived].
func DialerWithTimeout(n Network, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := n.Dial(ctx, network, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return checkEnds(conn), nil
	}
}

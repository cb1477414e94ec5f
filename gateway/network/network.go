// Package network is how processes listen and connect: over TCP, or in tests over a
// network in memory that can lose, cut and pause.
package network

import (
	"context"
	"net"
	"time"
)

// Network listens and connects. Implementations are safe for concurrent use.
type Network interface {
	// Listen listens on an address; port 0 takes a free one.
	Listen(address string) (net.Listener, error)
	// ListenPacket listens for datagrams on an address.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial connects; a connection that can't come about is a *net.OpError with Op "dial".
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the real network.
type TCP struct{}

// Listen implements [Network].
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// ListenPacket implements [Network].
func (TCP) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}

// Dial implements [Network].
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// DialFunc is the form in which net/http takes a dialer.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Within returns a dialer that gives up after d.
func Within(n Network, d time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		conn, err := n.Dial(ctx, network, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return conn, nil
	}
}

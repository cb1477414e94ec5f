package network

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// ErrNotReceived means that a peer closed a connection before it had received all that was written to it. If it
// answers nevertheless, the answer may be cut: the rest of what was written resets the connection.
var ErrNotReceived = errors.New("the connection was closed before its peer had received all that was written to it")

// checkedConn is a connection whose reads return [ErrNotReceived] in place of [io.EOF] where that applies.
type checkedConn struct {
	net.Conn
	socket syscall.Conn
}

// checkEnds returns a connection that checks its end. A connection that is no socket is returned as it is.
func checkEnds(c net.Conn) net.Conn {
	if s, ok := c.(syscall.Conn); ok {
		return &checkedConn{Conn: c, socket: s}
	}
	return c
}

// Read implements [net.Conn].
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && !c.allReceived() {
		err = ErrNotReceived
	}
	return n, err
}

// SyscallConn implements [syscall.Conn].
func (c *checkedConn) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }

// allReceived reports whether the peer has acknowledged all that was written, and has not reset the connection. It
// reports true if the operating system does not tell.
func (c *checkedConn) allReceived() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return true
	}
	received := true
	if err := raw.Control(func(fd uintptr) { received = socketReceived(int(fd)) }); err != nil {
		return true
	}
	return received
}

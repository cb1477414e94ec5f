package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// inputEmpty reports whether nothing has arrived on an idle connection, not even its end. It peeks
// without blocking and without consuming bytes. That takes one system call, and no goroutine for
// each idle connection. Connections that are not plain sockets are read from for a millisecond.
func (c *Conn) inputEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sock, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.inputEmptyFor(time.Millisecond)
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// inputEmptyFor reports whether nothing arrives within d.
func (c *Conn) inputEmptyFor(d time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

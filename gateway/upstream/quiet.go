package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// quiet tells whether nothing has arrived on an idle connection. It looks without waiting and without
// taking bytes: one system call, no goroutine for each idle connection. Connections that are no plain
// sockets are read from for a moment.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sock, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.quietFor(time.Millisecond)
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// quietFor tells whether nothing arrives within d.
func (c *Conn) quietFor(d time.Duration) bool {
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

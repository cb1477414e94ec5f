package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet tells whether nothing has arrived on an idle connection. It looks without waiting and
// without taking bytes: one system call, no goroutine for each idle connection. Connections that are
// no sockets (in tests) count as quiet unless bytes are buffered.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sock, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
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

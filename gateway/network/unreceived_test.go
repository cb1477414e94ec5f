package network

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connectTo returns a connection to a peer that f serves.
func connectTo(t *testing.T, f func(*net.TCPConn)) net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		if c, err := l.Accept(); err == nil {
			f(c.(*net.TCPConn))
		}
	}()
	c, err := DialerWithTimeout(TCP{}, time.Second)(context.Background(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestEndBeforeAllWasReceived guards against an ordinary end of a connection whose peer closed its side before it had
// received all that was written: the system call that writes may have taken it all by then.
func TestEndBeforeAllWasReceived(t *testing.T) {
	const receiveBuffer, written = 16 << 10, 1 << 20
	closed := make(chan struct{})
	c := connectTo(t, func(c *net.TCPConn) {
		_ = c.SetReadBuffer(receiveBuffer)
		_, _ = io.CopyN(io.Discard, c, 1)
		_, _ = io.WriteString(c, "a part")
		_ = c.CloseWrite()
		<-closed
		_ = c.Close()
	})
	defer close(closed)
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	go func() { _, _ = c.Write(make([]byte, written)) }()
	body, err := io.ReadAll(c)
	assert.ErrorIs(t, err, ErrNotReceived)
	assert.Equal(t, string(body), "a part")
}

// TestEndAfterAllWasReceived: the end of a connection is an ordinary one if the peer has received all that was written.
func TestEndAfterAllWasReceived(t *testing.T) {
	const written = 1 << 20
	c := connectTo(t, func(c *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, c, written)
		_, _ = io.WriteString(c, "the whole")
		_ = c.Close()
	})
	go func() { _, _ = c.Write(make([]byte, written)) }()
	body, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "the whole")
}

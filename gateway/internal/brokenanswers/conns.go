package brokenanswers

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// writeDelay is longer than the goroutine that writes a request waits for a processor on a busy machine.
const writeDelay = 200 * time.Millisecond

// LateConn is a connection whose writes return late, with the result that they had in time.
type LateConn struct{ net.Conn }

// Write implements [net.Conn].
func (c LateConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	time.Sleep(writeDelay)
	return n, err
}

// resetConn is a connection that is reset while a request is written to it.
type resetConn struct {
	net.Conn // for what the methods below don't do
	answer   io.Reader
	reset    chan struct{}
	mu       sync.Mutex
	takes    int
}

// NewResetConn returns a connection whose peer answers at once, takes some bytes of a request and resets the connection.
// The system call that meets a reset first gets its error: the write here. The read then sees an ordinary end.
func NewResetConn(answer string, takes int) net.Conn {
	c, _ := net.Pipe()
	return &resetConn{Conn: c, answer: strings.NewReader(answer), reset: make(chan struct{}), takes: takes}
}

// Write implements [net.Conn].
func (c *resetConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.takes -= len(b); c.takes < 0 {
		select {
		case <-c.reset:
		default:
			close(c.reset)
		}
		return 0, syscall.ECONNRESET
	}
	return len(b), nil
}

// Read implements [net.Conn].
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.answer.Read(b)
	if err == io.EOF {
		<-c.reset
	}
	return n, err
}

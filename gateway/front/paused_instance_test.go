package front_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/gateway/front"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/settings"
)

// heldNode is a node to which nothing is delivered while it is held. Afterwards all arrives at once.
type heldNode struct {
	*memnet.Node
	mu    sync.Mutex
	until time.Time
}

func (n *heldNode) hold(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.until = time.Now().Add(d)
}

func (n *heldNode) held() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.until)
}

func (n *heldNode) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.Node.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, node: n}, nil
}

func (n *heldNode) Listen(address string) (net.Listener, error) {
	l, err := n.Node.Listen(address)
	return &heldListener{l, n}, err
}

type heldListener struct {
	net.Listener
	node *heldNode
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, node: l.node}, nil
}

// heldConn is a connection of a heldNode.
type heldConn struct {
	net.Conn
	node *heldNode

	mu       sync.Mutex
	deadline time.Time
	closed   bool
	waiting  []byte // received while the node was held
	failed   error
}

// Read returns nothing while the node is held.
func (c *heldConn) Read(b []byte) (int, error) {
	if len(c.waiting) == 0 && c.failed == nil {
		buf := make([]byte, len(b))
		n, err := c.Conn.Read(buf)
		c.waiting, c.failed = buf[:n], err
	}
	for c.node.held() {
		if err := c.interrupted(); err != nil {
			return 0, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	n, err := copy(b, c.waiting), c.failed
	c.waiting = c.waiting[n:]
	if len(c.waiting) > 0 {
		return n, nil
	}
	c.failed = nil
	return n, err
}

// interrupted returns the error of a read that may not wait any longer.
func (c *heldConn) interrupted() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return net.ErrClosed
	case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (c *heldConn) SetDeadline(t time.Time) error {
	c.setDeadline(t)
	return c.Conn.SetDeadline(t)
}

func (c *heldConn) SetReadDeadline(t time.Time) error {
	c.setDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *heldConn) setDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
}

func (c *heldConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// replaceFront starts the first instance anew, with a network that can be held.
func (w *pausedWorld) replaceFront() *heldNode {
	w.fronts[0].Close()
	s, err := settings.ParseFront([]byte(frontSettings(0) + w.settings))
	assert.NilError(w.t, err)
	node := &heldNode{Node: w.net.Node("f0")}
	clock := func() time.Duration { return time.Since(w.began) + time.Hour }
	w.fronts[0], err = front.Start(s, front.Environment{Network: node, Clock: clock, Out: w.logs})
	assert.NilError(w.t, err)
	time.Sleep(3 * time.Second)
	return node
}

// TestHeldInstanceMovesNoStream guards against an instance to which nothing is delivered for a moment,
// and that takes this for the silence of its engines.
func TestHeldInstanceMovesNoStream(t *testing.T) {
	for _, instances := range []int{1, 2, 6} {
		for _, noCopies := range []bool{false, true} {
			name := fmt.Sprintf("%d-instances", instances)
			if noCopies {
				name += "-no-copies"
			}
			t.Run(name, func(t *testing.T) {
				runPaused(t, pausedCase{instances: instances, engines: 6, events: 150, noCopies: noCopies}, func(w *pausedWorld) {
					node := w.replaceFront()
					w.start(6*endpointSlots/2, instances)
					for range 2 {
						node.hold(enginePause)
						time.Sleep(enginePause + moveGrace)
						suspected := w.suspicions()
						assert.Check(t, suspected == 0, "an instance suspects %d engines", suspected)
						time.Sleep(3 * time.Second)
					}
					w.assertAllWhole(enginePause + pauseMargin)
					w.assertUnmoved()
				})
			})
		}
	}
}

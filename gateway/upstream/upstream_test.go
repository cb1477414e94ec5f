package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// server accepts connections and leaves it to the test what to answer on each.
type server struct {
	listener net.Listener
	conns    chan net.Conn
}

func newServer(t *testing.T) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{listener: l, conns: make(chan net.Conn, 8)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns <- c
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *server) target() Target { return Target{ID: "e1", Address: s.listener.Addr().String()} }

func newPool() *Pool {
	return NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, network, address)
	})
}

const idHeader = "X-Id"

func matchesID(_ int, h http.Header) bool { return h.Get(idHeader) == "1" }

func newRequest() *Request {
	return &Request{Method: http.MethodGet, Target: "/a?b=%2F", Host: "h.example", Header: http.Header{"X-One": {"1"}}}
}

const okAnswer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"

// serve takes the next connection, reads the head of a request and writes text.
func (s *server) serve(t *testing.T, text string) net.Conn {
	c := <-s.conns
	t.Cleanup(func() { _ = c.Close() }) // a connection that is not referenced any more is closed by the collector
	s.answer(t, c, text)
	return c
}

func (s *server) answer(t *testing.T, c net.Conn, text string) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		assert.NilError(t, err)
		if line == "\r\n" {
			break
		}
	}
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// TestAnswers checks the result of an exchange for each kind of answer, and whether its connection
// is reused. Reuse after an unclear end would give one request the answer to another.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		close  func(net.Conn)
		body   string
		fails  bool // there is no complete answer
		reused bool // the connection is reused
	}{
		"whole":                    {okAnswer, nil, "ok", false, true},
		"chunks":                   {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil, "ok", false, true},
		"says that it closes":      {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", nil, "ok", false, false},
		"continue first":           {"HTTP/1.1 100 Continue\r\n\r\n" + okAnswer, nil, "ok", false, true},
		"another's first":          {"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother" + okAnswer, nil, "ok", false, true},
		"others only":              {strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother", 3), nil, "", true, false},
		"more than asked for":      {okAnswer + "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n", nil, "ok", false, false},
		"ends with its connection": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok", func(c net.Conn) { _ = c.Close() }, "ok", false, false},
		"reset": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok", func(c net.Conn) {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, "", true, false},
		"breaks off":        {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nok", func(c net.Conn) { _ = c.Close() }, "", true, false},
		"chunks break off":  {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", func(c net.Conn) { _ = c.Close() }, "", true, false},
		"no answer":         {"", func(c net.Conn) { _ = c.Close() }, "", true, false},
		"bytes of no sense": {"\x00\x01\x02\r\n\r\n", func(c net.Conn) { _ = c.Close() }, "", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, p, ctx := newServer(t), newPool(), context.Background()
			conn, err := p.Get(ctx, s.target())
			assert.NilError(t, err)
			go func() {
				if c2 := s.serve(t, c.text); c.close != nil {
					c.close(c2)
				}
			}()
			body, err := exchange(ctx, conn)
			assert.Equal(t, err != nil, c.fails, "%v", err)
			if c.fails {
				assert.Assert(t, errorx.IsOfType(err, ErrLost), "%v", err)
				return
			}
			assert.Equal(t, body, c.body)
			time.Sleep(20 * time.Millisecond)
			next, err := p.Get(ctx, s.target())
			assert.NilError(t, err)
			assert.Equal(t, next.Reused(), c.reused)
		})
	}
}

func exchange(ctx context.Context, conn *Conn) (string, error) {
	x, err := conn.Do(ctx, newRequest(), matchesID)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(x)
	if err != nil {
		x.Abort()
		return "", err
	}
	x.Finish()
	return string(body), nil
}

// TestIdleConnections checks that an idle connection is not reused if the endpoint closed it or
// sent bytes on it.
func TestIdleConnections(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"closed":        func(c net.Conn) { _ = c.Close() },
		"unasked bytes": func(c net.Conn) { _, _ = io.WriteString(c, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			s, p, ctx := newServer(t), newPool(), context.Background()
			conn, err := p.Get(ctx, s.target())
			assert.NilError(t, err)
			served := make(chan net.Conn, 1)
			go func() { served <- s.serve(t, okAnswer) }()
			_, err = exchange(ctx, conn)
			assert.NilError(t, err)
			disturb(<-served)
			time.Sleep(20 * time.Millisecond)
			next, err := p.Get(ctx, s.target())
			assert.NilError(t, err)
			assert.Assert(t, !next.Reused())
		})
	}
}

// TestEarlyAnswer covers an endpoint that refuses a long request before it has read all of it. The
// endpoint still expects the rest of the body on that connection, so no other request may be sent
// there.
func TestEarlyAnswer(t *testing.T) {
	s, p, ctx := newServer(t), newPool(), context.Background()
	conn, err := p.Get(ctx, s.target())
	assert.NilError(t, err)
	go s.serve(t, okAnswer)
	r := newRequest()
	r.Method, r.Length, r.Body = http.MethodPost, 64<<20, io.LimitReader(zeros{}, 64<<20)
	x, err := conn.Do(ctx, r, matchesID)
	assert.NilError(t, err)
	_, err = io.ReadAll(x)
	assert.NilError(t, err)
	x.Finish()
	next, err := p.Get(ctx, s.target())
	assert.NilError(t, err)
	assert.Assert(t, !next.Reused())
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

func TestConnectionsAreBounded(t *testing.T) {
	s, p, ctx := newServer(t), newPool(), context.Background()
	target := s.target()
	target.MaxConnections = 2
	first, err := p.Get(ctx, target)
	assert.NilError(t, err)
	_, err = p.Get(ctx, target)
	assert.NilError(t, err)
	_, err = p.Get(ctx, target)
	assert.Assert(t, errorx.IsOfType(err, ErrBusy))
	first.Discard()
	first.Discard()
	_, err = p.Get(ctx, target)
	assert.NilError(t, err)
	_, err = p.Get(ctx, target)
	assert.Assert(t, errorx.IsOfType(err, ErrBusy))
}

func TestNoConnectionMeansNotSent(t *testing.T) {
	s, p := newServer(t), newPool()
	_ = s.listener.Close()
	_, err := p.Get(context.Background(), s.target())
	assert.Assert(t, errorx.IsOfType(err, ErrNotSent))
}

// TestCancelClosesConnection checks that the endpoint sees its connection close when the caller's
// context ends.
func TestCancelClosesConnection(t *testing.T) {
	s, p := newServer(t), newPool()
	ctx, cancel := context.WithCancel(context.Background())
	conn, err := p.Get(ctx, s.target())
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() {
		c := <-s.conns
		time.AfterFunc(10*time.Millisecond, cancel)
		_, err := io.Copy(io.Discard, c)
		ended <- err
	}()
	_, err = conn.Do(ctx, newRequest(), matchesID)
	assert.Assert(t, errorx.IsOfType(err, ErrLost))
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal(errors.New("the connection stays open"))
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "timeout=5, max=3": 5 * time.Second, "max=3, Timeout=2": 2 * time.Second, "": 0, "timeout=x": 0,
	} {
		assert.Equal(t, keepAliveTimeout(http.Header{"Keep-Alive": {text}}), want, text)
	}
}

// TestEndlessHead guards against an endpoint that sends a head, informational answers or an earlier answer
// without end: all of it was read until the caller's deadline, and the head was kept.
func TestEndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ begin, repeated string }{
		"header line":           {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", "x"},
		"header fields":         {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "X-One: 1\r\n"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"an earlier answer":     {"HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			conn, err := newPool().Get(ctx, s.target())
			assert.NilError(t, err)
			peer := <-s.conns
			taken := make(chan int)
			go func() {
				n, _ := io.WriteString(peer, c.begin)
				piece := strings.Repeat(c.repeated, 1000)
				for {
					more, err := io.WriteString(peer, piece)
					if n += more; err != nil {
						taken <- n
						return
					}
				}
			}()
			_, err = conn.Do(ctx, newRequest(), matchesID)
			assert.Assert(t, errorx.IsOfType(err, ErrLost), "%v", err)
			assert.Assert(t, ctx.Err() == nil, "the caller's deadline has passed")
			const socketBuffers = 16 << 20 // the kernel takes bytes that nobody reads
			assert.Assert(t, <-taken < socketBuffers)
		})
	}
}

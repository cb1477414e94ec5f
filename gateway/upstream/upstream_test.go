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

// server answers each connection by a script.
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

func pool() *Pool {
	return NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, network, address)
	})
}

const idHeader = "X-Id"

func mine(_ int, h http.Header) bool { return h.Get(idHeader) == "1" }

func get() *Request {
	return &Request{Method: http.MethodGet, Target: "/a?b=%2F", Host: "h.example", Header: http.Header{"X-One": {"1"}}}
}

const whole = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"

// serve takes the next connection, reads the head of a request and writes text.
func (s *server) serve(t *testing.T, text string) net.Conn {
	c := <-s.conns
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

// TestAnswers: what an exchange makes of each kind of answer, and whether its connection is used again.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		close func(net.Conn)
		body  string
		fails bool // there is no whole answer
		again bool // the connection is used again
	}{
		"whole":                    {whole, nil, "ok", false, true},
		"chunks":                   {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil, "ok", false, true},
		"says that it closes":      {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", nil, "ok", false, false},
		"continue first":           {"HTTP/1.1 100 Continue\r\n\r\n" + whole, nil, "ok", false, true},
		"another's first":          {"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother" + whole, nil, "ok", false, true},
		"others only":              {strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother", 3), nil, "", true, false},
		"more than asked for":      {whole + "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n", nil, "ok", false, false},
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
			s, p, ctx := newServer(t), pool(), context.Background()
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
			assert.Equal(t, next.Reused(), c.again)
		})
	}
}

func exchange(ctx context.Context, conn *Conn) (string, error) {
	x, err := conn.Do(ctx, get(), mine)
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

// TestIdleConnections: one that the endpoint closed, or on which something came, is not used again.
func TestIdleConnections(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"closed":        func(c net.Conn) { _ = c.Close() },
		"unasked bytes": func(c net.Conn) { _, _ = io.WriteString(c, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			s, p, ctx := newServer(t), pool(), context.Background()
			conn, err := p.Get(ctx, s.target())
			assert.NilError(t, err)
			served := make(chan net.Conn, 1)
			go func() { served <- s.serve(t, whole) }()
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

// TestEarlyAnswer: an endpoint refuses a long request before it has read it. The rest of the body is owed
// on that connection, so nothing else may be sent there.
func TestEarlyAnswer(t *testing.T) {
	s, p, ctx := newServer(t), pool(), context.Background()
	conn, err := p.Get(ctx, s.target())
	assert.NilError(t, err)
	go s.serve(t, whole)
	r := get()
	r.Method, r.Length, r.Body = http.MethodPost, 64<<20, io.LimitReader(zeros{}, 64<<20)
	x, err := conn.Do(ctx, r, mine)
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
	s, p, ctx := newServer(t), pool(), context.Background()
	target := s.target()
	target.Connections = 2
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
	s, p := newServer(t), pool()
	_ = s.listener.Close()
	_, err := p.Get(context.Background(), s.target())
	assert.Assert(t, errorx.IsOfType(err, ErrNotSent))
}

// TestCallerLeaves: the endpoint sees its connection close.
func TestCallerLeaves(t *testing.T) {
	s, p := newServer(t), pool()
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
	_, err = conn.Do(ctx, get(), mine)
	assert.Assert(t, errorx.IsOfType(err, ErrLost))
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal(errors.New("the connection stays open"))
	}
}

func TestIdleTime(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "timeout=5, max=3": 5 * time.Second, "max=3, Timeout=2": 2 * time.Second, "": 0, "timeout=x": 0,
	} {
		assert.Equal(t, idleTime(http.Header{"Keep-Alive": {text}}), want, text)
	}
}

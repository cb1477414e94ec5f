package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int

const (
	pass    mode = iota
	delayed      // what goes through is late
	reset        // connections are closed, also new ones
	silent       // nothing goes through, either way
	oneWay       // what the server sends does not go through
)

func (m mode) String() string {
	return [...]string{"passes", "delays", "resets", "is silent", "is cut one way"}[m]
}

// delay is how late a delayed proxy is.
const delay = 60 * time.Millisecond

// proxy stands between callers and a server on the loopback address.
type proxy struct {
	at       string
	mu       sync.Mutex
	listener net.Listener
	closed   bool
	server   string
	mode     mode
	conns    map[net.Conn]bool
}

// newProxy listens; the server may be set later.
func newProxy(server string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, conns: map[net.Conn]bool{}}
	p.at = l.Addr().String()
	go p.run(l)
	return p, nil
}

func (p *proxy) address() string { return p.at }

// refuse closes all connections and refuses new ones, as the machine of a process does that has ended.
func (p *proxy) refuse() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	before, _ := p.now()
	p.set(reset)
	p.set(before)
}

// listen takes connections again.
func (p *proxy) listen() error {
	l, err := net.Listen("tcp", p.at)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return l.Close()
	}
	_ = p.listener.Close() // it may be one that listens
	p.listener = l
	go p.run(l)
	return nil
}

func (p *proxy) run(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(conn)
	}
}

// set changes the mode. Open connections are closed by a reset, and may be by the end of silence: a
// connection that lost bytes is of no use any more.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	before := p.mode
	p.mode = m
	var closed []net.Conn
	if m == reset || before == silent || before == oneWay {
		for c := range p.conns {
			closed = append(closed, c)
		}
	}
	p.mu.Unlock()
	for _, c := range closed {
		abort(c)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) now() (mode, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.server
}

func (p *proxy) point(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
}

func (p *proxy) hold(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) serve(caller net.Conn) {
	m, server := p.now()
	if m == reset {
		abort(caller)
		return
	}
	p.hold(caller, true)
	defer p.hold(caller, false)
	backend, err := net.Dial("tcp", server)
	if err != nil {
		abort(caller)
		return
	}
	p.hold(backend, true)
	defer p.hold(backend, false)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(backend, caller, false) })
	wg.Go(func() { p.copy(caller, backend, true) })
	wg.Wait()
}

// copy moves bytes until either side ends; answers tells the direction.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if err == io.EOF {
				_ = to.Close()
			} else {
				abort(to)
			}
			_ = from.Close()
			return
		}
		switch m, _ := p.now(); {
		case m == silent, m == oneWay && answers:
			continue // lost on the way
		case m == delayed:
			time.Sleep(delay/2 + rand.N(delay))
		}
		if _, err := to.Write(buf[:n]); err != nil {
			abort(from)
			return
		}
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.set(reset)
}

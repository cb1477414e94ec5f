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
	passThrough mode = iota
	delayed          // data is forwarded late
	reset            // open and new connections are reset
	silent           // data is dropped in both directions
	oneWay           // data from the server is dropped
)

func (m mode) String() string {
	return [...]string{"passes", "delays", "resets", "is silent", "is cut one way"}[m]
}

// meanDelay is the mean delay of each forwarded chunk in the mode delayed. The delay is uniform
// between half and one and a half of it.
const meanDelay = 60 * time.Millisecond

// proxy forwards connections on the loopback address to a server.
type proxy struct {
	listenAddress string
	mu            sync.Mutex
	listener      net.Listener
	closed        bool
	server        string
	mode          mode
	conns         map[net.Conn]bool
	// cutOf returns how the process at the other end of a connection is cut off, if it is; nil for a
	// proxy from which no process is. silenced holds the connections of processes whose open
	// connections are silent.
	cutOf    func(caller net.Conn) (cutMode, bool)
	silenced map[net.Conn]bool
}

// newProxy starts a proxy. The server may be empty and set later by setServer.
func newProxy(server string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, conns: map[net.Conn]bool{}, silenced: map[net.Conn]bool{}}
	p.listenAddress = l.Addr().String()
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// refuse resets all connections and refuses new ones, as a machine does whose process has ended.
func (p *proxy) refuse() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	previous, _ := p.current()
	p.set(reset)
	p.set(previous)
}

// relisten accepts connections again, at the same address.
func (p *proxy) relisten() error {
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return l.Close()
	}
	_ = p.listener.Close() // it may still be listening
	p.listener = l
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(conn)
	}
}

// set changes the mode. Open connections are reset by the mode reset, and by the end of silent and
// oneWay, since they may have lost data.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	previous := p.mode
	p.mode = m
	var closed []net.Conn
	if m == reset || previous == silent || previous == oneWay {
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

func (p *proxy) current() (mode, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.server
}

func (p *proxy) setServer(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
		delete(p.silenced, c)
	}
}

func (p *proxy) serve(caller net.Conn) {
	m, server := p.current()
	if m == reset || p.isCut(caller) {
		abort(caller)
		return
	}
	p.track(caller, true)
	defer p.track(caller, false)
	backend, err := dialAs(caller, server)
	if err != nil {
		abort(caller)
		return
	}
	p.track(backend, true)
	defer p.track(backend, false)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(backend, caller, false) })
	wg.Go(func() { p.copy(caller, backend, true) })
	wg.Wait()
}

// dialAs connects to a server from the address of a caller, so that the server can tell callers apart.
func dialAs(caller net.Conn, server string) (net.Conn, error) {
	d := net.Dialer{}
	if a, ok := caller.RemoteAddr().(*net.TCPAddr); ok {
		d.LocalAddr = &net.TCPAddr{IP: a.IP}
	}
	return d.Dial("tcp", server)
}

// copy forwards data until either side ends; toCaller is true for data from the server.
func (p *proxy) copy(to, from net.Conn, toCaller bool) {
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
		switch m, _ := p.current(); {
		case m == silent, m == oneWay && toCaller, p.isSilenced(to), p.isSilenced(from):
			continue // dropped
		case m == delayed:
			time.Sleep(meanDelay/2 + rand.N(meanDelay))
		}
		if _, err := to.Write(buf[:n]); err != nil {
			abort(from)
			return
		}
	}
}

// isCut reports whether the process at the other end of a new connection is cut off.
func (p *proxy) isCut(caller net.Conn) bool {
	p.mu.Lock()
	cutOf := p.cutOf
	p.mu.Unlock()
	if cutOf == nil {
		return false
	}
	_, cut := cutOf(caller)
	return cut
}

func (p *proxy) isSilenced(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenced[c]
}

// applyCut applies cuts to the open connections. Connections that were silent are reset at the end of
// a cut, as they have lost data.
func (p *proxy) applyCut() {
	p.mu.Lock()
	var closed []net.Conn
	for c := range p.conns {
		m, cut := p.cutOf(c)
		switch {
		case p.silenced[c] && !cut, cut && m == cutResets:
			closed = append(closed, c)
			delete(p.silenced, c)
		case cut && m == cutSilences:
			p.silenced[c] = true
		}
	}
	p.mu.Unlock()
	for _, c := range closed {
		abort(c)
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.set(reset)
}

package soak

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// cutLinksFault is the name of the fault that cuts links between processes. Processes reach each other through proxies only
// where it may happen.
const cutLinksFault = "refuse-most-while-links-are-cut"

// linkCut reports whether what one process sends to another is lost.
type linkCut func(from, to int) bool

// linkCuts holds the cuts between processes, by name.
var linkCuts = map[string]linkCut{
	"each from all others":   func(int, int) bool { return true },
	"all but those with one": func(from, to int) bool { return from != 0 && to != 0 },
	"two data centres":       func(from, to int) bool { return from%dataCentres+to%dataCentres == 1 },
	"one way":                func(from, to int) bool { return from%2 == 0 && to%2 == 1 },
}

// instanceLinks are the proxies between processes. It is safe for concurrent use.
type instanceLinks struct {
	mu      sync.Mutex
	cut     linkCut        // nil for none
	senders map[string]int // by the address from which they send datagrams
	proxies []*instanceProxy
}

// instanceProxy forwards connections and datagrams to a process, at one address.
type instanceProxy struct {
	links  *instanceLinks
	to     int
	server string
	calls  *proxy
	conn   net.PacketConn
}

// add starts a proxy in front of process i, and returns the address under which the others reach it. The process itself
// listens on server.
func (l *instanceLinks) add(i int, server string) (string, error) {
	calls, err := newProxy(server)
	if err != nil {
		return "", err
	}
	calls.mu.Lock()
	calls.cutOf = func(caller net.Conn) (cutMode, bool) {
		from, ok := ownerNumber(caller)
		return cutSilences, ok && l.isCut(from, i)
	}
	calls.mu.Unlock()
	conn, err := net.ListenPacket("udp", calls.address())
	if err != nil {
		calls.close()
		return "", err
	}
	p := &instanceProxy{links: l, to: i, server: server, calls: calls, conn: conn}
	l.mu.Lock()
	if l.senders == nil {
		l.senders = map[string]int{}
	}
	l.senders[server] = i
	l.proxies = append(l.proxies, p)
	l.mu.Unlock()
	go p.forward()
	return calls.address(), nil
}

// isCut reports whether what process from sends to process to is lost; for a connection, either direction counts.
func (l *instanceLinks) isCut(from, to int) bool { return l.loses(from, to) || l.loses(to, from) }

func (l *instanceLinks) loses(from, to int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut != nil && l.cut(from, to)
}

// set replaces the cuts; nil ends them.
func (l *instanceLinks) set(cut linkCut) {
	l.mu.Lock()
	l.cut = cut
	all := slices.Clone(l.proxies)
	l.mu.Unlock()
	for _, p := range all {
		p.calls.applyCut()
	}
}

func (l *instanceLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.proxies {
		p.calls.close()
		_ = p.conn.Close()
	}
}

// sender returns which process sends from an address; false for none.
func (l *instanceLinks) sender(a net.Addr) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.senders[a.String()]
	return i, ok
}

// maxDatagram is the largest datagram between processes, in bytes.
const maxDatagram = 16 << 10

// forward forwards datagrams to the process until the proxy is closed. Each sender has a socket of its own, so that
// replies find their way back.
func (p *instanceProxy) forward() {
	sockets := map[int]net.Conn{}
	defer func() {
		for _, s := range sockets {
			_ = s.Close()
		}
	}()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFrom(buf)
		if err != nil {
			return // closed
		}
		i, ok := p.links.sender(from)
		if !ok || p.links.loses(i, p.to) {
			continue
		}
		if sockets[i] == nil {
			s, err := net.Dial("udp", p.server)
			if err != nil {
				continue // the effect is that of a lost datagram
			}
			sockets[i] = s
			go p.forwardReplies(s, i, from)
		}
		_, _ = sockets[i].Write(buf[:n]) // the same
	}
}

// forwardReplies forwards the replies of the process to a sender until the socket is closed.
func (p *instanceProxy) forwardReplies(s net.Conn, sender int, to net.Addr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := s.Read(buf)
		if err != nil {
			if p.closed() {
				return
			}
			continue // the process was down: its machine refused a datagram
		}
		if !p.links.loses(p.to, sender) {
			_, _ = p.conn.WriteTo(buf[:n], to)
		}
	}
}

func (p *instanceProxy) closed() bool {
	p.calls.mu.Lock()
	defer p.calls.mu.Unlock()
	return p.calls.closed
}

const (
	// cutLinksTime is how long links are cut while workers refuse most requests: longer than the window of the bound on retries.
	cutLinksTime = 12 * time.Second
	// refusalBeforeCut is how long workers refuse before that.
	refusalBeforeCut = 300 * time.Millisecond
)

// refuseMostWhileCut lets all workers refuse most requests while links between processes are cut. It lasts for cutLinksTime.
func refuseMostWhileCut(w *environment, r *rand.Rand) (string, func()) {
	w.setWorkerFaults(standin.WorkerFault{RefusedFraction: refusedFraction})
	time.Sleep(refusalBeforeCut)
	names := slices.Sorted(maps.Keys(linkCuts))
	name := names[r.IntN(len(names))]
	w.links.set(linkCuts[name])
	time.Sleep(cutLinksTime)
	w.links.set(nil)
	w.setWorkerFaults(standin.WorkerFault{})
	return "most requests were refused while links between processes were cut: " + name, nil
}

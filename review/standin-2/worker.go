package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	ID, Worker, Method, Target, Body, Tenant, DeadlineMS, LastEvent, CopyFrom string
	At                                                                        time.Time
	Status                                                                    int    // of the answer
	Signature, Answer                                                         string // of the answer, whole
}

// fleet holds the runs of all workers.
type fleet struct {
	mu         sync.Mutex
	runs       []*run
	signatures atomic.Int64
}

func (f *fleet) begin(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
}

// byID returns the runs of each request.
func (f *fleet) byID() map[string][]*run {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]*run{}
	for _, r := range f.runs {
		out[r.ID] = append(out[r.ID], r)
	}
	return out
}

// worker is a worker of a service. It reads whole requests and answers them as serve says.
type worker struct {
	id, service, zone, address string
	born                       int64
	slots                      int
	fleet                      *fleet
	// serve answers a request. It returns false if the connection is to be closed.
	serve func(c *workerConn, r *http.Request, body string) bool
	// report returns the running requests that an engine lists; nil for none.
	report   func() string
	listener net.Listener
	running  atomic.Int32
	mu       sync.Mutex
	conns    map[*workerConn]bool
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	worker   *worker
	reader   *bufio.Reader
	requests int
	// late is sent before the next answer.
	late string
}

func newWorker(f *fleet, id, service, zone string, slots int, serve func(*workerConn, *http.Request, string) bool) (*worker, error) {
	w := &worker{id: id, service: service, zone: zone, slots: slots, fleet: f, serve: serve, conns: map[*workerConn]bool{}, born: time.Now().UnixMilli()}
	return w, w.listen("127.0.0.1:0")
}

func (w *worker) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.listener, w.address = l, l.Addr().String()
	go w.accept(l)
	return nil
}

// crash resets all connections and refuses new ones.
func (w *worker) crash() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.reset()
	}
}

func (w *worker) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		c := &workerConn{Conn: raw, worker: w, reader: bufio.NewReader(raw)}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go func() {
			c.run()
			_ = raw.Close()
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
		}()
	}
}

func (c *workerConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

func (c *workerConn) run() {
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		c.requests++
		if !c.answer(r) {
			return
		}
	}
}

func (c *workerConn) answer(r *http.Request) bool {
	w := c.worker
	switch {
	case r.URL.Path == "/health":
		return c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nAgateway-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id))
	case r.URL.Path == "/report":
		runs := ""
		if w.report != nil {
			runs = w.report()
		}
		body := fmt.Sprintf(`{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"queued":0,"running":%d,"kvUsed":0,"kvTotal":88000,"handles":0,"runs":[%s]}`, w.running.Load(), runs)
		return c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	case strings.HasPrefix(r.URL.Path, "/kv-"):
		return c.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	if e := r.Header.Get("Agateway-Expect-Instance"); e != "" && e != w.id {
		_, _ = io.Copy(io.Discard, r.Body)
		return c.send(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nAgateway-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id))
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return false // a request that is not whole does not run
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	return w.serve(c, r, string(raw))
}

func (c *workerConn) send(s string) bool {
	_, err := io.WriteString(c.Conn, s)
	return err == nil
}

// begin records that a request runs.
func (c *workerConn) begin(r *http.Request, body string) *run {
	h := r.Header
	out := &run{
		ID: h.Get("Agateway-Attempt-Id"), Worker: c.worker.id, Method: r.Method, Target: r.RequestURI, Body: body, Tenant: h.Get("Agateway-Tenant"),
		DeadlineMS: h.Get("Agateway-Deadline-Ms"), LastEvent: h.Get("Last-Event-Id"), CopyFrom: h.Get("Kv-From"), At: time.Now(),
		Signature: "s" + strconv.FormatInt(c.worker.fleet.signatures.Add(1), 10), Status: http.StatusOK,
	}
	out.Answer = fmt.Sprintf("answer to %s by %s, %s", out.ID, out.Worker, out.Signature)
	c.worker.fleet.begin(out)
	return out
}

// head returns the head of the answer to a run, without the line that ends it.
func (r *run) head() string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAgateway-Attempt-Id: %s\r\nAgateway-Response-Signature: %s\r\nContent-Type: text/plain\r\n", r.Status, http.StatusText(r.Status), r.ID, r.Signature)
}

// whole returns the whole answer with a length.
func (r *run) whole() string {
	return r.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.Answer), r.Answer)
}

// register writes the entry of a worker to the store.
func (w *worker) register(s *store, state string, seq int) {
	s.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state, "coldRemainingMs": 0,
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": seq, "born": w.born,
	})
}

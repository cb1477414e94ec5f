package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// worker is a stand-in for a worker: it registers in the store and answers requests. It writes a line to
// its standard output for each request that it runs.
type worker struct {
	id, service, zone, address, store string
	slots                             int
	// frame is how answers are framed: chunked, length or none.
	frame string
	// pieces and gap are the number of pieces of an answer and the time between two. A stream's pieces are
	// events; those of another answer are pieceBytes long.
	pieces     int
	gap        time.Duration
	first      time.Duration
	pieceBytes int
	drain      time.Duration
	linger     time.Duration
	silentExit bool
	// split makes the worker wait in the middle of each event of a stream, and not between two.
	split bool
	// fatal is the id of a part of prompts that crashes the worker, and how it does.
	fatal, fatalHow string
	// queue is how many requests wait for a slot. From brittleAt on (Unix milliseconds) the worker says that it
	// is brittle; settle later it lets only brittleQueue requests wait, and falls over once it has to turn more
	// than maxRefusals requests away in a second. maxRefusals is negative for a worker that is never brittle.
	queue, brittleQueue, maxRefusals int
	brittleAt                        int64
	settle                           time.Duration

	places     chan struct{}
	refusalsMu sync.Mutex
	refusals   []time.Time

	seq     atomic.Int64
	leaving atomic.Bool
	running atomic.Int64
	outMu   sync.Mutex
}

func runWorker(args []string) {
	w := &worker{}
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&w.id, "id", "", "")
	f.StringVar(&w.service, "service", "", "")
	f.StringVar(&w.zone, "zone", "zone-a", "")
	f.StringVar(&w.address, "address", "", "")
	f.StringVar(&w.store, "store", "", "")
	f.IntVar(&w.slots, "slots", 24, "")
	f.StringVar(&w.frame, "frame", "chunked", "")
	f.IntVar(&w.pieces, "pieces", 60, "")
	f.DurationVar(&w.gap, "gap", 30*time.Millisecond, "")
	f.DurationVar(&w.first, "first", 60*time.Millisecond, "")
	f.IntVar(&w.pieceBytes, "piece-bytes", 400, "")
	f.DurationVar(&w.drain, "drain", 2*time.Second, "")
	f.DurationVar(&w.linger, "linger", 300*time.Millisecond, "")
	f.BoolVar(&w.split, "split", false, "")
	f.BoolVar(&w.silentExit, "silent-exit", false, "")
	f.StringVar(&w.fatal, "fatal", "", "")
	f.StringVar(&w.fatalHow, "fatal-how", "", "")
	f.IntVar(&w.queue, "queue", 0, "")
	f.IntVar(&w.brittleQueue, "brittle-queue", 0, "")
	f.IntVar(&w.maxRefusals, "max-refusals", -1, "")
	f.Int64Var(&w.brittleAt, "brittle-at", 0, "")
	f.DurationVar(&w.settle, "settle", 3*time.Second, "")
	_ = f.Parse(args)
	w.places = make(chan struct{}, w.slots)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := w.register("ready"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			state := "ready"
			if w.leaving.Load() {
				if w.silentExit {
					continue
				}
				state = "draining"
			}
			_ = w.register(state)
		}
	}()
	go w.leaveOnSignal()
	w.say(map[string]any{"ev": "up"})
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(0)
		}
		go w.serve(c)
	}
}

// leaveOnSignal is the planned shutdown: the worker says that it leaves, serves on, and exits.
func (w *worker) leaveOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM)
	<-c
	w.leaving.Store(true)
	if w.silentExit {
		req, _ := http.NewRequest(http.MethodDelete, "http://"+w.store+"/objects/servers/"+w.id, nil)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	} else if err := w.register("draining"); err != nil {
		w.say(map[string]any{"ev": "not registered", "error": err.Error()})
	}
	w.say(map[string]any{"ev": "leaving"})
	time.Sleep(w.drain + w.linger)
	w.say(map[string]any{"ev": "exits", "running": w.running.Load()})
	os.Exit(0)
}

func (w *worker) say(line map[string]any) {
	line["worker"], line["at"] = w.id, time.Now().UnixMilli()
	raw, _ := json.Marshal(line)
	w.outMu.Lock()
	defer w.outMu.Unlock()
	_, _ = os.Stdout.Write(append(raw, '\n'))
}

func (w *worker) register(state string) error {
	spec, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state, "coldRemainingMs": 0,
		"stage": "unified", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": w.seq.Add(1),
	})
	body, _ := json.Marshal(object{Metadata: metadata{Name: w.id}, Spec: spec})
	for _, try := range []struct{ method, path string }{{http.MethodPut, "/objects/servers/" + w.id}, {http.MethodPost, "/objects/servers"}} {
		req, _ := http.NewRequest(try.method, "http://"+w.store+try.path, bytes.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the store does not take the entry")
}

func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !w.answer(c, req, body) {
			return
		}
	}
}

func (w *worker) head(c net.Conn, status string, req *http.Request, extra string) {
	h := "HTTP/1.1 " + status + "\r\n"
	if id := req.Header.Get("Agateway-Attempt-Id"); id != "" {
		h += "Agateway-Attempt-Id: " + id + "\r\n"
	}
	if w.leaving.Load() {
		h += "Server-Leaving: 1\r\nConnection: close\r\n"
	}
	if w.isBrittle(0) {
		h += fmt.Sprintf("Server-Brittle: %d\r\n", w.maxRefusals)
	}
	h += fmt.Sprintf("Agateway-Instance-Load: %d,0,%d\r\n", w.running.Load(), w.slots)
	_, _ = io.WriteString(c, h+extra+"\r\n")
}

// isBrittle reports whether the worker has said for a time that it is brittle.
func (w *worker) isBrittle(since time.Duration) bool {
	return w.maxRefusals >= 0 && time.Now().UnixMilli() >= w.brittleAt+since.Milliseconds()
}

// room returns how many requests may wait for a slot.
func (w *worker) room() int {
	if w.isBrittle(w.settle) {
		return w.brittleQueue
	}
	return w.queue
}

// refuse records that a request is turned away for want of room. A brittle worker falls over if there are too
// many.
func (w *worker) refuse(id string) {
	w.say(map[string]any{"ev": "refuses", "id": id})
	w.refusalsMu.Lock()
	defer w.refusalsMu.Unlock()
	now := time.Now()
	w.refusals = append(w.refusals, now)
	n := 0
	for _, at := range w.refusals {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if w.isBrittle(w.settle) && n > w.maxRefusals {
		w.say(map[string]any{"ev": "falls over"})
		os.Exit(4)
	}
}

// answer answers a request, and reports whether the connection is kept.
func (w *worker) answer(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Agateway-Attempt-Id")
	switch {
	case req.URL.Path == "/report":
		raw, _ := json.Marshal(map[string]any{
			"stage": "unified", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "queued": 0,
			"running": w.running.Load(), "kvUsed": 0, "kvTotal": 88000, "handles": 0, "state": "ready", "runs": w.runs(),
		})
		w.head(c, "200 OK", req, fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(raw)))
		_, _ = c.Write(raw)
		return !w.leaving.Load()
	case req.URL.Path == "/health":
		status := "200 OK"
		if w.leaving.Load() {
			status = "503 Service Unavailable"
		}
		w.head(c, status, req, "Agateway-Instance-Id: "+w.id+"\r\nContent-Length: 0\r\n")
		return !w.leaving.Load()
	case req.URL.Path == "/kv-list":
		raw := []byte(`{"epoch":1,"next":1,"held":[]}`)
		w.head(c, "200 OK", req, fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(raw)))
		_, _ = c.Write(raw)
		return !w.leaving.Load()
	case id == "":
		w.head(c, "400 Bad Request", req, "Agateway-Not-Executed: 1\r\nContent-Length: 0\r\n")
		return true
	case req.Header.Get("Agateway-Expect-Instance") != "" && req.Header.Get("Agateway-Expect-Instance") != w.id:
		w.head(c, "421 Misdirected Request", req, "Agateway-Not-Executed: 1\r\nAgateway-Instance-Id: "+w.id+"\r\nContent-Length: 0\r\n")
		return true
	case w.running.Load() >= int64(w.slots+w.room()):
		w.refuse(id)
		w.head(c, "503 Service Unavailable", req, "Agateway-Not-Executed: 1\r\nContent-Length: 0\r\n")
		return true
	}
	return w.run(c, req, id)
}

var runsMu sync.Mutex
var runList = map[string]int{}

func (w *worker) runs() [][]any {
	runsMu.Lock()
	defer runsMu.Unlock()
	out := [][]any{}
	for id, n := range runList {
		if n > 0 {
			out = append(out, []any{id, 100, n, 5})
		}
	}
	return out
}

// piece returns one piece of the answer to a request: what a whole answer is follows from its id.
func piece(id string, stream bool, n, bytes int) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	line := fmt.Sprintf("%s-%d.", id, n)
	return strings.Repeat(line, bytes/len(line)+1)[:bytes]
}

func (w *worker) run(c net.Conn, req *http.Request, id string) bool {
	w.running.Add(1)
	defer w.running.Add(-1)
	w.places <- struct{}{}
	defer func() { <-w.places }()
	stream := req.Header.Get("Agateway-Prompt-Prefix") != ""
	from := 0
	if stream {
		from, _ = strconv.Atoi(req.Header.Get("Last-Event-Id"))
	}
	w.say(map[string]any{"ev": "run", "id": id, "from": from, "tenant": req.Header.Get("Agateway-Tenant"), "path": req.RequestURI, "client": c.RemoteAddr().String()})
	defer func() {
		runsMu.Lock()
		delete(runList, id)
		runsMu.Unlock()
	}()
	time.Sleep(w.first)
	fatal := w.fatal != "" && strings.Contains(","+req.Header.Get("Agateway-Prompt-Prefix"), ","+w.fatal+":")
	if fatal && w.fatalHow == "before" {
		w.say(map[string]any{"ev": "crash", "id": id})
		os.Exit(3)
	}
	extra := "Agateway-Response-Signature: sig-" + w.id + "-" + id + "\r\n"
	if stream {
		extra += "Content-Type: text/event-stream\r\n"
	}
	keep := !w.leaving.Load()
	switch w.frame {
	case "chunked":
		extra += "Transfer-Encoding: chunked\r\n"
	case "length":
		n := 0
		for i := from + 1; i <= w.pieces; i++ {
			n += len(piece(id, stream, i, w.pieceBytes))
		}
		extra += fmt.Sprintf("Content-Length: %d\r\n", n)
	default:
		keep = false
		if !w.leaving.Load() {
			extra += "Connection: close\r\n"
		}
	}
	w.head(c, "200 OK", req, extra)
	if fatal {
		time.Sleep(10 * time.Millisecond)
		w.say(map[string]any{"ev": "crash", "id": id})
		os.Exit(3)
	}
	for i := from + 1; i <= w.pieces; i++ {
		p := piece(id, stream, i, w.pieceBytes)
		if w.split && i < w.pieces {
			half := len(p) / 2
			_, _ = io.WriteString(c, p[:half])
			time.Sleep(w.gap)
			p = p[half:]
		}
		if w.frame == "chunked" {
			p = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if _, err := io.WriteString(c, p); err != nil {
			w.say(map[string]any{"ev": "broken", "id": id, "pieces": i})
			return false
		}
		runsMu.Lock()
		runList[id] = i
		runsMu.Unlock()
		if i < w.pieces && !w.split {
			time.Sleep(w.gap)
		}
	}
	if w.frame == "chunked" {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	w.say(map[string]any{"ev": "done", "id": id})
	return keep
}

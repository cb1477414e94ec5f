package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errSetUp says that a case could not run.
var errSetUp = errors.New("the case could not be set up")

// errClosing says that the case is over.
var errClosing = errors.New("no process is started at the end of a case")

// line is what a worker says.
type line struct {
	Ev, ID, Worker, Tenant, Path, Client string
	At                                   int64
	From, Running, Pieces                int
}

type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// world is a small deployment: a store, workers and fronts on loopback addresses.
type world struct {
	root, tmp, net string
	store          *store
	record         *os.File
	recordMu       sync.Mutex
	began          time.Time
	mu             sync.Mutex
	processes      []*process
	lines          []line
	nextID         int
	closing        bool
	trouble        bool
}

func newWorld(root, caseDir string) (*world, error) {
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{root: root, tmp: tmp, store: newStore(), record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	for range 20 {
		w.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if err = w.store.listen(w.net + "1:8742"); err == nil {
			return w, nil
		}
	}
	return nil, err
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) start(name string, out io.Writer, command ...string) (*process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdout, cmd.Stderr, cmd.Dir = out, out, w.root
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return nil, errClosing
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name, cmd, make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	w.processes = append(w.processes, p)
	return p, nil
}

// close ends all processes that the world started.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	all := w.processes
	w.mu.Unlock()
	for _, p := range all {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		p.kill()
	}
	_ = os.RemoveAll(w.tmp)
	_ = w.record.Close()
}

// settings are the fields that the platform fills into the template of the settings.
func (w *world) settings(i int, zone string) map[string]any {
	ip := w.frontIP(i)
	return map[string]any{
		"nodeName": fmt.Sprintf("front-%s-%d", zone, i+1), "zone": zone, "region": "kz-south", "ip": ip,
		"listenAddrs.front": ip + ":8740", "listenAddrs.ready": ip + ":8749", "listenAddrs.directory": ip + ":8746", "internalPortRange.0": 7200,
		"platform.address": w.net + "1:8742", "bounds.revokeMs": 5000, "bounds.configApplyMs": 2000, "bounds.graceS": 8,
		"bounds.retryBudgetRatio": 0.8, "bounds.retryBudgetSlack": 150, "bounds.budgetWindowS": 10, "limits.memoryMb": 284, "limits.linkMbps": 1000.0,
	}
}

func (w *world) frontIP(i int) string { return fmt.Sprintf("%s%d", w.net, 10+i) }

var section = regexp.MustCompile(`(?s)\{\{#([a-zA-Z0-9_.]+)\}\}(.*?)\{\{/[a-zA-Z0-9_.]+\}\}`)
var value = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)\}\}`)

// render fills the template as DEPLOY.md describes, as far as this template uses it.
func render(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if fields[m[1]] == nil {
			return ""
		}
		return m[2]
	})
	return value.ReplaceAllStringFunc(template, func(s string) string {
		if v := fields[value.FindStringSubmatch(s)[1]]; v != nil {
			return fmt.Sprint(v)
		}
		return ""
	})
}

// startFront starts an instance with the command of the deploy file.
func (w *world) startFront(i int, zone string, changes map[string]any) (*process, error) {
	template, err := os.ReadFile(filepath.Join(w.root, "deploy/front.ini.tmpl"))
	if err != nil {
		return nil, err
	}
	fields := w.settings(i, zone)
	for k, v := range changes {
		fields[k] = v
	}
	file := filepath.Join(w.tmp, fmt.Sprintf("front-%d.ini", i))
	if err := os.WriteFile(file, []byte(render(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(w.tmp, fmt.Sprintf("front-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	w.note("starts front %d", i)
	return w.start(fmt.Sprint("front ", i), log, filepath.Join(w.root, "target/agatewayd"), "front", "--config", file)
}

// frontProcess returns the latest process of a front.
func (w *world) frontProcess(i int) (latest *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if p.name == fmt.Sprint("front ", i) {
			latest = p
		}
	}
	return latest
}

// startWorker starts a worker as a process of its own.
func (w *world) startWorker(i int, id, service, zone string, args ...string) (*process, error) {
	r, out, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	go func() {
		for s := bufio.NewScanner(r); s.Scan(); {
			var l line
			if json.Unmarshal(s.Bytes(), &l) != nil {
				w.note("a worker says: %s", s.Text())
				continue
			}
			w.mu.Lock()
			w.lines = append(w.lines, l)
			w.mu.Unlock()
			w.note("worker %s: %s %s from %d running %d pieces %d %s", l.Worker, l.Ev, l.ID, l.From, l.Running, l.Pieces, l.Path)
		}
	}()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := append([]string{self, "worker", "--id", id, "--service", service, "--zone", zone, "--address", w.workerAddress(i), "--store", w.net + "1:8742"}, args...)
	p, err := w.start("worker "+id, out, command...)
	_ = out.Close()
	return p, err
}

func (w *world) workerAddress(i int) string { return fmt.Sprintf("%s%d:8640", w.net, 100+i) }

// runsOf returns how many workers ran a request.
func (w *world) runsOf(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.lines {
		if l.Ev == "run" && l.ID == id {
			n++
		}
	}
	return n
}

// workerOf returns the worker that ran a request last.
func (w *world) workerOf(id string) (worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.lines {
		if l.Ev == "run" && l.ID == id {
			worker = l.Worker
		}
	}
	return worker
}

// awaitReady waits until a front says that it is ready.
func (w *world) awaitReady(fronts ...int) error {
	for _, i := range fronts {
		until := time.Now().Add(10 * time.Second)
		for {
			resp, err := http.Get("http://" + w.frontIP(i) + ":8749/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%w: front %d is not ready: %v", errSetUp, i, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// request is one client attempt.
type request struct {
	id, method, path, key, prompt, lastEventID string
	body                                       int
	deadlineMS                                 int
	stream                                     bool
}

// result is what the client got.
type result struct {
	status    int
	signature string
	body      string
	// whole is set if the answer ended as a complete answer of the protocol.
	whole bool
	err   error
	took  time.Duration
	sent  time.Time
	// retryAfter is when the client may come back after a refusal.
	retryAfter time.Duration
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), w.nextID)
}

// send sends a request to a front on a new connection and reads the answer.
func (w *world) send(front int, r request) (out result) {
	out.sent = time.Now()
	defer func() {
		out.took = time.Since(out.sent)
		w.note("client: %s %s to front %d: status %d signature %q bytes %d whole %t err %v after %d ms", r.id, r.path, front, out.status, out.signature, len(out.body), out.whole, out.err, out.took.Milliseconds())
	}()
	c, err := net.DialTimeout("tcp", w.frontIP(front)+":8740", time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Duration(r.deadlineMS)*time.Millisecond + time.Second))
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nAgateway-Attempt-Id: %s\r\nAgateway-Deadline-Ms: %d\r\n", r.method, r.path, r.id, r.deadlineMS)
	if r.key != "" {
		h += "Authorization: Bearer " + r.key + "\r\n"
	}
	if r.stream {
		h += "Agateway-Model: m\r\nAgateway-Token-Usage: 1460,80\r\nAgateway-Prompt-Prefix: " + r.prompt + "\r\n"
	}
	if r.lastEventID != "" {
		h += "Last-Event-Id: " + r.lastEventID + "\r\n"
	}
	if r.method != http.MethodGet {
		h += fmt.Sprintf("Content-Length: %d\r\n", r.body)
	}
	if _, err := io.WriteString(c, h+"\r\n"+strings.Repeat("x", r.body)); err != nil {
		out.err = err
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.signature = resp.StatusCode, resp.Header.Get("Agateway-Response-Signature")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(min(s, float64(r.deadlineMS)/3000) * float64(time.Second))
	}
	raw, err := io.ReadAll(resp.Body)
	out.body, out.err = string(raw), err
	// An answer without a length and without chunks would end with its connection.
	out.whole = err == nil
	return out
}

// whole returns the whole body of the answer to a request.
func whole(id string, stream bool, pieces, pieceBytes, from int) string {
	var b strings.Builder
	for i := from + 1; i <= pieces; i++ {
		b.WriteString(piece(id, stream, i, pieceBytes))
	}
	return b.String()
}

// configuration returns the configuration of the deployment.
func configuration(version int, keys []string, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", "apiKeys": keys, "priority": 1}},
	}
}

func route(name, prefix, kind, service string, resume bool, attempts, timeoutMS int) map[string]any {
	r := map[string]any{
		"name": name, "host": "ficu95.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMS, "targetLatencyMs": 4500, "priority": 1,
		"service": service, "maxAttempts": attempts, "public": false, "stickySessions": kind == "stream",
	}
	if kind == "stream" {
		r["streamResume"], r["targetGapMs"] = resume, 700
	}
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 210, "protocol": "h1", "tls": false}
}

func engineService(name string) map[string]any {
	s := plainService(name)
	s["engine"] = map[string]any{
		"slots": 24, "kvCapacityTokens": 88000, "kvTokenBytes": 163840, "linkMbps": 1100000.0, "moves": false, "backups": false, "stride": 9, "most": 12, "handleS": 4.0,
		"models": []map[string]any{{"name": "m"}},
	}
	return s
}

// key is the key of the first tenant.
const key = "xd9dnn2ctnfzs989anu6"

// setUp writes a configuration and starts workers and one front.
func (w *world) setUp(conf map[string]any, fronts int, zones []string, workers func() error) error {
	w.store.put("config", "main", conf)
	if err := workers(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	ids := make([]int, fronts)
	for i := range ids {
		ids[i] = i
		if _, err := w.startFront(i, zones[i%len(zones)], nil); err != nil {
			return err
		}
	}
	if err := w.awaitReady(ids...); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}

// judge compares an answer with the whole answer of the worker.
func judge(r request, got result, want string) string {
	if got.status/100 == 2 && got.whole && got.body != want {
		return fmt.Sprintf("request %s (%s): status %d, signature %q, ended as a complete answer, but has %d of %d bytes", r.id, r.path, got.status, got.signature, len(got.body), len(want))
	}
	return ""
}

// sendAll sends requests at the same time and returns the results.
func (w *world) sendAll(front int, all []request) []result {
	out := make([]result, len(all))
	var wg sync.WaitGroup
	for i := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = w.send(front, all[i])
		}()
		time.Sleep(7 * time.Millisecond)
	}
	wg.Wait()
	return out
}

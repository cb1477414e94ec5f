package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// zones are those of the site dala-cb.
var zones = []string{"alm-hall-a", "alm-hall-b", "shym-hall"}

// world is a small deployment: a store, workers, and processes of the system.
type world struct {
	store  *store
	fleet  *fleet
	fronts []*front
	dir    string
	began  time.Time

	mu     sync.Mutex
	record *os.File
}

// newWorld starts a store and the processes. The record is written to out.
func newWorld(binary, out string, fronts int, configuration map[string]any) (*world, error) {
	dir, err := os.MkdirTemp("", "agateway-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	w := &world{store: s, fleet: &fleet{}, dir: dir, record: record, began: time.Now()}
	s.put("config", "main", configuration)
	for i := range fronts {
		w.fronts = append(w.fronts, newFront(dir, binary, fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zones[i%len(zones)], s.address))
	}
	return w, nil
}

// start starts all processes and waits until they are ready.
func (w *world) start() error {
	for _, f := range w.fronts {
		if err := f.start(); err != nil {
			return err
		}
	}
	if !awaitReady(10*time.Second, w.fronts...) {
		return fmt.Errorf("the processes are not ready")
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, f := range w.fronts {
		f.kill()
	}
	_ = w.store.server.Close()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// logRuns writes what the workers ran to the record.
func (w *world) logRuns() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, r := range w.fleet.runs {
		w.log("ran at %.3f s: %s %s %s at %s, sent on with %s ms left", r.At.Sub(w.began).Seconds(), r.ID, r.Method, r.Target, r.Worker, r.DeadlineMS)
	}
}

// log writes a line to the record.
func (w *world) log(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, a...))
}

// addWorker starts a worker and registers it. Its entry is renewed until stop is closed.
func (w *world) addWorker(id, service, zone string, slots int, stop chan struct{}, serve func(*workerConn, *http.Request, string) bool) (*worker, error) {
	k, err := newWorker(w.fleet, id, service, zone, slots, serve)
	if err != nil {
		return nil, err
	}
	k.register(w.store, "ready", 1)
	w.log("worker %s of %s at %s starts", id, service, k.address)
	go func() {
		<-stop
		// The entry of a worker that is silent is removed after three heartbeats.
		time.AfterFunc(3600*time.Millisecond, func() { w.store.remove("servers", id) })
	}()
	return k, nil
}

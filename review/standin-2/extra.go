package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case of a request that runs twice, since bytes that belong to no request are taken for its answer.
const (
	extraLength   = 25 * time.Second // of the traffic
	extraEvery    = 34               // each so many answers of the faulty worker are spoiled
	extraWorkTime = 60 * time.Millisecond
	extraDeadline = 3 * time.Second
	extraClients  = 8
	extraPause    = 40 * time.Millisecond // between two requests of a client
)

// extraWindows are the times, from the start of the traffic, between which the faulty worker spoils answers.
var extraWindows = [][2]time.Duration{{5 * time.Second, 10 * time.Second}, {15 * time.Second, 20 * time.Second}}

// strayRefusal is what a worker sends that turns a request away, as the examples of the wire show it.
const strayRefusal = "HTTP/1.1 503 Service Unavailable\r\nAgateway-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// extraCase reports whether the rule was kept.
func extraCase(w *world, trouble bool) (kept bool, err error) {
	var mu sync.Mutex
	var began time.Time
	count := 0
	spoils := func() bool {
		mu.Lock()
		defer mu.Unlock()
		for _, window := range extraWindows {
			if at := time.Since(began); trouble && !began.IsZero() && at >= window[0] && at < window[1] {
				count++
				return count%extraEvery == 0
			}
		}
		return false
	}
	serve := func(faulty bool) func(*workerConn, *http.Request, string) bool {
		return func(c *workerConn, r *http.Request, body string) bool {
			run := c.begin(r, body)
			if c.late != "" { // the additional bytes after the answer before come late
				w.log("worker %s sends %d additional bytes on connection %s", c.worker.id, len(c.late), c.RemoteAddr())
				if !c.send(c.late) {
					return false
				}
				c.late = ""
			}
			time.Sleep(extraWorkTime)
			if faulty && spoils() {
				c.late = strayRefusal
			}
			return c.send(run.whole())
		}
	}
	for i, z := range zones {
		if _, err := w.addWorker(fmt.Sprintf("i-app-%d", i), "queue-app", z, 6, make(chan struct{}), serve(i == 0)); err != nil {
			return false, err
		}
	}
	if err := w.start(); err != nil {
		return false, err
	}
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	answers := map[string]answer{}
	var wg sync.WaitGroup
	for i := range extraClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f := w.fronts[i%len(w.fronts)]
			for n := 0; time.Since(began) < extraLength; n++ {
				id := nextID()
				target := fmt.Sprintf("/poll/%x/%x", i, n)
				a := askWith(f, http.MethodPost, target, id, tenants[0].key, extraDeadline, "", "poll "+id)
				w.log("%s POST %s at %s: %d %q, %v", id, target, f.name, a.Status, strings.TrimSpace(a.Body), a.Err)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(extraPause)
			}
		}()
	}
	wg.Wait()
	kept = true
	for id, runs := range w.fleet.byID() {
		if len(runs) < 2 {
			continue
		}
		kept = false
		w.log("BROKEN TWICE: request %s, which is not idempotent, ran %d times; its client got %d", id, len(runs), answers[id].Status)
		for _, r := range runs {
			w.log("    ran at %s, %v after the first", r.Worker, r.At.Sub(runs[0].At).Round(100*time.Microsecond))
		}
	}
	w.log("%d requests", len(answers))
	return kept, nil
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case of a poll that is refused for minutes since the workers that had it crashed.
const (
	pollsCalm   = 5 * time.Second  // before the disruption
	pollsLength = 75 * time.Second // of the traffic
	pollsEvery  = 40 * time.Millisecond
	workTime    = 60 * time.Millisecond
	silence     = 1200 * time.Millisecond
	crashGap    = 450 * time.Millisecond
	downTime    = 4500 * time.Millisecond
)

// poll is a request of a client and its last answer.
type poll struct {
	tenant        string
	sentAt        time.Duration
	status, tries int
	served        bool
}

// pollsCase reports whether the rule was kept.
func pollsCase(w *world, trouble bool) (kept bool, err error) {
	var silentUntil time.Time
	var mu sync.Mutex
	serve := func(c *workerConn, r *http.Request, body string) bool {
		mu.Lock()
		until := silentUntil
		mu.Unlock()
		run := c.begin(r, body)
		time.Sleep(workTime)
		if left := time.Until(until); left > 0 {
			time.Sleep(left)
		}
		return c.send(run.whole())
	}
	stops := make([]chan struct{}, len(zones))
	workers := make([]*worker, len(zones))
	for i, z := range zones {
		stops[i] = make(chan struct{})
		if workers[i], err = w.addWorker(fmt.Sprintf("i-app-%d", i), "queue-app", z, 6, stops[i], serve); err != nil {
			return false, err
		}
	}
	for i := range 4 * len(zones) { // engines of the other service, which go on working
		if _, err = w.addWorker(fmt.Sprintf("i-llm-%d", i), "brief-llm", zones[i%len(zones)], 24, make(chan struct{}), serve); err != nil {
			return false, err
		}
	}
	if err := w.start(); err != nil {
		return false, err
	}
	began := time.Now()
	if trouble {
		time.AfterFunc(pollsCalm, func() {
			mu.Lock()
			silentUntil = time.Now().Add(silence)
			mu.Unlock()
			w.log("all workers of queue-app fall silent for %v", silence)
		})
		for i := range workers {
			at := pollsCalm + 200*time.Millisecond + time.Duration(i)*crashGap
			time.AfterFunc(at, func() {
				close(stops[i])
				workers[i].crash()
				w.log("worker %s crashes, for %v", workers[i].id, downTime)
			})
			time.AfterFunc(at+downTime, func() {
				if _, err := w.addWorker(fmt.Sprintf("i-app-%d", i+len(zones)), "queue-app", zones[i], 6, make(chan struct{}), serve); err != nil {
					w.log("a worker can't start: %v", err)
				}
			})
		}
	}
	var polls []*poll
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < pollsLength; n++ {
		for t, tenant := range tenants {
			// The widgets of desk-a poll the status under one path; the requests of desk-b differ.
			target := "/ping/status"
			if t > 0 {
				target = fmt.Sprintf("/ping/%x", n)
			}
			p := &poll{tenant: tenant.name, sentAt: time.Since(began)}
			polls = append(polls, p)
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.send(w, w.fronts[n%len(w.fronts)], tenant.key, target)
			}()
		}
		time.Sleep(pollsEvery)
	}
	wg.Wait()
	return judgePolls(w, polls), nil
}

// send sends a poll, and once more if it is refused as not run, as the pages say of clients.
func (p *poll) send(w *world, f *front, key, target string) {
	const deadline = 3 * time.Second
	began := time.Now()
	for p.tries = 1; ; p.tries++ {
		left := deadline - time.Since(began)
		id := nextID()
		a := ask(f, http.MethodGet, target, id, key, left)
		p.status, p.served = a.Status, a.Err == nil && a.Status == http.StatusOK && a.Signature != ""
		w.log("%s GET %s by %s at %s: %d %q, Retry-After %q, %v", id, target, p.tenant, f.name, a.Status, a.Body, a.RetryAfter, a.Err)
		if p.served || p.tries > 1 {
			return
		}
		time.Sleep(a.retryAfter(deadline - time.Since(began)))
		if deadline-time.Since(began) < 100*time.Millisecond {
			return
		}
	}
}

func judgePolls(w *world, polls []*poll) bool {
	counts := map[string]*served{"all": {}}
	for _, p := range polls {
		count(counts, p.tenant, p.served)
	}
	return judgeStarved(w, counts)
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case of sound workers that get no requests any more, since bytes that belong to no request are taken for the
// answer of another worker at the same address.
const (
	goneLength     = 100 * time.Second // of the traffic
	goneEvery      = 34                // each so many answers of the faulty worker are spoiled
	goneWindow     = 5 * time.Second   // for which a worker is faulty
	goneGap        = 6 * time.Second   // between the starts of two windows
	goneCalm       = 2 * time.Second   // before the first one
	gonePollsEvery = 40 * time.Millisecond
	streamsPerPoll = 2
)

// strayMisdirected is what a worker sends that is not the one which the request names.
const strayMisdirected = "HTTP/1.1 421 Misdirected Request\r\nAgateway-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

var briefKind = streamKind{"claim-question", "/brief/q/", 300, 10}

// spoiler decides which answers of the workers are spoiled: one worker after the other is faulty for a time.
type spoiler struct {
	mu    sync.Mutex
	began time.Time
	count map[int]int
}

func (s *spoiler) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = time.Now()
}

func (s *spoiler) spoils(worker int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		return false
	}
	since := time.Since(s.began) - goneCalm - time.Duration(worker)*goneGap
	if since < 0 || since >= goneWindow {
		return false
	}
	s.count[worker]++
	return s.count[worker]%goneEvery == 0
}

// goneCase reports whether the rule was kept.
func goneCase(w *world, trouble bool) (kept bool, err error) {
	s := &spoiler{count: map[int]int{}}
	for i, z := range zones {
		_, err := w.addWorker(fmt.Sprintf("i-app-%d", i), "queue-app", z, 6, make(chan struct{}), func(c *workerConn, r *http.Request, body string) bool {
			run := c.begin(r, body)
			if c.late != "" {
				w.log("worker %s sends %d additional bytes on connection %s", c.worker.id, len(c.late), c.RemoteAddr())
				if !c.send(c.late) {
					return false
				}
				c.late = ""
			}
			time.Sleep(workTime)
			if trouble && s.spoils(i) {
				c.late = strayMisdirected
			}
			return c.send(run.whole())
		})
		if err != nil {
			return false, err
		}
	}
	if err := addEngines(w); err != nil {
		return false, err
	}
	if err := w.start(); err != nil {
		return false, err
	}
	s.start()
	began := time.Now()
	var polls []*poll
	var streams []*stream
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < goneLength; n++ {
		f := w.fronts[n%len(w.fronts)]
		p := &poll{tenant: "status-poll"}
		polls = append(polls, p)
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.send(w, f, tenants[0].key, fmt.Sprintf("/ping/%x", n))
		}()
		for i := range streamsPerPoll {
			b := &stream{kind: briefKind}
			streams = append(streams, b)
			wg.Add(1)
			go func() {
				defer wg.Done()
				b.send(w, f, n*streamsPerPoll+i)
			}()
		}
		time.Sleep(gonePollsEvery)
	}
	wg.Wait()
	counts := map[string]*served{"all": {}}
	for _, p := range polls {
		count(counts, p.tenant, p.served)
	}
	for _, b := range streams {
		count(counts, b.kind.name, b.served)
	}
	w.logLastRuns("i-app-")
	return judgeStarved(w, counts), nil
}

// logLastRuns writes to the record when the workers whose ids begin so were last sent a request.
func (w *world) logLastRuns(prefix string) {
	last := map[string]time.Time{}
	w.fleet.mu.Lock()
	for _, r := range w.fleet.runs {
		if strings.HasPrefix(r.Worker, prefix) {
			last[r.Worker] = r.At
		}
	}
	w.fleet.mu.Unlock()
	for id, at := range last {
		w.log("the last request at worker %s came at %.3f s", id, at.Sub(w.began).Seconds())
	}
}

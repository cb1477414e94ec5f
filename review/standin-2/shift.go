package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case of long prompts that are refused for good after the traffic has shifted to short ones for a while. The
// figures of the engines are those of the site lakeshore-gx.
const (
	shiftCalm      = 8 * time.Second // before the disruption
	shiftTime      = 10 * time.Second
	shiftRate      = 2.5
	shiftLength    = 90 * time.Second // of the traffic
	longRate       = 0.25
	longLength     = 35 * time.Second
	streamDeadline = 25 * time.Second
	// streamsEvery is the time between two streams of the usual traffic, and lookupsPerStream how many lookups come
	// with each.
	streamsEvery       = 320 * time.Millisecond
	lookupsPerStream   = 2
	engines            = 8
	lookupTime         = 15 * time.Millisecond
	prefillTokensPerMS = 8
	firstTokenTime     = 60 * time.Millisecond
	stepTime           = 3030 * time.Microsecond
	tokensPerEvent     = 9
)

// streamKind is a kind of request.
type streamKind struct {
	name, path     string
	prompt, events int
}

var (
	longPrompt = streamKind{"damage-claim-summary", "/brief/", 8200, 130}
	// veryLongPrompt takes 3.75 s to prefill, so its first event can come within the target latency of 4.5 s.
	veryLongPrompt = streamKind{"claim-archive-summary", "/brief/a/", 30000, 130}
	shortPrompt    = streamKind{"claim-question", "/brief/q/", 100, 130}
)

// engine is the state of a model worker.
type engine struct {
	prefill sync.Mutex // prompts are prefilled one after the other
	mu      sync.Mutex
	runs    map[string]int // events by request
}

// serve answers a stream as a sound engine does.
func (e *engine) serve(c *workerConn, r *http.Request, body string) bool {
	run := c.begin(r, body)
	usage := strings.Split(r.Header.Get("Agateway-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(usage[0])
	output := 0
	if len(usage) > 1 {
		output, _ = strconv.Atoi(usage[1])
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.prefill.Lock()
	time.Sleep(time.Duration(prompt) * time.Millisecond / prefillTokensPerMS)
	e.prefill.Unlock()
	time.Sleep(firstTokenTime)
	defer func() {
		e.mu.Lock()
		delete(e.runs, run.ID)
		e.mu.Unlock()
	}()
	head := strings.Replace(run.head(), "text/plain", "text/event-stream", 1) + "Transfer-Encoding: chunked\r\n\r\n"
	for i := from + 1; i <= output/tokensPerEvent; i++ {
		time.Sleep(tokensPerEvent * stepTime)
		e.mu.Lock()
		e.runs[run.ID] = i
		e.mu.Unlock()
		event := streamEvent(run.ID, i)
		if !c.send(head + fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
		head = ""
	}
	return c.send("0\r\n\r\n")
}

// report returns the running requests for the state of the worker.
func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for id, events := range e.runs {
		out = append(out, fmt.Sprintf(`["%s",%d,%d,5]`, id, longPrompt.prompt, events))
	}
	return strings.Join(out, ",")
}

func streamEvent(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i) }

// stream is a request of a client and its last answer.
type stream struct {
	kind   streamKind
	served bool
}

// addEngines adds model workers with the figures of the site lakeshore-gx.
func addEngines(w *world) error {
	for i := range engines {
		e := &engine{runs: map[string]int{}}
		k, err := w.addWorker(fmt.Sprintf("i-llm-%d", i), "brief-llm", zones[i%len(zones)], 64, make(chan struct{}), e.serve)
		if err != nil {
			return err
		}
		k.report = e.report
	}
	return nil
}

// addLakeshoreWorkers adds the workers of a small deployment with the figures of the site lakeshore-gx.
func addLakeshoreWorkers(w *world) error {
	if err := addEngines(w); err != nil {
		return err
	}
	for i, z := range zones {
		_, err := w.addWorker(fmt.Sprintf("i-app-%d", i), "queue-app", z, 6, make(chan struct{}), func(c *workerConn, r *http.Request, body string) bool {
			run := c.begin(r, body)
			time.Sleep(lookupTime)
			return c.send(run.whole())
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func lookupPath(n, i int) string { return fmt.Sprintf("/ping/%x/%d", n, i) }

// trafficShift is a time in which all streams are of another kind than usual.
type trafficShift struct {
	kind streamKind
	// rate is the rate of streams as a multiple of the usual one.
	rate   float64
	length time.Duration // of the whole traffic
}

// shiftCase reports whether the rule was kept.
func shiftCase(w *world, trouble bool) (kept bool, err error) {
	return playShift(w, trouble, trafficShift{shortPrompt, shiftRate, shiftLength})
}

// longCase reports whether the rule was kept.
func longCase(w *world, trouble bool) (kept bool, err error) {
	return playShift(w, trouble, trafficShift{veryLongPrompt, longRate, longLength})
}

// playShift reports whether the rule was kept while the traffic shifts and after.
func playShift(w *world, trouble bool, shift trafficShift) (kept bool, err error) {
	if err := addLakeshoreWorkers(w); err != nil {
		return false, err
	}
	if err := w.start(); err != nil {
		return false, err
	}
	began := time.Now()
	var streams []*stream
	var lookups []*poll
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < shift.length; n++ {
		f, kind, wait := w.fronts[n%len(w.fronts)], longPrompt, streamsEvery
		if at := time.Since(began); trouble && at >= shiftCalm && at < shiftCalm+shiftTime {
			kind, wait = shift.kind, time.Duration(float64(streamsEvery)/shift.rate)
		}
		s := &stream{kind: kind}
		streams = append(streams, s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.send(w, f, n)
		}()
		for i := range lookupsPerStream {
			p := &poll{tenant: "stock-lookup"}
			lookups = append(lookups, p)
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.send(w, f, tenants[0].key, lookupPath(n, i))
			}()
		}
		time.Sleep(wait)
	}
	wg.Wait()
	counts := map[string]*served{"all": {}}
	for _, s := range streams {
		count(counts, s.kind.name, s.served)
	}
	for _, p := range lookups {
		count(counts, p.tenant, p.served)
	}
	return judgeStarved(w, counts), nil
}

// send sends a stream, and once more if it is refused as not run, as the pages say of clients.
func (s *stream) send(w *world, f *front, n int) {
	began := time.Now()
	for tries := 1; tries <= 2; tries++ {
		left := streamDeadline - time.Since(began)
		id := nextID()
		framing := fmt.Sprintf("Agateway-Model: m\r\nAgateway-Token-Usage: %d,%d\r\nAgateway-Prompt-Prefix: %x:%d\r\n", s.kind.prompt, s.kind.events*tokensPerEvent, 0x5c1e07a2000000+n, s.kind.prompt)
		a := askWith(f, http.MethodPost, fmt.Sprintf("%s%x", s.kind.path, n), id, tenants[0].key, left, framing, s.kind.name)
		want := ""
		for i := 1; i <= s.kind.events; i++ {
			want += streamEvent(id, i)
		}
		s.served = a.Err == nil && a.Status == http.StatusOK && a.Signature != "" && a.Body == want
		body := a.Body
		if a.Status == http.StatusOK {
			body = fmt.Sprintf("%d bytes, whole: %v", len(body), s.served)
		}
		w.log("%s %s at %s: %d %q after %.3f s, Retry-After %q, %v", id, s.kind.name, f.name, a.Status, body, time.Since(began).Seconds(), a.RetryAfter, a.Err)
		if s.served {
			return
		}
		time.Sleep(a.retryAfter(streamDeadline - time.Since(began)))
	}
}

// served counts requests.
type served struct{ served, all int }

func (s *served) add(ok bool) {
	s.all++
	if ok {
		s.served++
	}
}

// count counts a request for whoever it belongs to, and for all.
func count(counts map[string]*served, whose string, ok bool) {
	if counts[whose] == nil {
		counts[whose] = &served{}
	}
	counts[whose].add(ok)
	counts["all"].add(ok)
}

func (s *served) share() float64 { return float64(s.served) / float64(max(s.all, 1)) }

// judgeStarved checks the rule Starved: whoever is served less than a quarter as often as all requests.
func judgeStarved(w *world, counts map[string]*served) bool {
	kept := true
	for name, s := range counts {
		w.log("served of %s: %d of %d", name, s.served, s.all)
		if s.share() < counts["all"].share()/4 {
			w.log("BROKEN Starved: requests of %s are served less than a quarter as often as all", name)
			kept = false
		}
	}
	return kept
}

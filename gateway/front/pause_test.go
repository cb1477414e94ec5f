package front_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// Bounds of what an instance may send to an endpoint that refused one of its requests and asked for a
// pause: pauseSlack requests between pauseNotice after the refusal and the end of the pause.
const (
	pauseNotice = 500 * time.Millisecond
	pauseSlack  = 2
)

// mostInPause returns the largest number of requests that an instance sent to a worker within a pause of
// the given length that the worker had asked it for.
func mostInPause(e *standin.Worker, pause time.Duration) int {
	most := 0
	arrivals := e.Arrivals()
	for _, refusal := range e.PauseRequests() {
		from, _, _ := net.SplitHostPort(refusal.From)
		n := 0
		for _, a := range arrivals {
			host, _, _ := net.SplitHostPort(a.From)
			if after := a.At.Sub(refusal.At); host == from && after >= pauseNotice && after < pause {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// pauseEndpoints makes workers refuse all requests and ask for a pause, for some time.
func (w *world) pauseEndpoints(all []*standin.Worker, value string, d time.Duration) {
	for _, e := range all {
		e.SetRetryAfter(value)
		e.SetFault(standin.WorkerFault{RefuseAll: true})
	}
	time.AfterFunc(d, func() {
		for _, e := range all {
			e.SetRetryAfter("")
			e.SetFault(standin.WorkerFault{})
		}
	})
}

// TestPausesAreKept guards against requests to an endpoint that refused one and asked to be left alone
// for some seconds, while the others of its service have room for its requests.
func TestPausesAreKept(t *testing.T) {
	for name, c := range map[string]struct {
		value  string
		pause  time.Duration
		paused int
		pick   func(i int) int
	}{
		"one of three":                 {"3", 3 * time.Second, 1, func(i int) int { return i % 6 }},
		"two of three":                 {"2", 2 * time.Second, 2, func(i int) int { return i % 6 }},
		"most callers at one instance": {"3", 3 * time.Second, 1, func(i int) int { return max(i%6-4, 0) }},
		"again and again":              {"1", time.Second, 1, func(i int) int { return i % 6 }},
		"a long time":                  {"3600", time.Hour, 1, func(i int) int { return i % 6 }},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 1, 3, func(w *world) {
				w.load(90, time.Second, pingRequest, c.pick)
				w.pauseEndpoints(w.plains[:c.paused], c.value, 7*time.Second)
				o := w.load(90, 15*time.Second, pingRequest, c.pick)
				for _, e := range w.plains[:c.paused] {
					got := mostInPause(e, c.pause)
					assert.Check(t, got <= pauseSlack, "%d requests of one instance in a pause of %v", got, c.pause)
				}
				assert.Equal(t, o.served.Load(), o.sent.Load())
			})
		})
	}
}

// TestPausedService: where all endpoints of a service asked for a pause, callers are refused at once and
// told to come back when it is over. Afterwards their return does not fill the endpoints at one moment.
func TestPausedService(t *testing.T) {
	for name, c := range map[string]struct {
		request func(w *world) standin.Request
		workers func(w *world) []*standin.Worker
		rate    float64
	}{
		"plain":   {func(*world) standin.Request { return pingRequest() }, func(w *world) []*standin.Worker { return w.plains }, 60},
		"engines": {func(w *world) standin.Request { return briefRequest(w.newRequestID()) }, func(w *world) []*standin.Worker { return w.engines }, 12},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 3, 3, func(w *world) {
				pick := func(i int) int { return i % 6 }
				const pause = 8 * time.Second
				w.pauseEndpoints(c.workers(w), "8", 7900*time.Millisecond)
				began := time.Now()
				w.load(c.rate, 1500*time.Millisecond, func() standin.Request { return c.request(w) }, pick) // all instances are told
				o := w.load(c.rate, time.Second, func() standin.Request { return c.request(w) }, pick)
				assert.Equal(t, o.refused.Load(), o.sent.Load())
				assert.Check(t, o.slowest <= 50*time.Millisecond, "refused after %v", o.slowest)
				assert.Check(t, o.soonest > time.Until(began.Add(pause)).Seconds()-0.1, "come back in %v s", o.soonest)
				for _, e := range c.workers(w) {
					assert.Check(t, mostInPause(e, pause) <= pauseSlack, "%d requests in the pause", mostInPause(e, pause))
				}
				time.Sleep(time.Until(began.Add(pause + 3*time.Second)))
				o = w.load(c.rate/3, 2*time.Second, func() standin.Request { return c.request(w) }, pick)
				assert.Equal(t, o.served.Load(), o.sent.Load())
			})
		})
	}
}

// TestPausedEngines: streams that run at an engine that asked for a pause go on there. Nothing else
// reaches it: no new or resumed streams, probes, searches or orders to copy memory.
func TestPausedEngines(t *testing.T) {
	run(t, 6, 8, 1, func(w *world) {
		paused := w.engines[:3]
		time.AfterFunc(4*time.Second, func() { w.pauseEndpoints(paused, "5", 2*time.Second) })
		time.AfterFunc(6*time.Second, func() { w.crashEngine(w.engines[5].Config().ID) })
		o := w.load(5, 10*time.Second, func() standin.Request { return briefRequest(w.newRequestID()) }, func(i int) int { return i % 6 })
		asked := 0
		for _, e := range paused {
			got := mostInPause(e, 5*time.Second)
			assert.Check(t, got <= pauseSlack, "%d requests of one instance in a pause", got)
			asked += len(e.PauseRequests())
		}
		assert.Check(t, asked > 0)
		assert.Equal(t, o.served.Load(), o.sent.Load())
	})
}

package front_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

const (
	// enginePause is how long paused engines do nothing, pauseInterval the time from the end of a pause
	// to the next one.
	enginePause   = 1200 * time.Millisecond
	pauseInterval = 6 * time.Second
	// pauseMargin is what a pause at a caller may be longer than that of its engine.
	pauseMargin = 500 * time.Millisecond
	// longTimeout is the timeout of streams that last for several pauses, longInterval the time between
	// two of their events.
	longTimeout  = 50 * time.Second
	longInterval = 100 * time.Millisecond
	// startTime is the time in which the callers' streams begin.
	startTime = 3 * time.Second
	// loggedStreams is how many broken streams are logged.
	loggedStreams = 3
)

// pausedWorld is a world whose engines stream answers that last for several pauses.
type pausedWorld struct {
	*world
	events  int
	streams []*callerStream
}

// callerStream is a stream as its caller sees it.
type callerStream struct {
	id, prompt string
	instance   int
	began      time.Time
	done       chan struct{}
	answer     standin.Answer
	err        error
}

// pausedCase describes a world of paused engines.
type pausedCase struct {
	instances, engines, events int
	// noCopies is set when engines neither keep copies up to date nor copy on request.
	noCopies bool
	prepare  func(*world)
}

// runPaused creates a world and runs f in it.
func runPaused(t *testing.T, c pausedCase, f func(*pausedWorld)) {
	runWith(t, c.instances, 0, 0, func(w *world) {
		for i := range w.config.Routes[:2] {
			w.config.Routes[i].Timeout = longTimeout
		}
		e := w.config.Services[0].Engine
		e.ContinuousCopies, e.CopiesOnRequest = !c.noCopies, !c.noCopies
		if c.prepare != nil {
			c.prepare(w)
		}
	}, func(w *world) {
		for i := range c.engines {
			w.engines = append(w.engines, w.newWorker(fmt.Sprint("e", i), "", standin.WorkerConfig{
				Service: "engines", Address: fmt.Sprintf("10.1.0.%d:80", i+1), DataCentre: dc(i), Slots: endpointSlots, PrefillTokensPerMS: 8, EventInterval: longInterval, Events: c.events,
			}))
		}
		time.Sleep(3 * time.Second)
		f(&pausedWorld{world: w, events: c.events})
	})
}

// start begins n streams, evenly at the first instances of the world, and returns when they have
// events. Their callers come back when they are refused. Streams that no engine takes in time are left
// out; there may be some where the others fill the engines.
func (w *pausedWorld) start(n, instances int) {
	var started []*callerStream
	for i := range n {
		s := &callerStream{prompt: fmt.Sprintf("%x", 0x100+len(w.streams)+i), instance: i % instances, done: make(chan struct{})}
		started = append(started, s)
		go w.call(s)
		time.Sleep(startTime / 3 / time.Duration(n))
	}
	time.Sleep(startTime * 2 / 3)
	runs := w.runsByID()
	for _, s := range started {
		if len(runs[s.id]) > 0 {
			w.streams = append(w.streams, s)
		}
	}
	assert.Assert(w.t, len(w.streams) >= n*3/4, "%d of %d streams run", len(w.streams), n)
}

// call sends the request of a stream until it is taken, and waits for the answer.
func (w *pausedWorld) call(s *callerStream) {
	defer close(s.done)
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		r := briefRequest(s.prompt)
		r.ID, r.Timeout = w.newRequestID(), longTimeout
		s.id, s.began = r.ID, time.Now()
		s.answer, s.err = w.send(s.instance, r)
		if s.err != nil || s.answer.Status != http.StatusServiceUnavailable || time.Since(began) > startTime/2 {
			return
		}
	}
}

// engineRun is a run of a stream at an engine.
type engineRun struct {
	standin.Run
	engine *standin.Worker
}

// runsByID returns all runs of streams at engines, by request ID.
func (w *pausedWorld) runsByID() map[string][]engineRun {
	out := map[string][]engineRun{}
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			out[r.ID] = append(out[r.ID], engineRun{r, e})
		}
	}
	return out
}

// pause pauses a share of the engines, drawn with the seed.
func (w *pausedWorld) pause(share float64, d time.Duration, seed uint64) {
	order := rand.New(rand.NewPCG(seed, 0)).Perm(len(w.engines))
	for _, i := range order[:int(share*float64(len(order))+0.5)] {
		w.engines[i].Pause(d)
	}
}

// pauseRepeatedly pauses a share of the engines several times.
func (w *pausedWorld) pauseRepeatedly(times int, share float64) {
	for i := range times {
		w.pause(share, enginePause, uint64(i))
		time.Sleep(enginePause + pauseInterval)
	}
}

// await waits for the ends of all streams.
func (w *pausedWorld) await() {
	var open sync.WaitGroup
	for _, s := range w.streams {
		open.Go(func() { <-s.done })
	}
	open.Wait()
}

// assertAllWhole checks that all streams have each event once and in order, with no gap of more than
// maxGap.
func (w *pausedWorld) assertAllWhole(maxGap time.Duration) {
	w.t.Helper()
	w.await()
	broken, slow := 0, 0
	var longest time.Duration
	for _, s := range w.streams {
		if problem := s.problem(w.events); problem != "" {
			broken++
			if broken <= loggedStreams {
				w.t.Logf("stream %s: %s", s.id, problem)
			}
		}
		gap := s.answer.LongestGap()
		longest = max(longest, gap)
		if gap > maxGap {
			slow++
		}
	}
	assert.Check(w.t, broken == 0, "%d of %d streams are not whole", broken, len(w.streams))
	assert.Check(w.t, slow == 0, "%d of %d streams pause for more than %v, up to %v", slow, len(w.streams), maxGap, longest)
}

// problem returns what is wrong with the answer; empty if it is whole.
func (s *callerStream) problem(events int) string {
	a := &s.answer
	switch {
	case s.err != nil:
		return s.err.Error()
	case a.Status != http.StatusOK:
		return fmt.Sprintf("status %d, %s", a.Status, strings.TrimSpace(a.Body))
	case !a.Complete || len(a.Events) != events:
		return fmt.Sprintf("broken off after %d events of %d", len(a.Events), events)
	}
	for i, e := range a.Events {
		if e.ID != i+1 || e.Data != fmt.Sprintf("%s %d", s.prompt, i+1) {
			return fmt.Sprintf("event %d in place of %d: %s", e.ID, i+1, e.Data)
		}
	}
	return ""
}

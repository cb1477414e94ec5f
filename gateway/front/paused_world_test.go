package front_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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
	begun   int // number of streams that were begun
	streams []*callerStream
	drains  sync.WaitGroup
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
	// interval is the time between two events; 0 for longInterval.
	interval time.Duration
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
		if c.interval == 0 {
			c.interval = longInterval
		}
		for i := range c.engines {
			w.engines = append(w.engines, w.newWorker(fmt.Sprint("e", i), "", standin.WorkerConfig{
				Service: "engines", Address: fmt.Sprintf("10.1.0.%d:80", i+1), DataCentre: dc(i), Slots: endpointSlots, PrefillTokensPerMS: 8, EventInterval: c.interval, Events: c.events,
			}))
		}
		time.Sleep(3 * time.Second)
		f(&pausedWorld{world: w, events: c.events})
	})
}

// start begins n streams, evenly at the first instances of the world, and returns when they have
// events. Streams that no engine takes in time are left out; there may be some where the others fill
// the engines.
func (w *pausedWorld) start(n, instances int) {
	w.begin(n, instances, startTime/3)
	time.Sleep(startTime * 2 / 3)
	w.keepRunning(n * 3 / 4)
}

// keepRunning leaves out the streams that no engine has taken. At least the given number must be left.
func (w *pausedWorld) keepRunning(atLeast int) {
	runs := w.runsByID()
	w.streams = slices.DeleteFunc(w.streams, func(s *callerStream) bool { return len(runs[s.id]) == 0 })
	assert.Assert(w.t, len(w.streams) >= atLeast, "%d streams of at least %d run", len(w.streams), atLeast)
}

// begin begins n streams within a time. Their callers come back when they are refused.
func (w *pausedWorld) begin(n, instances int, within time.Duration) {
	for i := range n {
		s := &callerStream{prompt: fmt.Sprintf("%x", 0x100+w.begun), instance: i % instances, done: make(chan struct{})}
		w.begun++
		w.streams = append(w.streams, s)
		go w.call(s)
		time.Sleep(within / time.Duration(n))
	}
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

// busiest returns the engine that runs the most streams.
func (w *pausedWorld) busiest() *standin.Worker {
	return slices.MaxFunc(w.engines, func(a, b *standin.Worker) int { return len(w.streamsAt(a)) - len(w.streamsAt(b)) })
}

// streamsAt returns the streams that an engine runs now.
func (w *pausedWorld) streamsAt(e *standin.Worker) []*callerStream {
	open := map[string]bool{}
	for _, r := range e.Runs() {
		if r.EndedAt.IsZero() {
			open[r.ID] = true
		}
	}
	var out []*callerStream
	for _, s := range w.streams {
		if open[s.id] {
			out = append(out, s)
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

// withCopies returns the IDs of the streams at an engine that have named the place of a copy.
func (w *pausedWorld) withCopies(e *standin.Worker) map[string]bool {
	out := map[string]bool{}
	for _, r := range e.Runs() {
		if r.EndedAt.IsZero() && r.CopyTo != "" {
			out[r.ID] = true
		}
	}
	return out
}

// prefills returns how many runs of the callers' streams have prefilled a prompt.
func (w *pausedWorld) prefills() int {
	n := 0
	runs := w.runsByID()
	for _, s := range w.streams {
		for _, r := range runs[s.id] {
			if r.Read > 0 {
				n++
			}
		}
	}
	return n
}

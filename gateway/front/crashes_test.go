package front_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// fatalBody is the body of a request that crashes each worker that begins to run it.
const fatalBody = "ends whoever runs it"

// crashWorld is a world in which some requests are fatal, and records the crashes. A crashed worker
// restarts under another id after restartDelay, and its old entry stays listed for unlistDelay.
type crashWorld struct {
	*world
	mu         sync.Mutex
	crashTimes []time.Time
	workers    map[string]*standin.Worker // all incarnations, by id
	latest     map[string]*standin.Worker // the incarnation started last, by address
	crashCount int
	closed     bool
	// silent makes workers fall silent instead of closing their connections.
	silent bool
	down   map[int]bool
	// unframed makes workers that restart answer without a length and without chunks. spared makes fatal
	// requests close their connection only.
	unframed, spared bool
}

// Times of a crashing worker, and the time within which all instances have to detect a fatal
// request.
const (
	crashDelay         = 60 * time.Millisecond
	restartDelay       = 5 * time.Second
	unlistDelay        = 3 * time.Second
	detectionTime      = 3 * time.Second
	detectionTimeLarge = 5 * time.Second
)

// withFatalRequests runs f while some requests are fatal.
func (w *world) withFatalRequests(fatal standin.FatalRequest, f func(*crashWorld)) {
	o := &crashWorld{world: w, workers: map[string]*standin.Worker{}, latest: map[string]*standin.Worker{}, down: map[int]bool{}}
	for _, list := range [][]*standin.Worker{w.engines, w.plains} {
		for _, e := range list {
			o.workers[e.Config().ID], o.latest[e.Config().Address] = e, e
		}
	}
	if fatal.Matches == nil {
		fatal.Matches = func(r *standin.Run) bool { return r.Body == fatalBody }
	}
	fatal.Delay, fatal.Terminate = crashDelay, o.crashWorker
	w.fleet.SetFatalRequest(&fatal)
	defer o.close()
	f(o)
}

// close keeps crashed workers from restarting, since the world is about to be torn down.
func (o *crashWorld) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

// crashWorker ends a worker as a crash of its process does, and schedules its restart.
func (o *crashWorld) crashWorker(worker *standin.Worker) {
	cfg := worker.Config()
	o.mu.Lock()
	if o.spared {
		o.mu.Unlock()
		return
	}
	o.crashTimes = append(o.crashTimes, time.Now())
	o.crashCount++
	number := o.crashCount
	o.down[number] = true
	o.mu.Unlock()
	o.fleet.Remove(worker)
	o.disconnect(o.nodeOf(cfg.Address), number)
	time.AfterFunc(unlistDelay, func() { o.store.Remove(platform.KindEndpoint, cfg.ID) })
	time.AfterFunc(restartDelay, func() { o.restartWorker(cfg, number) })
}

// spareWorkers lets workers outlive fatal requests, which close their connection.
func (o *crashWorld) spareWorkers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spared = true
}

// disconnect closes the connections of a worker's node, or makes them silent.
func (o *crashWorld) disconnect(node string, number int) {
	if !o.silent {
		go o.net.Crash(node)
		return
	}
	o.net.AddCut(func(a, b string) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return (a == node || b == node) && o.down[number]
	})
}

// restartWorker starts a new worker at the address of one that crashed.
func (o *crashWorld) restartWorker(cfg standin.WorkerConfig, number int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	delete(o.down, number)
	if o.silent {
		o.net.Crash(o.nodeOf(cfg.Address)) // ends its old connections and listener
	}
	next := o.newWorker(o.nodeOf(cfg.Address), fmt.Sprint("-", number), cfg)
	next.SetFault(standin.WorkerFault{Unframed: o.unframed})
	o.workers[next.Config().ID], o.latest[cfg.Address] = next, next
}

// nodeOf returns the node of the worker with an address.
func (o *crashWorld) nodeOf(address string) string {
	for i, e := range o.engines {
		if e.Config().Address == address {
			return fmt.Sprint("e", i)
		}
	}
	for i, p := range o.plains {
		if p.Config().Address == address {
			return fmt.Sprint("p", i)
		}
	}
	o.t.Fatalf("no worker at %s", address)
	return ""
}

// fatalSendTimes returns the times at which fatal requests arrived at workers, sorted.
func (o *crashWorld) fatalSendTimes() []time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []time.Time
	for _, w := range o.workers {
		for _, r := range w.Runs() {
			if r.Body == fatalBody {
				out = append(out, r.At)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

func (o *crashWorld) crashes() []time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.crashTimes)
}

// sendsAfterThirdCrash returns how many fatal requests arrived at workers more than delay after the
// third crash.
func (o *crashWorld) sendsAfterThirdCrash(delay time.Duration) int {
	return o.sendsAfterCrash(3, delay)
}

// sendsAfterCrash returns how many fatal requests arrived at workers more than delay after a crash,
// counted from 1.
func (o *crashWorld) sendsAfterCrash(crash int, delay time.Duration) int {
	crashes := o.crashes()
	if len(crashes) < crash {
		return 0
	}
	n := 0
	for _, at := range o.fatalSendTimes() {
		if at.Sub(crashes[crash-1]) > delay {
			n++
		}
	}
	return n
}

func fatalBrief() standin.Request {
	r := briefRequest("fa7a1")
	r.Body = fatalBody
	return r
}

// sendRepeatedly sends a request at a fixed interval to changing instances, with one immediate
// retry of each that fails, and returns all answers.
func (o *crashWorld) sendRepeatedly(r standin.Request, times int, every time.Duration) []standin.Answer {
	var mu sync.Mutex
	var all []standin.Answer
	var work sync.WaitGroup
	for i := range times {
		work.Go(func() {
			for again := range 2 {
				a := o.answer((i*5+again)%len(o.fronts), r)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if a.Status == http.StatusOK {
					return
				}
			}
		})
		time.Sleep(every)
	}
	work.Wait()
	return all
}

// TestRequestThatCrashesEngines guards against a request that crashes every engine that runs it:
// one request caused 76 crashes among 24 engines in 40 s. The engine crashes 60 ms after it begins
// to answer and is back after 5 s, and callers send the request again to any instance. Each attempt
// began without knowledge of the earlier ones and used up to five engines, since nothing recorded
// that the engines had crashed under the same request.
// The request must not reach an engine later than detectionTime after the third crash.
func TestRequestThatCrashesEngines(t *testing.T) {
	for _, c := range []struct {
		fronts, engines int
		detectionTime   time.Duration
	}{{9, 24, detectionTime}, {90, 90, detectionTimeLarge}} {
		t.Run(fmt.Sprint(c.fronts), func(t *testing.T) {
			run(t, c.fronts, c.engines, 1, func(w *world) {
				w.withFatalRequests(standin.FatalRequest{}, func(o *crashWorld) {
					answers := o.sendRepeatedly(fatalBrief(), 30, 700*time.Millisecond)
					assert.Assert(w.t, len(o.crashes()) >= 3)
					w.t.Logf("%d engines ended, %d sends", len(o.crashes()), len(o.fatalSendTimes()))
					assert.Equal(w.t, o.sendsAfterThirdCrash(c.detectionTime), 0, "fatal requests reached engines after the detection time")
					for _, a := range answers {
						assert.Assert(w.t, a.Status == http.StatusBadGateway || a.Status == http.StatusServiceUnavailable, "%d %s", a.Status, a.Body)
					}
				})
			})
		})
	}
}

// TestRequestThatCrashesEnginesLate lets a request crash its engine after 1.5 s of the answer. A
// stream that had run for a second was cleared of suspicion, and its later engines were not
// considered, so each attempt of a caller used five engines again.
func TestRequestThatCrashesEnginesLate(t *testing.T) {
	const late = 5 // crashes late in the answer that are allowed before the request is detected
	for _, c := range []struct {
		times int
		every time.Duration
	}{{30, 700 * time.Millisecond}, {8, 6 * time.Second}} {
		t.Run(fmt.Sprint("each ", c.every), func(t *testing.T) {
			run(t, 9, 24, 1, func(w *world) {
				w.withFatalRequests(standin.FatalRequest{AfterEvents: 30}, func(o *crashWorld) {
					const pace = 400 * time.Millisecond
					streams := o.harmlessStreams(int(time.Duration(c.times)*c.every/pace), pace)
					o.sendRepeatedly(fatalBrief(), c.times, c.every)
					o.t.Logf("%d engines ended, %d sends", len(o.crashes()), len(o.fatalSendTimes()))
					assert.Check(o.t, is.Equal(o.sendsAfterCrash(late, detectionTime), 0), "fatal requests reached engines after the detection time")
					for i := range streams {
						assertWhole(o.t, <-streams[i], fmt.Sprintf("b%x", i), 0)
					}
				})
			})
		})
	}
}

// harmlessStreams sends streams that crash nothing, one after the other to all instances in turn.
func (o *crashWorld) harmlessStreams(n int, every time.Duration) []chan standin.Answer {
	out := make([]chan standin.Answer, n)
	for i := range out {
		out[i] = make(chan standin.Answer, 1)
		time.AfterFunc(time.Duration(i)*every, func() { out[i] <- <-o.startStream(i%len(o.fronts), briefRequest(fmt.Sprintf("b%x", i))) })
	}
	return out
}

// TestRequestThatSilencesEngines lets the engines that begin a request fall silent, so that
// connections to them hang instead of being closed.
func TestRequestThatSilencesEngines(t *testing.T) {
	run(t, 9, 24, 1, func(w *world) {
		w.withFatalRequests(standin.FatalRequest{}, func(o *crashWorld) {
			o.silent = true
			o.sendRepeatedly(fatalBrief(), 30, 700*time.Millisecond)
			o.t.Logf("%d engines fell silent, %d sends", len(o.crashes()), len(o.fatalSendTimes()))
			assert.Check(o.t, is.Equal(o.sendsAfterThirdCrash(detectionTime), 0), "fatal requests reached engines after the detection time")
		})
	})
}

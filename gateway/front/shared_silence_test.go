package front_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// sharedSilence is how long the endpoints of these tests are silent.
const sharedSilence = 1200 * time.Millisecond

func (w *world) countLines(msg string) int { return strings.Count(w.logs.String(), `"msg":"`+msg+`"`) }

// cutEngines makes the links of the first n engines lose all data for a while. Connections to them hang.
func (w *world) cutEngines(n int, d time.Duration) {
	cut := map[string]bool{}
	for i := range n {
		cut[fmt.Sprint("e", i)] = true
	}
	w.net.SetCut(func(a, b string) bool { return cut[a] || cut[b] })
	time.AfterFunc(d, func() { w.net.SetCut(func(a, b string) bool { return false }) })
}

// pauseFirstEngines pauses the first n engines. Connections to them are accepted.
func (w *world) pauseFirstEngines(n int, d time.Duration) {
	for _, e := range w.engines[:n] {
		e.Pause(d)
	}
}

// TestSharedSilenceStopsNoRequest guards against stopping innocent requests, for ten minutes at all
// instances, after a quarter or more of the engines was unreachable for a second. Each request whose
// answer had just begun counted as the one that had silenced its engine, and four of a team were enough
// to stop every further one at the first silence.
func TestSharedSilenceStopsNoRequest(t *testing.T) {
	const engines = 36
	for _, c := range []struct {
		name    string
		silence func(w *world, n int, d time.Duration)
		silent  int
	}{
		{"unreachable", (*world).cutEngines, 9}, {"unreachable", (*world).cutEngines, 18}, {"paused", (*world).pauseFirstEngines, 12}, {"paused", (*world).pauseFirstEngines, engines},
	} {
		t.Run(fmt.Sprint(c.silent, " ", c.name), func(t *testing.T) {
			run(t, 3, 0, 1, func(w *world) {
				for i := range engines {
					w.engines = append(w.engines, w.newWorker(fmt.Sprint("e", i), "", standin.WorkerConfig{
						Service: "engines", Address: fmt.Sprintf("10.1.0.%d:80", i+1), DataCentre: dc(i), Slots: endpointSlots,
						PrefillTokensPerMS: 8, EventInterval: 300 * time.Millisecond, Events: 12, EarlyHead: true,
					}))
				}
				time.Sleep(2 * time.Second)
				end := w.sendSteadily(deskKey, "innocent", 25*time.Millisecond)
				for range 3 {
					time.Sleep(2 * time.Second)
					c.silence(w, c.silent, sharedSilence)
					time.Sleep(4 * time.Second)
				}
				end()
				assert.Check(w.t, w.countLines("engine given up")+w.countLines("engine probed")+w.countLines("engine silent") > 0, "no silence was noticed")
				assert.Equal(w.t, w.countLines("endpoint crashed while it had a request"), 0)
				assert.Equal(w.t, w.countStops(), 0)
			})
		})
	}
}

// unhear makes links lose all data for which lost returns true, from time to time for sharedSilence.
func (w *world) unhear(lost func(a, b string) bool) {
	var on atomic.Bool
	w.net.SetCut(func(a, b string) bool { return on.Load() && lost(a, b) })
	for k := range 3 {
		time.AfterFunc(time.Duration(1+4*k)*time.Second, func() { on.Store(true) })
		time.AfterFunc(time.Duration(1+4*k)*time.Second+sharedSilence, func() { on.Store(false) })
	}
}

func isFront(name string) bool { return strings.HasPrefix(name, "f") }

// TestUnheardInstancesAndStore guards against instances that cease to serve, and against a directory that
// leaves instances out for long, because other instances or the store were not heard for a second.
func TestUnheardInstancesAndStore(t *testing.T) {
	const fronts, unheard = 12, 5
	quiet := map[string]bool{"f0": true, "f3": true, "f6": true, "f9": true, "f10": true}
	for name, lost := range map[string]func(a, b string) bool{
		"instances": func(a, b string) bool { return (quiet[a] || quiet[b]) && isFront(a) && isFront(b) },
		"the store": func(a, b string) bool { return a == "store" || b == "store" },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, fronts, 6, 3, func(w *world) {
				w.unhear(lost)
				var oldest int64
				shortest, returned := fronts, time.Duration(0)
				until, done := time.Now().Add(12*time.Second), make(chan struct{})
				go func() {
					defer close(done)
					for began := time.Now(); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
						for i := range w.fronts {
							s := w.fronts[i].State()
							oldest = max(oldest, int64(s.AgeMS))
							assert.Check(w.t, s.Ready, s.Instance)
						}
						n := len(w.resolve(1))
						shortest = min(shortest, n)
						if n < fronts {
							returned = time.Since(began) % (4 * time.Second)
						}
					}
				}()
				o := w.load(40, 13*time.Second, pingRequest, func(i int) int { return i % fronts })
				<-done
				assert.Equal(w.t, o.served.Load(), o.sent.Load())
				assert.Check(w.t, oldest < 3000, "what instances know was %d ms old", oldest)
				assert.Check(w.t, shortest >= fronts-unheard, "the directory named %d instances", shortest)
				w.t.Logf("oldest %d ms, the directory named %d instances at least, all again %v after the start of the silence; %d instances lost, %d sources lost",
					oldest, shortest, returned-time.Second, w.countLines("instances lost"), w.countLines("source lost"))
			})
		})
	}
}

package front_test

import (
	"fmt"
	"strings"
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

// pauseEngines pauses the first n engines. Connections to them are accepted.
func (w *world) pauseEngines(n int, d time.Duration) {
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
		{"unreachable", (*world).cutEngines, 9}, {"unreachable", (*world).cutEngines, 18}, {"paused", (*world).pauseEngines, 12}, {"paused", (*world).pauseEngines, engines},
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

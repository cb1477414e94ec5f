package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestPassedOnRequestsAtPausedEndpoints guards against requests that an instance without a way to the
// endpoints passes on, and that end early, run twice or are wrongly refused since the endpoints pause.
func TestPassedOnRequestsAtPausedEndpoints(t *testing.T) {
	for kind, request := range map[string]func() standin.Request{"at most once": logRequest, "idempotent": pingRequest} {
		for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second} {
			for _, paused := range []int{1, 3} {
				t.Run(fmt.Sprintf("%s, %d for %v", kind, paused, pause), func(t *testing.T) {
					run(t, 3, 1, 3, func(w *world) {
						w.cutFromEndpoints(1, resets)
						w.callDuring(12, 2*time.Second, request, func(int) int { return 0 }) // the cut is found
						stop := w.watchSuspicions()
						pauseWorkers(w.plains[:paused], pause)
						all := w.callDuring(12, min(pause, 2*time.Second), request, func(int) int { return 0 })
						suspected := stop()
						maxRuns := map[string]int{"at most once": 1, "idempotent": 2}[kind]
						served := w.checkHonest(all, routeTimeout, maxRuns)
						t.Logf("%d of %d served", served, len(all))
						if pause < routeTimeout {
							assert.Equal(t, served, len(all))
						}
						for _, s := range suspected {
							assert.Check(t, paused == 1 || strings.HasPrefix(s, "f0 "), s) // f0 can't connect
						}
					})
				})
			}
		}
	}
}

// TestQueuedStreamsAtPausedEngines guards against requests that wait for room at engines that all pause and
// are refused though they ran, or late though no room can be expected. A request that finds room in time is
// not refused.
func TestQueuedStreamsAtPausedEngines(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			run(t, 2, 2, 1, func(w *world) {
				const (
					running = 20 // more than the engines take
					target  = 4500 * time.Millisecond
				)
				var first []chan standin.Answer
				for i := range running {
					first = append(first, w.startStream(i%2, briefRequest(fmt.Sprint("r", i))))
				}
				time.Sleep(1500 * time.Millisecond)
				pauseWorkers(w.engines, pause)
				queued := w.callDuring(8, time.Second, func() standin.Request { return briefRequest(w.newRequestID()) }, func(i int) int { return i % 2 })
				for _, c := range first {
					<-c
				}
				time.Sleep(6 * time.Second)
				counts := map[int]int{}
				for _, c := range queued {
					counts[c.answer.Status]++
					runs := 0
					for _, e := range w.engines {
						for _, r := range e.Runs() {
							if r.ID == c.request.ID {
								runs++
							}
						}
					}
					what := fmt.Sprintf("sent after %v: %d in %v, %d runs, %v", c.sentAfter, c.answer.Status, c.took, runs, c.err)
					assert.Check(t, c.err == nil, what)
					if c.answer.Status == http.StatusServiceUnavailable {
						assert.Check(t, runs == 0 && c.answer.RetryAfter != "", what)
						assert.Check(t, c.took <= target/2+answerSlack, what)
					}
				}
				t.Logf("%s: status %v", t.Name(), counts)
			})
		})
	}
}

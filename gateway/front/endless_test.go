package front_test

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// Bounds on endless answers. What they add to the heap in use is at most a quarter of the 32 MB of an instance.
// An endpoint that answers without end is given up after maxEndlessBytes of an answer, or at the caller's
// deadline where the answer is passed on as it comes.
const (
	maxEndlessHeap  = 8 << 20
	maxEndlessBytes = 512 << 10
)

// TestEndlessAnswers guards against endpoints that send bytes without end: a header line or fields without end
// took hundreds of megabytes until the caller's deadline, an event 64 MB. The answer is given up at a bound, and
// the request is sent to an endpoint that works.
func TestEndlessAnswers(t *testing.T) {
	for name, kind := range standin.EndlessKinds {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 3, 3, func(w *world) {
				for i := range 2 {
					w.engines[i].SetFault(standin.WorkerFault{Endless: kind})
				}
				w.plains[0].SetFault(standin.WorkerFault{Endless: kind}) // a ping has two attempts
				for i := range 6 {
					began := time.Now()
					a, err := w.send(0, briefRequest(fmt.Sprintf("e%x", i)))
					assert.NilError(t, err)
					assertWhole(t, a, fmt.Sprintf("e%x", i), 0)
					assert.Assert(t, time.Since(began) < 7*time.Second, "%v", time.Since(began))
				}
				if kind != standin.EndlessBody && kind != standin.EndlessEvent { // passed on as it comes
					for range 6 {
						a, err := w.send(0, pingRequest())
						assert.NilError(t, err)
						assert.Equal(t, a.Status, http.StatusOK)
						assert.Assert(t, a.Complete)
					}
				}
				for _, e := range w.engines[:2] {
					assert.Assert(t, e.EndlessBytes() <= maxEndlessBytes*max(len(e.Arrivals()), 1), "%d bytes in %d answers", e.EndlessBytes(), len(e.Arrivals()))
				}
			})
		})
	}
}

// TestEndlessAnswersOnAllConnections checks the memory of an instance while every engine of a service sends
// heads, events or reports without end, on every connection, against that of the same streams at sound engines.
// The heap holds the engines and callers of the test as well.
func TestEndlessAnswersOnAllConnections(t *testing.T) {
	usual := peakHeapOfStreams(t, "", standin.NotEndless)
	for _, name := range []string{"header line", "header fields", "event", "report"} {
		peak := peakHeapOfStreams(t, name, standin.EndlessKinds[name])
		t.Logf("%s: %d kB at the peak, usually %d", name, peak>>10, usual>>10)
		assert.Check(t, peak < usual+maxEndlessHeap, "%s: %d kB, usually %d", name, peak>>10, usual>>10)
	}
}

// peakHeapOfStreams sends many streams at once to an instance whose engines have a fault, and returns the most
// bytes of the heap that were in use meanwhile, beyond those before.
func peakHeapOfStreams(t *testing.T, name string, kind standin.Endless) (peak uint64) {
	const engines, streams = 24, 190
	t.Run(name, func(t *testing.T) {
		run(t, 1, engines, 0, func(w *world) {
			for _, e := range w.engines {
				e.SetFault(standin.WorkerFault{Endless: kind})
			}
			before := liveHeap()
			answers := make([]chan standin.Answer, streams)
			for i := range answers {
				answers[i] = w.startStream(0, briefRequest(fmt.Sprintf("e%x", i)))
			}
			for range 50 {
				time.Sleep(20 * time.Millisecond)
				now := liveHeap()
				peak = max(peak, now-min(before, now))
			}
			for i := range answers {
				<-answers[i]
			}
		})
	})
	return peak
}

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

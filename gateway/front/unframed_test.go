package front_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// TestUnframedStreams guards against a stream without a length and without chunks that is taken for complete when
// its engine crashes before the first event or between two events: the connection ends as that of a whole stream.
func TestUnframedStreams(t *testing.T) {
	for _, afterEvents := range []int{0, 20, streamEvents} {
		run(t, 3, 6, 1, func(w *world) {
			for _, e := range w.engines {
				e.SetFault(standin.WorkerFault{Unframed: true})
			}
			fatal := standin.FatalRequest{AfterEvents: afterEvents, ClosesFirst: true}
			w.withFatalRequests(fatal, func(o *crashWorld) {
				a, err := o.send(0, fatalBrief())
				if afterEvents == streamEvents {
					assert.NilError(t, err)
					assertWhole(t, a, "fa7a1", 0)
					return
				}
				assert.Assert(t, err != nil || a.Status != http.StatusOK || !a.Complete, "%d events are taken for the whole stream", len(a.Events))
			})
		})
	}
}

// TestUnframedStreamsThatMayNotResume guards against a stream that may not be resumed, without a length and without
// chunks, that ends as a complete answer when its engine crashes before the first event, between two events or
// inside an event, or closes the connection inside an event.
func TestUnframedStreamsThatMayNotResume(t *testing.T) {
	for _, c := range []struct {
		afterEvents, afterBytes int
		alive                   bool
		status                  int
	}{
		{0, 0, false, http.StatusBadGateway},
		{0, 0, true, http.StatusBadGateway},
		{0, 5, false, http.StatusOK},
		{20, 0, false, http.StatusOK},
		{20, 5, false, http.StatusOK},
		{20, 5, true, http.StatusOK},
		{streamEvents, 0, true, http.StatusOK},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			run(t, 2, 6, 1, func(w *world) {
				for _, e := range w.engines {
					e.SetFault(standin.WorkerFault{Unframed: true})
				}
				fatal := standin.FatalRequest{AfterEvents: c.afterEvents, AfterBytes: c.afterBytes, ClosesFirst: true}
				w.withFatalRequests(fatal, func(o *crashWorld) {
					if c.alive {
						o.spareWorkers()
					}
					r := onceOnly(fatalBrief())
					a, err := o.send(0, r)
					assert.NilError(w.t, err)
					assert.Equal(w.t, a.Status, c.status)
					if c.afterEvents == streamEvents {
						assertWhole(w.t, a, r.PromptID, 0)
						return
					}
					assert.Assert(w.t, a.Status != http.StatusOK || !a.Complete && !a.EndsInEvent, "%d events are taken for the whole stream", len(a.Events))
					assert.Equal(w.t, len(a.Events), c.afterEvents)
					assert.Equal(w.t, len(o.fatalSendTimes()), 1)
				})
			})
		})
	}
}

// onceOnly makes a stream one that may not be resumed.
func onceOnly(r standin.Request) standin.Request {
	r.Path = "/note/1"
	return r
}

// TestPartThatCrashesEnginesOfUnframedStreams guards against a part of prompts that crashes the engines of streams that
// may not be resumed, without a length and without chunks: the end of the connection counted as the end of the
// answer, which cleared the part.
func TestPartThatCrashesEnginesOfUnframedStreams(t *testing.T) {
	for _, afterEvents := range []int{0, 5} {
		t.Run(strconv.Itoa(afterEvents), func(t *testing.T) {
			c := fatalPartTest{fatalParts: []string{fatalPart}, soundParts: []string{"ca"}, teams: []string{deskKey}, afterEvents: afterEvents, once: true, unframed: true}
			run(t, 9, 24, 1, c.check)
		})
	}
}

// TestUnframedPlainAnswers guards against a plain answer without a length and without chunks that is taken for whole
// when its endpoint crashes half way: the end of the connection counted as the end of the answer.
func TestUnframedPlainAnswers(t *testing.T) {
	const small, large = 800, 200 << 10 // a large answer is passed on before it has arrived whole
	for _, c := range []struct {
		request   standin.Request
		bytes     int
		crashes   bool
		status    int
		completes bool
	}{
		{logRequest(), small, false, http.StatusOK, true},
		{logRequest(), large, false, http.StatusOK, true},
		{pingRequest(), large, false, http.StatusOK, true},
		{logRequest(), small, true, http.StatusBadGateway, true},
		{logRequest(), large, true, http.StatusOK, false},
		{pingRequest(), small, true, http.StatusOK, true},
	} {
		t.Run(fmt.Sprintf("%s/%d/%t", c.request.Path, c.bytes, c.crashes), func(t *testing.T) {
			prepare := func(w *world) { w.answerBytes = c.bytes }
			runWith(t, 1, 1, 3, prepare, func(w *world) {
				for _, p := range w.plains {
					p.SetFault(standin.WorkerFault{Unframed: true})
				}
				runs := 0
				firstRun := func(*standin.Run) bool { runs++; return c.crashes && runs == 1 }
				w.withFatalRequests(standin.FatalRequest{AfterBytes: c.bytes / 2, Matches: firstRun, ClosesFirst: true}, func(*crashWorld) {
					a, err := w.send(0, c.request)
					assert.NilError(w.t, err)
					assert.Equal(w.t, a.Status, c.status)
					assert.Equal(w.t, a.Complete, c.completes)
					if a.Status == http.StatusOK && a.Complete {
						assert.Equal(w.t, len(a.Body), c.bytes)
					}
				})
			})
		})
	}
}

// TestUnframedStreamsOfLeavingEngines guards against a stream without a length and without chunks that ends as a
// complete answer when its engine leaves as planned and exits, or has been removed from the list. The end counted
// as that of the answer, since an engine that leaves does not count as crashed.
func TestUnframedStreamsOfLeavingEngines(t *testing.T) {
	leave := map[string]func(*world, *standin.Worker){
		"entry says so":    func(w *world, e *standin.Worker) { w.putEntry(e, "draining") },
		"entry is removed": func(w *world, e *standin.Worker) { w.store.Remove(platform.KindEndpoint, e.Config().ID) },
	}
	for name, how := range leave {
		for _, resumes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/%t", name, resumes), func(t *testing.T) {
				run(t, 3, 6, 1, func(w *world) {
					for _, e := range w.engines {
						e.SetFault(standin.WorkerFault{Unframed: true})
					}
					runs := 0
					firstRun := func(*standin.Run) bool { runs++; return runs == 1 }
					w.withFatalRequests(standin.FatalRequest{AfterEvents: 50, Matches: firstRun, ClosesFirst: true}, func(o *crashWorld) {
						r := briefRequest("1eaf")
						if !resumes {
							r = onceOnly(r)
						}
						answer := w.startStream(0, r)
						time.Sleep(1500 * time.Millisecond)
						engine, _ := w.streamEngines()
						how(w, o.workers[engine])
						a := <-answer
						if resumes {
							assertWhole(w.t, a, "1eaf", 0)
						} else {
							assert.Assert(w.t, !a.Complete, "%d events are taken for the whole stream", len(a.Events))
							assert.Equal(w.t, len(a.Events), 50)
						}
						assert.Equal(w.t, len(o.crashes()), 1)
					})
				})
			})
		}
	}
}

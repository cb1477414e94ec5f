package front_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestFewLostEnginesAreLeftQuickly guards against streams that wait at engines that are gone for good: a
// few of many engines counted as a shared silence, since silent engines of the whole service were
// compared with a sample of those that answer.
func TestFewLostEnginesAreLeftQuickly(t *testing.T) {
	for _, lost := range []int{1, 2, 3, 4, 6} {
		t.Run(fmt.Sprintf("%d-of-60", lost), func(t *testing.T) {
			runPaused(t, pausedCase{instances: 2, engines: 60, events: 120, interval: eventInterval, noCopies: true}, func(w *pausedWorld) {
				w.start(120, 2)
				slices.SortFunc(w.engines, func(a, b *standin.Worker) int { return len(w.streamsAt(b)) - len(w.streamsAt(a)) })
				var moved []*callerStream
				for _, e := range w.engines[:lost] {
					moved = append(moved, w.streamsAt(e)...)
				}
				for _, e := range w.engines[:lost] {
					e.Pause(time.Hour)
				}
				w.await()
				for _, s := range moved {
					t.Logf("longest gap: %v", s.answer.LongestGap())
				}
				w.assertAllWhole(maxStreamPause + prefillTime + resumeMargin)
			})
		})
	}
}

// TestNoStreamIsLeftForAnEngineThatFellSilent guards against streams that leave a silent engine for one
// that fell silent a moment later: no refusal within a quarter of a second counted as a grant.
func TestNoStreamIsLeftForAnEngineThatFellSilent(t *testing.T) {
	for _, noCopies := range []bool{true, false} {
		for _, after := range []time.Duration{350, 400, 450, 500, 550, 600} {
			t.Run(fmt.Sprintf("no-copies-%v-after-%dms", noCopies, after), func(t *testing.T) {
				runPaused(t, pausedCase{instances: 2, engines: 12, events: 60, noCopies: noCopies}, func(w *pausedWorld) {
					w.start(36, 2)
					first := w.busiest()
					kept := w.streamsAt(first)
					first.Pause(enginePause)
					time.Sleep(after * time.Millisecond)
					for _, e := range w.engines {
						if e != first {
							e.Pause(enginePause)
						}
					}
					w.await()
					moved, slow := 0, 0
					for _, s := range kept {
						if len(w.runsByID()[s.id]) > 1 {
							moved++
						}
						if s.answer.LongestGap() > enginePause+pauseMargin {
							slow++
						}
					}
					assert.Check(t, slow == 0, "%d of %d streams pause for longer than their engine, %d were sent to another one", slow, len(kept), moved)
				})
			})
		}
	}
}

// TestRequestReadAfterPauseRunsOnce guards against requests that are run twice: an engine that was asked
// just before the end of its pause answered at once that it does not run what it had not read yet.
func TestRequestReadAfterPauseRunsOnce(t *testing.T) {
	twice := map[time.Duration]int{}
	for _, d := range []time.Duration{700, 720, 740, 760, 780, 800, 850, 900, 1000, 1200} {
		t.Run(fmt.Sprintf("%dms", d), func(t *testing.T) {
			runPaused(t, pausedCase{instances: 1, engines: 6, events: 20}, func(w *pausedWorld) {
				w.pause(1, d*time.Millisecond, 0)
				w.begin(6, 1, 10*time.Millisecond)
				w.await()
				for _, s := range w.streams {
					assert.Check(t, s.err == nil && s.answer.Status == 200, "status %d, %v", s.answer.Status, s.err)
					if n := len(w.runsByID()[s.id]); n > 1 {
						twice[d]++
					}
				}
				assert.Check(t, twice[d] == 0, "%d of %d requests run twice", twice[d], len(w.streams))
			})
		})
	}
}

// TestStreamsOfCutOffInstanceStayInPause guards against streams that a cut-off instance passed on and
// that are moved to another instance, and so prefilled again, since the engines of all are silent.
func TestStreamsOfCutOffInstanceStayInPause(t *testing.T) {
	for _, cut := range []bool{false, true} {
		for _, pause := range []time.Duration{enginePause, 5 * time.Second} {
			t.Run(fmt.Sprintf("cut-%v-%v", cut, pause), func(t *testing.T) {
				runPaused(t, pausedCase{instances: 4, engines: 6, events: 60, noCopies: true}, func(w *pausedWorld) {
					if cut {
						w.cutFromEndpoints(1, hang)
						time.Sleep(3 * time.Second)
					}
					w.start(8, 1)
					before := w.runsByID()
					w.pause(1, pause, 0)
					w.assertAllWhole(pause + pauseMargin)
					again := 0
					for id, runs := range w.runsByID() {
						again += len(runs) - len(before[id])
					}
					assert.Check(t, again == 0, "%d more runs for %d streams", again, len(w.streams))
				})
			})
		}
	}
}

// TestSilentCopyHolderHoldsNothingUp guards against streams that stay at an engine that is gone for good,
// since questions to the engine with the copy and to two samples take longer than an assessment may.
func TestSilentCopyHolderHoldsNothingUp(t *testing.T) {
	for _, engines := range []int{12, 24} {
		for _, share := range []float64{0.25, 0.4, 0.5} {
			t.Run(fmt.Sprintf("%d-engines-%v-lost", engines, share), func(t *testing.T) {
				runPaused(t, pausedCase{instances: 2, engines: engines, events: 120, interval: eventInterval}, func(w *pausedWorld) {
					w.start(engines*endpointSlots/4, 2)
					w.pause(share, time.Hour, 1)
					w.assertAllWhole(4 * time.Second)
				})
			})
		}
	}
}

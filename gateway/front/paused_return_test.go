package front_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// maxSideBySide is how long two engines may run the same stream.
	maxSideBySide = 400 * time.Millisecond
	// maxPrefillShare is how many prompts may be prefilled again in a pause that many engines share, as
	// a share of the running streams.
	maxPrefillShare = 0.1
	// moveGrace is how long after a pause runs may begin that were sent in it.
	moveGrace = 100 * time.Millisecond
)

// sharedPauses are pauses of many engines at once.
func sharedPauses(t *testing.T, test func(t *testing.T, c pausedCase, share float64)) {
	for _, engines := range []int{6, 24} {
		for _, share := range []float64{1, 0.6} {
			for _, noCopies := range []bool{false, true} {
				name := fmt.Sprintf("%d-engines-%v-paused", engines, share)
				if noCopies {
					name += "-no-copies"
				}
				t.Run(name, func(t *testing.T) {
					test(t, pausedCase{instances: 2, engines: engines, events: 150, noCopies: noCopies}, share)
				})
			}
		}
	}
}

// TestSharedPauseStartsFewRuns guards against engines that run the same stream side by side for longer
// than allowed, and against prompts that are prefilled again, since many engines pause together.
func TestSharedPauseStartsFewRuns(t *testing.T) {
	sharedPauses(t, func(t *testing.T, c pausedCase, share float64) {
		runPaused(t, c, func(w *pausedWorld) {
			w.start(c.engines*endpointSlots/2, c.instances)
			before := w.prefills()
			w.pauseRepeatedly(2, share)
			again := w.prefills() - before
			assert.Check(t, float64(again) <= maxPrefillShare*float64(len(w.streams)), "%d prompts of %d streams are prefilled again", again, len(w.streams))
			w.await()
			longest, pairs := w.longestSideBySide()
			assert.Check(t, longest <= maxSideBySide, "%d pairs of runs side by side, for up to %v", pairs, longest)
		})
	})
}

// longestSideBySide returns for how long two runs of a stream were in progress at the same time, and how
// many pairs of runs were for longer than allowed.
func (w *pausedWorld) longestSideBySide() (time.Duration, int) {
	var longest time.Duration
	tooLong := 0
	for _, runs := range w.runsByID() {
		for i, a := range runs {
			for _, b := range runs[:i] {
				d := overlap(a, b)
				longest = max(longest, d)
				if d > maxSideBySide {
					tooLong++
				}
			}
		}
	}
	return longest, tooLong
}

// overlap returns for how long two runs were in progress at the same time; negative if never.
func overlap(a, b engineRun) time.Duration {
	from, until := a.At, time.Now()
	if b.At.After(from) {
		from = b.At
	}
	for _, r := range []engineRun{a, b} {
		if !r.EndedAt.IsZero() && r.EndedAt.Before(until) {
			until = r.EndedAt
		}
	}
	return until.Sub(from)
}

// TestStreamsStayAfterPause guards against streams that are moved, and engines that are suspected, after
// a pause of many engines is over.
func TestStreamsStayAfterPause(t *testing.T) {
	sharedPauses(t, func(t *testing.T, c pausedCase, share float64) {
		runPaused(t, c, func(w *pausedWorld) {
			w.start(c.engines*endpointSlots/2, c.instances)
			paused := time.Now()
			w.pause(share, enginePause, 1)
			time.Sleep(enginePause + moveGrace)
			returned := time.Now()
			suspected := 0
			for time.Since(returned) < 2*time.Second {
				suspected = max(suspected, w.suspicions())
				time.Sleep(100 * time.Millisecond)
			}
			assert.Check(t, suspected == 0, "an instance suspects %d engines", suspected)
			moved, movedInPause := w.moves(returned, time.Now()), w.moves(paused, returned)
			for id := range movedInPause {
				delete(moved, id)
			}
			assert.Check(t, len(moved) == 0, "%d of %d streams were moved after the pause", len(moved), len(w.streams))
			assert.Check(t, share < 1 || len(movedInPause) == 0, "%d of %d streams were moved in a pause of all", len(movedInPause), len(w.streams))
			w.assertAllWhole(enginePause + pauseMargin)
		})
	})
}

// moves returns the IDs of streams of which a run began in a period.
func (w *pausedWorld) moves(from, until time.Time) map[string]bool {
	out := map[string]bool{}
	for id, runs := range w.runsByID() {
		for _, r := range runs {
			if r.At.After(from) && !r.At.After(until) {
				out[id] = true
			}
		}
	}
	return out
}

// suspicions returns the largest number of engines that one instance suspects.
func (w *pausedWorld) suspicions() int {
	most := 0
	for _, f := range w.fronts {
		n := 0
		for _, e := range f.State().Endpoints {
			if e.Suspected {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestCopiesAreKeptAgainAfterPause guards against streams that are left without copies by a pause of
// many engines. An engine that is killed three seconds later costs no prefill and no long pause.
func TestCopiesAreKeptAgainAfterPause(t *testing.T) {
	for _, engines := range []int{6, 24} {
		for _, share := range []float64{1, 0.6, 0} {
			t.Run(fmt.Sprintf("%d-engines-%v-paused", engines, share), func(t *testing.T) {
				runPaused(t, pausedCase{instances: 2, engines: engines, events: 150}, func(w *pausedWorld) {
					w.start(engines*endpointSlots/4, 2)
					w.pause(share, enginePause, 1)
					time.Sleep(enginePause + 3*time.Second)
					before := w.prefills()
					lost := w.busiest()
					moved := w.streamsAt(lost)
					assert.Assert(t, len(moved) > 1)
					w.crashEngine(lost.Config().ID)
					killed := time.Now()
					w.assertAllWhole(enginePause + pauseMargin)
					for _, s := range moved {
						gap := s.gapAround(killed)
						assert.Check(t, gap <= maxStreamPause, "stream %s pauses for %v", s.id, gap)
					}
					assert.Equal(t, w.prefills()-before, 0, "prompts of %d streams were prefilled again", len(moved))
				})
			})
		}
	}
}

// gapAround returns the time between the last event before a moment and the first one after it.
func (s *callerStream) gapAround(at time.Time) time.Duration {
	for i, e := range s.answer.Events {
		if i > 0 && e.At.After(at) {
			return e.At.Sub(s.answer.Events[i-1].At)
		}
	}
	return 0
}

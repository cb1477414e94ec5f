package front_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

const (
	// resumeMargin is what a stream without a copy may take to resume beyond the route's gap and the
	// time of its prefill.
	resumeMargin = 300 * time.Millisecond
	// prefillTime is how long an engine prefills promptTokens.
	prefillTime = time.Second
	// targetLatency is the time in which streams must have their first event.
	targetLatency = 4500 * time.Millisecond
)

// loss is a way in which one engine of many is gone for good. maxFirst bounds the time to the first
// event of streams whose engine is lost in the middle of their prefill.
type loss struct {
	name     string
	lose     func(*world, *standin.Worker)
	maxFirst time.Duration
}

var losses = []loss{
	{"killed", func(w *world, e *standin.Worker) { w.crashEngine(e.Config().ID) }, 2 * time.Second},
	{"cut", func(w *world, e *standin.Worker) { w.silenceEngine(e.Config().ID) }, 3 * time.Second},
	{"paused", func(_ *world, e *standin.Worker) { e.Pause(time.Hour) }, 3 * time.Second},
}

// TestLostEngineIsLeftQuickly guards against streams that wait at an engine that is gone for good, since
// its silence might be that of a moment. The others of its service answer all the time.
func TestLostEngineIsLeftQuickly(t *testing.T) {
	for _, l := range losses {
		for _, engines := range []int{6, 24} {
			for _, noCopies := range []bool{false, true} {
				name := fmt.Sprintf("%s-%d-engines", l.name, engines)
				if noCopies {
					name += "-no-copies"
				}
				t.Run(name, func(t *testing.T) {
					runPaused(t, pausedCase{instances: 2, engines: engines, events: 120, interval: eventInterval, noCopies: noCopies}, func(w *pausedWorld) {
						w.start(engines*endpointSlots/2, 2)
						lost := w.busiest()
						moved, copied := w.streamsAt(lost), w.withCopies(lost)
						assert.Assert(t, noCopies || len(copied) > 0)
						assert.Assert(t, len(moved) > 1)
						l.lose(w.world, lost)
						w.assertAllWhole(maxStreamPause + prefillTime + resumeMargin)
						for _, s := range moved {
							gap := s.answer.LongestGap()
							t.Logf("copy: %v, longest gap: %v", copied[s.id], gap)
							assert.Check(t, !copied[s.id] || gap <= maxStreamPause, "the stream with a copy pauses for %v", gap)
						}
					})
				})
			}
		}
	}
}

// TestEngineLostBeforeFirstEvents guards against callers that wait for their first event at an engine
// that is gone for good while it prefills, with others that have room and answer.
func TestEngineLostBeforeFirstEvents(t *testing.T) {
	for _, l := range losses {
		for _, engines := range []int{6, 24} {
			t.Run(fmt.Sprintf("%s-%d-engines", l.name, engines), func(t *testing.T) {
				runPaused(t, pausedCase{instances: 2, engines: engines, events: 60, interval: eventInterval}, func(w *pausedWorld) {
					w.begin(engines*endpointSlots/2, 2, 0)
					time.Sleep(prefillTime / 2)
					lost := w.busiest()
					moved := w.streamsAt(lost)
					assert.Assert(t, len(moved) > 1)
					l.lose(w.world, lost)
					w.assertAllWhole(maxStreamPause)
					w.assertFirstEvents(moved, l.maxFirst)
				})
			})
		}
	}
}

// TestPauseDuringPrefill guards against prompts that are prefilled a second time, and first events that
// come late, since many engines pause for a moment while they prefill.
func TestPauseDuringPrefill(t *testing.T) {
	for _, c := range []struct {
		engines  int
		share    float64
		maxAgain float64 // share of the prompts
	}{{6, 1, 0}, {6, 0.6, 0.1}, {24, 1, 0}, {24, 0.6, 0.1}} {
		for _, after := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d-engines-%v-paused-after-%v", c.engines, c.share, after), func(t *testing.T) {
				runPaused(t, pausedCase{instances: 2, engines: c.engines, events: 60, interval: eventInterval}, func(w *pausedWorld) {
					w.begin(c.engines*endpointSlots/2, 2, prefillTime/2)
					time.Sleep(after)
					w.keepRunning(c.engines * endpointSlots / 4)
					before := w.prefills()
					w.pause(c.share, enginePause, 1)
					w.assertAllWhole(enginePause + pauseMargin)
					w.assertFirstEvents(w.streams, targetLatency)
					again := w.prefills() - before
					assert.Check(t, float64(again) <= c.maxAgain*float64(before), "%d of %d prompts are prefilled again", again, before)
				})
			})
		}
	}
}

// assertFirstEvents checks that streams have their first events within a time.
func (w *pausedWorld) assertFirstEvents(all []*callerStream, within time.Duration) {
	w.t.Helper()
	var longest time.Duration
	late := 0
	for _, s := range all {
		if len(s.answer.Events) == 0 {
			late++
			continue
		}
		took := s.answer.Events[0].At.Sub(s.began)
		longest = max(longest, took)
		if took > within {
			late++
		}
	}
	w.t.Logf("first events after up to %v", longest)
	assert.Check(w.t, late == 0, "%d of %d streams have no event after %v; the last comes after %v", late, len(all), within, longest)
}

// TestLostEngineBesideSharedPause guards against streams that wait at an engine that does not come back
// from a pause of all. The bounds count from the return of the others.
func TestLostEngineBesideSharedPause(t *testing.T) {
	for _, l := range losses {
		for _, noCopies := range []bool{false, true} {
			name := l.name
			if noCopies {
				name += "-no-copies"
			}
			t.Run(name, func(t *testing.T) {
				runPaused(t, pausedCase{instances: 2, engines: 12, events: 150, interval: eventInterval, noCopies: noCopies}, func(w *pausedWorld) {
					w.start(12*endpointSlots/2, 2)
					lost := w.busiest()
					copied := w.withCopies(lost)
					moved := w.streamsAt(lost)
					assert.Assert(t, noCopies || len(copied) > 0)
					w.pause(1, enginePause, 1)
					l.lose(w.world, lost)
					w.assertAllWhole(enginePause + maxStreamPause + prefillTime + resumeMargin)
					for _, s := range moved {
						gap := s.answer.LongestGap()
						t.Logf("copy: %v, longest gap: %v", copied[s.id], gap)
						assert.Check(t, !copied[s.id] || gap <= enginePause+maxStreamPause, "the stream with a copy pauses for %v", gap)
					}
				})
			})
		}
	}
}

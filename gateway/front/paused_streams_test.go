package front_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSilenceBreaksNoStream guards against streams that are broken off, or that pause for longer than
// their engines, since many sound engines are silent at once for a moment.
func TestSilenceBreaksNoStream(t *testing.T) {
	const pauses = 4
	for _, engines := range []int{6, 12, 24} {
		for _, share := range []float64{1, 0.6} {
			for _, noCopies := range []bool{false, true} {
				for _, full := range []bool{false, true} {
					name := fmt.Sprintf("%d-engines-%v-paused", engines, share)
					streams := engines * endpointSlots / 2
					if noCopies {
						name += "-no-copies"
					}
					if full {
						name += "-full"
						streams = engines * endpointSlots
					}
					t.Run(name, func(t *testing.T) {
						runPaused(t, pausedCase{instances: 2, engines: engines, events: 300, noCopies: noCopies}, func(w *pausedWorld) {
							w.start(streams, 2)
							w.pauseRepeatedly(pauses, share)
							w.assertAllWhole(enginePause + pauseMargin)
						})
					})
				}
			}
		}
	}
}

// TestSilenceBreaksNoStreamOfLargerFleets guards against what only shows at a larger number of instances
// and engines: each instance sees few streams, and the engines are asked by many.
func TestSilenceBreaksNoStreamOfLargerFleets(t *testing.T) {
	for _, c := range []struct{ instances, engines, streams int }{{6, 24, 60}, {60, 180, 240}} {
		for _, share := range []float64{1, 0.6} {
			t.Run(fmt.Sprintf("%d-instances-%d-engines-%v-paused", c.instances, c.engines, share), func(t *testing.T) {
				runPaused(t, pausedCase{instances: c.instances, engines: c.engines, events: 120}, func(w *pausedWorld) {
					w.start(c.streams, c.instances)
					before := w.prefills()
					w.pauseRepeatedly(2, share)
					w.assertAllWhole(enginePause + pauseMargin)
					again := w.prefills() - before
					assert.Check(t, float64(again) <= maxPrefillShare*float64(len(w.streams)), "%d prompts of %d streams are prefilled again", again, len(w.streams))
				})
			})
		}
	}
}

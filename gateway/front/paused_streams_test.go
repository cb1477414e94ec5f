package front_test

import (
	"fmt"
	"testing"
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

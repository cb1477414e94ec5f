package front_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamThatEndsAtReturnRunsOnce guards against streams that are run again, since the engine that has
// just ended them does not list them any more when it answers.
func TestStreamThatEndsAtReturnRunsOnce(t *testing.T) {
	for _, left := range []time.Duration{0, 5, 20, 60, 95} {
		t.Run(fmt.Sprintf("%dms-left", left), func(t *testing.T) {
			runPaused(t, pausedCase{instances: 2, engines: 6, events: 40, interval: 100 * time.Millisecond}, func(w *pausedWorld) {
				w.begin(12, 2, 0)
				time.Sleep(prefillTime + 3900*time.Millisecond - left*time.Millisecond)
				w.pause(1, enginePause, 0)
				w.assertAllWhole(enginePause + pauseMargin)
				runs := 0
				for _, r := range w.runsByID() {
					runs += len(r)
				}
				assert.Check(t, runs == len(w.streams), "%d runs of %d streams", runs, len(w.streams))
			})
		})
	}
}

package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamThatCannotEndInTimeIsRefused guards against prefilling prompts for callers that can't
// have the whole answer in time. Callers that waited on silent connections come back with the rest
// of their time. Those for whom it is too short are refused at once; the others are served.
func TestStreamThatCannotEndInTimeIsRefused(t *testing.T) {
	run(t, 1, 6, 1, func(w *world) {
		for i := range 6 {
			a, err := w.send(0, briefRequest(fmt.Sprintf("%x", i+100)))
			assert.NilError(t, err)
			assert.Assert(t, a.Complete)
		}
		for i, c := range []struct {
			name  string
			held  int
			left  time.Duration
			whole bool
		}{
			{"too late for the prompt", 20, 700 * time.Millisecond, false},
			{"too late for the events", 10, 2 * time.Second, false},
			{"too late from the beginning", 0, 3 * time.Second, false},
			{"in time", 40, 3 * time.Second, true},
		} {
			before, began := w.prefilledTokens(), time.Now()
			r := briefRequest(fmt.Sprintf("%x", i+200))
			r.LastEventID, r.Timeout = c.held, c.left
			a, err := w.send(0, r)
			assert.NilError(t, err, c.name)
			if c.whole {
				assertWhole(t, a, r.PromptID, c.held)
				continue
			}
			assert.Equal(t, a.Status, http.StatusServiceUnavailable, c.name)
			assert.Assert(t, time.Since(began) < 150*time.Millisecond, "%s: %v", c.name, time.Since(began))
			assert.Equal(t, w.prefilledTokens(), before, c.name)
		}
	})
}

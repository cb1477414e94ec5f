package front_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamNearItsDeadlineKeepsPromptsAway: a stream that runs for one instance has a second to spare. The
// prompt of a caller of another instance takes that long to prefill, so it is placed once the stream has ended;
// without the setting, or if the slack is not announced, it is placed at once.
func TestStreamNearItsDeadlineKeepsPromptsAway(t *testing.T) {
	const prefill, output = promptTokens / 8 * time.Millisecond, streamEvents * eventInterval
	for _, deadlines := range []bool{false, true} {
		prepare := func(w *world) {
			if deadlines {
				w.settings = "\n[overload]\ndeadlines = true\n"
			}
		}
		runWith(t, 2, 1, 0, prepare, func(w *world) {
			for i := range 10 { // each instance learns how long streams take
				a := w.answer(i%2, briefRequest(string(rune('a'+i))))
				assert.Equal(t, a.Status, http.StatusOK)
			}
			near := briefRequest("near")
			near.Timeout = prefill + output + time.Second
			first := w.startStream(0, near)
			time.Sleep(prefill + output/2)
			began := time.Now()
			second := w.answer(1, briefRequest("far"))
			took := time.Since(began)
			assert.Assert(t, second.Complete, "%+v", second)
			a := <-first
			assert.Assert(t, a.Complete, "%+v", a)
			waited := took - prefill - output
			assert.Equal(t, waited > output/4, deadlines, "it waited for %v", waited)
		})
	}
}

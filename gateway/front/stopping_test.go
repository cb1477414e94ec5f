package front_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopping: not ready and out of the directory at once; what is in progress ends, what still comes
// is served with the word that the connection closes, and streams that could not end are refused.
func TestStopping(t *testing.T) {
	run(t, 2, 6, 1, func(w *world) {
		got := w.stream(0, brief("b1"))
		time.Sleep(time.Second)
		done := make(chan struct{})
		go func() { defer close(done); w.fronts[0].Drain() }()
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, !w.isReady(0))
		assert.DeepEqual(t, w.entry(1), []string{frontAddress(1)})
		a, err := w.do(0, ping())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		assert.Assert(t, a.Closes)
		time.Sleep(1500 * time.Millisecond)
		a, err = w.do(0, brief("b2"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		assert.Assert(t, a.RetryAfter != "")
		whole(t, <-got, "b1", 0)
		<-done
		w.fronts[0] = nil
	})
}

package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetriesAreUnknownAfterPause guards against an instance that spends retries as if nothing had been sent while it did
// not run. One that runs stays informed, whether others are there to be told its counts or not.
func TestRetriesAreUnknownAfterPause(t *testing.T) {
	now := time.Hour
	f := &Forwarder{retryBudgets: newRetryBudgets(&Settings{RetryShare: 0.8, RetryReserve: 150, RetryWindow: 10 * time.Second}, func() time.Duration { return now })}
	assert.Assert(t, f.NeedsRetryHistory(), "it has just started")
	f.MergeRetryHistory(1, nil, time.Minute)
	for range 100 {
		now += 250 * time.Millisecond
		assert.Assert(t, !f.NeedsRetryHistory())
	}
	now += 5 * time.Second
	assert.Assert(t, f.NeedsRetryHistory(), "it was paused")
	f.MergeRetryHistory(1, nil, 3*time.Second)
	assert.Assert(t, f.NeedsRetryHistory(), "the other one knows a part of the window")
	for range 7 * 4 {
		now += 250 * time.Millisecond
		f.NeedsRetryHistory()
	}
	assert.Assert(t, !f.NeedsRetryHistory(), "its own time completes the window")
}

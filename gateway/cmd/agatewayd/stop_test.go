package main

import (
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// TestSecondStopSignal checks that another SIGTERM during a drain changes nothing, so that
// overlapping restarts cut no requests, and that an interrupt ends the process at once.
func TestSecondStopSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal)
		codes := []int{}
		stopping := false
		go func() {
			waitForStop(signals, func(code int) { codes = append(codes, code) })
			stopping = true
		}()
		synctest.Wait()
		assert.Assert(t, !stopping)
		signals <- syscall.SIGTERM
		synctest.Wait()
		assert.Assert(t, stopping)
		signals <- syscall.SIGTERM
		signals <- syscall.SIGTERM
		synctest.Wait()
		assert.Equal(t, len(codes), 0)
		signals <- os.Interrupt
		synctest.Wait()
		assert.DeepEqual(t, codes, []int{1})
		close(signals)
	})
}

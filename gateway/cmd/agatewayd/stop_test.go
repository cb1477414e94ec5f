package main

import (
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// TestSecondSignal: a second SIGTERM changes nothing, an interrupt ends at once.
func TestSecondSignal(t *testing.T) {
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

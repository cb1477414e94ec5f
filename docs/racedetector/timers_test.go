// Package racedetector shows how the race detector of Go 1.26 ends a test in virtual time. It belongs to no module; see
// README.md.
package racedetector

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestExpiredTimersInABubble: goroutines of one bubble receive from timers that have expired already. Each runs its timer itself,
// and all do so with the one race context of the bubble.
func TestExpiredTimersInABubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var work sync.WaitGroup
		for range 64 {
			work.Go(func() {
				for range 20000 {
					<-time.NewTimer(0).C
				}
			})
		}
		work.Wait()
	})
}

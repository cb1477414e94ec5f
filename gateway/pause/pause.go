// Package pause waits for a time, and returns early if a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It returns true if all of d has passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls do at intervals of d until ctx ends. The first call comes after d. A call that takes
// longer than d delays the following ones, and ticks that are missed meanwhile are dropped.
func Every(ctx context.Context, d time.Duration, do func()) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}

// UntilWoken waits until wake delivers a value or is closed, but at most for d. It returns false if
// ctx has ended, which also ends the wait.
func UntilWoken[T any](ctx context.Context, d time.Duration, wake <-chan T) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends; it tells whether all of d has passed.
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

// Every calls do each time that d has passed, until ctx ends. A call that takes longer than d delays the next ones.
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

// Until waits for d, until woken, or until ctx ends. It returns false when ctx has ended.
func Until[T any](ctx context.Context, d time.Duration, woken <-chan T) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-woken:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

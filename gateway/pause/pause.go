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

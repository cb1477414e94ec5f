package exchange

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEntriesAreRestored: the store returns from a copy of before most instances had started. One instance
// writes their entries again, one call each and no faster than ten a second.
func TestEntriesAreRestored(t *testing.T) {
	const size, lost = 30, 20
	runFleet(t, size, true, func(w *fleet) {
		for _, n := range w.nodes[:lost] {
			w.store.lose(n.Self.ID)
		}
		left, before := w.store.count()
		began := time.Now()
		w.nodes[size-1].RestoreEntries(context.Background())
		entries, writes := w.store.count()
		assert.Equal(t, entries, left+lost)
		assert.Equal(t, writes-before, lost)
		assert.Check(t, time.Since(began) >= (lost-1)*restoreInterval)
	})
}

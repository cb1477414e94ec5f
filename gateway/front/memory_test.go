package front

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestGarbageDoesNotGrowWithTheHeap: an instance that holds 10,000 endpoints has no more garbage
// than a small one, as long as that costs few collections.
func TestGarbageDoesNotGrowWithTheHeap(t *testing.T) {
	for live, want := range map[uint64]int{0: 50, 2 << 20: 50, 8 << 20: 50, 16 << 20: 25, 20 << 20: 20, 200 << 20: 20} {
		assert.Equal(t, gcPercent(live), want, "%d bytes", live)
	}
}

package front

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/agateway/agateway/gateway/pause"
)

// The garbage collector is set to keep the heap small, since free memory matters more than the
// processor time of the collections. The runtime's memory limit is a share of the memory that the
// process may use. The rest is left for what the collector does not count, such as stacks and
// received data that has not been read yet.
const (
	memoryLimitShare = 0.6
	// The heap may grow by maxGCPercent of what is live, but by no more than maxGarbage unless that
	// is less than minGCPercent: in a large fleet, each instance holds all endpoints, and they hardly
	// change.
	maxGCPercent = 50
	minGCPercent = 20
	maxGarbage   = 4 << 20
)

// memoryLimitDelay is when the limits are set if the configuration and the endpoints have not been
// read by then. Until the limits are set, the first collection comes at 4 MB of heap. With them it
// would come at 2 MB, in the middle of the start, which then took 37 ms instead of 31 ms with 0.4
// of a core.
const memoryLimitDelay = time.Second

func (f *Front) limitMemory() {
	f.memoryLimitOnce.Do(func() {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(f.settings.Process.Memory) * (1 << 20)))
		debug.SetGCPercent(maxGCPercent)
	})
}

const (
	// tuneInterval is the time between two looks at the heap.
	tuneInterval = 5 * time.Second
	// maxFreeHeap is how much freed memory the process keeps. More is left after a list of all
	// endpoints was read, and is given back to the system.
	maxFreeHeap = 6 << 20
)

// tuneMemory adapts the collector to the heap, until ctx ends.
func (f *Front) tuneMemory(ctx context.Context) {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/free:bytes"}}
	pause.Every(ctx, tuneInterval, func() {
		metrics.Read(samples)
		live, free := samples[0].Value.Uint64(), samples[1].Value.Uint64()
		debug.SetGCPercent(gcPercent(live))
		if free > maxFreeHeap {
			debug.FreeOSMemory()
		}
	})
}

// gcPercent returns by how many percent the heap may grow until the next collection.
func gcPercent(live uint64) int {
	return int(min(max(100*maxGarbage/max(live, 1), minGCPercent), maxGCPercent))
}

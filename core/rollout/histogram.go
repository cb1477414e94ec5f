package rollout

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets of a histogram. Their upper bounds are quarter powers of
	// two from 1 ms to 55 s.
	bucketCount = 64
	// bucketsPerDoubling is the number of buckets from a duration to its double.
	bucketsPerDoubling = 4
)

// Histogram counts durations in buckets whose bounds grow by about a fifth. The last bucket also
// holds all longer durations.
type Histogram [bucketCount]uint64

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) { h[bucketOf(d)]++ }

func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(bucketsPerDoubling*math.Log2(ms))), bucketCount-1)
}

// bucketUpperBound returns the longest duration in a bucket.
func bucketUpperBound(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket)/bucketsPerDoubling) * float64(time.Millisecond))
}

// Total returns how many durations were counted.
func (h *Histogram) Total() uint64 { return h.countAbove(-1) }

// countAbove returns how many durations lie in the buckets above one.
func (h *Histogram) countAbove(bucket int) uint64 {
	sum := uint64(0)
	for i := bucket + 1; i < bucketCount; i++ {
		sum += h[i]
	}
	return sum
}

// tailBucket returns the lowest bucket above which at most a share of the durations lies.
func (h *Histogram) tailBucket(share float64) int {
	allowed := share * float64(h.Total())
	for b := bucketCount - 1; b >= 0; b-- {
		if float64(h.countAbove(b-1)) > allowed {
			return b
		}
	}
	return 0
}

func (h *Histogram) add(o *Histogram) {
	for i := range h {
		h[i] += o[i]
	}
}

func (h *Histogram) max(o *Histogram) {
	for i := range h {
		h[i] = max(h[i], o[i])
	}
}

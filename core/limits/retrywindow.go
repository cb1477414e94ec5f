package limits

import "time"

// RetryWindow bounds the retries that all instances together send to a service within a sliding
// window: a share of the service's requests, plus a reserve. Each instance counts its own retries
// and learns the others' counts some hundreds of milliseconds late, so a margin is kept below the
// bound. Splitting the budget among the instances instead would refuse most retries while most of
// the budget is unused: with 87 instances each had room for one retry at a time, and streams were
// broken off for that.
//
// The zero value is not usable; see [NewRetryWindow]. It does no I/O and reads no clock, and is not
// safe for concurrent use. Times are durations since a fixed start.
type RetryWindow struct {
	settings RetryWindowSettings
	buckets  []bucket
	peers    map[string]RetryCounts
	local    RetryCounts
}

// RetryWindowSettings define the bound on retries.
type RetryWindowSettings struct {
	// Share is the number of retries per request, and Reserve the number of additional retries,
	// that all instances together may send within Length.
	Share, Reserve float64
	Length         time.Duration
	// Margin is the fraction of the bound that is used.
	Margin float64
	// RecoveryMargin is the fraction of the bound, within Margin, that only recoveries may use: a
	// refused recovery loses the most.
	RecoveryMargin float64
}

// RetryCounts holds what an instance has counted since it started.
type RetryCounts struct{ Requests, Retries uint64 }

// TotalRetries returns the sum of the retries to all services.
func TotalRetries(counts map[string]RetryCounts) uint64 {
	sum := uint64(0)
	for _, c := range counts {
		sum += c.Retries
	}
	return sum
}

// bucket counts one time step of the window.
type bucket struct {
	step              int64
	requests, retries uint64
}

// stepsPerWindow is the number of time steps in a window.
const stepsPerWindow = 20

// NewRetryWindow returns a window without requests and retries.
func NewRetryWindow(s RetryWindowSettings) *RetryWindow {
	return &RetryWindow{settings: s, buckets: make([]bucket, stepsPerWindow+1), peers: map[string]RetryCounts{}}
}

func (w *RetryWindow) bucketAt(now time.Duration) *bucket {
	step := int64(now / (w.settings.Length / stepsPerWindow))
	b := &w.buckets[step%int64(len(w.buckets))]
	if b.step != step {
		*b = bucket{step: step}
	}
	return b
}

// RecordRequest counts a request of this instance.
func (w *RetryWindow) RecordRequest(now time.Duration) {
	w.bucketAt(now).requests++
	w.local.Requests++
}

// PeerCoverage says how many of the instances that share the bound report their counts.
type PeerCoverage struct {
	// Known is the number of known instances, and Reporting the number of those whose counts
	// arrive; both include this one.
	Reporting, Known int
}

// RetryUsage is what a window holds.
type RetryUsage struct {
	// Requests and Retries are those of all instances that count, as far as this one knows.
	Requests, Retries uint64
	// Allowed is how many retries this instance lets be reached: recoveries up to RecoveryAllowed.
	Allowed, RecoveryAllowed float64
}

// Usage returns what the window holds, and up to how many retries the bound allows.
func (w *RetryWindow) Usage(now time.Duration, s PeerCoverage) RetryUsage {
	requests, retries := w.sum(now)
	reservePart := 1.0
	if s.Known > s.Reporting {
		reservePart = float64(s.Reporting) / float64(s.Known)
	}
	bound := w.settings.Share*float64(requests) + reservePart*w.settings.Reserve
	return RetryUsage{Requests: requests, Retries: retries, Allowed: (w.settings.Margin - w.settings.RecoveryMargin) * bound, RecoveryAllowed: w.settings.Margin * bound}
}

// CanRetry tells whether the bound allows one more retry, and counts nothing. An instance that does
// not receive the counts of all others may use only a proportional part of the reserve.
func (w *RetryWindow) CanRetry(now time.Duration, s PeerCoverage, recovery bool) bool {
	u := w.Usage(now, s)
	allowed := u.Allowed
	if recovery {
		allowed = u.RecoveryAllowed
	}
	return float64(u.Retries+1) <= allowed
}

// TryRetry counts one retry of this instance. It returns false if the bound does not allow it.
func (w *RetryWindow) TryRetry(now time.Duration, s PeerCoverage, recovery bool) bool {
	if !w.CanRetry(now, s, recovery) {
		return false
	}
	w.bucketAt(now).retries++
	w.local.Retries++
	return true
}

// LocalCounts returns what this instance has counted, to be reported to the others.
func (w *RetryWindow) LocalCounts() RetryCounts { return w.local }

// UpdatePeer takes what another instance has counted since it started, and adds the increase to the
// window.
func (w *RetryWindow) UpdatePeer(now time.Duration, peer string, c RetryCounts) {
	old, known := w.peers[peer]
	w.peers[peer] = c
	if !known || c.Requests < old.Requests || c.Retries < old.Retries {
		return // a new or restarted peer: its previous counts may be older than the window
	}
	b := w.bucketAt(now)
	b.requests += c.Requests - old.Requests
	b.retries += c.Retries - old.Retries
}

// RemovePeer forgets an instance that does not report any more.
func (w *RetryWindow) RemovePeer(peer string) { delete(w.peers, peer) }

// sum returns the requests and retries within the window.
func (w *RetryWindow) sum(now time.Duration) (requests, retries uint64) {
	step := int64(now / (w.settings.Length / stepsPerWindow))
	for i := range w.buckets {
		if b := &w.buckets[i]; b.step > step-int64(len(w.buckets)) && b.step <= step {
			requests += b.requests
			retries += b.retries
		}
	}
	return requests, retries
}

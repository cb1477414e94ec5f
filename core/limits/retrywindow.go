package limits

import "time"

// RetryWindow bounds the retries that all instances together send to a service within a sliding
// window: a share of the service's requests, plus a reserve. Each instance counts its own retries
// and learns the others' counts some hundreds of milliseconds late, so a margin is kept below the
// bound. Splitting the budget among the instances instead would refuse most retries while most of
// the budget is unused: with 87 instances each had room for one retry at a time, and streams were
// broken off for that.
//
// The counts of an instance end with its process, so one that starts takes over those of the others. Until it
// knows what was sent in the whole window before, it is uninformed and uses only a part of the bound that informed
// instances leave unused. What it uses grows with its own requests and its own time, so any number of restarts
// within a window use that part once.
//
// The zero value is not usable; see [NewRetryWindow]. It does no I/O and reads no clock, and is not
// safe for concurrent use. Times are durations since a fixed start.
type RetryWindow struct {
	settings RetryWindowSettings
	// own holds what this process has counted, others what other instances and former processes of this one have.
	own    slidingCounts
	local  RetryCounts
	others *RetryLedger
	// knownSince is since when the retries of all instances are known.
	knownSince time.Duration
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
	// UninformedMargin is the fraction of the bound that uninformed instances together may use besides.
	UninformedMargin float64
	// UninformedRounding is a random number in [0, 1), drawn for each process. In a large fleet the part of each
	// instance is less than one retry: so many of them round it up that the sum is right.
	UninformedRounding float64
}

// NewRetryWindow returns a window without requests and retries, as if the fleet had sent none before.
func NewRetryWindow(s RetryWindowSettings) *RetryWindow {
	return &RetryWindow{settings: s, others: NewRetryLedger(s.Length), knownSince: -s.Length}
}

// SetKnownSince sets since when the retries of all instances are known.
func (w *RetryWindow) SetKnownSince(t time.Duration) { w.knownSince = t }

// RecordRequest counts a request of this instance.
func (w *RetryWindow) RecordRequest(now time.Duration) {
	w.own.at(w.others.stepAt(now)).requests++
	w.local.Requests++
}

// PeerCoverage says which of the known instances share the bound with this one, see [RetryGroup].
type PeerCoverage struct {
	// Known is the number of known instances, and Reporting the number of those that share the bound; both include this
	// one.
	Reporting, Known int
	// Sharing reports whether an instance is one of them, by the name under which it reports. Nil stands for all that report.
	Sharing func(instance string) bool
}

// RetryUsage is what a window holds.
type RetryUsage struct {
	// Requests and Retries are those of all instances that count, as far as this one knows.
	Requests, Retries uint64
	// Allowed is how many retries this instance lets be reached: recoveries up to RecoveryAllowed.
	Allowed, RecoveryAllowed float64
	// Withheld is the part of the reserve that is left to instances which do not share the bound with this one.
	Withheld float64
	// Uninformed is set while the retries in a part of the window are not known.
	Uninformed bool
	// OldestReport is the age of the oldest last report of the instances that count as reporting.
	OldestReport time.Duration
}

// Usage returns what the window holds, and up to how many retries this instance lets be reached.
func (w *RetryWindow) Usage(now time.Duration, s PeerCoverage) RetryUsage {
	reservePerInstance := w.settings.Reserve / float64(max(s.Known, 1))
	requests, retries := w.others.SumShared(now, s.Sharing, func(requests uint64) float64 {
		return w.settings.Margin * (w.settings.Share*float64(requests) + reservePerInstance)
	})
	ownRequests, ownRetries := w.own.sum(0, w.others.stepAt(now))
	u := RetryUsage{Requests: requests + ownRequests, Retries: retries + ownRetries, Uninformed: now-w.knownSince < w.settings.Length, OldestReport: w.others.Oldest(now)}
	reservePart := 1.0
	if s.Known > s.Reporting {
		reservePart = float64(s.Reporting) / float64(s.Known)
	}
	u.RecoveryAllowed = w.settings.Margin * (w.settings.Share*float64(u.Requests) + reservePart*w.settings.Reserve)
	u.Withheld = w.settings.Margin * (1 - reservePart) * w.settings.Reserve
	othersPart := 1 - w.settings.RecoveryMargin/w.settings.Margin
	u.Allowed = othersPart * u.RecoveryAllowed
	if u.Uninformed {
		part, used := w.uninformedPart(now, s)
		u.RecoveryAllowed = min(u.RecoveryAllowed, float64(u.Retries-used)+part)
		u.Allowed = min(u.Allowed, float64(u.Retries-used)+othersPart*part)
	}
	return u
}

// uninformedPart returns how many retries this process may send while it is uninformed, and how many it has sent.
func (w *RetryWindow) uninformedPart(now time.Duration, s PeerCoverage) (part float64, used uint64) {
	requests, retries := w.own.sum(w.others.stepAt(w.knownSince), w.others.stepAt(now))
	lifetime := float64(now-w.knownSince) / float64(w.settings.Length)
	part = w.settings.UninformedMargin * (w.settings.Share*float64(requests) + w.settings.Reserve*lifetime/float64(max(s.Known, 1)))
	return part + w.settings.UninformedRounding, retries
}

// CanRetry tells whether the bound allows one more retry, and counts nothing. An instance that does not share the bound
// with all others may use only a proportional part of the reserve.
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
	w.own.at(w.others.stepAt(now)).retries++
	w.local.Retries++
	return true
}

// LocalCounts returns what this process has counted, to be reported to the others.
func (w *RetryWindow) LocalCounts(now time.Duration) RetryCounts {
	c := w.local
	c.RecentRequests, c.RecentRetries = w.own.sum(0, w.others.stepAt(now))
	return c
}

// UpdatePeer takes what another instance, or a group, has counted.
func (w *RetryWindow) UpdatePeer(now time.Duration, peer string, c RetryCounts) {
	w.others.Update(now, peer, c)
}

// RemovePeer records that an instance does not report any more.
func (w *RetryWindow) RemovePeer(now time.Duration, peer string) { w.others.Silence(now, peer) }

// Export returns what this instance knows of all that have sent retries, for one that starts. self names this instance, and process its
// process.
func (w *RetryWindow) Export(now time.Duration, self string, process uint64) []RetrySource {
	step := w.others.stepAt(now)
	own := retrySource{counts: w.own, last: w.local}
	own.last.Process = process
	if former := w.others.sources[self]; former != nil {
		own.counts.add(&former.counts, step)
	}
	var out []RetrySource
	if s := own.export(self, step); s.retries() > 0 {
		out = append(out, s)
	}
	for _, s := range w.others.Export(now) {
		if s.Instance != self {
			out = append(out, s)
		}
	}
	return out
}

// Merge takes what another instance has exported. Of what that one knows of this instance, the counts of former
// processes are new.
func (w *RetryWindow) Merge(now time.Duration, self string, process uint64, exported *RetrySource) {
	s := *exported
	if s.Instance == self {
		if s.Last.Process == process {
			s = s.withoutNewest(w.others.stepAt(now))
		}
		s.Last, s.Silent = RetryCounts{}, false
	}
	w.others.Merge(now, &s)
}

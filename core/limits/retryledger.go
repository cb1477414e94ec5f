package limits

import (
	"maps"
	"math"
	"slices"
	"time"
)

// RetryCounts holds what a process has counted for a service.
type RetryCounts struct {
	// Requests and Retries are counted since the process started.
	Requests, Retries uint64
	// RecentRequests and RecentRetries are those of them within the last window.
	RecentRequests, RecentRetries uint64
	// Process identifies the process that counted. It differs after a restart.
	Process uint64
	// Group is set for the counts of several instances, which one of them sums up. When another one takes
	// over, its recent counts repeat what the one before had reported.
	Group bool
}

// TotalRetries returns the sum of the retries to all services.
func TotalRetries(counts map[string]RetryCounts) uint64 {
	sum := uint64(0)
	for _, c := range counts {
		sum += c.Retries
	}
	return sum
}

// stepsPerWindow is the number of time steps in a window.
const stepsPerWindow = 20

// slidingCounts counts requests and retries in time steps of one window and the current step.
type slidingCounts [stepsPerWindow + 1]bucket

// bucket counts one time step.
type bucket struct {
	step              int64
	requests, retries uint64
}

// at returns the counts of a time step.
func (c *slidingCounts) at(step int64) *bucket {
	b := &c[step%int64(len(c))]
	if b.step != step {
		*b = bucket{step: step}
	}
	return b
}

// sum returns what was counted from a step on, up to the current one.
func (c *slidingCounts) sum(from, current int64) (requests, retries uint64) {
	from = max(from, current-int64(len(c))+1)
	for i := range c {
		if b := &c[i]; b.step >= from && b.step <= current {
			requests += b.requests
			retries += b.retries
		}
	}
	return requests, retries
}

// removeNewest removes counts, the newest first.
func (c *slidingCounts) removeNewest(current int64, requests, retries uint64) {
	for step := current; step > current-int64(len(c)) && step >= 0; step-- {
		b := &c[step%int64(len(c))]
		if b.step != step {
			continue
		}
		n, m := min(b.requests, requests), min(b.retries, retries)
		b.requests, b.retries, requests, retries = b.requests-n, b.retries-m, requests-n, retries-m
	}
}

// add adds the counts of others within the window.
func (c *slidingCounts) add(others *slidingCounts, current int64) {
	for i := range others {
		if o := &others[i]; o.step > current-int64(len(c)) && o.step <= current {
			b := c.at(o.step)
			b.requests += o.requests
			b.retries += o.retries
		}
	}
}

// RetryLedger holds what instances have counted for a service within a sliding window, by instance. It keeps the
// retries of an instance that is silent or gone until they leave the window, and counts its requests only while it
// reports: it may still be alive behind a partition, and use up the share of its requests itself.
//
// Times are durations since a fixed start. The zero value is not usable; see [NewRetryLedger].
type RetryLedger struct {
	step    time.Duration
	sources map[string]*retrySource
}

// retrySource is what one instance, or a group, has reported. Its counts include those of former processes.
type retrySource struct {
	counts slidingCounts
	last   RetryCounts // as last reported
	silent bool
	// heardAt is when its last report came.
	heardAt time.Duration
}

// NewRetryLedger returns an empty ledger for windows of a length.
func NewRetryLedger(length time.Duration) *RetryLedger {
	return &RetryLedger{step: length / stepsPerWindow, sources: map[string]*retrySource{}}
}

func (l *RetryLedger) stepAt(now time.Duration) int64 { return int64(now / l.step) }

// Update takes what an instance has counted, and returns what is new. Counts of a process that reports for the
// first time are new as far as they are recent.
func (l *RetryLedger) Update(now time.Duration, instance string, c RetryCounts) (requests, retries uint64) {
	step := l.stepAt(now)
	s := l.sources[instance]
	if s == nil {
		s = &retrySource{}
		l.sources[instance] = s
	}
	requests, retries = s.increase(&c, step)
	b := s.counts.at(step)
	b.requests += requests
	b.retries += retries
	s.last, s.silent, s.heardAt = c, false, now
	return requests, retries
}

// increase returns what a report adds to the counts of a source.
func (s *retrySource) increase(c *RetryCounts, step int64) (requests, retries uint64) {
	if c.Process == s.last.Process && c.Requests >= s.last.Requests && c.Retries >= s.last.Retries {
		return min(c.Requests-s.last.Requests, c.RecentRequests), min(c.Retries-s.last.Retries, c.RecentRetries)
	}
	if !c.Group {
		return c.RecentRequests, c.RecentRetries
	}
	knownRequests, knownRetries := s.counts.sum(0, step)
	return c.RecentRequests - min(knownRequests, c.RecentRequests), c.RecentRetries - min(knownRetries, c.RecentRetries)
}

// Silence marks an instance that does not report any more.
func (l *RetryLedger) Silence(now time.Duration, instance string) {
	s := l.sources[instance]
	if s == nil {
		return
	}
	s.silent = true
	l.removeExpired(now)
}

// removeExpired removes silent instances without counts in the window.
func (l *RetryLedger) removeExpired(now time.Duration) {
	step := l.stepAt(now)
	maps.DeleteFunc(l.sources, func(_ string, s *retrySource) bool {
		requests, retries := s.counts.sum(0, step)
		return s.silent && requests+retries == 0
	})
}

// Sum returns the requests of the instances that report, and the retries of all, within the window.
func (l *RetryLedger) Sum(now time.Duration) (requests, retries uint64) {
	return l.SumShared(now, nil, nil)
}

// SumShared is like Sum for an instance that shares the bound with some of the others only. Of one that reports and does not
// share it, only the retries beyond its own part count, which it took from the parts of others. Without shares, all that report
// share the bound.
func (l *RetryLedger) SumShared(now time.Duration, shares func(instance string) bool, part func(requests uint64) float64) (requests, retries uint64) {
	step := l.stepAt(now)
	for name, s := range l.sources {
		n, m := s.counts.sum(0, step)
		switch {
		case shares == nil && !s.silent, shares != nil && shares(name):
			requests += n
			retries += m
		case s.silent:
			retries += m
		default:
			retries += uint64(math.Ceil(max(float64(m)-part(n), 0)))
		}
	}
	return requests, retries
}

// Oldest returns the age of the oldest last report of the instances that are not silent.
func (l *RetryLedger) Oldest(now time.Duration) (age time.Duration) {
	for _, s := range l.sources {
		if !s.silent {
			age = max(age, now-s.heardAt)
		}
	}
	return age
}

// RetrySource is what a ledger holds of one instance or group, for another ledger.
type RetrySource struct {
	Instance string
	Last     RetryCounts
	Silent   bool
	// Steps holds the time steps of the window in which anything was counted.
	Steps []RetryStep
}

func (s *RetrySource) retries() (sum uint64) {
	for _, st := range s.Steps {
		sum += st.Retries
	}
	return sum
}

// RetryStep is what was counted in a time step.
type RetryStep struct {
	// Age is how many steps ago that was; 0 for the current one.
	Age               int
	Requests, Retries uint64
}

// export returns a source for another ledger.
func (s *retrySource) export(instance string, step int64) RetrySource {
	out := RetrySource{Instance: instance, Last: s.last, Silent: s.silent}
	for age := range min(int64(len(s.counts)), step+1) {
		b := &s.counts[(step-age)%int64(len(s.counts))]
		if b.step == step-age && b.requests+b.retries > 0 {
			out.Steps = append(out.Steps, RetryStep{Age: int(age), Requests: b.requests, Retries: b.retries})
		}
	}
	return out
}

// importSource returns a source that another ledger has exported.
func importSource(s *RetrySource, now time.Duration, step int64) *retrySource {
	in := &retrySource{last: s.Last, silent: s.Silent, heardAt: now}
	for _, st := range s.Steps {
		if st.Age >= 0 && st.Age < len(in.counts) && int64(st.Age) <= step {
			b := in.counts.at(step - int64(st.Age))
			b.requests, b.retries = st.Requests, st.Retries
		}
	}
	return in
}

// withoutNewest returns the source without what its last process has counted.
func (s *RetrySource) withoutNewest(step int64) RetrySource {
	in := importSource(s, 0, step)
	in.counts.removeNewest(step, s.Last.Requests, s.Last.Retries)
	return in.export(s.Instance, step)
}

// Export returns the sources with retries in the window, in the order of their names. What the others have counted
// comes with their own reports.
func (l *RetryLedger) Export(now time.Duration) []RetrySource {
	l.removeExpired(now)
	var out []RetrySource
	for _, name := range slices.Sorted(maps.Keys(l.sources)) {
		if s := l.sources[name].export(name, l.stepAt(now)); s.retries() > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Merge takes a source that another instance has exported. Of a source that both know, the counts with more
// retries are kept.
func (l *RetryLedger) Merge(now time.Duration, exported *RetrySource) {
	step := l.stepAt(now)
	in, own := importSource(exported, now, step), l.sources[exported.Instance]
	if own == nil {
		l.sources[exported.Instance] = in
		return
	}
	if in.last.Process == own.last.Process { // this ledger may have a later report
		b := in.counts.at(step)
		b.requests += own.last.Requests - min(in.last.Requests, own.last.Requests)
		b.retries += own.last.Retries - min(in.last.Retries, own.last.Retries)
		in.last.Requests = max(in.last.Requests, own.last.Requests)
		in.last.Retries = max(in.last.Retries, own.last.Retries)
	}
	_, heard := in.counts.sum(0, step)
	_, known := own.counts.sum(0, step)
	if heard > known {
		own.counts, own.last = in.counts, in.last // the next report adds to what is now counted
	}
}

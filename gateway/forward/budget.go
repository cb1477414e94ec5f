package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/gateway/clock"
)

// retryBudgets bounds the retries of each service. All instances share the bound and exchange their
// counts. It is safe for concurrent use.
type retryBudgets struct {
	settings limits.RetryWindowSettings
	now      clock.Func
	mu       sync.Mutex
	windows  map[string]*limits.RetryWindow
	// knownSince is since when the retries of all instances are known, and checkedAt when that was last checked.
	knownSince, checkedAt time.Duration
	// publishedAt is when the gauges of all services were last set.
	publishedAt time.Duration
}

const (
	// retryBudgetMargin is the part of the bound that is used. Counts of other instances arrive up
	// to a second late, and their windows are not aligned. With 87 instances and 366 retries
	// allowed, 90 may be sent before all other instances have learned of them.
	retryBudgetMargin = 0.75
	// recoveryRetryShare is the part of the bound reserved for streams that resume from a copy of
	// their memory. Those can be on time, whereas a stream that has to prefill its prompt again is
	// late in any case.
	recoveryRetryShare = 0.15
	// uninformedRetryMargin is the part of the bound for instances that have started and do not know yet what was
	// sent before. With retryBudgetMargin it leaves a tenth for retries that others learn of late, or never.
	uninformedRetryMargin = 0.15
	// maxCheckGap is the longest time between two checks of what is known. After a longer one, this process did not run,
	// and does not know what others have sent meanwhile.
	maxCheckGap = 2 * time.Second
	// retryGaugeInterval is how often the gauges of the budgets are set. They fall when requests are not sent again any
	// more.
	retryGaugeInterval = time.Second
)

func newRetryBudgets(s *Settings, now clock.Func) *retryBudgets {
	settings := limits.RetryWindowSettings{
		Share: s.RetryShare, Reserve: s.RetryReserve, Length: s.RetryWindow, Margin: retryBudgetMargin, RecoveryMargin: recoveryRetryShare,
		UninformedMargin: uninformedRetryMargin, UninformedRounding: rand.Float64(),
	}
	return &retryBudgets{settings: settings, now: now, windows: map[string]*limits.RetryWindow{}, knownSince: now(), checkedAt: now()}
}

func (b *retryBudgets) get(service string) *limits.RetryWindow {
	w := b.windows[service]
	if w == nil {
		w = limits.NewRetryWindow(b.settings)
		w.SetKnownSince(b.knownSince)
		b.windows[service] = w
	}
	return w
}

func (b *retryBudgets) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).RecordRequest(b.now())
}

// hasRoom reports whether one more retry fits the budget, without taking it.
func (b *retryBudgets) hasRoom(service string, s limits.PeerCoverage, recovery bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).CanRetry(b.now(), s, recovery)
}

// takeRetry takes one retry from the budget, and returns false when none is left.
func (b *retryBudgets) takeRetry(service string, s limits.PeerCoverage, recovery bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).TryRetry(b.now(), s, recovery)
}

// usage returns what the window of a service holds.
func (b *retryBudgets) usage(service string, s limits.PeerCoverage) limits.RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).Usage(b.now(), s)
}

// knownFor returns for how long the retries of all instances are known.
func (b *retryBudgets) knownFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now() - b.knownSince
}

// RetryCounts returns the requests and retries that this instance has counted, by service.
func (f *Forwarder) RetryCounts() map[string]limits.RetryCounts {
	return f.retryBudgets.localCounts()
}

func (b *retryBudgets) localCounts() map[string]limits.RetryCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	counts := make(map[string]limits.RetryCounts, len(b.windows))
	for service, w := range b.windows {
		counts[service] = w.LocalCounts(now)
	}
	return counts
}

// setKnownSince sets since when the retries of all instances are known. The caller holds mu.
func (b *retryBudgets) setKnownSince(t time.Duration) {
	b.knownSince = t
	for _, w := range b.windows {
		w.SetKnownSince(t)
	}
}

// RetryHistory returns what all instances have counted within the last window, by service, and for how long this
// instance knows that.
func (f *Forwarder) RetryHistory(process uint64) (sources map[string][]limits.RetrySource, knownFor time.Duration) {
	b := f.retryBudgets
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	sources = make(map[string][]limits.RetrySource, len(b.windows))
	for service, w := range b.windows {
		sources[service] = w.Export(now, f.Settings.Instance, process)
	}
	return sources, now - b.knownSince
}

// MergeRetryHistory takes the history of another instance, which knows it for some time.
func (f *Forwarder) MergeRetryHistory(process uint64, sources map[string][]limits.RetrySource, knownFor time.Duration) {
	if f.Settings.Disabled.SharedRetries {
		return
	}
	b := f.retryBudgets
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for service, all := range sources {
		for i := range all {
			b.get(service).Merge(now, f.Settings.Instance, process, &all[i])
		}
	}
	b.setKnownSince(min(b.knownSince, now-knownFor))
}

// NeedsRetryHistory reports whether this instance does not know what was sent in the whole last window. It is called
// several times a second.
func (f *Forwarder) NeedsRetryHistory() bool {
	defer f.publishRetryBudgets()
	b := f.retryBudgets
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now-b.checkedAt > maxCheckGap {
		b.setKnownSince(now)
	}
	b.checkedAt = now
	return now-b.knownSince < b.settings.Length
}

// publishRetryBudgets sets the gauges of the budgets if they are due.
func (f *Forwarder) publishRetryBudgets() {
	b, coverage := f.retryBudgets, f.sharing()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now-b.publishedAt < retryGaugeInterval {
		return
	}
	b.publishedAt = now
	f.metrics.setRetriesKnown(min(now-b.knownSince, b.settings.Length))
	for service, w := range b.windows {
		usage := w.Usage(now, coverage)
		f.metrics.updateRetryUsage(service, &usage)
	}
}

// SetPeerRetryCounts records what another instance has counted. Nil counts remove an instance that
// went silent.
func (f *Forwarder) SetPeerRetryCounts(peer string, counts map[string]limits.RetryCounts) {
	if f.Settings.Disabled.SharedRetries {
		return
	}
	f.retryBudgets.mu.Lock()
	defer f.retryBudgets.mu.Unlock()
	for service, c := range counts {
		f.retryBudgets.get(service).UpdatePeer(f.retryBudgets.now(), peer, c)
	}
	if counts == nil {
		for _, w := range f.retryBudgets.windows {
			w.RemovePeer(f.retryBudgets.now(), peer)
		}
	}
}

// takeRetry reports whether a request may be retried, and counts the retry. recovery is set when
// the request resumes from a copy of its memory.
func (f *Forwarder) takeRetry(req *request, recovery bool) bool {
	coverage := f.sharing()
	if !f.retryBudgets.takeRetry(req.service, coverage, recovery) {
		f.recordRetryDenied(req, coverage, recovery)
		return false
	}
	f.metrics.countRetry(req.service)
	f.Peers.Repeated()
	return true
}

// mayTakeRetry reports whether takeRetry would allow a retry now, and counts none.
func (f *Forwarder) mayTakeRetry(req *request, recovery bool) bool {
	coverage := f.sharing()
	if !f.retryBudgets.hasRoom(req.service, coverage, recovery) {
		f.recordRetryDenied(req, coverage, recovery)
		return false
	}
	return true
}

// recordRetryDenied logs and counts a retry that the bound does not allow.
func (f *Forwarder) recordRetryDenied(req *request, coverage limits.PeerCoverage, recovery bool) {
	usage := f.retryBudgets.usage(req.service, coverage)
	f.metrics.countRetryDenied(req.service)
	f.Log.Refusal(req.ID, "retry refused", logrus.Fields{
		"service": req.service, "recovery": recovery, "retries": usage.Retries, "requests": usage.Requests,
		"allowed": usage.Allowed, "allowed_recovery": usage.RecoveryAllowed, "instances_reporting": coverage.Reporting, "instances_known": coverage.Known,
		"withheld": usage.Withheld, "uninformed": usage.Uninformed, "oldest_report_ms": usage.OldestReport.Milliseconds(), "known_ms": f.retryBudgets.knownFor().Milliseconds(), "up_ms": time.Since(f.startedAt).Milliseconds(),
	})
}

// sharing returns with which instances this one shares the bound on retries.
func (f *Forwarder) sharing() limits.PeerCoverage {
	if !f.Settings.Disabled.SharedRetries {
		return f.Peers.RetryCoverage()
	}
	_, known := f.Peers.Instances()
	return limits.PeerCoverage{Reporting: 1, Known: known}
}

// defaultRetryWindow is used when the settings give no window.
const defaultRetryWindow = 10 * time.Second

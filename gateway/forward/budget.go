package forward

import (
	"sync"
	"time"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/gateway/clock"
)

// budgets bound what is sent once more, for each service. All instances share the bound and tell each
// other what they counted. Safe for concurrent use.
type budgets struct {
	set     limits.RetryWindowSettings
	now     clock.Func
	mu      sync.Mutex
	windows map[string]*limits.RetryWindow
}

const (
	// margin keeps below the bound: what others count is heard up to a second late, and their windows do not begin
	// together. With 87 instances and 366 repetitions allowed, 90 may be sent before all others have heard of them.
	margin = 0.75
	// kept is for streams that go on from a copy of their memory: they are on time, where one that has to read its
	// prompt again is late in any case.
	kept = 0.15
)

func newBudgets(s *Settings, now clock.Func) *budgets {
	set := limits.RetryWindowSettings{Share: s.RetryShare, Reserve: s.RetryReserve, Length: s.RetryWindow, Margin: margin, RecoveryMargin: kept}
	return &budgets{set: set, now: now, windows: map[string]*limits.RetryWindow{}}
}

func (b *budgets) get(service string) *limits.RetryWindow {
	w := b.windows[service]
	if w == nil {
		w = limits.NewRetryWindow(b.set)
		b.windows[service] = w
	}
	return w
}

func (b *budgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).RecordRequest(b.now())
}

// room tells whether there is room for one repetition.
func (b *budgets) room(service string, s limits.PeerCoverage, recovery bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).CanRetry(b.now(), s, recovery)
}

// repeat takes one repetition, and returns false when there is no room.
func (b *budgets) repeat(service string, s limits.PeerCoverage, recovery bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).TryRetry(b.now(), s, recovery)
}

// Uses returns what this instance has counted, by service.
func (f *Forwarder) Uses() map[string]limits.RetryCounts {
	f.budgets.mu.Lock()
	defer f.budgets.mu.Unlock()
	out := make(map[string]limits.RetryCounts, len(f.budgets.windows))
	for service, w := range f.budgets.windows {
		out[service] = w.LocalCounts()
	}
	return out
}

// HeardUses takes what another instance has counted; nil when it fell silent.
func (f *Forwarder) HeardUses(peer string, uses map[string]limits.RetryCounts) {
	if f.Settings.Without.SharedRetries {
		return
	}
	f.budgets.mu.Lock()
	defer f.budgets.mu.Unlock()
	for service, c := range uses {
		f.budgets.get(service).UpdatePeer(f.budgets.now(), peer, c)
	}
	if uses == nil {
		for _, w := range f.budgets.windows {
			w.RemovePeer(peer)
		}
	}
}

// mayRepeat tells whether a request may be sent once more, and counts it. recovery tells that it goes on
// from a copy of its memory.
func (f *Forwarder) mayRepeat(service string, recovery bool) bool {
	if !f.budgets.repeat(service, f.sharing(), recovery) {
		f.metrics.repeatsRefused.Inc(1)
		return false
	}
	f.metrics.retries.Inc(1)
	f.Others.Repeated()
	return true
}

// hasRoom tells whether a request could be sent once more, and counts nothing.
func (f *Forwarder) hasRoom(service string, recovery bool) bool {
	return f.budgets.room(service, f.sharing(), recovery)
}

func (f *Forwarder) sharing() limits.PeerCoverage {
	heard, known := f.Others.Instances()
	if f.Settings.Without.SharedRetries {
		heard = 1
	}
	return limits.PeerCoverage{Reporting: heard, Known: known}
}

// leastWindow is the window used where settings name none.
const leastWindow = 10 * time.Second

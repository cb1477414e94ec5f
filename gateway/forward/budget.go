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
	set     limits.WindowSettings
	now     clock.Now
	mu      sync.Mutex
	windows map[string]*limits.Window
}

// margin keeps below the bound: what others count is heard up to a second late, and their windows do not
// begin together.
const margin = 0.7

func newBudgets(s *Settings, now clock.Now) *budgets {
	set := limits.WindowSettings{Share: s.RetryShare, Reserve: s.RetryReserve, Length: s.RetryWindow, Margin: margin}
	return &budgets{set: set, now: now, windows: map[string]*limits.Window{}}
}

func (b *budgets) get(service string) *limits.Window {
	w := b.windows[service]
	if w == nil {
		w = limits.NewWindow(b.set)
		b.windows[service] = w
	}
	return w
}

func (b *budgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).Request(b.now())
}

// repeat takes one repetition, and returns false when there is no room.
func (b *budgets) repeat(service string, heard, known int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).Repeat(b.now(), heard, known)
}

// Uses returns what this instance has counted, by service.
func (f *Forwarder) Uses() map[string]limits.Counted {
	f.budgets.mu.Lock()
	defer f.budgets.mu.Unlock()
	out := make(map[string]limits.Counted, len(f.budgets.windows))
	for service, w := range f.budgets.windows {
		out[service] = w.Own()
	}
	return out
}

// HeardUses takes what another instance has counted; nil when it fell silent.
func (f *Forwarder) HeardUses(peer string, uses map[string]limits.Counted) {
	f.budgets.mu.Lock()
	defer f.budgets.mu.Unlock()
	for service, c := range uses {
		f.budgets.get(service).Heard(f.budgets.now(), peer, c)
	}
	if uses == nil {
		for _, w := range f.budgets.windows {
			w.Forget(peer)
		}
	}
}

// mayRepeat tells whether a request may be sent once more, and counts it.
func (f *Forwarder) mayRepeat(service string) bool {
	heard, known := f.Instances()
	if !f.budgets.repeat(service, heard, known) {
		f.metrics.repeatsRefused.Inc(1)
		return false
	}
	f.metrics.retries.Inc(1)
	return true
}

// leastWindow is the window used where settings name none.
const leastWindow = 10 * time.Second

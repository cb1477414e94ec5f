package crashes

import (
	"sync"
	"sync/atomic"

	"github.com/agateway/agateway/core/crashers"
)

// minLateLosses is the number of lost endpoints from which late crashes are reported while the
// attempt goes on.
const minLateLosses = 2

// Losses tracks the endpoints that one attempt of a caller has lost. Late crashes are held back
// until the attempt has lost several endpoints, or until it ends without a complete answer, because
// most requests with a late crash did not cause it. The zero value is ready to use. It is safe for
// concurrent use.
type Losses struct {
	count atomic.Int32

	mu          sync.Mutex
	lateReports []func() // held back until takeDue
	failed      bool     // the attempt ended without a complete answer
	complete    bool     // the attempt ended with a complete answer
}

// Any reports whether the attempt has lost an endpoint. It does not count requests that had just
// begun, losses on stale connections, and losses while too many crashes were pending.
func (l *Losses) Any() bool { return l.count.Load() > 0 }

// add reports a crash, or holds a late one back until it counts. It drops a late one if the attempt
// is complete.
func (l *Losses) add(crash *crashers.Crash, report func()) {
	if crash.Phase != crashers.Late {
		report()
		return
	}
	l.mu.Lock()
	if !l.complete {
		l.lateReports = append(l.lateReports, report)
	}
	due := l.takeDue()
	l.mu.Unlock()
	callAll(due)
}

// takeDue returns the reports to make now and removes them. The caller holds mu, and makes the
// reports after it has released mu.
func (l *Losses) takeDue() []func() {
	if !l.failed && int(l.count.Load()) < minLateLosses {
		return nil
	}
	due := l.lateReports
	l.lateReports = nil
	return due
}

// End records that the attempt ended, with a complete answer or not. A complete answer is final:
// later calls change nothing.
func (l *Losses) End(complete bool) {
	l.mu.Lock()
	l.complete = l.complete || complete
	l.failed = !l.complete
	if l.complete {
		l.lateReports = nil
	}
	due := l.takeDue()
	l.mu.Unlock()
	callAll(due)
}

func callAll(reports []func()) {
	for _, f := range reports {
		f()
	}
}

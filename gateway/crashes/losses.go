package crashes

import (
	"sync"
	"sync/atomic"

	"github.com/agateway/agateway/core/crashers"
)

// lateLosses is the number of lost endpoints from which late ends are reported while the attempt goes on.
const lateLosses = 2

// Losses tracks the endpoints that one attempt of a caller has lost. Late ends are held back until there are several, or until the attempt
// ends without a whole answer, because most requests with a late end are bystanders. The zero value is ready to use. It is safe for
// concurrent use.
type Losses struct {
	count atomic.Int32

	mu    sync.Mutex
	held  []func() // report late ends
	ended bool     // without a whole answer
	whole bool     // ended with one
}

// Any tells whether an endpoint was lost with the request.
func (l *Losses) Any() bool { return l.count.Load() > 0 }

// take reports an end, or holds it until it counts.
func (l *Losses) take(end *crashers.Crash, report func()) {
	if end.Phase != crashers.Late {
		report()
		return
	}
	l.mu.Lock()
	if !l.whole {
		l.held = append(l.held, report)
	}
	due := l.due()
	l.mu.Unlock()
	call(due)
}

// due takes the reports that are to be made now. The caller holds mu.
func (l *Losses) due() []func() {
	if !l.ended && int(l.count.Load()) < lateLosses {
		return nil
	}
	due := l.held
	l.held = nil
	return due
}

// End records that the attempt ended. A whole answer is final: later calls change nothing.
func (l *Losses) End(whole bool) {
	l.mu.Lock()
	l.whole = l.whole || whole
	l.ended = !l.whole
	if l.whole {
		l.held = nil
	}
	due := l.due()
	l.mu.Unlock()
	call(due)
}

func call(all []func()) {
	for _, f := range all {
		f()
	}
}

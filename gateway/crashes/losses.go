package crashes

import (
	"sync"
	"sync/atomic"

	"github.com/agateway/agateway/core/crashers"
)

// lateLosses is how many endpoints have to end late under one attempt of a caller for the ends to count though it may be served yet.
const lateLosses = 2

// Losses are the endpoints that one attempt of a caller has lost. Late ends are held until there are several, or until the attempt ends
// without a whole answer: most of them are those of requests that only were there. The zero value is ready to use, and it is safe for
// concurrent use.
type Losses struct {
	count atomic.Int32

	mu    sync.Mutex
	held  []func()
	ended bool // without a whole answer
	whole bool
}

// Any tells whether an endpoint was lost with the request.
func (l *Losses) Any() bool { return l.count.Load() > 0 }

// take reports an end, or holds it until it counts.
func (l *Losses) take(end *crashers.End, report func()) {
	if end.Sign != crashers.Late {
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

// due returns what is to be reported now. The caller holds mu.
func (l *Losses) due() []func() {
	if !l.ended && int(l.count.Load()) < lateLosses {
		return nil
	}
	due := l.held
	l.held = nil
	return due
}

// End takes the end of the caller's attempt. After a whole answer, others say nothing more.
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

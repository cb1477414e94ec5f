package pause

import (
	"context"
	"sync"
	"time"
)

// Signal tells of an event that may occur several times to all that wait for it. The zero value is ready for
// use, and a nil Signal never occurs. It is safe for concurrent use.
type Signal struct {
	mu   sync.Mutex
	next chan struct{}
}

// Next returns a channel that is closed when the event occurs next.
func (s *Signal) Next() <-chan struct{} {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Notify tells that the event has occurred.
func (s *Signal) Notify() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// Notified reports whether the event of a channel of [Signal.Next] has occurred.
func Notified(next <-chan struct{}) bool {
	select {
	case <-next:
		return true
	default:
		return false
	}
}

// UntilNotified waits until the event of a channel of [Signal.Next] has occurred, but at most for d or until
// ctx ends. It reports whether the event has occurred, before the call or in its time.
func UntilNotified(ctx context.Context, d time.Duration, next <-chan struct{}) bool {
	UntilWoken(ctx, d, next)
	return Notified(next)
}

package upstream

import (
	"errors"
	"io"
	"sync"
)

// sentBytes passes a request on to its connection and counts what the connection takes, which does not depend on when
// the goroutine that writes the request next runs.
type sentBytes struct {
	conn io.Writer

	mu      sync.Mutex // held during a write
	written int64
	total   int64 // of the request; 0 until it is known
	stopped bool
}

var errStopped = errors.New("the rest of the request is not sent")

// Write implements [io.Writer].
func (s *sentBytes) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return 0, errStopped
	}
	n, err := s.conn.Write(b)
	s.written += int64(n)
	return n, err
}

// setRest tells how many bytes of the request are still to be written. It is called before the last of them is.
func (s *sentBytes) setRest(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total = s.written + n
}

// stop prevents further writes. It awaits one that is under way, so the connection has to be closed.
func (s *sentBytes) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// none reports whether the connection took no byte.
func (s *sentBytes) none() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written == 0
}

// all reports whether the connection took the whole request.
func (s *sentBytes) all() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total > 0 && s.written == s.total
}

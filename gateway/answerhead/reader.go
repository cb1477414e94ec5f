package answerhead

import (
	"io"
	"sync"
)

// Reader reads answers and fails where the head of one is malformed. Expect may be called while Read waits.
type Reader struct {
	R       io.Reader
	mu      sync.Mutex
	scanner scanner
}

// Expect makes the reader expect the head of another answer, of which the buffered bytes were read before.
func (r *Reader) Expect(buffered []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scanner = scanner{}
	_, err := r.scanner.scan(buffered)
	return err
}

// Read implements [io.Reader]. It returns the bytes before a malformed line. Its error stays, since parsers may read on
// after one.
func (r *Reader) Read(b []byte) (int, error) {
	if _, err := r.scan(nil); err != nil {
		return 0, err
	}
	n, err := r.R.Read(b)
	sound, scanErr := r.scan(b[:n])
	if scanErr != nil {
		return sound, scanErr
	}
	return n, err
}

func (r *Reader) scan(b []byte) (sound int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scanner.scan(b)
}

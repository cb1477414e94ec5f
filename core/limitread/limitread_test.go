package limitread

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAll checks that an answer at the bound is read whole, and that a longer one is an error and not a shorter
// answer.
func TestAll(t *testing.T) {
	for _, c := range []struct {
		length, bound int
		err           error
	}{{0, 4, nil}, {4, 4, nil}, {5, 4, ErrTooLong}, {1000, 4, ErrTooLong}, {0, 0, nil}, {1, 0, ErrTooLong}} {
		raw, err := All(strings.NewReader(strings.Repeat("x", c.length)), int64(c.bound))
		assert.Check(t, errors.Is(err, c.err), "%+v: %v", c, err)
		if c.err == nil {
			assert.Equal(t, len(raw), c.length)
		}
	}
}

// endless sends the same byte without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

// TestReader checks that a reader fails at its bound, passes on an end before it, and reads on with a new one.
func TestReader(t *testing.T) {
	r := NewReader(endless{})
	buffered := bufio.NewReader(r)
	r.Allow(10_000)
	_, err := buffered.ReadString('\n')
	assert.ErrorIs(t, err, ErrTooLong)
	r.Allow(3)
	n, err := io.ReadFull(r, make([]byte, 3))
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
	r.Allow(Unlimited)
	_, err = io.ReadFull(r, make([]byte, 100_000))
	assert.NilError(t, err)
	short := NewReader(strings.NewReader("abc"))
	short.Allow(100)
	raw, err := io.ReadAll(short)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "abc")
}

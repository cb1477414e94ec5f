package clock

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAges checks that an encoded age decodes to the same value, that a negative age becomes 0, and
// that an age that would overflow is bounded.
func TestAges(t *testing.T) {
	for _, d := range []time.Duration{0, time.Millisecond, time.Hour, MaxAge} {
		assert.Equal(t, DecodeAge(EncodeAge(d)), d)
	}
	assert.Equal(t, EncodeAge(-time.Second), uint64(0))
	assert.Equal(t, DecodeAge(math.MaxUint64), MaxAge)
}

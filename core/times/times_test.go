package times

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEarlierAndLater(t *testing.T) {
	first := time.Unix(5, 0)
	second := first.Add(time.Nanosecond)
	for _, pair := range [][2]time.Time{{first, second}, {second, first}} {
		assert.Equal(t, Earlier(pair[0], pair[1]), first)
		assert.Equal(t, Later(pair[0], pair[1]), second)
	}
	assert.Equal(t, Later(first, time.Time{}), first)
	assert.Equal(t, Earlier(first, time.Time{}), time.Time{})
}

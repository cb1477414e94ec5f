package revision

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFreshnessCountsFromTheStartOfTheRead(t *testing.T) {
	var f Freshness
	assert.Assert(t, !f.Within(0, time.Hour), "never confirmed")
	f.Confirm(10 * time.Second)
	f.Confirm(9 * time.Second) // this read began earlier and its answer was overtaken
	assert.Assert(t, f.Within(12*time.Second, 3*time.Second))
	assert.Assert(t, !f.Within(13*time.Second, 3*time.Second))
	// The machine was suspended for an hour. The clock went on, so the data is not fresh.
	assert.Assert(t, !f.Within(time.Hour, 3*time.Second))
}

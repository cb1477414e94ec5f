package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mixedTokens are the lengths of the prompts of two kinds of requests. Of each prompt's time, mixedFixed does not
// depend on its length.
const (
	mixedShort, mixedLong = 100, 8200
	mixedFixed            = 87 * time.Millisecond
)

func mixedTime(tokens int) time.Duration { return mixedFixed + time.Duration(tokens)*usualPerToken }

// TestMixOfPromptsMakesNoEngineSlow: engines that are used for short prompts only, or for long ones only, are as fast
// as the others. Neither kind may make them look slow or fast.
func TestMixOfPromptsMakesNoEngineSlow(t *testing.T) {
	v, now := newSpeedView(3), epoch
	for i := range 300 {
		tokens, id := mixedShort, "e000"
		switch i % 3 {
		case 1:
			tokens, id = mixedLong, "e001"
		case 2:
			tokens, id = []int{mixedShort, mixedLong}[i/3%2], "e002"
		}
		now = now.Add(100 * time.Millisecond)
		v.ObservePrefill(now, id, tokens, mixedTime(tokens))
		v.ObserveSpeed(now, id, tokens, 1, mixedTime(tokens))
	}
	assert.Equal(t, len(v.Paces(now)), 0, "%v", v.Paces(now))
	for _, id := range []string{"e000", "e001", "e002"} {
		speed, _ := v.Speed(now, id)
		assert.Assert(t, speed > 0.75 && speed < 1.3, "%s: %.2f", id, speed)
	}
}

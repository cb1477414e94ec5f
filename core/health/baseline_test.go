package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Times of an engine: a fixed part, and a part for each token.
const (
	engineFixed    = 87 * time.Millisecond
	enginePerToken = 125 * time.Microsecond
	longPrompt     = 8200 // tokens
)

func engineTime(tokens int) time.Duration {
	return engineFixed + time.Duration(tokens)*enginePerToken
}

// observePrompts records prompts of some lengths, each with up to a fifth more or less time than the engine takes.
func observePrompts(b *Baseline, count int, tokens func(i int) int) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range count {
		n := tokens(i)
		b.Observe(epoch, n, time.Duration(float64(engineTime(n))*(0.8+0.4*rnd.Float64())))
	}
}

// TestBaselineOfDifferentPrompts guards against a time per token that is derived from short prompts, most of whose
// time is not spent on their tokens. Whatever lengths came before, the expected times of both short and long prompts
// have to be about right, before a long prompt is observed again.
func TestBaselineOfDifferentPrompts(t *testing.T) {
	all := func(n int) func(int) int { return func(int) int { return n } }
	for name, phases := range map[string][]func(int) int{
		"short":               {all(100)},
		"very short":          {all(16)},
		"long":                {all(longPrompt)},
		"long, then short":    {all(longPrompt), all(100)},
		"long, then 300":      {all(longPrompt), all(300)},
		"long, then 1":        {all(longPrompt), all(1)},
		"short, then long":    {all(100), all(longPrompt)},
		"one long in seven":   {func(i int) int { return []int{16, longPrompt}[min(1, i%7/6)] }},
		"one short in seven":  {func(i int) int { return []int{longPrompt, 16}[min(1, i%7/6)] }},
		"several in a row":    {func(i int) int { return longPrompt * (1 + i%3) }, all(100)},
		"all lengths in turn": {func(i int) int { return 1 + (i*997)%longPrompt }},
	} {
		t.Run(name, func(t *testing.T) {
			var b Baseline
			for _, tokens := range phases {
				observePrompts(&b, 300, tokens)
			}
			for _, n := range []int{100, longPrompt, 4 * longPrompt} {
				expected, known := b.Expected(n)
				assert.Assert(t, known)
				factor := float64(expected) / float64(engineTime(n))
				assert.Assert(t, factor < 1.5, "%d tokens: %v in place of %v", n, expected, engineTime(n))
				if n == longPrompt {
					assert.Assert(t, factor > 0.5, "%d tokens: %v in place of %v", n, expected, engineTime(n))
				}
			}
		})
	}
}

// TestDelayedShortPromptsSayLittleOfLongOnes: short prompts that wait behind others take eight times as long. They
// must not make long prompts look as slow.
func TestDelayedShortPromptsSayLittleOfLongOnes(t *testing.T) {
	var b Baseline
	observePrompts(&b, 100, func(i int) int { return []int{100, longPrompt}[i%2] })
	for range 500 {
		b.Observe(epoch, 100, 8*engineTime(100))
	}
	expected, _ := b.Expected(longPrompt)
	assert.Assert(t, expected < 2*engineTime(longPrompt)+8*engineTime(100), "%v", expected)
}

// TestSpeedOfShortPrompts: the time per token that a short prompt shows is uncertain, and has to count for little.
func TestSpeedOfShortPrompts(t *testing.T) {
	var b Baseline
	perToken, weight := b.Speed(longPrompt, engineTime(longPrompt))
	assert.Assert(t, weight == 1 && perToken > 0)
	observePrompts(&b, 300, func(i int) int { return []int{100, longPrompt}[i%2] })
	_, weight = b.Speed(100, engineTime(100))
	assert.Assert(t, weight < 0.25, "%.2f", weight)
	perToken, weight = b.Speed(longPrompt, 2*engineTime(longPrompt))
	assert.Assert(t, weight > 0.75, "%.2f", weight)
	assert.Assert(t, perToken > 1.5*float64(enginePerToken) && perToken < 2.6*float64(enginePerToken), "%.0f", perToken)
}

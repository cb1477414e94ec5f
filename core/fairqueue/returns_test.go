package fairqueue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturningPromptGoesBeforeNewOnes guards against callers that are refused again and again: they come
// back at another instance, with a new request, behind all that came meanwhile.
func TestReturningPromptGoesBeforeNewOnes(t *testing.T) {
	for name, c := range map[string]struct {
		team      string
		prompt    uint64
		returnsAt time.Duration
		placed    bool // the prompt was placed between
		first     uint64
	}{
		"returns":                       {"a", 7, 7 * time.Second, false, 2},
		"returns too late":              {"a", 7, 9 * time.Second, false, 1},
		"another prompt":                {"a", 8, 8 * time.Second, false, 1},
		"the prompt of another team":    {"b", 7, 8 * time.Second, false, 1},
		"returns after the window":      {"a", 7, 6*time.Second + returnWindow, false, 1},
		"was placed, and is sent again": {"a", 7, 8 * time.Second, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			q := withTurns(1)
			one, other := newReporter(q, "one"), newReporter(q, "other")
			refused := request(1, "a", 0, 0)
			refused.Prompt = 7
			one.wait(0, refused)
			one.wait(5100*time.Millisecond, refused)
			assert.Equal(t, len(one.state(5100*time.Millisecond).Refused), 1)
			if c.placed {
				again := request(9, "a", 0, 5500*time.Millisecond)
				again.Prompt = 7
				one.wait(5500*time.Millisecond, again)
				one.place(5600*time.Millisecond, 9)
			}
			before := c.returnsAt - 100*time.Millisecond
			one.wait(before, request(1, "a", 0, before))
			one.state(before)
			returns := request(2, c.team, 0, c.returnsAt)
			returns.Prompt = c.prompt
			other.wait(c.returnsAt, returns)
			q.Decide(at(c.returnsAt))
			turns := append(q.State(at(c.returnsAt), "one").Turns, q.State(at(c.returnsAt), "other").Turns...)
			assert.DeepEqual(t, turns, []uint64{c.first})
		})
	}
}

// TestRefusedPromptsAreBounded checks that refused prompts do not take memory without bound or for ever.
func TestRefusedPromptsAreBounded(t *testing.T) {
	q := withTurns(1)
	for i := range uint64(maxRefusedPrompts + 100) {
		q.rememberRefused(at(0), &entry{Request: Request{Team: "a", Prompt: i + 1}})
	}
	assert.Equal(t, len(q.refusedPrompts), maxRefusedPrompts)
	q.Decide(at(0))
	q.Decide(at(returnWindow))
	assert.Equal(t, len(q.refusedPrompts), 0)
}

// TestPlacedWhileRefused guards against a request that is placed in the moment in which its latest start passes and it
// is refused: its team was not charged, and the placement did not count in the rate.
func TestPlacedWhileRefused(t *testing.T) {
	q := withTurns(1)
	r := newReporter(q, "i")
	r.wait(0, request(1, "a", 0, 0))
	r.wait(5100*time.Millisecond, request(1, "a", 0, 0))
	assert.Equal(t, len(r.state(5100*time.Millisecond).Refused), 1)
	for range 2 { // a report may be repeated
		r.place(5150*time.Millisecond, 1)
	}
	uses := q.Uses()
	assert.Equal(t, len(uses), 1)
	assert.Equal(t, uses[0].Tokens, 1000.0)
	placed := 0
	for _, b := range q.rate.buckets {
		placed += b.placements
	}
	assert.Equal(t, placed, 1)
}

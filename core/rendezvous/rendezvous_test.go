package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func members(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("m", i)
	}
	return out
}

// When a member is removed, its keys must spread over all others and no other key may move.
func TestOnlyKeysOfRemovedMemberMove(t *testing.T) {
	before, after := members(10), members(9)
	moved := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("k", i)
		a, b := Rank(key, before, 1)[0], Rank(key, after, 1)[0]
		if a != "m9" {
			assert.Equal(t, a, b)
			continue
		}
		moved[b]++
	}
	assert.Equal(t, len(moved), 9)
}

func TestRankWithFewerMembersThanAsked(t *testing.T) {
	assert.Equal(t, len(Rank("k", members(2), 5)), 2)
	assert.Equal(t, len(Rank("k", nil, 1)), 0)
}

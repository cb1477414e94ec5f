package crashes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/crashers"
)

// TestLosses checks that late crashes are reported once there are several, or once the caller's
// attempt ends without a complete answer.
func TestLosses(t *testing.T) {
	for name, c := range map[string]struct {
		phases      []crashers.Phase
		completions []bool // of the attempt: complete or not
		afterEnd    []crashers.Phase
		want        int
	}{
		"early":                              {phases: []crashers.Phase{crashers.Present}, want: 1},
		"late":                               {phases: []crashers.Phase{crashers.Late}, want: 0},
		"late and whole":                     {phases: []crashers.Phase{crashers.Late}, completions: []bool{true, false}, want: 0},
		"late and not whole":                 {phases: []crashers.Phase{crashers.Late}, completions: []bool{false}, want: 1},
		"two late":                           {phases: []crashers.Phase{crashers.Late, crashers.Late}, want: 2},
		"found out after the end":            {completions: []bool{false}, afterEnd: []crashers.Phase{crashers.Late}, want: 1},
		"found out after the end of a whole": {completions: []bool{true, false}, afterEnd: []crashers.Phase{crashers.Late}, want: 0},
	} {
		var l Losses
		reported := 0
		take := func(s crashers.Phase) {
			l.count.Add(1)
			l.add(&crashers.Crash{Phase: s}, func() { reported++ })
		}
		for _, s := range c.phases {
			take(s)
		}
		for _, whole := range c.completions {
			l.End(whole)
		}
		for _, s := range c.afterEnd {
			take(s)
		}
		assert.Check(t, reported == c.want, "%s: %d", name, reported)
	}
}

package crashes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/crashers"
)

// TestLosses: late ends count once there are several, or once the caller's attempt ends without a whole answer.
func TestLosses(t *testing.T) {
	for name, c := range map[string]struct {
		signs []crashers.Phase
		ends  []bool // of the attempt, whole or not
		after []crashers.Phase
		want  int
	}{
		"early":                              {signs: []crashers.Phase{crashers.Present}, want: 1},
		"late":                               {signs: []crashers.Phase{crashers.Late}, want: 0},
		"late and whole":                     {signs: []crashers.Phase{crashers.Late}, ends: []bool{true, false}, want: 0},
		"late and not whole":                 {signs: []crashers.Phase{crashers.Late}, ends: []bool{false}, want: 1},
		"two late":                           {signs: []crashers.Phase{crashers.Late, crashers.Late}, want: 2},
		"found out after the end":            {ends: []bool{false}, after: []crashers.Phase{crashers.Late}, want: 1},
		"found out after the end of a whole": {ends: []bool{true, false}, after: []crashers.Phase{crashers.Late}, want: 0},
	} {
		var l Losses
		reported := 0
		take := func(s crashers.Phase) {
			l.count.Add(1)
			l.take(&crashers.Crash{Phase: s}, func() { reported++ })
		}
		for _, s := range c.signs {
			take(s)
		}
		for _, whole := range c.ends {
			l.End(whole)
		}
		for _, s := range c.after {
			take(s)
		}
		assert.Check(t, reported == c.want, "%s: %d", name, reported)
	}
}

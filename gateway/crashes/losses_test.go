package crashes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/crashers"
)

// TestLosses: late ends count once there are several, or once the caller's attempt ends without a whole answer.
func TestLosses(t *testing.T) {
	for name, c := range map[string]struct {
		signs []crashers.Sign
		ends  []bool // of the attempt, whole or not
		after []crashers.Sign
		want  int
	}{
		"early":                              {signs: []crashers.Sign{crashers.Present}, want: 1},
		"late":                               {signs: []crashers.Sign{crashers.Late}, want: 0},
		"late and whole":                     {signs: []crashers.Sign{crashers.Late}, ends: []bool{true, false}, want: 0},
		"late and not whole":                 {signs: []crashers.Sign{crashers.Late}, ends: []bool{false}, want: 1},
		"two late":                           {signs: []crashers.Sign{crashers.Late, crashers.Late}, want: 2},
		"found out after the end":            {ends: []bool{false}, after: []crashers.Sign{crashers.Late}, want: 1},
		"found out after the end of a whole": {ends: []bool{true, false}, after: []crashers.Sign{crashers.Late}, want: 0},
	} {
		var l Losses
		reported := 0
		take := func(s crashers.Sign) {
			l.count.Add(1)
			l.take(&crashers.End{Sign: s}, func() { reported++ })
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

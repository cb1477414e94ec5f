package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func rate(r float64) Limits { return Limits{Rate: r, HasRate: true} }

// TestNewestStatementCounts guards against a limit that comes back after the endpoint withdrew it,
// or that an old report of a peer lowers or raises.
func TestNewestStatementCounts(t *testing.T) {
	var s Statements
	_, changed := s.Record("e", Statement{At: at(0)})
	assert.Assert(t, !changed && len(s.All()) == 0, "an endpoint without limits takes no memory")
	_, changed = s.Record("e", Statement{rate(8), at(time.Second)})
	assert.Assert(t, changed)
	_, changed = s.Record("e", Statement{rate(9), at(500 * time.Millisecond)})
	assert.Assert(t, !changed)
	assert.Equal(t, s.Of("e").Limits, rate(8))
	before, changed := s.Record("e", Statement{At: at(2 * time.Second)})
	assert.Assert(t, changed)
	assert.Equal(t, before.Limits, rate(8))
	s.Record("e", Statement{rate(8), at(1900 * time.Millisecond)})
	assert.Assert(t, !s.Of("e").Stated())
	s.Expire(at(11 * time.Second))
	assert.Equal(t, len(s.All()), 1)
	s.Expire(at(12 * time.Second))
	assert.Equal(t, len(s.All()), 0)
}

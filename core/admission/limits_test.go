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
	record := func(d time.Duration, l Limits, observed bool) bool {
		_, changed := s.Record("e", Statement{Limits: l, At: at(d)}, observed)
		return changed
	}
	assert.Assert(t, !record(0, Limits{}, true) && s.Stating() == 0 && len(s.byEndpoint) == 0, "an endpoint without limits takes no memory")
	assert.Assert(t, record(time.Second, rate(8), true))
	assert.Assert(t, !record(500*time.Millisecond, rate(9), false))
	assert.Assert(t, !record(1500*time.Millisecond, rate(8), true))
	assert.Equal(t, s.Of("e"), Statement{rate(8), at(1500 * time.Millisecond), at(time.Second)})
	assert.Assert(t, record(2*time.Second, Limits{}, true))
	assert.Assert(t, !record(1900*time.Millisecond, rate(8), false))
	assert.Assert(t, !s.Of("e").Stated() && s.Stating() == 0)
	assert.Equal(t, len(s.Observed()), 1, "peers have to learn that the limit is gone")
	s.Expire(at(11 * time.Second))
	assert.Equal(t, len(s.byEndpoint), 1)
	s.Expire(at(12 * time.Second))
	assert.Equal(t, len(s.byEndpoint), 0)
}

// TestReportedStatementsAreNotPassedOn guards against statements that two instances keep reporting
// to each other after the endpoint withdrew them.
func TestReportedStatementsAreNotPassedOn(t *testing.T) {
	var s Statements
	s.Record("e", Statement{Limits: rate(8), At: at(0)}, false)
	assert.Equal(t, len(s.Observed()), 0)
	s.Record("e", Statement{Limits: rate(8), At: at(time.Second)}, true)
	assert.Equal(t, len(s.Observed()), 1)
	s.Record("e", Statement{Limits: rate(8), At: at(2 * time.Second)}, false)
	assert.Equal(t, len(s.Observed()), 0)
}

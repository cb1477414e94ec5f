package crashes

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/gateway/clock"
)

// stoppedFact returns the fact of a stopped request.
func stoppedFact(team string) crashers.Fact {
	now := time.Now()
	end := crashers.Crash{Endpoint: "i-1", Phase: crashers.Begun, Sent: now.Add(-2 * time.Second), At: now.Add(-time.Second)}
	return crashers.Fact{
		Subject: crashers.Subject{Team: team, Content: crashers.ContentHash{1, 2, 3}}, Service: "engines", Crashes: []crashers.Crash{end, end, end},
		Stop: crashers.Stop{Count: 1, At: now, Until: now.Add(10 * time.Minute)},
	}
}

// TestFactRoundTrip checks that an encoded fact decodes to the same values, with times to a
// millisecond, and that invalid facts are left out. A content hash of the wrong length would
// otherwise panic.
func TestFactRoundTrip(t *testing.T) {
	now := time.Now().Truncate(time.Millisecond)
	f := stoppedFact("desk")
	f.ClearedAt, f.Trying, f.Stop.Stored = now.Add(-time.Minute), true, true
	got := DecodeFacts(now, EncodeFacts(now, []crashers.Fact{f}))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Subject, f.Subject)
	assert.Equal(t, len(got[0].Crashes), len(f.Crashes))
	near := func(a, b time.Time) {
		t.Helper()
		assert.Assert(t, a.Sub(b).Abs() <= time.Millisecond, "%v %v", a, b)
	}
	for i, e := range got[0].Crashes {
		assert.Equal(t, e.Endpoint, f.Crashes[i].Endpoint)
		assert.Equal(t, e.Phase, f.Crashes[i].Phase)
		near(e.Sent, f.Crashes[i].Sent)
		near(e.At, f.Crashes[i].At)
	}
	near(got[0].ClearedAt, f.ClearedAt)
	near(got[0].Stop.Until, f.Stop.Until)
	assert.Equal(t, got[0].Stop.Count, 1)
	assert.Assert(t, got[0].Trying && got[0].Stop.Stored)
	cut := EncodeFacts(now, []crashers.Fact{f})
	cut[0].Content = cut[0].Content[1:]
	assert.Equal(t, len(DecodeFacts(now, cut)), 0)
	assert.Equal(t, clock.DecodeAge(math.MaxUint64), clock.MaxAge)
	assert.Equal(t, len(DecodeFacts(now, []*peerv1.CrashFact{nil})), 0)
}

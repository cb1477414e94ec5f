package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFragilityOfService checks that one answer tells about all endpoints of a service, that answers
// out of order neither begin nor end it, and that it ends without an answer after a while.
func TestFragilityOfService(t *testing.T) {
	var f Fragility
	fragile := Limits{MaxRefusals: 4, Fragile: true}
	assert.Assert(t, !f.Apply(at(0), Statement{}).Stated())
	f.Record(fragile, at(time.Second))
	got := f.Apply(at(time.Second), Statement{Limits: rate(2), At: at(0)})
	assert.Equal(t, got, Statement{Limits: Limits{Rate: 2, HasRate: true, MaxRefusals: 4, Fragile: true}, At: at(time.Second)})
	f.Record(Limits{}, at(1200*time.Millisecond))
	assert.Assert(t, f.Apply(at(1200*time.Millisecond), Statement{}).Fragile, "an answer out of order")
	f.Record(Limits{}, at(2*time.Second))
	assert.Assert(t, !f.Apply(at(2*time.Second), Statement{Limits: fragile}).Fragile, "no endpoint is fragile any more")
	f.Record(fragile, at(3*time.Second))
	assert.Assert(t, f.Apply(at(4*time.Second), Statement{}).Fragile)
	assert.Assert(t, !f.Apply(at(33*time.Second), Statement{}).Fragile)
}

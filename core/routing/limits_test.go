package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/admission"
)

// TestLimitsReportedBeforeListing guards against an instance that starts and sends without a claim to fragile endpoints: the
// others tell it their limits before it has read the list.
func TestLimitsReportedBeforeListing(t *testing.T) {
	fragile := admission.Limits{MaxRefusals: 3, Fragile: true}
	v, now := NewView(DefaultSettings()), epoch
	v.SetPeerReport(now, "f1", PeerReport{Limits: map[string]admission.Statement{
		"a": {Limits: fragile, At: now.Add(-time.Second)}, "c": {Limits: admission.Limits{Rate: 4, HasRate: true}, At: now.Add(-time.Second)},
	}})
	v.Upsert(Endpoint{ID: "a", Service: "log", State: Live})
	v.Upsert(Endpoint{ID: "b", Service: "log", State: Live})
	v.Upsert(Endpoint{ID: "c", Service: "other", State: Live})
	assert.Equal(t, v.LimitsOf(now, "a").Limits, fragile)
	assert.Equal(t, v.LimitsOf(now, "b").Limits, fragile, "of the same service")
	assert.Equal(t, v.LimitsOf(now, "c").Limits, admission.Limits{Rate: 4, HasRate: true})
}

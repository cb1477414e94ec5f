package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/admission"
)

// TestClaimAtUnlistedEndpoint guards against a grant at a fragile endpoint by an owner that has not listed it, as one that
// has just started: it knows nothing of the room that others hold there.
func TestClaimAtUnlistedEndpoint(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		limits   admission.Limits
		mayPlace bool
	}{
		"no limits":        {admission.Limits{}, true},
		"rate":             {admission.Limits{HasRate: true, Rate: 100}, true},
		"fragile":          {admission.Limits{Fragile: true, MaxRefusals: 3}, false},
		"fragile and rate": {admission.Limits{Fragile: true, MaxRefusals: 3, HasRate: true, Rate: 100}, false},
	} {
		v := NewView(DefaultSettings())
		g := v.Claim(now, "e1", "f2", Claim{Limits: admission.Statement{Limits: c.limits, At: now}, Lease: admission.Lease{Holder: "f2", Number: 1}})
		assert.Equal(t, g.MayPlace(), c.mayPlace, name)
		assert.Assert(t, g.Unknown, name)
		assert.Equal(t, c.mayPlace, g.RetryIn == 0, name)
	}
}

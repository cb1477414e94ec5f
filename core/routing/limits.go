package routing

import (
	"time"

	"github.com/agateway/agateway/core/admission"
)

// RecordLimits records the limits that an answer of an endpoint states, or that it states none. It
// returns the limits known before, and whether they have changed. An endpoint that is not listed is
// ignored.
func (v *View) RecordLimits(now time.Time, id string, l admission.Limits) (before admission.Limits, changed bool) {
	if v.nodes[id] == nil {
		return admission.Limits{}, false
	}
	st, changed := v.statements.Record(id, admission.Statement{Limits: l, At: now})
	return st.Limits, changed
}

// LimitsOf returns the limits that an endpoint stated last.
func (v *View) LimitsOf(id string) admission.Limits { return v.statements.Of(id).Limits }

// LimitedEndpoints returns how many endpoints state limits.
func (v *View) LimitedEndpoints() int {
	count := 0
	for _, st := range v.statements.All() {
		if st.Stated() {
			count++
		}
	}
	return count
}

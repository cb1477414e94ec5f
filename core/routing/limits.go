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
	st, changed := v.statements.Record(id, admission.Statement{Limits: l, At: now}, true)
	return st.Limits, changed
}

// ReportLimits records the limits of endpoints that a peer reported.
func (v *View) ReportLimits(limits map[string]admission.Statement) {
	for id, st := range limits {
		if v.nodes[id] != nil {
			v.statements.Record(id, st, false)
		}
	}
}

// LimitsOf returns what an endpoint stated last; zero if it states nothing.
func (v *View) LimitsOf(id string) admission.Statement { return v.statements.Of(id) }

// ObservedLimits returns the limits that answers to this instance stated, by endpoint.
func (v *View) ObservedLimits() map[string]admission.Statement { return v.statements.Observed() }

// LimitedEndpoints returns how many endpoints state limits.
func (v *View) LimitedEndpoints() int { return v.statements.Stating() }

// admitAtRate applies the stated rate of an endpoint to a claim. It admits every claim at an
// endpoint that states none.
func (v *View) admitAtRate(now time.Time, id string, l *admission.Limits, c *Claim) (admitted bool, retryIn time.Duration) {
	if !l.HasRate {
		return true, 0
	}
	g := v.rateGates[id]
	if g == nil {
		g = &admission.RateGate{}
		v.rateGates[id] = g
	}
	return g.Admit(now, l.Rate*admission.OwnerShare(c.OwnerRank), c.Recovery)
}

// sweepGates drops the gates of endpoints that state no rate any more.
func (v *View) sweepGates(now time.Time) {
	v.statements.Expire(now)
	for id := range v.rateGates {
		if !v.statements.Of(id).HasRate {
			delete(v.rateGates, id)
		}
	}
}

// DelayClaims records that no room can be claimed at an endpoint for some time.
func (v *View) DelayClaims(now time.Time, id string, d time.Duration) {
	if n := v.observe(id); n != nil {
		n.claimableAt = now.Add(d)
	}
}

// ServiceLimit describes the rates that the endpoints of a service state.
type ServiceLimit struct {
	// Rate is the sum of the rates that are stated.
	Rate float64
	// All says that every endpoint in service states one. Next is then when room may be claimed at
	// the first of them.
	All  bool
	Next time.Time
}

// ServiceLimit returns what the endpoints of a service state together. Its cost is that of a look at
// each endpoint of the service, so it is meant for requests that found no room.
func (v *View) ServiceLimit(service string) ServiceLimit {
	l := ServiceLimit{All: v.statements.Stating() > 0}
	if !l.All {
		return l
	}
	for _, n := range v.groups[groupKey{service, ""}] {
		st := v.statements.Of(n.ID)
		switch {
		case !n.inService():
		case !st.HasRate:
			l.All = false
		default:
			l.Rate += st.Rate
			if l.Next.IsZero() || n.claimableAt.Before(l.Next) {
				l.Next = n.claimableAt
			}
		}
	}
	return l
}

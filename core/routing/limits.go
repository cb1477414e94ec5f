package routing

import (
	"slices"
	"time"

	"github.com/agateway/agateway/core/admission"
)

// RecordLimits records the limits that an answer of an endpoint states, or that it states none. It
// returns the limits known before, and whether they have changed. An endpoint that is not listed is
// ignored.
func (v *View) RecordLimits(now time.Time, id string, l admission.Limits) (before admission.Limits, changed bool) {
	n := v.nodes[id]
	if n == nil {
		return admission.Limits{}, false
	}
	st, changed := v.statements.Record(id, admission.Statement{Limits: l, At: now}, true)
	v.recordFragility(n, l, now)
	return st.Limits, changed
}

// recordFragility records whether an answer of an endpoint says that the endpoints of its service
// are fragile.
func (v *View) recordFragility(n *node, l admission.Limits, at time.Time) {
	f := v.fragility[n.Service]
	if f == nil {
		if !l.Fragile {
			return
		}
		f = &admission.Fragility{}
		v.fragility[n.Service] = f
	}
	f.Record(l, at)
}

// reportLimits records what an endpoint stated to a peer.
func (v *View) reportLimits(n *node, st admission.Statement) {
	if st.At.IsZero() {
		return
	}
	v.statements.Record(n.ID, st, false)
	v.recordFragility(n, st.Limits, st.At)
}

// ReportLimits records the limits of endpoints that a peer reported. They need not be listed here yet.
func (v *View) ReportLimits(limits map[string]admission.Statement) {
	for id, st := range limits {
		if n := v.nodes[id]; n != nil {
			v.reportLimits(n, st)
		} else if u := v.unlistedEndpoint(id); st.At.After(u.limits.At) {
			u.limits = st
		}
	}
}

// KnownLimits returns what an instance that starts has to know: the newest statement of a fragile endpoint of each
// service, and those of the endpoints that state a rate. Peers may have reported them.
func (v *View) KnownLimits() map[string]admission.Statement {
	out, newest := map[string]admission.Statement{}, map[string]string{}
	v.statements.Each(func(id string, st admission.Statement) {
		n := v.nodes[id]
		switch {
		case n == nil:
		case st.HasRate:
			out[id] = st
		case st.Fragile && st.At.After(v.statements.Of(newest[n.Service]).At):
			newest[n.Service] = id
		}
	})
	for _, id := range newest {
		out[id] = v.statements.Of(id)
	}
	return out
}

// LimitsOf returns the limits of an endpoint, as far as it or others of its service stated them;
// zero if it is not listed.
func (v *View) LimitsOf(now time.Time, id string) admission.Statement {
	n := v.nodes[id]
	if n == nil {
		return admission.Statement{}
	}
	return v.limitsOf(now, n)
}

func (v *View) limitsOf(now time.Time, n *node) admission.Statement {
	own := v.statements.Of(n.ID)
	if f := v.fragility[n.Service]; f != nil {
		return f.Apply(now, own)
	}
	return own
}

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

// admitToRoom applies the room of a fragile endpoint to a claim. It admits every claim at another
// endpoint.
func (v *View) admitToRoom(now time.Time, n *node, l *admission.Limits, c *Claim) (admitted bool, retryIn time.Duration) {
	if !l.Fragile {
		return true, 0
	}
	g := v.roomGates[n.ID]
	if g == nil {
		g = &admission.RoomGate{}
		v.roomGates[n.ID] = g
	}
	g.Retain(c.Lease.Holder, func(number uint64) bool { return slices.Contains(c.Held, number) })
	room := admission.RoomClaim{
		Lease: c.Lease, Lifetime: c.Lifetime, Slots: n.Slots, MaxRefusals: l.MaxRefusals, OwnerRank: c.OwnerRank, Cold: n.ColdFor > 0,
	}
	if n.Memory > 0 {
		room.Occupied, room.OccupiedKnown = n.estimate(now, v.settings.ReportTTL), true
	}
	return g.Admit(now, &room)
}

// ReleaseRoom records what became of a request that was admitted to a fragile endpoint.
func (v *View) ReleaseRoom(now time.Time, id string, l admission.Lease, o admission.Outcome) {
	n, g := v.nodes[id], v.roomGates[id]
	if n != nil && g != nil {
		g.Release(now, l, o, n.Slots, v.limitsOf(now, n).MaxRefusals)
	}
}

// DropLeases drops the room that an instance holds at all endpoints.
func (v *View) DropLeases(holder string) {
	for _, g := range v.roomGates {
		g.Retain(holder, func(uint64) bool { return false })
	}
}

// sweepGates drops the gates of endpoints that state no rate any more.
func (v *View) sweepGates(now time.Time) {
	v.statements.Expire(now)
	for id := range v.rateGates {
		if !v.statements.Of(id).HasRate {
			delete(v.rateGates, id)
		}
	}
	for id, g := range v.roomGates {
		if v.nodes[id] == nil || g.Idle(now) && !v.LimitsOf(now, id).Fragile {
			delete(v.roomGates, id)
		}
	}
}

// DelayClaims records that no room can be claimed at an endpoint for some time.
func (v *View) DelayClaims(now time.Time, id string, d time.Duration) {
	if n := v.observe(id); n != nil {
		n.claimableAt = now.Add(d)
	}
}

// ServiceLimit describes the limits that the endpoints of a service state.
type ServiceLimit struct {
	// Rate is the sum of the rates that are stated. AllRated says that every endpoint in service
	// states one.
	Rate     float64
	AllRated bool
	// AllClaimed says that room has to be claimed at every endpoint in service. Next is then when
	// it may be claimed at the first of them.
	AllClaimed bool
	Next       time.Time
}

// ServiceLimit returns what the endpoints of a service state together. Its cost is that of a look at
// each endpoint of the service, so it is meant for requests that found no room.
func (v *View) ServiceLimit(now time.Time, service string) ServiceLimit {
	if v.statements.Stating() == 0 && v.fragility[service] == nil {
		return ServiceLimit{}
	}
	l := ServiceLimit{AllRated: true, AllClaimed: true}
	for _, n := range v.groups[groupKey{service, ""}] {
		if !n.inService() {
			continue
		}
		st := v.limitsOf(now, n)
		l.AllRated, l.AllClaimed = l.AllRated && st.HasRate, l.AllClaimed && st.Stated()
		l.Rate += st.Rate
		if l.Next.IsZero() || n.claimableAt.Before(l.Next) {
			l.Next = n.claimableAt
		}
	}
	return l
}

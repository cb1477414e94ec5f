package routing

import (
	"time"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/cooldown"
	"github.com/agateway/agateway/core/times"
)

// unlisted is what is kept of an endpoint that is not listed any more, or not yet. Requests that were sent there may
// still be answered, peers may report of it, and the endpoint may be listed again under the same ID.
type unlisted struct {
	cooldown cooldown.Cooldown
	// sequence is the highest sequence number of its entries; 0 if unknown.
	sequence uint64
	// limits is what it stated to a peer.
	limits admission.Statement
	// touched is the number of sweeps at the removal, or at the last answer.
	touched uint64
}

// unlist keeps what is known of an endpoint that is removed, if this instance has observed it.
func (v *View) unlist(n *node) {
	if v.observed[n.ID] != nil {
		v.unlisted[n.ID] = &unlisted{cooldown: n.cooldown, sequence: n.Sequence, touched: v.sweeps}
	}
}

// relist gives an endpoint that is listed what was kept of it.
func (v *View) relist(n *node) {
	u := v.unlisted[n.ID]
	if u == nil {
		return
	}
	delete(v.unlisted, n.ID)
	v.reportLimits(n, u.limits)
	if u.cooldown.OnTrial() {
		v.observe(n.ID).cooldown = u.cooldown
		v.lastCooldownEnd = times.Later(v.lastCooldownEnd, u.cooldown.Until())
	}
}

// unlistedEndpoint returns what is kept of an endpoint that is not listed, to be written.
func (v *View) unlistedEndpoint(id string) *unlisted {
	u := v.unlisted[id]
	if u == nil {
		u = &unlisted{}
		v.unlisted[id] = u
	}
	u.touched = v.sweeps
	return u
}

// expireUnlisted drops the endpoints that were removed two sweeps ago, after the end of their pause.
func (v *View) expireUnlisted(now time.Time) {
	for id, u := range v.unlisted {
		if u.touched+1 < v.sweeps && !u.cooldown.Active(now) {
			delete(v.unlisted, id)
		}
	}
}

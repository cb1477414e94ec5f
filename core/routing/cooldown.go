package routing

import (
	"time"

	"github.com/agateway/agateway/core/times"
)

// RefusedFor records that an endpoint refused a request of this instance and wants no other one for a
// time. spread, from 0 to 1, is where this instance comes among those that return then.
func (v *View) RefusedFor(now time.Time, id string, pause time.Duration, spread float64) {
	n := v.observe(id)
	if n == nil {
		v.unlistedEndpoint(id).cooldown.Refused(now, pause, spread)
		return
	}
	if !n.cooldown.OnTrial() {
		n.openAtFailure = n.open
	}
	n.cooldown.Refused(now, pause, spread)
	v.lastCooldownEnd = times.Later(v.lastCooldownEnd, n.cooldown.Until())
}

// Served records that an endpoint served a request, which ends its silence and its trial after a pause.
func (v *View) Served(now time.Time, id string) {
	n := v.observe(id)
	if n == nil {
		return
	}
	n.silence.answered(now)
	if n.cooldown.OnTrial() {
		n.cooldown.Succeeded(now)
	}
}

// CoolingDown returns how many endpoints get nothing because of a pause that they asked for.
func (v *View) CoolingDown(now time.Time) int {
	count := 0
	if now.Before(v.lastCooldownEnd) {
		for _, n := range v.observed {
			if n.cooldown.Active(now) {
				count++
			}
		}
	}
	return count
}

// CooldownEnd returns when the first pause of an endpoint of a service ends, if all of them in service
// asked for one. While any endpoint pauses, its cost is that of a look at each of the service.
func (v *View) CooldownEnd(now time.Time, service string) (end time.Time, all bool) {
	if !now.Before(v.lastCooldownEnd) {
		return time.Time{}, false
	}
	for _, n := range v.groups[groupKey{service, ""}] {
		switch {
		case !n.inService():
		case !n.cooldown.Active(now):
			return time.Time{}, false
		case end.IsZero() || n.cooldown.Until().Before(end):
			end = n.cooldown.Until()
		}
	}
	return end, !end.IsZero()
}

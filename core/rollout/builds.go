package rollout

import "time"

// Builds decides which builds of a service's endpoints may get requests. Endpoints of a build that
// was not seen before wait until it is known that no order names that build. The zero value is
// ready to use.
type Builds struct {
	known map[string]*build
	// initialized is set at the first update with known orders. Builds that are listed then are in
	// service, except for the target of an order.
	initialized bool
}

type build struct {
	firstSeen, lastSeen time.Time
	// usable builds may get requests. retiredAt is when a completed order replaced the build, and
	// zero before. Its endpoints are about to stop.
	usable    bool
	retiredAt time.Time
}

const (
	// newBuildWait is how long endpoints of a new build wait for an order that names it.
	newBuildWait = 1500 * time.Millisecond
	// retiredHold is how long a replaced build is kept out of use. Its endpoints may still be
	// listed for that time after they have stopped.
	retiredHold = 10 * time.Second
	// absentRetention is how long a build is remembered while none of its endpoints is listed. All
	// of them may have crashed, and those that replace them need not wait as a new build does.
	absentRetention = 10 * time.Second
)

// Update takes the builds that are listed now. ordersKnown is when the list of orders was last
// known to be current, and zero if it never was. target and state are those of the service's order;
// target is empty if there is none.
func (b *Builds) Update(now time.Time, listed map[string]bool, ordersKnown time.Time, target string, state State) {
	if b.known == nil {
		b.known = map[string]*build{}
	}
	initial := !b.initialized && !ordersKnown.IsZero()
	b.initialized = b.initialized || initial
	for name := range listed {
		n := b.known[name]
		if n == nil {
			n = &build{firstSeen: now, usable: initial || len(listed) == 1 && len(b.known) == 0}
			b.known[name] = n
		}
		waited := now.Sub(n.firstSeen) >= newBuildWait && ordersKnown.Sub(n.firstSeen) >= newBuildWait
		n.usable, n.lastSeen = n.usable || waited || initial, now
	}
	for name, n := range b.known {
		if !listed[name] && name != target && now.Sub(n.lastSeen) >= absentRetention {
			delete(b.known, name)
		}
	}
	if state == Completed {
		b.retireOthers(now, target)
	}
}

// retireOthers marks all builds but the target as replaced.
func (b *Builds) retireOthers(now time.Time, target string) {
	for name, n := range b.known {
		if name != target && n.retiredAt.IsZero() && !n.firstSeen.After(now) {
			n.retiredAt = now
		}
	}
}

// Usable reports whether endpoints of a build may get requests. target and state are those of the
// service's order; target is empty if there is none. withdrawn tells that the operator removed the
// order.
func (b *Builds) Usable(now time.Time, name, target string, state State, withdrawn bool) bool {
	if name == target && target != "" {
		return state != RolledBack && !withdrawn
	}
	n := b.known[name]
	if n == nil {
		return false
	}
	retired := state == Completed && !n.retiredAt.IsZero() && now.Sub(n.retiredAt) < retiredHold
	return n.usable && !retired
}

// ChangesWithTime reports whether a build may become usable by the passing of time alone. That
// holds for new builds that wait and for replaced ones.
func (b *Builds) ChangesWithTime() bool {
	for _, n := range b.known {
		if !n.usable || !n.retiredAt.IsZero() {
			return true
		}
	}
	return false
}

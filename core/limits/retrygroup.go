package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RetryGroup decides with which others an instance shares what the bound on retries leaves. Room that another
// instance leaves unused may be used only if neither counts on room that the other one uses without its knowledge. That
// holds within a group: instances that have confirmed each other's retries, and name the same members. A retry that a
// member has not confirmed within the timeout ends its membership, whatever else is heard of it.
//
// An instance that is alone in its group uses its own part of the bound, which no other group counts on. Between a cut and
// the timeout, the members use at most what their callers ask for in that time.
//
// The zero value is not usable; see [NewRetryGroup]. It reads no clock, and is not safe for concurrent use. Times are
// durations since a fixed start.
type RetryGroup struct {
	timeout time.Duration
	self    uint64
	members map[string]*groupMember
	// lastRetry is when this instance last sent a request again; it counts only if retried is set.
	lastRetry time.Duration
	retried   bool
}

// groupMember is another instance that is alive, as far as is known.
type groupMember struct {
	id uint64
	// unconfirmed is set while the member has not confirmed all retries of this instance, the first of them sent at since.
	unconfirmed bool
	since       time.Duration
	// confirmed is up to when retries are confirmed.
	confirmed time.Duration
	// group is the one that the member named last; 0 before it named any.
	group uint64
	// relayed is set if the member's last confirmation came through a third instance.
	relayed bool
}

// NewRetryGroup returns the group of an instance that knows no other one. timeout bounds how long a retry may be unconfirmed.
func NewRetryGroup(self string, timeout time.Duration) *RetryGroup {
	return &RetryGroup{timeout: timeout, self: xxhash.Sum64String(self), members: map[string]*groupMember{}}
}

// SetAlive sets the other instances that are alive. One that becomes alive has to confirm the retries that were sent before.
func (g *RetryGroup) SetAlive(now time.Duration, instances []string) {
	members := make(map[string]*groupMember, len(instances))
	for _, id := range instances {
		if members[id] = g.members[id]; members[id] == nil {
			members[id] = &groupMember{id: xxhash.Sum64String(id), unconfirmed: g.retried, since: now}
		}
	}
	g.members = members
}

// Retried records that this instance has sent a request again.
func (g *RetryGroup) Retried(now time.Duration) {
	g.lastRetry, g.retried = now, true
	g.requireConfirmation(now)
}

// requireConfirmation asks all members for a confirmation from now on.
func (g *RetryGroup) requireConfirmation(now time.Duration) {
	for _, m := range g.members {
		if !m.unconfirmed {
			m.unconfirmed, m.since = true, now
		}
	}
}

// Confirmed records that an instance knows the retries that this one had sent by a time. Confirmations may overtake each other.
func (g *RetryGroup) Confirmed(instance string, asOf time.Duration, relayed bool) {
	m := g.members[instance]
	if m == nil {
		return
	}
	m.relayed, m.confirmed = relayed, max(m.confirmed, asOf)
	if m.unconfirmed = g.lastRetry > m.confirmed; m.unconfirmed {
		m.since = max(m.since, m.confirmed)
	}
}

// Named records which group an instance names. If that is not the group of this one, one of the two has lost a member that
// the other one may not have missed yet, so all members have to confirm.
func (g *RetryGroup) Named(now time.Duration, instance string, group uint64) {
	m := g.members[instance]
	if m == nil {
		return
	}
	if m.group = group; group != g.Name(now) {
		g.requireConfirmation(now)
	}
}

func (g *RetryGroup) isMember(now time.Duration, m *groupMember) bool {
	return !m.unconfirmed || now-m.since < g.timeout
}

// Name returns a number that two groups share only if they have the same members.
func (g *RetryGroup) Name(now time.Duration) uint64 {
	name := g.self
	for _, m := range g.members {
		if g.isMember(now, m) {
			name ^= m.id
		}
	}
	return name
}

// Sharing returns the other members that name the same group.
func (g *RetryGroup) Sharing(now time.Duration) map[string]bool {
	name, sharing := g.Name(now), map[string]bool{}
	for id, m := range g.members {
		if m.group == name && g.isMember(now, m) {
			sharing[id] = true
		}
	}
	return sharing
}

// Unconfirmed is an instance that has not confirmed all retries.
type Unconfirmed struct {
	Instance string
	// For is how long the first of them has been unconfirmed.
	For time.Duration
	// Relayed is set if the instance was last reached through a third one.
	Relayed bool
}

// Unconfirmed returns the instances that have not confirmed all retries, in the order of their names.
func (g *RetryGroup) Unconfirmed(now time.Duration) []Unconfirmed {
	var out []Unconfirmed
	for _, id := range slices.Sorted(maps.Keys(g.members)) {
		if m := g.members[id]; m.unconfirmed {
			out = append(out, Unconfirmed{Instance: id, For: now - m.since, Relayed: m.relayed})
		}
	}
	return out
}

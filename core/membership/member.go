package membership

import (
	"cmp"
	"time"
)

// State is the believed state of a member.
type State int

// States. Under one incarnation, a higher value overrides a lower one.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Member describes one instance. All fields but State are set by the instance itself, or by the
// list that named it.
type Member struct {
	ID, DataCentre, Region string
	// Address is the host:port for callers, PeerAddress that for other instances.
	Address, PeerAddress string
	// Process is a random number that identifies one run of the instance.
	Process uint64
	// Incarnation orders updates about the member. Only the member raises it. 0 if nothing was
	// heard of it yet.
	Incarnation uint64
	State       State
	// Leaving is set if the member takes no new requests.
	Leaving bool
	// Ready is set if callers may be sent to the member. Store is its access to the platform's
	// store, as a value of the caller of this package.
	Ready bool
	Store int
	// Endpoints is its access to the endpoints, as a value of the caller of this package.
	Endpoints int
	// Spreads is set if the member passes on updates to many others when it is asked to.
	Spreads bool
	// LinkMbps is the bandwidth of its network link in Mbit/s; 0 if unknown.
	LinkMbps int
	// StatsVersion orders the statistics below under one incarnation.
	StatsVersion uint32
	// OpenRequests is the number of requests in progress.
	OpenRequests uint32
	// ConfigDigest is the digest of the configuration in force.
	ConfigDigest uint64
}

// HasReported reports whether anything was heard of the member. If not, it is only known from a
// list.
func (m *Member) HasReported() bool { return m.Incarnation > 0 }

// Start is when a member's process started. Members that started within the same second are ordered by
// their ID.
type Start struct {
	second uint64
	id     string
}

// Start returns when the member's process started, by its own clock, if its first incarnation was the time
// in nanoseconds. Few enough incarnations follow on that to keep the second.
func (m *Member) Start() Start { return Start{m.Incarnation / uint64(time.Second), m.ID} }

// Before reports whether a member started before another one.
func (s Start) Before(o Start) bool {
	return cmp.Or(cmp.Compare(s.second, o.second), cmp.Compare(s.id, o.id)) < 0
}

// supersedes reports whether an update a about a member replaces the known entry b.
func (a *Member) supersedes(b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return a.State > b.State
	}
	return a.Leaving && !b.Leaving
}

// hasNewerStats reports whether a has newer statistics under the same incarnation.
func (a *Member) hasNewerStats(b *Member) bool {
	return a.Incarnation == b.Incarnation && a.StatsVersion > b.StatsVersion
}

// Settings configure a [Node]. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// Interval is the time between two pings by a node.
	Interval time.Duration
	// IndirectPings is the number of other members that are asked to ping a member that did not
	// answer.
	IndirectPings int
	// SuspicionFactor times the interval, times the binary logarithm of the number of members, is
	// how long a member is suspected before it is declared dead.
	SuspicionFactor float64
	// MaxUpdates bounds the entries in one message.
	MaxUpdates int
	// RetransmitFactor times the binary logarithm of the number of members is how often a node
	// sends one update.
	RetransmitFactor float64
	// DeadRetention is how long a dead member is kept and pinged now and then.
	DeadRetention time.Duration
	// DeadPingIntervals is the number of intervals from one ping of a dead member to the next.
	DeadPingIntervals int
	// DirectUpdates is set if members send their changes directly to all others, and again until
	// they are answered. An update that a member is alive is then passed on only once, for those
	// that lost the direct message. When 1,000 members start at once, passing each on several times
	// takes a minute.
	DirectUpdates bool
	// RepairEvery is the number of messages of which one carries one more member, taken from the
	// shuffled ping order. It repairs the loss of updates.
	RepairEvery int
	// SlowdownSize is the number of members from which on the interval grows and a message carries
	// fewer entries; 0 for never.
	SlowdownSize int
}

// DefaultSettings returns the settings used by the daemon.
func DefaultSettings() Settings {
	return Settings{
		Interval: 500 * time.Millisecond, IndirectPings: 2, SuspicionFactor: 2, MaxUpdates: 6,
		RetransmitFactor: 3, DeadRetention: 2 * time.Hour, DeadPingIntervals: 5, RepairEvery: 1, SlowdownSize: 128,
	}
}

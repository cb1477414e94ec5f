package source

import "time"

// Peer is another instance that is believed to be alive.
type Peer struct {
	ID, DataCentre, Region string
	// Ready is set when the instance knows a configuration to be in force, so that the data it
	// passes on is fresh.
	Ready bool
	// StoreAccess says whether the store answers the instance.
	StoreAccess Access
	// LinkMbps is the bandwidth of its network link in Mbit/s; 0 if unknown.
	LinkMbps int
	// weight orders instances with equal links; 0 if it is not computed yet.
	weight uint64
}

// Access says whether the store answers an instance.
type Access int

// Values of Access. Instances exchange the numeric values.
const (
	// StoreUnknown means that the instance has not asked the store lately, usually because it
	// follows another instance.
	StoreUnknown Access = iota
	// StoreReachable means that the store has answered the instance lately.
	StoreReachable
	// StoreUnreachable means that the store did not answer the instance's last call.
	StoreUnreachable
)

// Settings configure a Chooser. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// Self is the name of this instance, DataCentre and Region are where it runs. LinkMbps is the
	// bandwidth of its link in Mbit/s; 0 if unknown.
	Self, DataCentre, Region string
	LinkMbps                 int
	// Roots is the number of instances of a region that ask the store.
	Roots int
	// DefaultFollowers is how many instances may follow one whose link is unknown. For a known
	// link, each follower takes FollowerMbps Mbit/s of it, and the number is bounded by
	// MinFollowers and MaxFollowers.
	DefaultFollowers, MinFollowers, MaxFollowers int
	FollowerMbps                                 float64
	// MinTimeout and MaxTimeout bound the time that the store has for an answer, in addition to the
	// wait that the call itself asks for. Each failure in a row doubles MinTimeout, up to
	// MaxFailingTimeout. The end of an outage in which the store does not answer at all is noticed
	// later by up to MaxFailingTimeout.
	MinTimeout, MaxFailingTimeout, MaxTimeout time.Duration
	// MinProbeInterval is the time from a failure to the next call to the store. It doubles with
	// each failure up to MaxProbeInterval, except for the instances that rank first.
	MinProbeInterval, MaxProbeInterval time.Duration
	// MinTenure is the least time for which an instance follows another one that stays usable.
	MinTenure time.Duration
	// ExclusionPeriod is how long a peer that failed or had no fresh data is not asked.
	ExclusionPeriod time.Duration
	// StoreProbability is the probability that a call goes to the store itself while the store
	// answers no instance.
	StoreProbability float64
}

// DefaultSettings returns the settings used by the daemon.
//
// A store that stops answering is noticed after a watch of 0.9 s and MinTimeout, so another
// instance is asked before the data is 1.5 s old. FollowerMbps: the largest configuration that the
// store holds is 1 MB; compressed to about a third, a follower has it after 1.1 s. An instance with
// 20 Mbit/s then has 8 followers, which gives three levels for 300 instances. ExclusionPeriod is
// the time that all instances take to detect that an instance died.
func DefaultSettings() Settings {
	return Settings{
		Roots: 1, DefaultFollowers: 8, MinFollowers: 2, MaxFollowers: 16, FollowerMbps: 2.5,
		MinTimeout: 500 * time.Millisecond, MaxFailingTimeout: time.Second, MaxTimeout: 2500 * time.Millisecond,
		MinProbeInterval: 2 * time.Second, MaxProbeInterval: 30 * time.Second,
		MinTenure: 3 * time.Second, ExclusionPeriod: 3 * time.Second, StoreProbability: 1.0 / 16,
	}
}

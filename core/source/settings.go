package source

import "time"

// Peer is another instance that is believed to be alive.
type Peer struct {
	ID, DataCentre, Region string
	// Ready tells that it knows a configuration to be in force: what it passes on is fresh.
	Ready bool
	// Store tells whether the store answers it.
	Store Access
	// Link is the bandwidth of its network link in Mbit/s; 0 where that is not known.
	Link int
}

// Access says whether the store answers an instance.
type Access int

// What is known of an instance's access to the store.
const (
	// Unknown: it follows another instance and has not asked the store lately.
	Unknown Access = iota
	Answered
	CutOff
)

// Settings of a chooser. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// Self is the name of this instance, DataCentre and Region where it runs, and Link the bandwidth of its link in
	// Mbit/s, 0 for unknown.
	Self, DataCentre, Region string
	Link                     int
	// Roots is how many instances of a region ask the store.
	Roots int
	// Followers is how many instances follow the same one where its link is not known. Otherwise each follower takes
	// LinkShare Mbit/s of the link, within FollowersLeast and FollowersMost.
	Followers, FollowersLeast, FollowersMost int
	LinkShare                                float64
	// PatienceLeast and PatienceMost bound how long the store may take for an answer, not counting the time that
	// the call itself waits. Each failure doubles the patience, up to PatienceFailing: an outage in which the store
	// says nothing is noticed to be over that much later.
	PatienceLeast, PatienceFailing, PatienceMost time.Duration
	// ProbeFirst is how long after a failure the store is asked again. It doubles with each failure up to
	// ProbeMost, but for the instance that ranks first.
	ProbeFirst, ProbeMost time.Duration
	// LeftOut is how long an instance that did not help is not asked.
	LeftOut time.Duration
	// OwnTry is how often an instance asks the store itself while the store answers nobody, as a share of its calls.
	OwnTry float64
}

// DefaultSettings returns the settings used by the daemon.
//
// A store that falls silent is noticed after a watch of 0.9 s and PatienceLeast, so another instance is asked before
// knowledge is 1.5 s old. LinkShare: a configuration of 1 MB, the most that the store holds, is sent compressed to
// about a third, so a follower has it after 1.1 s. With 20 Mbit/s an instance then has 8 followers, which makes
// three levels of 300 instances. LeftOut is as long as an instance that died takes to be left out by all.
func DefaultSettings() Settings {
	return Settings{
		Roots: 1, Followers: 8, FollowersLeast: 2, FollowersMost: 16, LinkShare: 2.5,
		PatienceLeast: 500 * time.Millisecond, PatienceFailing: time.Second, PatienceMost: 2500 * time.Millisecond,
		ProbeFirst: 2 * time.Second, ProbeMost: 30 * time.Second,
		LeftOut: 3 * time.Second, OwnTry: 1.0 / 16,
	}
}

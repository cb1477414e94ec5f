package reachability

import "time"

const (
	// Rounds is how many rounds of probes in a row decide.
	Rounds = 2
	// minSuspects is how many endpoints have to fail before further ones are probed.
	minSuspects = 2
	// suspicionWindow is the time in which they have to fail.
	suspicionWindow = 3 * time.Second
	// flapWindow is the time after the end of a cut in which another one counts as its return.
	// maxRounds bounds the rounds that are needed then.
	flapWindow = 10 * time.Second
	maxRounds  = 16
)

// State is what an instance knows of its links to the endpoints. The zero value is connected.
type State struct {
	// failed are the endpoints that could not be connected to since the last contact, and when.
	failed map[string]time.Time
	cutOff bool
	// since is when the last cut was found, endedAt when it ended.
	since, endedAt time.Time
	// missed and reached are the rounds of probes in a row that reached no endpoint and some.
	missed, reached int
	// needed is how many rounds have to reach endpoints before the cut has ended.
	needed int
}

// Failed records that an endpoint could not be connected to. It reports whether further endpoints
// are to be probed.
func (s *State) Failed(now time.Time, endpoint string) (probe bool) {
	if s.failed == nil {
		s.failed = map[string]time.Time{}
	}
	s.failed[endpoint] = now
	for id, at := range s.failed {
		if now.Sub(at) > suspicionWindow {
			delete(s.failed, id)
		}
	}
	return !s.cutOff && len(s.failed) >= minSuspects
}

// Connected records that a new connection to an endpoint was made, other than by a probe.
func (s *State) Connected(now time.Time) {
	clear(s.failed)
	s.missed = 0
	if s.cutOff { // an instance that is cut off connects only while no peer can help
		s.end(now)
	}
}

// Probed records a round of probes: how many endpoints were tried, and how many of them reached. It
// reports whether the instance has become cut off or connected.
func (s *State) Probed(now time.Time, tried, reached int) (changed bool) {
	if tried == 0 {
		return false
	}
	if reached > 0 {
		return s.probeReached(now)
	}
	s.reached = 0
	s.missed++
	if s.cutOff || s.missed < Rounds {
		return false
	}
	if s.needed > 0 && now.Sub(s.endedAt) < flapWindow {
		s.needed = min(2*s.needed, maxRounds)
	} else {
		s.needed = Rounds
	}
	s.cutOff, s.since = true, now
	return true
}

func (s *State) probeReached(now time.Time) (changed bool) {
	s.missed = 0
	s.reached++
	if !s.cutOff {
		clear(s.failed)
		return false
	}
	if s.reached < s.needed {
		return false
	}
	s.end(now)
	return true
}

func (s *State) end(now time.Time) {
	s.cutOff, s.endedAt, s.reached = false, now, 0
	clear(s.failed)
}

// CutOff reports whether the instance is cut off from the endpoints.
func (s *State) CutOff() bool { return s.cutOff }

// Since returns when the last cut was found; zero if there was none.
func (s *State) Since() time.Time { return s.since }

// Suspects returns how many endpoints could not be connected to since the last contact.
func (s *State) Suspects() int { return len(s.failed) }

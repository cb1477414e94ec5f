package limits

import "time"

// Window bounds what all instances together send once more to a service within a sliding window: a share of
// the requests for it, and a reserve. Each instance counts its own and hears what the others counted, some
// hundreds of milliseconds late, so a margin is kept below the bound. A budget that is split among many
// instances instead refuses most repetitions while most of it is unused: with 87 instances each had room
// for one at a time, and streams were broken off for that.
//
// The zero value is not usable; see [NewWindow]. It does no I/O and reads no clock, and is not safe for
// concurrent use.
type Window struct {
	set     WindowSettings
	buckets []bucket
	peers   map[string]Counted
	own     Counted
}

// WindowSettings are the bound.
type WindowSettings struct {
	// Share of the requests and Reserve besides may be sent once more within Length.
	Share, Reserve float64
	Length         time.Duration
	// Margin is the part of the bound that is used.
	Margin float64
	// Kept is the part of the bound that only recoveries may use, which lose most when they are refused.
	Kept float64
}

// Counted is what an instance has counted since it started.
type Counted struct{ Requests, Repeats uint64 }

// Repeats returns how often anything was sent once more, to all services.
func Repeats(uses map[string]Counted) uint64 {
	sum := uint64(0)
	for _, c := range uses {
		sum += c.Repeats
	}
	return sum
}

// bucket is what was counted in one step of time.
type bucket struct {
	step              int64
	requests, repeats uint64
}

// windowSteps is the number of steps that a window is counted in.
const windowSteps = 20

// NewWindow returns a window in which nothing was counted.
func NewWindow(s WindowSettings) *Window {
	return &Window{set: s, buckets: make([]bucket, windowSteps+1), peers: map[string]Counted{}}
}

func (w *Window) at(now time.Duration) *bucket {
	step := int64(now / (w.set.Length / windowSteps))
	b := &w.buckets[step%int64(len(w.buckets))]
	if b.step != step {
		*b = bucket{step: step}
	}
	return b
}

// Request counts a request of this instance.
func (w *Window) Request(now time.Duration) {
	w.at(now).requests++
	w.own.Requests++
}

// Sharing says with how many others the bound is shared.
type Sharing struct {
	// Known is how many instances there are, and Heard from how many of them is heard, this one included.
	Heard, Known int
}

// Room tells whether there is room for one repetition. An instance that does not hear all others may use its part
// of the reserve only.
func (w *Window) Room(now time.Duration, s Sharing, recovery bool) bool {
	requests, repeats := w.sum(now)
	part := 1.0
	if s.Known > s.Heard {
		part = float64(s.Heard) / float64(s.Known)
	}
	margin := w.set.Margin
	if !recovery {
		margin -= w.set.Kept
	}
	return float64(repeats+1) <= margin*(w.set.Share*float64(requests)+part*w.set.Reserve)
}

// Repeat takes one repetition for this instance, and returns false when there is no room.
func (w *Window) Repeat(now time.Duration, s Sharing, recovery bool) bool {
	if !w.Room(now, s, recovery) {
		return false
	}
	w.at(now).repeats++
	w.own.Repeats++
	return true
}

// Own returns what this instance has counted, to be told to the others.
func (w *Window) Own() Counted { return w.own }

// Heard takes what another instance has counted since it started.
func (w *Window) Heard(now time.Duration, peer string, c Counted) {
	old, known := w.peers[peer]
	w.peers[peer] = c
	if !known || c.Requests < old.Requests || c.Repeats < old.Repeats {
		return // what it counted before it was heard is not known to be recent
	}
	b := w.at(now)
	b.requests += c.Requests - old.Requests
	b.repeats += c.Repeats - old.Repeats
}

// Forget drops an instance that fell silent.
func (w *Window) Forget(peer string) { delete(w.peers, peer) }

// sum adds up what was counted within the window.
func (w *Window) sum(now time.Duration) (requests, repeats uint64) {
	step := int64(now / (w.set.Length / windowSteps))
	for i := range w.buckets {
		if b := &w.buckets[i]; b.step > step-int64(len(w.buckets)) && b.step <= step {
			requests += b.requests
			repeats += b.repeats
		}
	}
	return requests, repeats
}

package copies

import "time"

// Holder says where a copy is kept. The zero value stands for no copy.
type Holder struct {
	// Endpoint is the engine that holds it.
	Endpoint string
	// Address and Handle identify the copy in a request to that engine: the address of an engine,
	// and the engine's name of the copy. Handle is empty if the id of the request identifies the
	// copy.
	Address, Handle string
}

// Settings configure a [Tracker]. The zero value is not usable.
type Settings struct {
	// RefreshInterval is the time between two requested copies. It has to be well below the time
	// that an engine keeps a copy without a refresh. 0 if engines take no requests for copies.
	RefreshInterval time.Duration
	// RetryDelay is the pause after a failed copy, and after the loss of a holder. It doubles with each
	// further failure, up to 1<<maxRetryDoublings times as long: while no engine has room, the requests
	// of all streams would only add to its load.
	RetryDelay time.Duration
}

const maxRetryDoublings = 3

// Request asks for a copy of the current memory of the run.
type Request struct {
	// Target is the engine to copy to; empty if the caller is to choose one.
	Target string
}

// Tracker tracks the copy of one running request. The zero value is not usable; see [New].
type Tracker struct {
	set Settings
	// current is the copy to continue from; zero if there is none.
	current Holder
	// requested is set if copies have to be requested, since the engine keeps none current by
	// itself.
	requested bool
	// inProgress is set while a requested copy is being made.
	inProgress bool
	// failures is how many requests have failed in a row.
	failures int
	// due is when to request the next copy; zero if none is to be requested.
	due time.Time
}

// New returns a tracker without a copy.
func New(s Settings) *Tracker { return &Tracker{set: s} }

// RunStarted records the start of a run whose engine keeps a copy at holder current by itself; the
// zero holder if it keeps none. Copies of earlier runs can't be used any more.
func (t *Tracker) RunStarted(now time.Time, holder Holder) {
	t.current, t.requested, t.inProgress, t.due = holder, false, false, time.Time{}
	t.failures = 0
	if holder == (Holder{}) {
		t.dropHolder(now)
	}
}

// RunEnded records the end of the run, after which no further copy of it can be made. The current
// copy stays usable.
func (t *Tracker) RunEnded() { t.due, t.requested = time.Time{}, false }

// Holder returns the copy to continue from; false if there is none.
func (t *Tracker) Holder() (Holder, bool) { return t.current, t.current != (Holder{}) }

// EngineLost records the loss of an engine. It has an effect only if that engine holds the copy.
func (t *Tracker) EngineLost(now time.Time, endpoint string) {
	if t.current.Endpoint == endpoint && endpoint != "" {
		t.dropHolder(now)
	}
}

// HolderStopping records that the engine with the copy is about to stop, and makes another copy due
// at once.
func (t *Tracker) HolderStopping(now time.Time) {
	t.dropHolder(now)
	if t.requested {
		t.due = now
	}
}

// dropHolder drops the current copy, and makes another one due after the retry delay if engines
// take requests.
func (t *Tracker) dropHolder(now time.Time) {
	t.current, t.failures = Holder{}, 0
	if t.set.RefreshInterval > 0 {
		t.requested, t.due = true, now.Add(t.set.RetryDelay)
	}
}

// Tick returns the copy to request now; false if none is due. The caller reports its end with
// [Tracker.CopyEnded].
func (t *Tracker) Tick(now time.Time) (Request, bool) {
	if !t.requested || t.inProgress || t.due.IsZero() || now.Before(t.due) {
		return Request{}, false
	}
	t.inProgress = true
	return Request{Target: t.current.Endpoint}, true
}

// Failures returns how many requests for a copy have failed since the last one that succeeded.
func (t *Tracker) Failures() int { return t.failures }

// Deadline returns when [Tracker.Tick] is to be called; false if no copy is to be requested.
func (t *Tracker) Deadline() (time.Time, bool) {
	if !t.requested || t.inProgress || t.due.IsZero() {
		return time.Time{}, false
	}
	return t.due, true
}

// CopyEnded records the end of a requested copy. The zero holder means that it failed: the current
// copy is then dropped too, and another one is due after the retry delay, at an engine that the
// caller chooses.
func (t *Tracker) CopyEnded(now time.Time, holder Holder) {
	if !t.inProgress {
		return // the copy belongs to an earlier run
	}
	t.inProgress = false
	if holder == (Holder{}) {
		t.current = Holder{}
		t.due = now.Add(t.set.RetryDelay << min(t.failures, maxRetryDoublings))
		t.failures++
		return
	}
	t.current, t.failures = holder, 0
	t.due = now.Add(t.set.RefreshInterval)
}

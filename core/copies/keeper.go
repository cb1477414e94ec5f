package copies

import "time"

// Holder names a copy.
type Holder struct {
	// Endpoint is the engine that holds it.
	Endpoint string
	// Address and Handle are how a request names the copy to that engine: an engine's address, and
	// what it calls the copy; no handle where the request's own id names it.
	Address, Handle string
}

// Settings of a keeper. The zero value is not usable.
type Settings struct {
	// Renew is the time between two copies that are asked for. It has to be well below the time that
	// an engine keeps a copy that is not renewed. 0 where engines can't be asked.
	Renew time.Duration
	// Retry is the pause after a copy that failed, and after the loss of a holder.
	Retry time.Duration
}

// Copy asks for a copy of the memory as it is now.
type Copy struct {
	// To is the engine to copy to; empty to choose one.
	To string
}

// Keeper is the state of the copies of one running request. The zero value is not usable; see [New].
type Keeper struct {
	set Settings
	// current is the copy to go on from; empty when there is none.
	current Holder
	// asked tells that copies have to be asked for: no engine keeps one current by itself.
	asked bool
	// copying is set while a copy is on its way.
	copying bool
	// due is when the next copy is to be asked for; zero when none is.
	due time.Time
}

// New returns a keeper without a copy.
func New(s Settings) *Keeper { return &Keeper{set: s} }

// Begin takes the start of a run whose engine keeps a copy at holder current by itself; the zero holder
// where it keeps none. Copies of runs before it are of no use any more.
func (k *Keeper) Begin(now time.Time, holder Holder) {
	k.current, k.asked, k.copying, k.due = holder, false, false, time.Time{}
	if holder == (Holder{}) {
		k.lost(now)
	}
}

// Stop takes the end of the run: no further copy of it can be had.
func (k *Keeper) Stop() { k.due, k.asked = time.Time{}, false }

// Holder returns the copy to go on from; false when there is none.
func (k *Keeper) Holder() (Holder, bool) { return k.current, k.current != (Holder{}) }

// Lost takes the loss of an engine. It matters where that engine holds the copy.
func (k *Keeper) Lost(now time.Time, endpoint string) {
	if k.current.Endpoint == endpoint && endpoint != "" {
		k.lost(now)
	}
}

// Move records that the engine holding the copy is about to stop, which makes another copy due at once.
func (k *Keeper) Move(now time.Time) {
	k.lost(now)
	if k.asked {
		k.due = now
	}
}

// lost asks for another copy soon.
func (k *Keeper) lost(now time.Time) {
	k.current = Holder{}
	if k.set.Renew > 0 {
		k.asked, k.due = true, now.Add(k.set.Retry)
	}
}

// Tick returns the copy that is to be asked for now, if any.
func (k *Keeper) Tick(now time.Time) (Copy, bool) {
	if !k.asked || k.copying || k.due.IsZero() || now.Before(k.due) {
		return Copy{}, false
	}
	k.copying = true
	return Copy{To: k.current.Endpoint}, true
}

// Deadline returns when [Keeper.Tick] is due; false when it is not.
func (k *Keeper) Deadline() (time.Time, bool) {
	if !k.asked || k.copying || k.due.IsZero() {
		return time.Time{}, false
	}
	return k.due, true
}

// Copied takes the end of a copy that was asked for. The zero holder says that it failed; what is held
// already stays usable until it is lost.
func (k *Keeper) Copied(now time.Time, holder Holder) {
	if !k.copying {
		return // of a run that ended meanwhile
	}
	k.copying = false
	if holder == (Holder{}) {
		k.current = Holder{}
		k.due = now.Add(k.set.Retry)
		return
	}
	k.current = holder
	k.due = now.Add(k.set.Renew)
}

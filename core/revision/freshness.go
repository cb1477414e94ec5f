package revision

import "time"

// Freshness records when the data held was last known to be the newest. It counts from the start of
// the read that showed this, since the answer may have been delayed for any time. Times are those
// of a clock that also runs while the machine is suspended. So a process that was suspended does
// not take its old data for fresh. The zero value means that the data was never known to be the
// newest. A Freshness is not safe for concurrent use.
type Freshness struct {
	confirmedAt time.Duration
	known       bool
}

// Confirm records a read that began at readStart and showed that nothing newer exists. Reads may be
// confirmed in any order; the latest start counts.
func (f *Freshness) Confirm(readStart time.Duration) {
	if !f.known || readStart > f.confirmedAt {
		f.confirmedAt, f.known = readStart, true
	}
}

// Age returns the time since the data was last known to be the newest. It returns false if it never
// was.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	if !f.known {
		return 0, false
	}
	return max(now-f.confirmedAt, 0), true
}

// Within reports whether the age is below a bound.
func (f *Freshness) Within(now, bound time.Duration) bool {
	age, ok := f.Age(now)
	return ok && age < bound
}

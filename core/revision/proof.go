package revision

import "time"

// Proof is how lately it was known that what is held is the newest. It counts from the beginning of
// the read that showed it, since the answer may have been on its way for any time. Times are those
// of a clock that also runs while the machine is suspended, so that a process that was frozen does not
// take what it held before for fresh. The zero value is no proof. Not safe for concurrent use.
type Proof struct {
	began time.Duration
	known bool
}

// Confirm takes a read that began at a time and showed that nothing newer exists.
func (p *Proof) Confirm(began time.Duration) {
	if !p.known || began > p.began {
		p.began, p.known = began, true
	}
}

// Age returns how old the proof is; false when there is none.
func (p *Proof) Age(now time.Duration) (time.Duration, bool) {
	if !p.known {
		return 0, false
	}
	return max(now-p.began, 0), true
}

// Within tells whether the proof is younger than a bound.
func (p *Proof) Within(now, bound time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age < bound
}

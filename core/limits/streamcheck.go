package limits

import "time"

const (
	// checkInterval is the time after which one of the streams that an estimate refuses is let through.
	checkInterval = 5 * time.Second
	// suspensionPeriod is how long none of them is refused after one has ended in time.
	suspensionPeriod = 10 * time.Second
)

// checkKey says for which streams an estimate is checked: those with prompts and outputs of about the same
// sizes.
type checkKey struct{ prompt, output int }

// check is when the next stream is let through, and until when refusals by the estimate are suspended.
type check struct {
	next, suspendedUntil time.Time
}

func (t *StreamTimes) checkOf(w StreamWork) *check {
	key := checkKey{sizeClass(w.PrefillTokens), sizeClass(w.OutputTokens)}
	c := t.checks[key]
	if c == nil {
		if t.checks == nil {
			t.checks = map[checkKey]*check{}
		}
		c = &check{}
		t.checks[key] = c
	}
	return c
}

// MayCheck reports whether a stream that can't end in time by [StreamTimes.MinDuration] is let through, so
// that the estimate is checked. That is one stream each checkInterval, and each one for suspensionPeriod after
// such a stream ended in time.
func (t *StreamTimes) MayCheck(now time.Time, w StreamWork) bool {
	c := t.checkOf(w)
	if now.Before(c.suspendedUntil) {
		return true
	}
	first := c.next.IsZero()
	if !first && now.Before(c.next) {
		return false
	}
	c.next = now.Add(checkInterval)
	return !first
}

// EndedInTime records that a stream that was let through by [StreamTimes.MayCheck] ended in time.
func (t *StreamTimes) EndedInTime(now time.Time, w StreamWork) {
	t.checkOf(w).suspendedUntil = now.Add(suspensionPeriod)
}

package admission

import (
	"time"

	"github.com/agateway/agateway/core/times"
)

// maxReturnIn bounds the time after which a caller is told to come back.
const maxReturnIn = 10 * time.Second

// ReturnSchedule spreads the times at which refused callers come back, so that they come no faster
// than they can be served. The zero value has told nobody a time.
type ReturnSchedule struct {
	last time.Time
}

// Next returns the time after which the next refused caller is told to come back. earliest is when
// the first one may be served, and perSecond how many can be served in a second; 0 if that is not
// known.
func (s *ReturnSchedule) Next(now time.Time, earliest time.Duration, perSecond float64) time.Duration {
	at := now.Add(earliest)
	if perSecond > 0 {
		if later := s.last.Add(time.Duration(float64(time.Second) / perSecond)); later.After(at) {
			at = later
		}
	}
	s.last = times.Earlier(at, now.Add(max(maxReturnIn, earliest)))
	return s.last.Sub(now)
}

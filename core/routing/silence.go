package routing

import (
	"time"

	"github.com/agateway/agateway/core/health"
)

// silence is what an instance knows of an endpoint that does not answer.
type silence struct {
	// answeredAt is when the endpoint last answered.
	answeredAt time.Time
	// waitingSince is from when on the requests in progress wait: since the last answer, or since the
	// first of them was sent; zero if none is in progress.
	waitingSince time.Time
	// since is when the first request was sent that timed out after the last answer, and timedOutAt when
	// the last one timed out; zero if there is none.
	since, timedOutAt time.Time
	// ejected is set while the endpoint is suspected for its silence alone, and before is its breaker from
	// before that.
	ejected bool
	before  health.Breaker
}

const (
	// silenceTTL is how long after a request timed out its endpoint counts as silent.
	silenceTTL = 5 * time.Second
	// An endpoint whose requests have waited for 1/silentWaitDivisor of the time after which another one
	// timed out counts as silent too.
	silentWaitDivisor = 2
	// A silence is shared if at least minSilent endpoints of a service are silent, and they are at least
	// 1/silentShareDivisor of those of which that is known.
	minSilent          = 2
	silentShareDivisor = 3
)

// sent records that a request was sent.
func (s *silence) sent(now time.Time) {
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
}

// finished records that a request ended. open is how many others are in progress.
func (s *silence) finished(open int) {
	if open == 0 {
		s.waitingSince = time.Time{}
	}
}

// answered records a sign of life.
func (s *silence) answered(now time.Time) {
	s.answeredAt, s.since, s.timedOutAt = now, time.Time{}, time.Time{}
	if !s.waitingSince.IsZero() {
		s.waitingSince = now
	}
}

// timedOut records that a request was not answered in time.
func (s *silence) timedOut(now, sentAt time.Time) {
	if s.since.IsZero() || now.Sub(s.timedOutAt) > silenceTTL {
		s.since = sentAt
	}
	s.timedOutAt = now
}

// isSilent reports whether requests recently timed out without an answer since, or have waited for some
// time.
func (s *silence) isSilent(now time.Time, wait time.Duration) bool {
	if !s.timedOutAt.IsZero() && now.Sub(s.timedOutAt) <= silenceTTL {
		return true
	}
	return !s.waitingSince.IsZero() && now.Sub(s.waitingSince) >= wait
}

// TimedOut records that an endpoint had not answered in time what was sent to it at sentAt. It reports
// whether the silence is shared, and so no evidence against the endpoint: many endpoints of its service
// are silent, compared with those that have answered since it fell silent.
func (v *View) TimedOut(now time.Time, id string, sentAt time.Time) (shared bool) {
	n := v.observe(id)
	if n == nil {
		return false
	}
	n.silence.timedOut(now, sentAt)
	if !v.settings.SharedSilence {
		return false
	}
	silent, alive := 0, 0
	for _, other := range v.groups[groupKey{n.Service, ""}] {
		switch {
		case other.silence.isSilent(now, now.Sub(sentAt)/silentWaitDivisor):
			silent++
		case other.silence.answeredAt.After(n.silence.since):
			alive++
		}
	}
	return silent >= minSilent && silent*silentShareDivisor >= silent+alive
}

// AnswerTimedOut is [View.AnswerLost] for an answer that did not arrive in time. It is no failure if the
// silence is shared.
func (v *View) AnswerTimedOut(now time.Time, id string, sentAt time.Time) (shared bool) {
	if shared = v.TimedOut(now, id, sentAt); !shared {
		v.AnswerLost(now, id)
	} else if n := v.observe(id); n != nil {
		n.lastAnswerLost = true
	}
	return shared
}

// AnswerLost records that an answer of an endpoint did not arrive. The next success clears a single
// lost answer; a second one in a row counts as a failure.
func (v *View) AnswerLost(now time.Time, id string) {
	n := v.observe(id)
	if n == nil {
		return
	}
	if n.lastAnswerLost {
		v.Failed(now, id)
	}
	n.lastAnswerLost = true
}

// Silent records that an endpoint fell silent by itself though its connections stand. It is suspected like
// one that failed, but all requests that notice one silence count as one failure. It reports whether this
// one counts.
func (v *View) Silent(now time.Time, id string) (counts bool) {
	n := v.observe(id)
	if n == nil || n.trust.Suspected(now) {
		return false
	}
	before := n.trust
	if n.silence.ejected { // it has not answered since the suspicion before
		before = n.silence.before
	}
	v.Failed(now, id)
	n.silence.ejected, n.silence.before = true, before
	return true
}

// Answered records a sign of life of an endpoint on any connection. It ends a suspicion for silence alone.
func (v *View) Answered(now time.Time, id string) {
	n := v.observe(id)
	if n == nil {
		return
	}
	n.silence.answered(now)
	if n.silence.ejected {
		n.trust, n.silence.ejected = n.silence.before, false
		v.degraded.stale = true
	}
}

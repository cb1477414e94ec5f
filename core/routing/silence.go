package routing

import (
	"math/rand/v2"
	"time"

	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/liveness"
)

// silence is what an instance knows of an endpoint that does not answer.
type silence struct {
	// answeredAt is when the endpoint last answered.
	answeredAt time.Time
	// awaited is how many answers this instance waits for, and waitingSince from when on: since the last
	// sign of life, or since the first of the requests was sent. Streams are not counted, as their events
	// are not recorded here.
	awaited      int
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
)

// answered records a sign of life.
func (s *silence) answered(now time.Time) {
	s.answeredAt, s.since, s.timedOutAt = now, time.Time{}, time.Time{}
	s.waitingSince = now
}

// timedOut records that a request was not answered in time. It returns false if the endpoint is not silent,
// as it answered others meanwhile.
func (s *silence) timedOut(now, sentAt time.Time) bool {
	if now.Sub(s.answeredAt) < now.Sub(sentAt)/silentWaitDivisor {
		return false
	}
	if s.since.IsZero() || now.Sub(s.timedOutAt) > silenceTTL {
		s.since = sentAt
	}
	s.timedOutAt = now
	return true
}

// timedOutLately reports whether a request timed out lately without an answer since.
func (s *silence) timedOutLately(now time.Time) bool {
	return !s.timedOutAt.IsZero() && now.Sub(s.timedOutAt) <= silenceTTL
}

// isSilent reports whether requests recently timed out without an answer since, or have waited for some
// time.
func (s *silence) isSilent(now time.Time, wait time.Duration) bool {
	return s.timedOutLately(now) || s.awaited > 0 && now.Sub(s.waitingSince) >= wait
}

// AwaitAnswer records that a request was sent to an endpoint that is answered as a whole. Its end is
// recorded with [View.AnswerEnded], whether an answer came or not.
func (v *View) AwaitAnswer(now time.Time, id string) {
	n := v.observe(id)
	if n == nil {
		return
	}
	if n.silence.awaited == 0 {
		n.silence.waitingSince = now
	}
	n.silence.awaited++
}

// AnswerEnded records the end of what [View.AwaitAnswer] recorded.
func (v *View) AnswerEnded(id string) {
	if n := v.nodes[id]; n != nil && n.silence.awaited > 0 {
		n.silence.awaited--
	}
}

// TimedOut records that an endpoint had not answered in time what was sent to it at sentAt. It reports
// whether the silence is shared, and so no evidence against the endpoint: many endpoints of its service
// are silent, compared with those that have answered since it fell silent.
func (v *View) TimedOut(now time.Time, id string, sentAt time.Time) (shared bool) {
	n := v.observe(id)
	if n == nil {
		return false
	}
	if !n.silence.timedOut(now, sentAt) || !v.settings.SharedSilence {
		return false
	}
	var e liveness.Evidence
	for _, other := range v.groups[groupKey{n.Service, ""}] {
		switch {
		case other.silence.isSilent(now, now.Sub(sentAt)/silentWaitDivisor):
			e.Silent++
		case other.silence.answeredAt.After(n.silence.since):
			e.Answering++
		}
	}
	return e.Shared()
}

// ServiceSize returns the number of endpoints of a service.
func (v *View) ServiceSize(service string) int { return len(v.groups[groupKey{service, ""}]) }

// AnsweredSince reports whether an endpoint has answered after a time.
func (v *View) AnsweredSince(id string, since time.Time) bool {
	n := v.nodes[id]
	return n != nil && n.silence.answeredAt.After(since)
}

// SampleOthers returns up to n random endpoints that take work of the service of an endpoint, without it.
func (v *View) SampleOthers(n int, id string, rnd *rand.Rand) []Endpoint {
	target := v.nodes[id]
	if target == nil {
		return nil
	}
	group := v.groups[groupKey{target.Service, ""}]
	var out []Endpoint
	start := rnd.IntN(len(group))
	for i := range group {
		if other := group[(start+i)%len(group)]; other != target && other.inService() && len(out) < n {
			out = append(out, other.Endpoint)
		}
	}
	return out
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

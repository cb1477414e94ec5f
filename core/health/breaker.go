package health

import "time"

// BreakerSettings configure how long an endpoint is paused after failures.
type BreakerSettings struct {
	// MinPause is the pause after one failure. It doubles with each further failure, up to
	// MaxPause.
	MinPause, MaxPause time.Duration
}

// episodeHalfLife is the time after which an episode of failures counts half as much. An endpoint
// that fails every few seconds gets longer and longer pauses. One that last failed a minute ago
// gets the pause of a first failure.
const episodeHalfLife = 10 * time.Second

// Breaker is a circuit breaker: it pauses an endpoint that could not be used. The zero value
// admits the endpoint.
type Breaker struct {
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	// episodes is the number of sequences of consecutive failures, decayed to decayedAt.
	episodes    float64
	decayedAt   time.Time
	pausedUntil time.Time
}

// maxDoublings bounds how often the pause doubles, so that the shift does not overflow.
const maxDoublings = 10

// Failed records that the endpoint could not be used, and starts a pause. It never shortens the
// current one.
func (b *Breaker) Failed(now time.Time, s BreakerSettings) {
	b.episodes *= decayFactor(now.Sub(b.decayedAt), episodeHalfLife)
	b.decayedAt = now
	if b.consecutiveFailures == 0 {
		b.episodes++
	}
	b.consecutiveFailures++
	pause := min(s.MinPause<<min(b.consecutiveFailures-1+b.relapses(), maxDoublings), s.MaxPause)
	if until := now.Add(pause); until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
}

// relapses returns how many recent episodes there were before the last one: how often the endpoint
// failed again after it had recovered.
func (b *Breaker) relapses() int { return max(int(b.episodes+0.5)-1, 0) }

// Succeeded records that the endpoint served a request. It ends the pause and the trial, and keeps
// the episodes.
func (b *Breaker) Succeeded() { b.consecutiveFailures, b.pausedUntil = 0, time.Time{} }

// Suspected reports whether the endpoint is in a pause.
func (b *Breaker) Suspected(now time.Time) bool { return now.Before(b.pausedUntil) }

// Until returns when the last pause ends or ended; zero if there was none since the last success.
func (b *Breaker) Until() time.Time { return b.pausedUntil }

// OnTrial reports whether the endpoint gets one request at a time until one succeeds, since it
// failed several times and may fail whatever it gets. After a single failure, which may have been
// chance, it is used as before.
func (b *Breaker) OnTrial() bool {
	return b.consecutiveFailures > 1 || b.consecutiveFailures > 0 && b.relapses() > 0
}

// Reset returns the breaker to its zero value, for an endpoint that was replaced.
func (b *Breaker) Reset() { *b = Breaker{} }

package health

import "time"

// TrustSettings bound how long an endpoint is left out after failures.
type TrustSettings struct {
	// First is the pause after one failure; it doubles with each further one, up to Most.
	First, Most time.Duration
}

// episodeHalfLife is after how long an episode of failures counts half as much: an endpoint that goes down every few
// seconds is left out longer each time, one that failed a minute ago is as good as new.
const episodeHalfLife = 10 * time.Second

// Trust is whether an endpoint may be used. The zero value is trusted.
type Trust struct {
	// inRow counts failures without a success in between.
	inRow int
	// episodes counts rows of failures, old ones in part.
	episodes float64
	at       time.Time
	until    time.Time
}

// doublings bounds how often the pause doubles.
const doublings = 10

// Failed records that the endpoint could not be used, and leaves it out for a while.
func (t *Trust) Failed(now time.Time, s TrustSettings) {
	t.episodes *= decayed(now.Sub(t.at), episodeHalfLife)
	t.at = now
	if t.inRow == 0 {
		t.episodes++
	}
	t.inRow++
	pause := min(s.First<<min(t.inRow-1+t.returns(), doublings), s.Most)
	if until := now.Add(pause); until.After(t.until) {
		t.until = until
	}
}

// returns is how often the endpoint failed again after it had come back.
func (t *Trust) returns() int { return max(int(t.episodes+0.5)-1, 0) }

// Succeeded records that the endpoint served a request: it is trusted at once, though that it failed is not
// forgotten.
func (t *Trust) Succeeded() { t.inRow, t.until = 0, time.Time{} }

// Suspected tells whether the endpoint is left out.
func (t *Trust) Suspected(now time.Time) bool { return now.Before(t.until) }

// Until returns when the endpoint is no longer left out; zero when it is not.
func (t *Trust) Until() time.Time { return t.until }

// OnTrial tells that the endpoint is to be given one request at a time, until one succeeds: it failed several times,
// and may fail all that it gets. After a single failure, which may have been chance, it is used as before.
func (t *Trust) OnTrial() bool { return t.inRow > 1 || t.inRow > 0 && t.returns() > 0 }

// Forget trusts an endpoint that was replaced.
func (t *Trust) Forget() { *t = Trust{} }

package limits

import (
	"math"
	"time"
)

// Quota is a team's limit over the whole fleet.
type Quota struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is in requests; at least 1 where Rate is set.
	Burst float64
	// Concurrent is in requests in progress; 0 means no limit.
	Concurrent int
}

// Usage is what one instance uses of a limit.
type Usage struct {
	Running int
	Rate    float64
}

// Refusal says why a request was refused, and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason names the limit that refused.
type Reason string

// Reasons for a refusal.
const (
	ReasonRate        Reason = "team_rate"
	ReasonConcurrency Reason = "team_concurrency"
	ReasonOverload    Reason = "overload"
)

// Team is one team's limit at one instance. The zero value allows everything until
// [Team.Configure].
type Team struct {
	quota   Quota
	others  Usage
	members int

	running int
	tokens  float64
	at      time.Time
	rate    rateMeter
}

// Configure sets the quota. Requests in progress are kept.
func (t *Team) Configure(now time.Time, q Quota) {
	if q == t.quota {
		return
	}
	if q.Rate > 0 && q.Burst < 1 {
		q.Burst = math.Max(1, q.Rate)
	}
	t.quota = q
	t.tokens, t.at = q.Burst, now
}

// Share tells how many instances there are and what the others use together.
func (t *Team) Share(members int, others Usage) {
	t.members, t.others = members, others
}

// Acquire admits a request, or refuses it. An admitted request has to be released.
func (t *Team) Acquire(now time.Time) *Refusal {
	if c := t.concurrent(); c > 0 && t.running >= c {
		return &Refusal{ReasonConcurrency, time.Second}
	}
	if r := t.allowedRate(); r > 0 {
		t.refill(now, r)
		if t.tokens < 1 {
			wait := time.Duration((1 - t.tokens) / r * float64(time.Second))
			return &Refusal{ReasonRate, wait}
		}
		t.tokens--
	}
	t.running++
	t.rate.add(now)
	return nil
}

// Release ends a request.
func (t *Team) Release() {
	if t.running > 0 {
		t.running--
	}
}

// Usage returns what this instance uses.
func (t *Team) Usage(now time.Time) Usage { return Usage{t.running, t.rate.value(now)} }

func (t *Team) refill(now time.Time, rate float64) {
	t.tokens = math.Min(t.quota.Burst, t.tokens+rate*now.Sub(t.at).Seconds())
	t.at = now
}

func (t *Team) concurrent() int {
	if t.quota.Concurrent == 0 {
		return 0
	}
	equal := (t.quota.Concurrent + max(t.members, 1) - 1) / max(t.members, 1)
	return max(equal, t.quota.Concurrent-t.others.Running, 1)
}

func (t *Team) allowedRate() float64 {
	equal := t.quota.Rate / float64(max(t.members, 1))
	return math.Max(equal, t.quota.Rate-t.others.Rate)
}

// rateMeter is an exponentially weighted rate of events, per second.
type rateMeter struct {
	rate float64
	at   time.Time
}

const rateWindow = 2 * time.Second

func (m *rateMeter) add(now time.Time) {
	m.rate = m.value(now) + 1/rateWindow.Seconds()
	m.at = now
}

func (m *rateMeter) value(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/rateWindow.Seconds())
}

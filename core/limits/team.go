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
	quota Quota
	fleet Fleet

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

// Fleet is what an instance knows of the others' use of a limit.
type Fleet struct {
	// Members is the number of live instances, this one included.
	Members int
	// Known is how many of the others have told what they use, and Others what that is
	// together.
	Known  int
	Others Usage
}

// Allowed returns how much of a limit this instance may use: what the others are not known
// to use, less a share for each that is not heard of; and never less than an equal share.
func (f Fleet) Allowed(limit, others float64) float64 {
	n := float64(max(f.Members, 1))
	heard := min(float64(f.Known+1)/n, 1)
	return math.Max(limit/n, limit*heard-others)
}

// Share sets what is known of the others.
func (t *Team) Share(f Fleet) { t.fleet = f }

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

// toldShare is the part of an equal share from which an instance's use is told to the
// others. What is not told makes the fleet exceed a limit by this part at the most.
const toldShare = 0.125

// Notable tells whether the others have to know what this instance uses.
func (t *Team) Notable(now time.Time) bool {
	n := float64(max(t.fleet.Members, 1))
	u, q := t.Usage(now), t.quota
	return q.Concurrent > 0 && float64(u.Running) >= toldShare*float64(q.Concurrent)/n ||
		q.Rate > 0 && u.Rate >= toldShare*q.Rate/n
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
	return max(1, int(math.Ceil(t.fleet.Allowed(float64(t.quota.Concurrent), float64(t.fleet.Others.Running)))))
}

func (t *Team) allowedRate() float64 {
	return t.fleet.Allowed(t.quota.Rate, t.fleet.Others.Rate)
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

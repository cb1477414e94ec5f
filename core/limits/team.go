package limits

import (
	"math"
	"time"
)

// Quota is the limit of a team over the whole fleet.
type Quota struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is in requests. If Rate is set, a Burst below 1 means the number of requests per
	// second, but at least 1.
	Burst float64
	// Concurrent is the maximum number of requests in progress; 0 means no limit.
	Concurrent int
}

// Usage is the part of a limit that is in use: requests in progress, and requests per second.
type Usage struct {
	Running int
	Rate    float64
}

// Refusal says why a request was refused, and after what time to retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason names the limit that refused a request.
type Reason string

// Reasons for a refusal.
const (
	ReasonRate        Reason = "team_rate"
	ReasonConcurrency Reason = "team_concurrency"
	ReasonOverload    Reason = "overload"
)

// Team enforces the limit of one team at one instance. The zero value allows everything until
// [Team.Configure].
type Team struct {
	quota Quota
	fleet FleetUsage

	running    int
	tokens     float64
	refilledAt time.Time
	rate       rateMeter
}

// Configure sets the quota. A changed quota starts with a full burst. Requests in progress are
// kept.
func (t *Team) Configure(now time.Time, q Quota) {
	if q == t.quota {
		return
	}
	if q.Rate > 0 && q.Burst < 1 {
		q.Burst = math.Max(1, q.Rate)
	}
	t.quota = q
	t.tokens, t.refilledAt = q.Burst, now
}

// FleetUsage is what an instance knows of the other instances' usage of a limit.
type FleetUsage struct {
	// Members is the number of live instances, this one included.
	Members int
	// Reported is how many of the other instances have reported their usage, and Others the sum of
	// what they reported.
	Reported int
	Others   Usage
}

// Allowed returns how much of a limit this instance may use: what the others are not known to use,
// less an equal share for each instance that has not reported, but at least an equal share.
func (f FleetUsage) Allowed(limit, others float64) float64 {
	n := float64(max(f.Members, 1))
	reportedShare := min(float64(f.Reported+1)/n, 1)
	return math.Max(limit/n, limit*reportedShare-others)
}

// SetFleetUsage sets what is known of the other instances' usage.
func (t *Team) SetFleetUsage(f FleetUsage) { t.fleet = f }

// Acquire admits a request, or returns why it is refused. An admitted request has to be released.
func (t *Team) Acquire(now time.Time) *Refusal {
	if c := t.allowedConcurrency(); c > 0 && t.running >= c {
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

// Release ends an admitted request.
func (t *Team) Release() {
	if t.running > 0 {
		t.running--
	}
}

// reportShare is the fraction of an equal share above which an instance reports its usage to the
// others. Unreported usage makes the fleet exceed a limit by at most this fraction.
const reportShare = 0.125

// ShouldReport tells whether the other instances need to know the usage of this one.
func (t *Team) ShouldReport(now time.Time) bool {
	n := float64(max(t.fleet.Members, 1))
	u, q := t.Usage(now), t.quota
	return q.Concurrent > 0 && float64(u.Running) >= reportShare*float64(q.Concurrent)/n ||
		q.Rate > 0 && u.Rate >= reportShare*q.Rate/n
}

// Usage returns the usage of this instance.
func (t *Team) Usage(now time.Time) Usage { return Usage{t.running, t.rate.value(now)} }

func (t *Team) refill(now time.Time, rate float64) {
	t.tokens = math.Min(t.quota.Burst, t.tokens+rate*now.Sub(t.refilledAt).Seconds())
	t.refilledAt = now
}

func (t *Team) allowedConcurrency() int {
	if t.quota.Concurrent == 0 {
		return 0
	}
	return max(1, int(math.Ceil(t.fleet.Allowed(float64(t.quota.Concurrent), float64(t.fleet.Others.Running)))))
}

func (t *Team) allowedRate() float64 {
	return t.fleet.Allowed(t.quota.Rate, t.fleet.Others.Rate)
}

// rateMeter measures an exponentially weighted rate of events per second.
type rateMeter struct {
	rate      float64
	updatedAt time.Time
}

const rateWindow = 2 * time.Second

func (m *rateMeter) add(now time.Time) {
	m.rate = m.value(now) + 1/rateWindow.Seconds()
	m.updatedAt = now
}

func (m *rateMeter) value(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.updatedAt).Seconds()/rateWindow.Seconds())
}

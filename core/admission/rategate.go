package admission

import (
	"time"

	"github.com/agateway/agateway/core/times"
)

const (
	// burst is how far ahead of an even distribution requests may be admitted, and recoveryBurst
	// the same for work that was lost once.
	burst         = 500 * time.Millisecond
	recoveryBurst = 1500 * time.Millisecond
	// minRate is the rate at which an endpoint that states a lower one still gets requests, per
	// second. Its answers say when the limit is raised.
	minRate = 0.25
	// maxRetryIn bounds the time after which an instance is told to ask again.
	maxRetryIn = 2 * time.Second
)

// RateGate admits requests to one endpoint at a rate, by the generic cell rate algorithm. The zero
// value is a gate that has admitted nothing; it starts without a burst.
type RateGate struct {
	// next is when the next request is due if requests come evenly.
	next time.Time
	// interval is the time between two requests at the rate of the last call.
	interval time.Duration
	// told is the latest time at which an instance was told to ask again.
	told time.Time
}

// Admit admits or refuses a request. rate is the number of requests per second. retryIn says when a
// refused one may be admitted. Several instances that are refused are told times that are as far
// apart as the rate requires.
func (g *RateGate) Admit(now time.Time, rate float64, recovery bool) (admitted bool, retryIn time.Duration) {
	interval := time.Duration(float64(time.Second) / max(rate, minRate))
	ahead := g.ahead(now, interval)
	tolerance := burst
	if recovery {
		tolerance = recoveryBurst
	}
	if ahead <= tolerance {
		g.next = now.Add(max(ahead, 0) + interval)
		return true, 0
	}
	free := now.Add(ahead - tolerance)
	if later := g.told.Add(interval); later.After(free) {
		free = later
	}
	g.told = times.Earlier(free, now.Add(maxRetryIn))
	return false, g.told.Sub(now)
}

// ahead returns how far requests are ahead of an even distribution. A change of the rate keeps the
// number of requests by which they are ahead, as far as a recovery could have gone at the new rate.
func (g *RateGate) ahead(now time.Time, interval time.Duration) time.Duration {
	if g.next.IsZero() {
		g.interval = interval
		return burst
	}
	ahead := g.next.Sub(now)
	if ahead > 0 && interval != g.interval {
		ahead = min(time.Duration(float64(ahead)*float64(interval)/float64(g.interval)), recoveryBurst+interval)
		g.next = now.Add(ahead)
	}
	g.interval = interval
	return ahead
}

// OwnerShare returns the share of a stated rate that an owner admits. rank is 0 for the first owner
// of an endpoint. The others admit something only while an instance gets no answer from the first.
func OwnerShare(rank int) float64 {
	if rank == 0 {
		return 1
	}
	return standbyShare
}

// standbyShare is the share of an owner that is not the first. Both together stay within the
// tolerance that endpoints have, one and a half times their rate.
const standbyShare = 0.3

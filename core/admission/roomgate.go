package admission

import (
	"time"

	"github.com/agateway/agateway/core/times"
)

// Lease identifies a request that was admitted: the instance that sends it, and its number there.
type Lease struct {
	Holder string
	Number uint64
}

// Outcome is how a request ended at an endpoint that bounds refusals.
type Outcome int

// Outcomes of a request.
const (
	// Served is any answer, and also a loss after the request was sent.
	Served Outcome = iota
	// Begun means that the first part of an answer arrived. The request goes on.
	Begun
	// Withdrawn means that the request was not sent.
	Withdrawn
	// Refused means that the endpoint had no room.
	Refused
	// Unreachable means that no connection was made.
	Unreachable
)

const (
	// refusalWindow is the time in which the refusals of an endpoint count together.
	refusalWindow = time.Second
	// refusalPause is how long nothing is admitted after a refusal.
	refusalPause = 100 * time.Millisecond
	// unreachablePause is the same after a failed connection.
	unreachablePause = 500 * time.Millisecond
	// After a refusal the window grows in steps, each of which risks one more. The time between two
	// steps doubles with each refusal, from minGrowthPause to maxGrowthPause, and starts again after
	// refusalMemory without any.
	minGrowthPause = 250 * time.Millisecond
	maxGrowthPause = 4 * time.Second
	refusalMemory  = 10 * time.Second
	// minFreeInterval is the shortest time between two times that refused instances are told.
	minFreeInterval = 5 * time.Millisecond
	// maxRoomRetry bounds the time after which an instance is told to ask again.
	maxRoomRetry = 30 * time.Millisecond
	// averageWeight is the weight of the last value in an average.
	averageWeight = 0.1
	// A lease whose release is lost lasts lifetimeFactor times as long as requests usually take, at
	// least minLifetime. A time without any release does not count if it is at least
	// 1/silenceDivisor of that: the endpoint may be paused, and still has its requests then.
	lifetimeFactor = 4
	minLifetime    = 100 * time.Millisecond
	silenceDivisor = 2
	// standbySlotsDivisor divides the slots that an owner other than the first uses.
	standbySlotsDivisor = 4
)

// RoomGate admits requests to one endpoint that fails when it refuses too much. It admits no more
// than the endpoint can run at once, so that none waits there and none is refused. A refusal
// nevertheless narrows the window, as does a failed connection: an endpoint that restarts is sent
// one request, and one more for each that it serves. The zero value has admitted nothing.
type RoomGate struct {
	leases map[Lease]term
	// window is how many requests may be in progress; 0 until the first claim.
	window int
	// growAt is when the window may grow next after a refusal, and growthPause the time between two
	// steps; zero while there was no refusal.
	growAt      time.Time
	growthPause time.Duration
	refusals    []time.Time // within refusalWindow
	closed      time.Time   // until when nothing is admitted
	told        time.Time   // the latest time at which an instance was told to ask again
	lastFreed   time.Time
	// lastRelease is when a release showed last that the endpoint makes progress, or when a request was
	// admitted while there was no other.
	lastRelease time.Time
	// usual is how long requests take on average; 0 until one has ended.
	usual time.Duration
	// freeInterval is the average time between two ends of requests.
	freeInterval time.Duration
}

// term is when a lease began, when it expires if the endpoint makes progress, and when it expires in any
// case.
type term struct{ from, until, deadline time.Time }

// RoomClaim asks for room at an endpoint.
type RoomClaim struct {
	Lease Lease
	// Lifetime is when the room is free again at the latest.
	Lifetime time.Duration
	// Slots is how many requests the endpoint runs at once, and MaxRefusals how many refusals
	// within a second it bears.
	Slots, MaxRefusals int
	// Occupied is how many requests are known to be there, whether they were admitted or not. It is
	// valid only if OccupiedKnown is set.
	Occupied      int
	OccupiedKnown bool
	// Cold says that the endpoint has just started.
	Cold bool
	// OwnerRank is the rank of this instance among the owners of the endpoint, 0 for the first.
	OwnerRank int
}

// Admit admits or refuses a request. retryIn says when a refused one may be admitted.
func (g *RoomGate) Admit(now time.Time, c *RoomClaim) (admitted bool, retryIn time.Duration) {
	g.expire(now)
	if g.window == 0 {
		g.window = initialWindow(c)
	}
	slots := c.Slots
	if c.OwnerRank > 0 {
		slots = max(slots/standbySlotsDivisor, 1)
	}
	if now.Before(g.closed) {
		return false, g.closed.Sub(now)
	}
	if max(len(g.leases), c.Occupied) >= min(g.window, slots) {
		return false, g.tellNext(now)
	}
	if g.leases == nil {
		g.leases = map[Lease]term{}
	}
	if len(g.leases) == 0 {
		g.lastRelease = now
	}
	deadline := now.Add(c.Lifetime)
	g.leases[c.Lease] = term{now, g.expiry(now, deadline), deadline}
	return true, 0
}

// expiry returns when a lease expires that begins or is confirmed now, if its release is lost and the
// endpoint makes progress.
func (g *RoomGate) expiry(now, deadline time.Time) time.Time {
	if g.usual == 0 {
		return deadline
	}
	return times.Earlier(now.Add(g.lifetime()), deadline)
}

// lifetime returns a multiple of how long requests usually take.
func (g *RoomGate) lifetime() time.Duration { return max(lifetimeFactor*g.usual, minLifetime) }

// recordProgress records that the endpoint makes progress. After a time without, the leases of its
// requests begin anew.
func (g *RoomGate) recordProgress(now time.Time) {
	if g.usual > 0 && now.Sub(g.lastRelease) >= g.lifetime()/silenceDivisor {
		for l, t := range g.leases {
			t.until = times.Later(t.until, g.expiry(now, t.deadline))
			g.leases[l] = t
		}
	}
	g.lastRelease = now
}

// initialWindow returns the window for the first claims at an endpoint. A new owner may not know what
// the one before admitted.
func initialWindow(c *RoomClaim) int {
	if c.Cold || !c.OccupiedKnown {
		return 1
	}
	return max(c.Slots, 1)
}

// tellNext returns when a refused instance is to ask again. The times are as far apart as requests
// end at the endpoint.
func (g *RoomGate) tellNext(now time.Time) time.Duration {
	interval := max(g.freeInterval, minFreeInterval)
	at := now.Add(interval)
	if later := g.told.Add(interval); later.After(at) {
		at = later
	}
	g.told = times.Earlier(at, now.Add(maxRoomRetry))
	return g.told.Sub(now)
}

// expire drops the leases whose releases are lost. While the endpoint makes no progress, its requests are
// still there until their deadlines.
func (g *RoomGate) expire(now time.Time) {
	for l, t := range g.leases {
		if !now.Before(t.deadline) || !now.Before(t.until) && !g.lastRelease.Before(t.until) {
			delete(g.leases, l)
		}
	}
}

// Release ends a lease, unless the request has only begun to be served. slots is how many requests the endpoint runs at once, maxRefusals how many
// refusals within a second it bears.
func (g *RoomGate) Release(now time.Time, l Lease, o Outcome, slots, maxRefusals int) {
	open := len(g.leases)
	t, known := g.leases[l]
	if known && (o == Begun || o == Served) {
		g.recordProgress(now)
	}
	if o != Begun {
		delete(g.leases, l)
	}
	switch o {
	case Begun:
		g.grow(now, slots)
	case Served:
		if known {
			g.recordEnd(now, t.from)
			g.grow(now, slots)
		}
	case Refused:
		g.recordRefusal(now, open, maxRefusals)
	case Unreachable:
		g.window, g.growAt = 1, time.Time{}
		g.close(now.Add(unreachablePause))
	}
}

// recordEnd updates the averages of how long requests take and of the time between two ends.
func (g *RoomGate) recordEnd(now, from time.Time) {
	if took := now.Sub(from); g.usual == 0 {
		g.usual = took
	} else {
		g.usual += time.Duration(averageWeight * float64(took-g.usual))
	}
	if !g.lastFreed.IsZero() {
		took := min(now.Sub(g.lastFreed), refusalWindow)
		g.freeInterval += time.Duration(averageWeight * float64(took-g.freeInterval))
	}
	g.lastFreed = now
}

// grow widens the window by one after a request was served; after a refusal, only at intervals of
// g.growthPause.
func (g *RoomGate) grow(now time.Time, slots int) {
	if !g.growAt.IsZero() {
		if now.Before(g.growAt) {
			return
		}
		g.growAt = now.Add(g.growthPause)
	}
	g.window = min(g.window+1, max(slots, 1))
}

// recordRefusal narrows the window below the number of requests at which the endpoint refused one.
// Nothing is admitted for a while; after as many refusals as the endpoint bears, until the first of
// them counts no more.
func (g *RoomGate) recordRefusal(now time.Time, open, maxRefusals int) {
	if n := len(g.refusals); n > 0 && now.Sub(g.refusals[n-1]) < refusalMemory {
		g.growthPause = min(2*g.growthPause, maxGrowthPause)
	} else {
		g.growthPause = minGrowthPause
	}
	g.window, g.growAt = max(min(g.window, open)-1, 1), now.Add(g.growthPause)
	recent := g.refusals[:0]
	for _, at := range g.refusals {
		if now.Sub(at) < refusalWindow {
			recent = append(recent, at)
		}
	}
	g.refusals = append(recent, now)
	g.close(now.Add(refusalPause))
	if len(g.refusals) >= max(maxRefusals, 1) {
		g.close(g.refusals[0].Add(refusalWindow))
	}
}

// close admits nothing until a time.
func (g *RoomGate) close(until time.Time) {
	if until.After(g.closed) {
		g.closed = until
	}
}

// Retain drops the leases of a holder for which keep returns false.
func (g *RoomGate) Retain(holder string, keep func(number uint64) bool) {
	for l := range g.leases {
		if l.Holder == holder && !keep(l.Number) {
			delete(g.leases, l)
		}
	}
}

// Idle reports whether the gate holds no lease and nothing keeps it from admitting.
func (g *RoomGate) Idle(now time.Time) bool {
	g.expire(now)
	return len(g.leases) == 0 && !now.Before(g.closed)
}

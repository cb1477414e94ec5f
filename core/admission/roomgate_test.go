package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func roomClaim(n uint64) *RoomClaim {
	return &RoomClaim{Lease: Lease{"a", n}, Lifetime: 10 * time.Second, Slots: 6, MaxRefusals: 3}
}

// admitAll claims until it is refused, and returns how many were admitted.
func admitAll(g *RoomGate, now time.Time, first uint64) int {
	for n := first; ; n++ {
		if ok, _ := g.Admit(now, roomClaim(n)); !ok {
			return int(n - first)
		}
	}
}

// openGate returns a gate whose window is as wide as the slots.
func openGate(now time.Time) *RoomGate {
	g := &RoomGate{}
	for n := range uint64(6) {
		g.Admit(now, roomClaim(n))
		g.Release(now, Lease{"a", n}, Served, 6, 3)
	}
	return g
}

// TestRoomGateFillsSlotsAndNoMore checks that a gate opens up to the slots of an endpoint within a
// few requests, and never beyond.
func TestRoomGateFillsSlotsAndNoMore(t *testing.T) {
	var g RoomGate
	assert.Equal(t, admitAll(&g, at(0), 1), 1, "a new owner does not know what the one before admitted")
	g = *openGate(at(0))
	assert.Equal(t, admitAll(&g, at(time.Second), 10), 6)
	c := roomClaim(99)
	c.Lease.Holder = "b"
	ok, in := g.Admit(at(time.Second), c)
	assert.Assert(t, !ok && in > 0)
	g.Release(at(1010*time.Millisecond), Lease{"a", 10}, Served, 6, 3)
	ok, _ = g.Admit(at(1020*time.Millisecond), c)
	assert.Assert(t, ok, "what one instance does not use is left to the others")
	assert.Equal(t, admitAll(&g, at(12*time.Second), 20), 6, "leases expire")
	engine := roomClaim(1)
	engine.Occupied, engine.OccupiedKnown = 4, true
	var known RoomGate
	ok, _ = known.Admit(at(0), engine)
	assert.Assert(t, ok, "it is known what the one before admitted")
	engine.Occupied = 6
	ok, _ = known.Admit(at(0), engine)
	assert.Assert(t, !ok)
}

// TestRoomGateAfterRefusals checks that the gate closes before an endpoint has refused more than it
// bears, and that its window stays below the one at which it refused.
func TestRoomGateAfterRefusals(t *testing.T) {
	g := openGate(at(0))
	assert.Equal(t, admitAll(g, at(0), 1), 6)
	g.Release(at(0), Lease{"a", 1}, Refused, 6, 3)
	for n := range uint64(5) {
		g.Release(at(0), Lease{"a", n + 2}, Served, 6, 3)
	}
	assert.Equal(t, admitAll(g, at(50*time.Millisecond), 10), 0)
	assert.Equal(t, admitAll(g, at(150*time.Millisecond), 10), 5)
	for i, d := range []time.Duration{200, 300} {
		g.Release(at(d*time.Millisecond), Lease{"a", 10 + uint64(i)}, Refused, 6, 3)
	}
	for d := 350 * time.Millisecond; d < time.Second; d += 50 * time.Millisecond {
		assert.Equal(t, admitAll(g, at(d), 20), 0, "after three refusals within a second, at %v", d)
	}
	for n := range uint64(3) {
		g.Release(at(time.Second), Lease{"a", n + 12}, Served, 6, 3)
	}
	assert.Equal(t, admitAll(g, at(1100*time.Millisecond), 20), 3)
	g.Release(at(4*time.Second), Lease{"a", 20}, Served, 6, 3)
	g.Release(at(4*time.Second), Lease{"a", 21}, Served, 6, 3)
	assert.Equal(t, g.window, 4, "one step at a time")
}

// TestRoomGateAfterReturn checks that an endpoint that was gone is sent one request, and then two
// for each that it serves.
func TestRoomGateAfterReturn(t *testing.T) {
	g := openGate(at(0))
	admitAll(g, at(0), 1)
	for n := range uint64(6) {
		g.Release(at(0), Lease{"a", n + 1}, Unreachable, 6, 3)
	}
	assert.Equal(t, admitAll(g, at(100*time.Millisecond), 10), 0)
	assert.Equal(t, admitAll(g, at(time.Second), 10), 1)
	g.Release(at(2*time.Second), Lease{"a", 10}, Served, 6, 3)
	assert.Equal(t, admitAll(g, at(2*time.Second), 20), 2)
	g.Release(at(2*time.Second), Lease{"a", 20}, Begun, 6, 3)
	assert.Equal(t, admitAll(g, at(2*time.Second), 30), 1, "a stream that has begun keeps its room")
	c := roomClaim(30)
	c.OccupiedKnown, c.Cold = true, true
	var fresh RoomGate
	ok, _ := fresh.Admit(at(0), c)
	assert.Assert(t, ok)
	c.Lease.Number++
	ok, _ = fresh.Admit(at(0), c)
	assert.Assert(t, !ok, "an endpoint that has just started")
}

// TestLostReleases checks that leases whose release was lost are dropped when their holder claims
// again, and all of a holder that is gone.
func TestLostReleases(t *testing.T) {
	g := openGate(at(0))
	admitAll(g, at(0), 1)
	g.Retain("a", func(n uint64) bool { return n == 2 })
	assert.Equal(t, len(g.leases), 1)
	g.Retain("b", func(uint64) bool { return false })
	assert.Equal(t, len(g.leases), 1)
	g.Retain("a", func(uint64) bool { return false })
	assert.Assert(t, g.Idle(at(0)))
}

// fragileEndpoint is a model of an endpoint that falls when it refuses too much. It lets fewer
// requests wait than usual.
type fragileEndpoint struct {
	running, waitingRoom, maxRefusals, falls int
	refusals                                 []time.Duration
	downUntil                                time.Duration
}

func (e *fragileEndpoint) offer(now time.Duration, slots int) Outcome {
	if now < e.downUntil {
		return Unreachable
	}
	if e.running < slots+e.waitingRoom {
		e.running++
		return Served
	}
	e.refusals = append(e.refusals, now)
	recent := 0
	for _, at := range e.refusals {
		if now-at < time.Second {
			recent++
		}
	}
	if recent > e.maxRefusals {
		e.falls++
		e.running, e.refusals, e.downUntil = 0, nil, now+3*time.Second
	}
	return Refused
}

// TestFleetsAndFragileEndpoint plays fleets of several sizes that press a fragile endpoint with
// three times what it takes, while the owner is replaced and releases are lost. The endpoint must
// not fall, and most of what it can run is used.
func TestFleetsAndFragileEndpoint(t *testing.T) {
	const slots, work, played, step = 6, 60 * time.Millisecond, 30 * time.Second, time.Millisecond
	for _, instances := range []int{6, 30, 300, 985} {
		for _, others := range []int{0, 1} { // requests of others, which take slots without being admitted
			t.Run(fmt.Sprint(instances, " ", others), func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(7, uint64(instances)))
				e := &fragileEndpoint{maxRefusals: 3, running: others}
				g := &RoomGate{}
				askAgain := make([]time.Duration, instances)
				type open struct {
					until time.Duration
					lease Lease
				}
				var opens []open
				served, number := 0, uint64(0)
				for d := time.Duration(0); d < played; d += step {
					if d%(5*time.Second) == 0 {
						g = &RoomGate{}
					}
					kept := opens[:0]
					for _, o := range opens {
						if d < o.until {
							kept = append(kept, o)
							continue
						}
						e.running = max(e.running-1, others)
						served++
						if rnd.IntN(50) > 0 {
							g.Release(at(d), o.lease, Served, slots, e.maxRefusals)
						}
					}
					opens = kept
					if rnd.IntN(10) >= 3 { // 300 requests a second, where 100 can be served
						continue
					}
					i := rnd.IntN(instances)
					if d < askAgain[i] {
						continue
					}
					number++
					l := Lease{fmt.Sprint(i), number}
					held := map[uint64]bool{}
					for _, o := range opens {
						if o.lease.Holder == l.Holder {
							held[o.lease.Number] = true
						}
					}
					g.Retain(l.Holder, func(n uint64) bool { return held[n] })
					ok, in := g.Admit(at(d), &RoomClaim{Lease: l, Lifetime: time.Second, Slots: slots, MaxRefusals: e.maxRefusals})
					askAgain[i] = d + in
					if !ok {
						continue
					}
					if o := e.offer(d, slots); o != Served {
						g.Release(at(d), l, o, slots, e.maxRefusals)
						continue
					}
					opens = append(opens, open{d + work, l})
				}
				capacity := played.Seconds() * float64(slots-others) / work.Seconds()
				assert.Check(t, e.falls == 0, "%d falls", e.falls)
				assert.Check(t, float64(served) >= 0.7*capacity, "%d served of %.0f", served, capacity)
			})
		}
	}
}

// TestSilentEndpointKeepsItsLeases guards against admitting more than an endpoint runs at once while it is
// paused, since the leases of the requests that it still has expired after some times what they usually
// take. Once it goes on, leases whose releases are lost expire as before.
func TestSilentEndpointKeepsItsLeases(t *testing.T) {
	const usual = 200 * time.Millisecond
	for _, silence := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second} {
		g, n, now := openGate(at(0)), uint64(100), at(time.Second)
		for range 20 {
			g.Admit(now, roomClaim(n))
			now = now.Add(usual)
			g.Release(now, Lease{"a", n}, Served, 6, 3)
			n++
		}
		first := n
		n += uint64(admitAll(g, now, n))
		assert.Equal(t, n-first, uint64(6))
		for end := now.Add(silence + usual); now.Before(end); now = now.Add(10 * time.Millisecond) {
			assert.Equal(t, admitAll(g, now, n), 0, "more was admitted %v after the start of a silence of %v", now.Sub(end)+silence+usual, silence)
		}
		for i := range uint64(5) { // the last release is lost
			g.Release(now.Add(time.Duration(i)*time.Millisecond), Lease{"a", first + i}, Served, 6, 3)
		}
		admitted := admitAll(g, now.Add(5*time.Millisecond), n)
		assert.Equal(t, admitted, 5)
		now = now.Add(5 * time.Millisecond)
		for range 30 { // the endpoint is busy
			now = now.Add(usual)
			g.Release(now, Lease{"a", n}, Served, 6, 3)
			n += uint64(max(admitted, 1))
			admitted = admitAll(g, now, n)
		}
		_, kept := g.leases[Lease{"a", first + 5}]
		assert.Assert(t, !kept, "a lease whose release is lost expires")
	}
}

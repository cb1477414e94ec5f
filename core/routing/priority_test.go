package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
)

var (
	mostUrgent  = route.Priority{Level: 0, Levels: 2}
	leastUrgent = route.Priority{Level: 1, Levels: 2}
)

// rankedView returns a view of one engine with 8 slots that prefills a prompt of 8,000 tokens in a
// second.
func rankedView(now time.Time) *View {
	v := NewView(DefaultSettings())
	v.Upsert(Endpoint{ID: "e", Service: "s", Slots: 8, Memory: 88000})
	for range 20 {
		v.ObservePrefill(now, "e", 8000, time.Second)
	}
	return v
}

func ranked(p route.Priority) *Request {
	return &Request{Service: "s", Tokens: 9000, PromptTokens: 8000, PrefillWithin: 3 * time.Second, Priority: p}
}

// place records n streams whose prompts are still to be prefilled if pending is set.
func placeRanked(v *View, now time.Time, n int, p route.Priority, pending bool) {
	for range n {
		w := Placed{Tokens: 9000}
		if pending {
			w.SetPendingPrefill(8000, p)
		}
		v.Sent(now, "e")
		v.Place("e", w)
	}
}

// TestLessUrgentPromptsDoNotRefuseUrgentOnes guards against an inversion: four prompts of low
// priority wait at an engine, which would prefill an urgent one before them. Counted as ahead of it
// they refuse it.
func TestLessUrgentPromptsDoNotRefuseUrgentOnes(t *testing.T) {
	now := time.Unix(0, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	v := rankedView(now)
	placeRanked(v, now, 4, leastUrgent, true)
	_, err := v.Pick(now, ranked(mostUrgent), rnd)
	assert.NilError(t, err)
	assert.Assert(t, v.Claim(now, "e", "peer", Claim{Tokens: 9000, PendingPrefill: 8000, PrefillWithin: 3 * time.Second, Priority: mostUrgent}).Granted)
	for _, p := range []route.Priority{leastUrgent, {}} {
		_, err = v.Pick(now, ranked(p), rnd)
		assert.ErrorIs(t, err, ErrFull, "%+v", p)
	}
	v = rankedView(now)
	placeRanked(v, now, 4, mostUrgent, true)
	_, err = v.Pick(now, ranked(mostUrgent), rnd)
	assert.ErrorIs(t, err, ErrFull, "prompts of the same priority are ahead")
}

// TestSlotsAndMemoryAreReservedForUrgentRequests guards against engines that requests of low
// priority fill, with a queue of them at the engine, so that urgent ones find no room.
func TestSlotsAndMemoryAreReservedForUrgentRequests(t *testing.T) {
	now := time.Unix(0, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	count := func(p route.Priority, tokens int) int {
		v := rankedView(now)
		for n := 0; ; n++ {
			r := ranked(p)
			r.Tokens = tokens
			if _, err := v.Pick(now, r, rnd); err != nil {
				return n
			}
			v.Sent(now, "e")
			v.Place("e", Placed{Tokens: tokens})
		}
	}
	const small, large = 1000, 22000 // by slots, by memory
	assert.Equal(t, count(leastUrgent, small), 8)
	assert.Equal(t, count(route.Priority{Level: 1, Levels: 3}, small), 11)
	assert.Equal(t, count(mostUrgent, small), 12)
	assert.Equal(t, count(route.Priority{}, small), 10, "without ranks as before")
	assert.Equal(t, count(leastUrgent, large), 4)
	assert.Equal(t, count(mostUrgent, large), 5)
	assert.Equal(t, count(route.Priority{}, large), 4, "without ranks as before")
}

// TestUrgentStreamsKeepCopiesUnderLoad guards against urgent streams without a copy while engines are full: when
// a third of 96 engines crashed under load, one urgent stream in ten paused for the time of its prompt.
func TestUrgentStreamsKeepCopiesUnderLoad(t *testing.T) {
	now := time.Unix(0, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	v := rankedView(now)
	placeRanked(v, now, 8, leastUrgent, false)
	for _, waiting := range []bool{false, true} {
		for _, tt := range []struct {
			priority route.Priority
			room     bool
		}{
			{mostUrgent, true}, {leastUrgent, false}, {route.Priority{Level: 1, Levels: 4}, true}, {route.Priority{Level: 2, Levels: 4}, false},
			{route.Priority{Level: 1, Levels: 3}, true}, {route.Priority{}, false},
		} {
			r := ranked(tt.priority)
			r.Copy, r.RequestsWaiting = true, waiting
			_, err := v.Pick(now, r, rnd)
			assert.Equal(t, err == nil, tt.room, "%+v: %v", tt.priority, err)
		}
	}
	placeRanked(v, now, 1, leastUrgent, false) // no memory is left
	r := ranked(mostUrgent)
	r.Copy = true
	_, err := v.Pick(now, r, rnd)
	assert.ErrorIs(t, err, ErrFull)
}

// TestPendingPromptsByLevelAreReleased checks that reports, claims and releases leave nothing behind
// that would count against later requests.
func TestPendingPromptsByLevelAreReleased(t *testing.T) {
	now := time.Unix(0, 0)
	v := rankedView(now)
	var w Placed
	w.SetPendingPrefill(8000, mostUrgent)
	v.Place("e", w)
	v.SetPeerReport(now, "peer", PeerReport{Placed: map[string]Placed{"e": w}})
	assert.Equal(t, v.PlacedAt(now, "e").PendingByLevel[0], int32(16000))
	v.Release("e", w.Prefill())
	v.SetPeerReport(now, "peer", PeerReport{})
	assert.Equal(t, v.PlacedAt(now, "e"), Placed{})
}

// TestUrgentRequestsUnderOverload: engines are offered three times the prompts that they can prefill,
// one in ten of them urgent, by up to 985 instances that know of each other's placements by claims.
// The urgent ones must not be refused more often than the others, and nearly all must be placed.
func TestUrgentRequestsUnderOverload(t *testing.T) {
	for _, c := range []struct{ instances, engines int }{{6, 24}, {62, 32}, {84, 32}, {985, 48}} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			urgent, others := servedUnderOverload(c.instances, c.engines, mostUrgent, leastUrgent)
			t.Logf("urgent %.2f, others %.2f", urgent, others)
			assert.Assert(t, urgent >= 0.95, "%.3f of the urgent requests were placed", urgent)
			assert.Assert(t, others < 0.6, "the load is too low: %.3f of the others were placed", others)
			urgent, _ = servedUnderOverload(c.instances, c.engines, route.Priority{}, route.Priority{})
			assert.Assert(t, urgent < 0.8, "the load is too low to refuse urgent requests without ranks: %.3f", urgent)
		})
	}
}

// servedUnderOverload returns the shares of requests that found room within their wait: 2 s for the
// urgent ones, 5 s for the others.
func servedUnderOverload(instances, engines int, urgent, others route.Priority) (urgentShare, othersShare float64) {
	const (
		step, duration = 100 * time.Millisecond, 10 * time.Second
		streamDuration = 8 * time.Second
		slots          = 8
	)
	rnd := rand.New(rand.NewPCG(9, 9))
	s := DefaultSettings()
	s.ByPrompt, s.Choices = true, 6
	owner := NewView(s) // stands for the owners of all engines, which every claim reaches
	for e := range engines {
		owner.Upsert(Endpoint{ID: fmt.Sprint("e", e), Service: "s", Slots: slots, Memory: 88000})
	}
	now := time.Unix(0, 0)
	for range 20 {
		owner.ObservePrefill(now, "e0", 8000, time.Second)
	}
	type waiting struct {
		r      *Request
		since  time.Time
		urgent bool
	}
	type change struct {
		engine string
		w      Placed
		ended  bool
	}
	queues, changes := make([][]waiting, instances), map[time.Time][]change{}
	backlog := map[string]time.Time{}
	var asked, placed [2]float64
	offered := 0.0
	perSecond := 3 * float64(engines) * slots / streamDuration.Seconds()
	for end := now.Add(duration); now.Before(end); now = now.Add(step) {
		for _, c := range changes[now] {
			owner.Release(c.engine, c.w)
			if c.ended {
				owner.Finished(now, c.engine)
			}
		}
		for offered += perSecond * step.Seconds(); offered >= 1; offered-- {
			isUrgent := rnd.Float64() < 0.1
			r := &Request{Service: "s", Prefixes: []uint64{rnd.Uint64() | 1}, Tokens: 9000, PromptTokens: 8000, Priority: others, Weights: Weights{PendingPrefill: 1, Running: 0.5, Memory: 0.3}}
			if isUrgent {
				r.Priority = urgent
			}
			i := rnd.IntN(instances)
			queues[i] = append(queues[i], waiting{r, now, isUrgent})
			asked[class(isUrgent)]++
		}
		for _, i := range rnd.Perm(instances) {
			kept := queues[i][:0]
			for _, w := range queues[i] {
				target, wait := 10*time.Second, 5*time.Second
				if w.urgent {
					target, wait = 4*time.Second, 2*time.Second
				}
				if now.Sub(w.since) > wait {
					continue
				}
				w.r.PrefillWithin = (target - now.Sub(w.since)) * 3 / 4
				d, err := owner.Pick(now, w.r, rnd)
				if err != nil {
					kept = append(kept, w)
					continue
				}
				placed[class(w.urgent)]++
				engine := d.Endpoint.ID
				p := Placed{Tokens: w.r.Tokens}
				p.SetPendingPrefill(w.r.PromptTokens, w.r.Priority)
				owner.Sent(now, engine)
				owner.Place(engine, p)
				begin := now
				if backlog[engine].After(begin) {
					begin = backlog[engine]
				}
				backlog[engine] = begin.Add(time.Second)
				changes[backlog[engine]] = append(changes[backlog[engine]], change{engine, p.Prefill(), false})
				done := backlog[engine].Add(streamDuration)
				changes[done] = append(changes[done], change{engine, Placed{Tokens: p.Tokens}, true})
			}
			queues[i] = kept
		}
	}
	return placed[0] / asked[0], placed[1] / asked[1]
}

func class(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

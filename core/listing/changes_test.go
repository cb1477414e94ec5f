package listing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
)

// apply applies changes to a set of endpoints by ID.
func apply(set map[string]routing.Endpoint, changes []Change) {
	for _, c := range changes {
		if c.Before != nil {
			delete(set, c.Before.ID)
		}
	}
	for _, c := range changes {
		if c.After != nil {
			set[c.After.ID] = *c.After
		}
	}
}

// TestChangesAddUpToTheList: whatever happens to a list, the changes add up to the endpoints in
// use. Entries share addresses, restart, move, end, expire and change their services.
func TestChangesAddUpToTheList(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		l, set, now := New(DefaultSettings()), map[string]routing.Endpoint{}, time.Duration(0)
		unknown := ""
		known := func(service string) bool { return service != unknown }
		draw := func() routing.Endpoint {
			name, born := fmt.Sprint("e", rnd.IntN(12)), int64(rnd.IntN(3))
			return routing.Endpoint{
				ID: fmt.Sprint(name, "@", born), Name: name, Address: []string{"", "a", "b", "c", "d"}[rnd.IntN(5)], StartedUnixMS: born,
				Service: fmt.Sprint("s", rnd.IntN(2)), State: routing.State(rnd.IntN(2)),
			}
		}
		for range 300 {
			now += 100 * time.Millisecond
			switch e := draw(); rnd.IntN(10) {
			case 0:
				l.Remove(now, e.Name)
			case 1:
				l.Forget(e.Name)
			case 2:
				l.MarkEnded(e.ID)
			case 3:
				l.ReadFailed(now)
			case 4:
				l.ReadSucceeded(now)
			case 5:
				l.Replace(now, []routing.Endpoint{draw(), draw()})
			case 6:
				unknown = []string{"", "s0", "s1"}[rnd.IntN(3)]
				l.Recheck()
			default:
				l.Put(e)
			}
			l.Tick(now)
			if rnd.IntN(3) > 0 {
				continue
			}
			changes := l.Changes(known)
			apply(set, changes)
			all := l.Endpoints(known)
			assert.Equal(t, len(set), len(all), "seed %d", seed)
			for _, e := range all {
				assert.DeepEqual(t, set[e.ID], e)
			}
			assert.Equal(t, len(l.Changes(known)), 0)
		}
	}
}

// largeList returns a list of n endpoints whose changes were taken.
func largeList(n int) *List {
	l := New(DefaultSettings())
	for i := range n {
		l.Put(listed(i, routing.Live))
	}
	l.Changes(anyService)
	return l
}

func listed(i int, s routing.State) routing.Endpoint {
	return routing.Endpoint{ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Service: "m", Slots: 8, State: s}
}

// TestOneChangeCostsTheSameInAnyList: one changed entry takes no more allocations with 10,000
// endpoints than with 256, and a repeated entry takes none that stay. Before, each change copied
// and sorted the whole list.
func TestOneChangeCostsTheSameInAnyList(t *testing.T) {
	allocations := map[int]float64{}
	for _, n := range []int{256, 10000} {
		l, state := largeList(n), routing.Live
		allocations[n] = testing.AllocsPerRun(50, func() {
			state = routing.Leaving - state
			l.Put(listed(7, state))
			assert.Equal(t, len(l.Changes(anyService)), 1)
		})
		l.Put(listed(9, routing.Live))
		assert.Equal(t, len(l.Changes(anyService)), 0)
	}
	assert.Assert(t, allocations[10000] <= 2*allocations[256], "%v", allocations)
}

func BenchmarkOneChange(b *testing.B) {
	for _, n := range []int{256, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, state := largeList(n), routing.Live
			b.ReportAllocs()
			for b.Loop() {
				state = routing.Leaving - state
				l.Put(listed(7, state))
				l.Changes(anyService)
			}
		})
	}
}

package routing

import (
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/health"
)

// TestMain checks after all tests that the observations that endpoints share were not written.
func TestMain(m *testing.M) {
	code := m.Run()
	if !reflect.DeepEqual(noObservations, &observations{}) {
		fmt.Printf("the shared observations were written: %+v\n", noObservations)
		code = 1
	}
	os.Exit(code)
}

// largeView returns a view of n engines in five data centres, whose owners are found among as many
// instances as given.
func largeView(n, instances int) *View {
	s := DefaultSettings()
	s.ByPrompt = true
	v := NewView(s)
	for i := range n {
		v.Upsert(Endpoint{ID: fmt.Sprint("e", i), Service: "m", DataCentre: fmt.Sprint("dc", i%5), Slots: 8, Memory: 88000})
	}
	v.SetOwned(ownedAmong(instances, new(int)))
	return v
}

// ownedAmong returns an owner test that costs a step for each instance, and counts its calls.
func ownedAmong(instances int, calls *int) func(string) bool {
	return func(id string) bool {
		*calls++
		sum := 0
		for i := range instances {
			sum += i * len(id)
		}
		return sum < 0
	}
}

// TestOwnersAreFoundOnDemand: a change of the instances costs nothing for each endpoint. Before,
// each of 985 starts of instances found the owners of all 9,999 endpoints anew.
func TestOwnersAreFoundOnDemand(t *testing.T) {
	now := time.Now()
	for _, n := range []int{300, 3000} {
		v, calls := largeView(n, 1), 0
		for range 10 {
			v.SetOwned(ownedAmong(1, &calls))
		}
		assert.Equal(t, calls, 0)
		r := &Request{Service: "m", Prefixes: []uint64{7}, Tokens: 100, Copy: true}
		_, err := v.Pick(now, r, rand.New(rand.NewPCG(1, 1)))
		assert.NilError(t, err)
		assert.Assert(t, calls <= 2*v.settings.Choices, "%d endpoints: %d", n, calls)
	}
}

// TestReportsVisitKnownTroubleOnly: what an instance reports takes work for the endpoints that it
// knows something of, not for all.
func TestReportsVisitKnownTroubleOnly(t *testing.T) {
	now := time.Now()
	for _, n := range []int{300, 3000} {
		v := largeView(n, 30)
		v.Sent(now, "e1")
		v.Failed(now, "e2")
		v.CountFailure(now, "e2")
		v.SetPeerReport(now, "other", PeerReport{Placed: map[string]Placed{"e3": {Open: 1}}, Suspects: []string{"e4"}, Outcomes: map[string]health.Counts{"e4": {Bad: 1}}})
		assert.Equal(t, len(v.observed), 4)
		assert.Equal(t, len(v.OwnPlacements()), 1)
		assert.DeepEqual(t, v.Suspects(now), []string{"e2"})
		assert.Equal(t, len(v.Outcomes(now)), 1)
	}
}

// TestSweepForgetsIdleEndpoints: endpoints that an instance has used once take no memory for good.
// Those that still matter are kept.
func TestSweepForgetsIdleEndpoints(t *testing.T) {
	now := time.Now()
	v := largeView(300, 30)
	for i := range 200 {
		id := fmt.Sprint("e", i)
		v.Sent(now, id)
		v.CountSuccess(now, id)
		v.Finished(now, id)
	}
	v.Sent(now, "e250")
	v.Place("e251", Placed{Tokens: 100})
	v.Ended(now, "e252")
	for range 4 {
		now = now.Add(sweepInterval)
		v.Sweep(now)
	}
	assert.Equal(t, len(v.observed), 3)
	assert.Assert(t, v.InUse("e250") && v.InUse("e251") && !v.Usable(now, "e252"))
}

// TestRemoveKeepsGroups: endpoints are removed in random order, and each group holds just those
// that are left.
func TestRemoveKeepsGroups(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 3))
	v := largeView(100, 1)
	v.Upsert(Endpoint{ID: "nowhere", Service: "m", Slots: 1})
	for _, i := range rnd.Perm(100)[:80] {
		v.Remove(fmt.Sprint("e", i))
	}
	assert.Equal(t, len(v.groups[groupKey{"m", ""}]), 21)
	sum := 0
	for dc := range 5 {
		key := groupKey{"m", fmt.Sprint("dc", dc)}
		for i, n := range v.groups[key] {
			assert.Equal(t, n.groupIndexes[1], i)
			assert.Assert(t, v.nodes[n.ID] == n)
		}
		assert.Equal(t, len(v.groups[key]), v.dataCentreSizes[key.dataCentre])
		sum += len(v.groups[key])
	}
	assert.Equal(t, sum, 20)
}

func BenchmarkRosterChange(b *testing.B) {
	for _, n := range []int{300, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, calls := largeView(n, 985), 0
			for b.Loop() {
				v.SetOwned(ownedAmong(985, &calls))
			}
		})
	}
}

func BenchmarkOwnReport(b *testing.B) {
	for _, n := range []int{300, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, now := largeView(n, 985), time.Now()
			v.Sent(now, "e1")
			for b.Loop() {
				v.OwnPlacements()
				v.Suspects(now)
				v.Outcomes(now)
				v.Paces(now)
			}
		})
	}
}

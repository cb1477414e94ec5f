package rollouts

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/listing"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/platform"
)

// TestChangesGiveWhatTheWholeListGives: a controller that gets changes allows the same endpoints as
// one that gets the whole list each time, while builds come and go and an order runs.
func TestChangesGiveWhatTheWholeListGives(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		now := time.Hour
		newController := func() *Controller {
			log := logrus.New()
			log.SetOutput(io.Discard)
			return New(Options{
				Settings: rollout.DefaultSettings(), Self: "a", DataCentre: "dc", Log: logrus.NewEntry(log), Scope: tally.NoopScope,
				Clock: func() time.Duration { return now }, Relist: func() {}, AnnounceDecision: func() {},
			})
		}
		incremental, whole := newController(), newController()
		listed, used, incrementalSteps := map[string]routing.Endpoint{}, map[string]bool{}, 0
		for range 300 {
			now += 200 * time.Millisecond
			if rnd.IntN(5) == 0 {
				orders := map[string]platform.Rollout{}
				if rnd.IntN(12) == 0 {
					orders["s"] = platform.Rollout{Order: rollout.Order{Service: "s", Target: "v2", Created: 1, Duration: 8 * time.Second}}
				}
				incremental.SetOrders(orders, now)
				whole.SetOrders(orders, now)
			}
			changes := []listing.Change{drawChange(rnd, listed)}
			var all []routing.Endpoint
			for _, e := range listed {
				all = append(all, e)
			}
			want := idsOf(whole.Usable(all))
			usable, complete := incremental.UsableChanges(changes)
			if complete {
				incrementalSteps++
				applyTo(used, usable)
			} else {
				used = idsOf(incremental.Usable(all))
			}
			assert.DeepEqual(t, used, want)
		}
		assert.Assert(t, incrementalSteps > 50, "seed %d: %d", seed, incrementalSteps)
	}
}

// drawChange adds, replaces or removes an endpoint of a list.
func drawChange(rnd *rand.Rand, listed map[string]routing.Endpoint) listing.Change {
	id := fmt.Sprint("e", rnd.IntN(8))
	c := listing.Change{}
	if old, ok := listed[id]; ok {
		c.Before = &old
	}
	if c.Before != nil && rnd.IntN(3) == 0 {
		delete(listed, id)
		return c
	}
	builds := []string{"v1", "v1", "v1", "v2", "v3"}
	e := routing.Endpoint{ID: id, Service: "s", Build: builds[rnd.IntN(len(builds))]}
	listed[id], c.After = e, &e
	return c
}

func applyTo(used map[string]bool, changes []listing.Change) {
	for _, c := range changes {
		if c.After != nil {
			used[c.After.ID] = true
		} else {
			delete(used, c.Before.ID)
		}
	}
}

func idsOf(all []routing.Endpoint) map[string]bool {
	out := map[string]bool{}
	for i := range all {
		out[all[i].ID] = true
	}
	return out
}

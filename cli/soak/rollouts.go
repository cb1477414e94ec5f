package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// Bounds on a build that turns out bad, as the daemons have them in their settings.
const (
	exposeShare   = 0.1
	exposeReserve = 50
	rollBack      = 5 * time.Second
	// rolloutWithin is the time that an order leaves.
	rolloutWithin = 8 * time.Second
	// badMost is how many bad answers begin the time within which the build has to be left.
	badMost = 50
	// nextBuild is the build that is ordered.
	nextBuild = "v2"
	ordered   = "plain"
)

// rolloutOrder is an order to move the plain service to a bad build, of which there is one at a time.
type rolloutOrder struct {
	given   time.Time
	workers []*standin.Worker
	// beside are the endpoints in service that they were started alongside.
	beside []*worker
}

// runs returns what the endpoints of the bad build ran.
func (o *rolloutOrder) runs() []ran {
	var out []ran
	for i, w := range o.workers {
		for _, r := range w.Runs() {
			out = append(out, ran{Run: r, worker: o.beside[i]})
		}
	}
	return out
}

// rollouts are the orders of a run.
type rollouts struct {
	busy   atomic.Bool
	orders []*rolloutOrder
}

// badBuild orders that the plain service moves to a build that fails part of its requests, or is slow.
func badBuild(w *world, r *rand.Rand) (string, func()) {
	if !w.rollouts.busy.CompareAndSwap(false, true) {
		return "a rollout goes on", nil
	}
	faults := []standin.WorkerFault{{AffectedFraction: 0.5, FailAffected: true}, {AffectedFraction: 0.3, FailAffected: true}, {AffectedFraction: 1, SlowFactor: 6}}
	fault := faults[r.IntN(len(faults))]
	o := &rolloutOrder{given: time.Now()}
	var stops []func()
	end := func() {
		w.store.Remove(platform.KindRollout, ordered)
		for i, worker := range o.workers {
			w.store.Remove(platform.KindEndpoint, worker.Config().ID)
			stops[i]()
		}
	}
	for i, k := range w.workers {
		if k.config.Service != ordered {
			continue
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue // no free port
		}
		cfg := k.config
		cfg.ID, cfg.Build, cfg.Address = fmt.Sprintf("i-next-%d", i), nextBuild, l.Addr().String()
		worker := w.fleet.NewWorker(cfg)
		worker.SetFault(fault)
		o.workers, o.beside, stops = append(o.workers, worker), append(o.beside, k), append(stops, standin.Serve(l, worker))
	}
	w.mu.Lock()
	w.rollouts.orders = append(w.rollouts.orders, o)
	w.mu.Unlock()
	w.store.PutRollout(ordered, nextBuild, rolloutWithin)
	go w.beatOrder(o, end)
	return fmt.Sprintf("the plain service is to move to a build of which %.0f in 100 answers are bad", 100*fault.AffectedFraction), nil
}

// beatOrder keeps the endpoints of an order listed until some time after its deadline.
func (w *world) beatOrder(o *rolloutOrder, end func()) {
	defer end()
	for time.Since(o.given) < rolloutWithin+rollBack {
		for _, worker := range o.workers {
			w.store.Put(platform.KindEndpoint, worker.Config().ID, worker.Registration("ready"))
		}
		select {
		case <-time.After(beat):
		case <-w.closed:
			return
		}
	}
}

// checkRollouts compares what reached bad builds with what may.
func (s *soak) checkRollouts() {
	for _, o := range s.world.ordered() {
		s.checkRollout(o)
	}
}

// ordered returns the orders of the run.
func (w *world) ordered() []*rolloutOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.rollouts.orders)
}

func (s *soak) checkRollout(o *rolloutOrder) {
	deadline := o.given.Add(rolloutWithin)
	within := func(at time.Time) bool { return at.After(o.given) && at.Before(deadline) }
	all, exposed := 0, 0
	for _, k := range s.world.workers {
		for _, r := range k.runs() {
			if k.config.Service == ordered && within(r.At) {
				all++
			}
		}
	}
	var bad []time.Time
	var last time.Time
	for _, r := range o.runs() {
		if within(r.At) {
			all, exposed = all+1, exposed+1
		}
		if r.Bad {
			bad = append(bad, r.EndedAt)
		}
		if r.At.After(last) {
			last = r.At
		}
	}
	if float64(exposed) > exposeShare*float64(all)+exposeReserve {
		s.finding("a bad build got %d of %d requests", exposed, all)
	}
	slices.SortFunc(bad, time.Time.Compare)
	if len(bad) >= badMost && last.Sub(bad[badMost-1]) > rollBack+margin {
		s.finding("a bad build got requests %v after its %dth bad answer", last.Sub(bad[badMost-1]), badMost)
	}
}

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

// Bounds on the exposure of a bad build; the daemons have the same values in their settings.
const (
	maxExposedShare = 0.1
	exposedReserve  = 50
	rollBackWithin  = 5 * time.Second
	// rolloutDuration is the time that an order gives the rollout to complete.
	rolloutDuration = 8 * time.Second
	// badAnswersBeforeRollBack is the number of bad answers after which the build has to be rolled
	// back within rollBackWithin.
	badAnswersBeforeRollBack = 50
	// badBuildName is the target build of the orders, and rolloutService is their service.
	badBuildName   = "v2"
	rolloutService = "plain"
)

// rolloutOrder is an order to move the plain service to a bad build. A soak has at most one.
type rolloutOrder struct {
	givenAt time.Time
	workers []*standin.Worker
	// counterparts are the workers of the current build from which the workers of the bad build
	// were copied, in the same order.
	counterparts []*worker
	ended        atomic.Bool
}

// runs returns what the endpoints of the bad build ran.
func (o *rolloutOrder) runs() []workerRun {
	var out []workerRun
	for i, w := range o.workers {
		for _, r := range w.Runs() {
			out = append(out, workerRun{Run: r, worker: o.counterparts[i], incarnation: w})
		}
	}
	return out
}

// rollouts holds the orders of a soak. started is set by the first order and never reset, so there
// is at most one.
type rollouts struct {
	started atomic.Bool
	orders  []*rolloutOrder
}

// badBuild orders a rollout of the plain service to a build that fails part of its requests, or is
// slow.
func badBuild(w *environment, r *rand.Rand) (string, func()) {
	if !w.rollouts.started.CompareAndSwap(false, true) {
		return "a rollout goes on", nil
	}
	faults := []standin.WorkerFault{{AffectedFraction: 0.5, FailAffected: true}, {AffectedFraction: 0.3, FailAffected: true}, {AffectedFraction: 1, SlowFactor: 6}}
	fault := faults[r.IntN(len(faults))]
	o := &rolloutOrder{givenAt: time.Now()}
	var stops []func()
	end := func() {
		o.ended.Store(true)
		w.store.Remove(platform.KindRollout, rolloutService)
		for i, worker := range o.workers {
			w.store.Remove(platform.KindEndpoint, worker.Config().ID)
			stops[i]()
		}
	}
	for i, k := range w.workers {
		if k.config.Service != rolloutService {
			continue
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue // no free port
		}
		p, err := w.newWorkerProxy(l.Addr().String())
		if err != nil {
			_ = l.Close()
			continue
		}
		cfg := k.config
		cfg.ID, cfg.Build, cfg.Address = fmt.Sprintf("i-next-%d", i), badBuildName, p.address()
		worker := w.fleet.NewWorker(cfg)
		worker.SetFault(fault)
		stop := standin.Serve(l, worker)
		o.workers, o.counterparts, stops = append(o.workers, worker), append(o.counterparts, k), append(stops, func() { p.close(); stop() })
	}
	w.mu.Lock()
	w.rollouts.orders = append(w.rollouts.orders, o)
	w.mu.Unlock()
	w.store.PutRollout(rolloutService, badBuildName, rolloutDuration)
	go w.keepRegistered(o, end)
	return fmt.Sprintf("the plain service is to move to a build of which %.0f in 100 answers are bad", 100*fault.AffectedFraction), nil
}

// keepRegistered keeps the endpoints of an order registered until rollBackWithin after its
// deadline, or until the environment closes. Then it calls end.
func (w *environment) keepRegistered(o *rolloutOrder, end func()) {
	defer end()
	for time.Since(o.givenAt) < rolloutDuration+rollBackWithin {
		for _, worker := range o.workers {
			w.store.Put(platform.KindEndpoint, worker.Config().ID, worker.Registration("ready"))
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-w.closed:
			return
		}
	}
}

// checkRollouts checks that bad builds got no more requests than allowed, and none too late.
func (s *soak) checkRollouts() {
	for _, o := range s.env.rolloutOrders() {
		s.checkRollout(o)
	}
}

// rolloutOrders returns all orders of the soak.
func (w *environment) rolloutOrders() []*rolloutOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.rollouts.orders)
}

func (s *soak) checkRollout(o *rolloutOrder) {
	deadline := o.givenAt.Add(rolloutDuration)
	within := func(at time.Time) bool { return at.After(o.givenAt) && at.Before(deadline) }
	all, exposed := 0, 0
	for _, k := range s.env.workers {
		for _, r := range k.runs() {
			if k.config.Service == rolloutService && within(r.At) {
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
	if float64(exposed) > maxExposedShare*float64(all)+exposedReserve {
		s.addFinding("a bad build got %d of %d requests", exposed, all)
	}
	slices.SortFunc(bad, time.Time.Compare)
	if len(bad) >= badAnswersBeforeRollBack && last.Sub(bad[badAnswersBeforeRollBack-1]) > rollBackWithin+timingMargin {
		s.addFinding("a bad build got requests %v after its %dth bad answer", last.Sub(bad[badAnswersBeforeRollBack-1]), badAnswersBeforeRollBack)
	}
}

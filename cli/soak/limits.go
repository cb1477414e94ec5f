package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/platform/standin"
)

// Bounds of what an endpoint that states a rate may get within limitWindow, and of how many fragile
// endpoints may fall. Requests that arrive within limitNotice after a rate was first stated do not
// count.
const (
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
	limitNotice      = 500*time.Millisecond + timingMargin
	allowedFalls     = 2
	fallsPerEndpoint = 0.1
)

// limits holds what workers stated, for the checks. It is safe for concurrent use; the zero value is
// empty.
type limits struct {
	mu    sync.Mutex
	rates []statedRate
	// fragile are the times in which the workers of a service were fragile, and falls when one fell.
	fragile []fragileTime
}

// statedRate is a time in which an incarnation stated a rate; until is zero while it lasts.
type statedRate struct {
	worker      *standin.Worker
	rate        float64
	from, until time.Time
}

// fragileTime is a time in which the workers of a service were fragile.
type fragileTime struct {
	service     string
	workers     int
	from, until time.Time
	falls       []time.Time
}

// rateTime is how long a worker states a rate.
const rateTime = 6 * time.Second

// stateRate makes a worker state a rate, which changes once. It is as often one of the few plain
// workers as one of the engines.
func stateRate(w *environment, r *rand.Rand) (string, func()) {
	k := w.workers[r.IntN(len(w.workers))]
	if r.IntN(2) == 0 {
		k = plainWorker(w, r)
	}
	rates := []float64{0, 0.5, 1.5, 4, 8.3}
	rate, later := rates[r.IntN(len(rates))], rates[r.IntN(len(rates))]
	k.stateRate(rate)
	time.AfterFunc(rateTime/2, func() { k.stateRate(later) })
	time.AfterFunc(rateTime, k.withdrawRate)
	return fmt.Sprintf("%s takes %v requests a second, later %v", k.name, rate, later), nil
}

// plainWorker returns a random worker that is no engine.
func plainWorker(w *environment, r *rand.Rand) *worker {
	for {
		if k := w.workers[r.IntN(len(w.workers))]; k.config.PrefillTokensPerMS == 0 {
			return k
		}
	}
}

// stateRate states a rate in all answers of the worker, also after it restarts.
func (k *worker) stateRate(rate float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limits.Rate, k.limits.HasRate = rate, true
	k.applyLimits()
}

func (k *worker) withdrawRate() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limits.Rate, k.limits.HasRate = 0, false
	k.applyLimits()
}

// applyLimits makes the current incarnation state the worker's limits. The caller holds k.mu.
func (k *worker) applyLimits() {
	l := &k.env.limits
	l.mu.Lock()
	now := time.Now()
	for i := range l.rates {
		if s := &l.rates[i]; s.worker == k.current && s.until.IsZero() {
			s.until = now
		}
	}
	if k.limits.HasRate {
		l.rates = append(l.rates, statedRate{worker: k.current, rate: k.limits.Rate, from: now})
	}
	l.mu.Unlock()
	k.current.SetLimits(k.limits, k.fall)
}

// fallenFor is how long a fragile worker that fell is down.
const fallenFor = 1500 * time.Millisecond

// fall crashes a fragile worker that refused too much.
func (k *worker) fall() {
	l := &k.env.limits
	l.mu.Lock()
	for i := range l.fragile {
		if f := &l.fragile[i]; f.service == k.config.Service && f.until.IsZero() {
			f.falls = append(f.falls, time.Now())
		}
	}
	l.mu.Unlock()
	k.crash(fallenFor)
}

// Parameters of a burst on a fragile service: how many times as long requests take, and the number
// of additional callers for each slot. Together they need more than the workers have.
const (
	burstSlowdown       = 12
	burstCallersPerSlot = 2
	fragileRefusals     = 3
)

// fragileBurst makes the plain workers fragile. Some seconds later, many more callers come and
// requests take longer.
func fragileBurst(w *environment, r *rand.Rand) (string, func()) {
	const service = "plain"
	l := &w.limits
	slots := 0
	f := fragileTime{service: service, from: time.Now()}
	for _, k := range w.workers {
		if k.config.Service == service {
			f.workers++
			slots += k.config.Slots
		}
	}
	l.mu.Lock()
	if slices.ContainsFunc(l.fragile, func(f fragileTime) bool { return f.until.IsZero() }) {
		l.mu.Unlock()
		return "the plain endpoints stay fragile", nil
	}
	index := len(l.fragile)
	l.fragile = append(l.fragile, f)
	l.mu.Unlock()
	set := func(limits admission.Limits, fault standin.WorkerFault) {
		for _, k := range w.workers {
			if k.config.Service == service {
				k.mu.Lock()
				k.limits.MaxRefusals, k.limits.Fragile = limits.MaxRefusals, limits.Fragile
				k.applyLimits()
				k.current.SetFault(fault)
				k.mu.Unlock()
			}
		}
	}
	set(admission.Limits{MaxRefusals: fragileRefusals, Fragile: true}, standin.WorkerFault{AffectedFraction: 1, SlowFactor: burstSlowdown})
	ctx, stop := context.WithCancel(context.Background())
	begin := time.AfterFunc(settleTime+time.Duration(r.IntN(500))*time.Millisecond, func() { w.burst(ctx, burstCallersPerSlot*slots) })
	return "the plain endpoints are fragile, and many callers come", func() {
		time.Sleep(max(time.Until(f.from.Add(settleTime+burstTime)), 0))
		begin.Stop()
		stop()
		set(admission.Limits{}, standin.WorkerFault{})
		l.mu.Lock()
		l.fragile[index].until = time.Now()
		l.mu.Unlock()
	}
}

// burstTime is how long a burst lasts at least.
const burstTime = 2 * time.Second

// checkLimits checks that workers got no more than they stated that they take, and that no more
// fragile ones fell than may.
func (s *soak) checkLimits() {
	l := &s.env.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	var processes []string
	for _, p := range s.env.processes {
		processes = append(processes, p.name)
	}
	for i := range l.rates {
		s.checkRate(&l.rates[i], processes)
	}
	for i := range l.fragile {
		f := &l.fragile[i]
		count := 0
		for _, at := range f.falls {
			if at.Sub(f.from) > settleTime && s.env.disruptions.undisturbed(at, at, processes...) {
				count++
			}
		}
		if allowed := allowedFalls + int(fallsPerEndpoint*float64(f.workers)); count > allowed {
			s.addFinding("%d of %d fragile endpoints fell, %d may", count, f.workers, allowed)
		}
	}
}

// checkRate checks what a worker got in each limitWindow while it stated a rate and no instance was
// disrupted.
func (s *soak) checkRate(r *statedRate, processes []string) {
	until := r.until
	if until.IsZero() {
		until = time.Now()
	}
	all := slices.DeleteFunc(r.worker.Arrivals(), func(a standin.Arrival) bool {
		return a.At.Before(r.from.Add(limitNotice)) || a.At.After(until)
	})
	allowed := int(limitFactor*limitWindow.Seconds()*r.rate) + limitSlack
	first := 0
	for i := range all {
		for all[i].At.Sub(all[first].At) >= limitWindow {
			first++
		}
		if got := i - first + 1; got > allowed && s.env.disruptions.undisturbed(all[first].At, all[i].At, processes...) && !s.env.pauses.overlap(r.worker, all[first].At, all[i].At) {
			s.addFinding("%s got %d requests in %v at a rate of %v, %d may", r.worker.Config().ID, got, limitWindow, r.rate, allowed)
			return
		}
	}
}

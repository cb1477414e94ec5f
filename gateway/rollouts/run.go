package rollouts

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/rendezvous"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// Pace of decisions.
const (
	// tickEvery is the time between two looks at the orders while any is in progress, and idleEvery while none is.
	tickEvery = 100 * time.Millisecond
	idleEvery = 500 * time.Millisecond
	// writeStep is how long each instance waits for those before it to write an outcome, and writeRanks how many write one after the
	// other.
	writeStep  = 150 * time.Millisecond
	writeRanks = 8
	// writeAgain is the pause after a write that failed.
	writeAgain = 300 * time.Millisecond
	// writeTimeout bounds a write.
	writeTimeout = time.Second
)

// Run brings decisions up to date, and writes outcomes, until ctx ends.
func (r *Register) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, relist, told, due := r.tick()
		if told {
			r.Tell()
		}
		if relist {
			r.Relist()
		}
		for _, w := range due {
			go r.write(ctx, w)
		}
		pause.UntilWoken(ctx, wait, r.wake)
	}
}

// outcome is a state that is to be written.
type outcome struct {
	service  string
	order    rollout.Order
	state    rollout.State
	given    time.Time
	revision uint64
}

func (r *Register) tick() (wait time.Duration, relist, told bool, due []outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	wait, relist = idleEvery, r.waiting()
	for _, s := range r.services {
		if !s.running() {
			continue
		}
		wait = tickEvery
		s.order.SetUndrained(s.open)
		s.order.SetDrain(r.settle(s, now))
		s.order.Tick(now, r.informed(s, now))
		if r.logDecision(s, now) {
			told, relist = true, true
			s.writeAt = time.Time{}
		}
		if w, ok := r.due(s, now); ok {
			due = append(due, w)
		}
	}
	r.refreshActive()
	return wait, relist, told, due
}

// settleShare of the requests may take longer than the time that is left for them to end.
const settleShare = 0.01

// settle returns how long requests at the baseline take until they end or can go on at the target.
func (r *Register) settle(s *service, now time.Time) time.Duration {
	if d := r.Settle(s.name); d > 0 {
		return d
	}
	return s.order.BaselineAnswerTime(now, settleShare)
}

// logDecision logs a decision that is new; it returns false when none is.
func (r *Register) logDecision(s *service, now time.Time) bool {
	d, why := s.order.Decision()
	if d == s.logged {
		return false
	}
	s.logged = d
	j, t := s.order.Judgement(now)
	base, target := t.Sent()
	r.Log.WithFields(logrus.Fields{
		"service": s.name, "target": s.target(), "decision": d.String(), "why": why, "age_ms": s.order.Age(now).Milliseconds(),
		"evidence": j.Evidence, "needed": j.Threshold, "answered": j.Answered, "failed": j.Failed, "exposed": target, "baseline": base,
	}).Warn("rollout decided")
	r.metrics.decided(d)
	return true
}

// due returns the outcome that this instance is to write now. The others wait for those before them, by hash.
func (r *Register) due(s *service, now time.Time) (outcome, bool) {
	state, due := s.order.PendingState(now)
	if !due {
		s.writeAt = time.Time{}
		return outcome{}, false
	}
	if s.writeAt.IsZero() {
		s.writeAt = now.Add(time.Duration(r.rank(s)) * writeStep)
	}
	if now.Before(s.writeAt) {
		return outcome{}, false
	}
	s.writeAt = now.Add(writeAgain + time.Duration(r.rank(s))*writeStep)
	return outcome{s.name, s.order.Order(), state, s.given, s.revision}, true
}

// rank returns how many instances write before this one.
func (r *Register) rank(s *service) int {
	o := s.order.Order()
	own := rendezvous.Weight(o.ID(), r.Self)
	before := 0
	for _, other := range r.Others() {
		if rendezvous.Weight(o.ID(), other.Name) > own {
			before++
		}
	}
	return min(before, writeRanks)
}

// write writes an outcome if the order is as this instance knows it. What another one wrote is learned from the store.
func (r *Register) write(ctx context.Context, w outcome) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	log := r.Log.WithFields(logrus.Fields{"service": w.service, "target": w.order.Target, "state": w.state.String(), "revision": w.revision})
	status, err := platform.EncodeRolloutStatus(&w.order, w.state, w.given)
	if err != nil {
		log.WithError(err).Error("outcome of a rollout can't be encoded")
		return
	}
	o, err := r.Store.ReplaceStatus(ctx, platform.KindRollout, w.service, status, w.revision)
	if err != nil {
		log.WithError(err).Warn("outcome of a rollout not written yet")
		return
	}
	log.Info("outcome of a rollout written")
	written, err := platform.DecodeRollout(o)
	if err != nil {
		log.WithError(err).Warn("the store's answer names no rollout")
		return
	}
	r.mu.Lock()
	s := r.services[w.service]
	if s != nil && s.order != nil && o.Revision >= s.revision && s.order.Order() == written.Order {
		s.revision = o.Revision
		s.order.SetState(written.State)
	}
	r.mu.Unlock()
	r.Relist()
}

// Reports returns what this instance has to tell of orders in progress.
func (r *Register) Reports() []rollout.Report {
	return r.reports((*rollout.Rollout).Report)
}

// Summaries returns what this instance and those that report to it have to tell.
func (r *Register) Summaries() []rollout.Report {
	return r.reports((*rollout.Rollout).Summary)
}

func (r *Register) reports(of func(*rollout.Rollout, time.Time) rollout.Report) []rollout.Report {
	if !r.active.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []rollout.Report
	for _, s := range r.services {
		if s.running() {
			out = append(out, of(s.order, r.now()))
		}
	}
	return out
}

// Apply takes what another instance, or a data centre, told.
func (r *Register) Apply(from rollout.Source, reports []rollout.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for i := range reports {
		s := r.services[reports[i].Service]
		if s == nil || !s.running() {
			continue
		}
		before, _ := s.order.Decision()
		s.order.Apply(now, from, &reports[i])
		if after, _ := s.order.Decision(); after != before {
			r.notify()
		}
	}
}

package rollouts

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/rendezvous"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

const (
	// tickInterval is the time between two updates of the decisions while an order is in progress,
	// and idleInterval while none is.
	tickInterval = 100 * time.Millisecond
	idleInterval = 500 * time.Millisecond
	// writeStagger is how long an instance waits for each one that ranks before it to write a
	// state. All instances from maxWriteRank on write at the same time.
	writeStagger = 150 * time.Millisecond
	maxWriteRank = 8
	// writeRetryPause is the least time between two writes of a state by one instance.
	writeRetryPause = 300 * time.Millisecond
	// writeTimeout bounds a write.
	writeTimeout = time.Second
)

// Run updates the decisions, announces new ones, and writes states to the store, until ctx ends.
func (r *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, relist, decided, updates := r.tick()
		if decided {
			r.AnnounceDecision()
		}
		if relist {
			r.Relist()
		}
		for _, u := range updates {
			go r.writeState(ctx, u)
		}
		pause.UntilWoken(ctx, wait, r.wake)
	}
}

// stateUpdate is a state of an order that is to be written to the store. given and position are
// those of the order.
type stateUpdate struct {
	service  string
	order    rollout.Order
	state    rollout.State
	given    time.Time
	position revision.Position
}

func (r *Controller) tick() (wait time.Duration, relist, decided bool, updates []stateUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	wait, relist = idleInterval, r.buildsChangeWithTime()
	for _, s := range r.services {
		if !s.running() {
			if s.lostByStore() {
				wait = tickInterval
				if u, ok := r.dueUpdate(s, now); ok {
					updates = append(updates, u)
				}
			}
			continue
		}
		wait = tickInterval
		s.order.SetUndrained(s.undrained)
		s.order.SetDrain(r.drain(s, now))
		s.order.Tick(now, r.informed(s, now))
		if r.logDecision(s, now) {
			decided, relist = true, true
			s.writeAt = time.Time{}
		}
		if u, ok := r.dueUpdate(s, now); ok {
			updates = append(updates, u)
		}
	}
	r.refreshActive()
	return wait, relist, decided, updates
}

// drainTailShare is the share of requests that may take longer than the time given by drain.
const drainTailShare = 0.01

// drain returns how long requests at the baseline usually take until they end or can go on at the
// target.
func (r *Controller) drain(s *service, now time.Time) time.Duration {
	if d := r.Drain(s.name); d > 0 {
		return d
	}
	return s.order.BaselineAnswerTime(now, drainTailShare)
}

// logDecision logs and counts a decision that was not logged yet, and reports whether there was
// one.
func (r *Controller) logDecision(s *service, now time.Time) bool {
	d, why := s.order.Decision()
	if d == s.loggedDecision {
		return false
	}
	s.loggedDecision = d
	j, t := s.order.Judgement(now)
	base, target := t.Sent()
	r.Log.WithFields(logrus.Fields{
		"service": s.name, "target": s.target(), "decision": d.String(), "why": why, "age_ms": s.order.Age(now).Milliseconds(),
		"evidence": j.Evidence, "needed": j.Threshold, "answered": j.Answered, "failed": j.Failed, "exposed": target, "baseline": base,
	}).Warn("rollout decided")
	r.metrics.countDecision(d)
	return true
}

// dueUpdate returns the state that this instance has to write now. It returns false if none is
// pending, or if it is not yet this instance's turn; see rank.
func (r *Controller) dueUpdate(s *service, now time.Time) (stateUpdate, bool) {
	state, pending := s.order.PendingState(now)
	if !pending && s.lostByStore() {
		state, pending = s.order.State(), true
	}
	if !pending {
		s.writeAt = time.Time{}
		return stateUpdate{}, false
	}
	if s.writeAt.IsZero() {
		s.writeAt = now.Add(time.Duration(r.rank(s)) * writeStagger)
	}
	if now.Before(s.writeAt) {
		return stateUpdate{}, false
	}
	s.writeAt = now.Add(writeRetryPause + time.Duration(r.rank(s))*writeStagger)
	return stateUpdate{s.name, s.order.Order(), state, s.given, s.position}, true
}

// rank returns how many instances write before this one, at most maxWriteRank. The order is by a
// hash of the order and the instance.
func (r *Controller) rank(s *service) int {
	o := s.order.Order()
	own := rendezvous.Weight(o.ID(), r.Self)
	before := 0
	for _, other := range r.Others() {
		if rendezvous.Weight(o.ID(), other.Name) > own {
			before++
		}
	}
	return min(before, maxWriteRank)
}

// writeState writes a state to the store, unless the order's object has another position there. If
// another instance wrote the state, this one learns of it when it reads the orders.
func (r *Controller) writeState(ctx context.Context, u stateUpdate) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	log := r.Log.WithFields(logrus.Fields{"service": u.service, "target": u.order.Target, "state": u.state.String(), "revision": u.position.Revision, "era": u.position.Era})
	status, err := platform.EncodeRolloutStatus(&u.order, u.state, u.given)
	if err != nil {
		log.WithError(err).Error("can't encode the state of a rollout")
		return
	}
	o, err := r.Store.ReplaceStatus(ctx, platform.KindRollout, u.service, status, u.position)
	if err != nil {
		log.WithError(err).Warn("can't write the state of a rollout yet")
		return
	}
	log.Info("state of a rollout written")
	written, err := platform.DecodeRollout(o)
	if err != nil {
		log.WithError(err).Warn("can't decode the rollout that the store returned")
		return
	}
	r.mu.Lock()
	s := r.services[u.service]
	if s != nil && s.order != nil && !s.position.After(o.Position()) && s.order.Order() == written.Order {
		s.position, s.stored = o.Position(), written.State
		s.order.SetState(written.State)
	}
	r.mu.Unlock()
	r.Relist()
}

// Reports returns this instance's own reports of the orders in progress.
func (r *Controller) Reports() []rollout.Report {
	return r.reports((*rollout.Rollout).Report)
}

// Summaries returns reports of the orders in progress that cover this instance and all that report
// to it.
func (r *Controller) Summaries() []rollout.Report {
	return r.reports((*rollout.Rollout).Summary)
}

func (r *Controller) reports(report func(*rollout.Rollout, time.Time) rollout.Report) []rollout.Report {
	if !r.active.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []rollout.Report
	for _, s := range r.services {
		if s.running() {
			out = append(out, report(s.order, r.now()))
		}
	}
	return out
}

// Apply takes the reports of another instance, or the summaries of a data centre. Reports about
// services without an order in progress are ignored.
func (r *Controller) Apply(from rollout.Source, reports []rollout.Report) {
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
			r.wakeRun()
		}
	}
}

package rollouts

import (
	"time"

	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/core/routing"
)

// Trial records the outcome of one request to an endpoint of a service that moves to another build.
// The methods of a nil Trial do nothing. A Trial is safe for concurrent use.
type Trial struct {
	controller *Controller
	service    *service
	order      *rollout.Rollout
	cell       rollout.Cell
	cold       bool // the endpoint had just started
	// undrained is set while the request is at the baseline and can't go on at the target.
	undrained bool
	// timed is set once the time to the answer was counted.
	timed bool
}

// Begin counts a request that is sent to an endpoint, and returns its trial. It returns nil if the
// endpoint's service has no order in progress.
func (r *Controller) Begin(route string, e *routing.Endpoint) *Trial {
	if !r.active.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[e.Service]
	if s == nil || !s.running() {
		return nil
	}
	t := &Trial{controller: r, service: s, order: s.order, cell: rollout.Cell{Route: route}, cold: e.ColdFor > 0}
	if e.Build == s.target() {
		t.cell.Arm, t.cell.Group = rollout.Target, rollout.GroupOf(e.ID)
		r.metrics.exposed.Inc(1)
	}
	t.counts().Sent++
	return t
}

// counts returns the counts of the request's cell, for the caller to change. The caller holds the
// controller's mu.
func (t *Trial) counts() *rollout.Counts { return t.order.LocalCounts(t.cell) }

// update calls f with the counts, while the controller is locked.
func (t *Trial) update(f func(c *rollout.Counts)) {
	if t == nil {
		return
	}
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	f(t.counts())
}

// SetUndrained sets whether the request can't go on at the target. It counts only for requests at
// the baseline.
func (t *Trial) SetUndrained(undrained bool) {
	if t == nil {
		return
	}
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	undrained = undrained && t.cell.Arm == rollout.Baseline
	if undrained == t.undrained {
		return
	}
	t.undrained = undrained
	if undrained {
		t.service.undrained++
	} else {
		t.service.undrained--
	}
}

// Answered counts a good answer; a stream counts at its first event. took is the time to the
// answer. For a stream it is the time to the first event, per thousand prompt tokens that the
// engine had to prefill. A took of 0 is not counted.
func (t *Trial) Answered(took time.Duration) {
	t.update(func(c *rollout.Counts) {
		c.Answered++
		t.observe(c, took)
	})
}

// Late counts a time after which the answer, or the first event of a stream, had not come. after is
// measured like the argument of [Trial.Answered].
func (t *Trial) Late(after time.Duration) {
	t.update(func(c *rollout.Counts) { t.observe(c, after) })
}

// observe counts the time to the answer once. Endpoints that have just started are left out: they
// are slow whatever build they run.
func (t *Trial) observe(c *rollout.Counts, took time.Duration) {
	if t.timed || took <= 0 || t.cold {
		return
	}
	t.timed = true
	c.AnswerTime.Observe(took)
}

// EventGap counts the time between two events of a stream.
func (t *Trial) EventGap(d time.Duration) {
	t.update(func(c *rollout.Counts) { c.EventGap.Observe(d) })
}

// Failed counts a request that the endpoint answered with a failure of its own.
func (t *Trial) Failed() {
	t.update(func(c *rollout.Counts) { c.Failed++ })
	t.countBad()
}

// Lost counts a request whose answer did not come or broke off.
func (t *Trial) Lost() {
	t.update(func(c *rollout.Counts) { c.Lost++ })
	t.countBad()
}

// countBad counts a bad answer of the target, and wakes Run so that the target is judged at once.
func (t *Trial) countBad() {
	if t == nil || t.cell.Arm != rollout.Target {
		return
	}
	t.controller.metrics.bad.Inc(1)
	t.controller.wakeRun()
}

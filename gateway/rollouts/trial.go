package rollouts

import (
	"time"

	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/core/routing"
)

// Trial is one request sent to an endpoint of a service that is being moved. A nil Trial counts nothing.
type Trial struct {
	register *Register
	service  *service
	order    *rollout.Rollout
	cell     rollout.Cell
	cold     bool
	// left tells that the request is at the baseline and can't go on at the target.
	left bool
	// first is set once its time to the answer was counted.
	first bool
}

// Begin counts a request that is sent to an endpoint; nil where the endpoint's service is not being moved.
func (r *Register) Begin(route string, e *routing.Endpoint) *Trial {
	if !r.active.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[e.Service]
	if s == nil || !s.running() {
		return nil
	}
	t := &Trial{register: r, service: s, order: s.order, cell: rollout.Cell{Route: route}, cold: e.ColdFor > 0}
	if e.Build == s.target() {
		t.cell.Arm, t.cell.Group = rollout.Target, rollout.GroupOf(e.ID)
		r.metrics.exposed.Inc(1)
	}
	t.counts().Sent++
	return t
}

// counts returns the counts to be changed. The caller holds mu.
func (t *Trial) counts() *rollout.Counts { return t.order.LocalCounts(t.cell) }

// change locks the register around a change of the counts.
func (t *Trial) change(f func(c *rollout.Counts)) {
	if t == nil {
		return
	}
	t.register.mu.Lock()
	defer t.register.mu.Unlock()
	f(t.counts())
}

// Left says whether the request is at the baseline and can't go on at the target.
func (t *Trial) Left(left bool) {
	if t == nil {
		return
	}
	t.register.mu.Lock()
	defer t.register.mu.Unlock()
	left = left && t.cell.Arm == rollout.Baseline
	if left == t.left {
		return
	}
	t.left = left
	if left {
		t.service.open++
	} else {
		t.service.open--
	}
}

// Answered counts a good answer, of a stream its first event. took is the time it took, of a stream for each thousand prompt tokens
// that were to be read; 0 where that says nothing.
func (t *Trial) Answered(took time.Duration) {
	t.change(func(c *rollout.Counts) {
		c.Answered++
		t.observe(c, took)
	})
}

// Late counts a first event that has not come after a time that is long already.
func (t *Trial) Late(after time.Duration) {
	t.change(func(c *rollout.Counts) { t.observe(c, after) })
}

// observe counts the time to the answer, once. Endpoints that have just started are slow by themselves.
func (t *Trial) observe(c *rollout.Counts, took time.Duration) {
	if t.first || took <= 0 || t.cold {
		return
	}
	t.first = true
	c.AnswerTime.Observe(took)
}

// Gap counts the time between two events.
func (t *Trial) Gap(d time.Duration) {
	t.change(func(c *rollout.Counts) { c.EventGap.Observe(d) })
}

// Failed counts an endpoint's own failure.
func (t *Trial) Failed() {
	t.change(func(c *rollout.Counts) { c.Failed++ })
	t.bad()
}

// Lost counts an answer that did not come, or broke off.
func (t *Trial) Lost() {
	t.change(func(c *rollout.Counts) { c.Lost++ })
	t.bad()
}

// bad makes the others learn of a target's failure soon.
func (t *Trial) bad() {
	if t == nil || t.cell.Arm != rollout.Target {
		return
	}
	t.register.metrics.bad.Inc(1)
	t.register.notify()
}

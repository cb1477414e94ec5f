package rollouts

import (
	"slices"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/rollout"
)

// State describes a service's order to operators.
type State struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// State is the order's state in the store, Decision is what the instances have decided, and Why
	// is the reason of that.
	State    string `json:"state"`
	Decision string `json:"decision"`
	Why      string `json:"why,omitempty"`
	// AgeMS is the time since the order was given.
	AgeMS int64 `json:"age_ms"`
	// DurationMS is the time from when the order was given within which it has to be completed or
	// rolled back.
	DurationMS int64 `json:"duration_ms"`
	// Baseline and Exposed are the numbers of requests sent to the baseline and to the target.
	// Answered and Failed are the numbers of the target's requests that were answered well and that
	// failed.
	Baseline uint64 `json:"baseline"`
	Exposed  uint64 `json:"exposed"`
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	// Evidence is the evidence against the target, and Needed is how much of it rolls the target
	// back.
	Evidence float64 `json:"evidence"`
	Needed   float64 `json:"needed"`
	// Undrained is how many requests of this instance are at the baseline and can't go on at the
	// target.
	Undrained int `json:"left"`
}

// State returns the state of all orders, sorted by service.
func (r *Controller) State() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []State
	for _, s := range r.services {
		if s.order == nil {
			continue
		}
		o := s.order.Order()
		decision, why := s.order.Decision()
		j, t := s.order.Judgement(now)
		base, target := t.Sent()
		out = append(out, State{
			Service: s.name, Target: o.Target, State: s.state().String(), Decision: decision.String(), Why: why,
			AgeMS: s.order.Age(now).Milliseconds(), DurationMS: o.Duration.Milliseconds(),
			Baseline: base, Exposed: target, Answered: j.Answered, Failed: j.Failed, Evidence: j.Evidence, Needed: j.Threshold, Undrained: s.undrained,
		})
	}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// metrics counts the requests sent to targets, their bad answers, and decisions.
type metrics struct {
	scope        tally.Scope
	exposed, bad tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	return metrics{scope: s, exposed: s.Counter("rollout_exposed_total"), bad: s.Counter("rollout_bad_total")}
}

func (m *metrics) countDecision(d rollout.Decision) {
	m.scope.Tagged(map[string]string{"decision": d.String()}).Counter("rollout_decisions_total").Inc(1)
}

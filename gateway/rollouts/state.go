package rollouts

import (
	"slices"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/rollout"
)

// State is what is known of a service's order.
type State struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// State is the order's state in the store, Decision what the instances decided, and Why the reason of a roll-back.
	State    string `json:"state"`
	Decision string `json:"decision"`
	Why      string `json:"why,omitempty"`
	AgeMS    int64  `json:"age_ms"`
	// DurationMS is the time within which the order has to end.
	DurationMS int64 `json:"duration_ms"`
	// Baseline and Exposed are the requests sent to the baseline and to the target, Answered and Failed those of the target that ended.
	Baseline uint64 `json:"baseline"`
	Exposed  uint64 `json:"exposed"`
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	// Evidence against the target, and how much of it is needed to roll it back.
	Evidence float64 `json:"evidence"`
	Needed   float64 `json:"needed"`
	// Left is how many requests of this instance are at the baseline that can't go on at the target.
	Left int `json:"left"`
}

// State returns what is known of all orders.
func (r *Register) State() []State {
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
			Baseline: base, Exposed: target, Answered: j.Answered, Failed: j.Failed, Evidence: j.Evidence, Needed: j.Threshold, Left: s.open,
		})
	}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// metrics of roll-outs.
type metrics struct {
	scope        tally.Scope
	exposed, bad tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	return metrics{scope: s, exposed: s.Counter("rollout_exposed_total"), bad: s.Counter("rollout_bad_total")}
}

func (m *metrics) decided(d rollout.Decision) {
	m.scope.Tagged(map[string]string{"decision": d.String()}).Counter("rollout_decisions_total").Inc(1)
}

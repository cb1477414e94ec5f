package routing

import (
	"time"

	"github.com/agateway/agateway/core/health"
)

// Good records that an endpoint answered a request.
func (v *View) Good(now time.Time, id string) {
	if n := v.nodes[id]; n != nil {
		n.outcomes.Good(now)
	}
}

// Bad records that an endpoint failed a request, or lost it with its answer.
func (v *View) Bad(now time.Time, id string) {
	if n := v.nodes[id]; n != nil {
		n.outcomes.Bad(now)
	}
}

// counts are the outcomes at an endpoint as far as this instance knows.
func (n *node) counts(now time.Time) health.Counts {
	others := n.othersOutcomes
	if s := n.summary(now); s != nil {
		others = s.Outcomes
	}
	return n.outcomes.Counts(now).Add(others)
}

// totals are the outcomes at all endpoints of a service.
type totals struct {
	counts health.Counts
	at     time.Time
}

// totalsKept is how long the outcomes of a service are summed up for: they change little meanwhile, and there may be
// a hundred endpoints.
const totalsKept = 50 * time.Millisecond

func (v *View) total(now time.Time, service string) health.Counts {
	t, ok := v.totals[service]
	if ok && now.Sub(t.at) < totalsKept {
		return t.counts
	}
	t = totals{at: now}
	for _, n := range v.groups[groupKey{service, ""}] {
		t.counts = t.counts.Add(n.counts(now))
	}
	v.totals[service] = t
	return t.counts
}

// excess returns by how much an endpoint fails more often than the others of its service.
func (v *View) excess(now time.Time, n *node) float64 {
	own := n.counts(now)
	if own.Bad == 0 {
		return 0
	}
	return health.ExcessFailureRate(own, v.total(now, n.Service).Sub(own))
}

// Read records that an engine took some time to read prompt tokens: those of a request, and those that were ahead of
// it.
func (v *View) Read(now time.Time, id string, tokens int, took time.Duration) {
	n := v.nodes[id]
	if n == nil {
		return
	}
	if factor, known := v.usualOf(n.Service).Observe(tokens, took); known {
		n.pace.Observe(now, factor)
	}
}

// Reading records that an engine has not read prompt tokens yet after some time.
func (v *View) Reading(now time.Time, id string, tokens int, passed time.Duration) {
	n := v.nodes[id]
	if n == nil {
		return
	}
	if factor, known := v.usualOf(n.Service).Factor(tokens, passed); known && factor > slowFactor {
		n.pace.AtLeast(now, factor)
	}
}

// Expected returns how long the engines of a service usually take to read some prompt tokens; false where that is not known.
func (v *View) Expected(service string, tokens int) (time.Duration, bool) {
	return v.usualOf(service).Expected(tokens)
}

// slowFactor is how many times as long as usual an engine may take before it counts as slow: prompts that came
// meanwhile, of which this instance has not heard, may be read first.
const slowFactor = 2

func (v *View) usualOf(service string) *health.Baseline {
	u := v.usual[service]
	if u == nil {
		u = &health.Baseline{}
		v.usual[service] = u
	}
	return u
}

// paceOf returns how many times as long as usual an engine takes; 1 where that may be chance.
func (n *node) paceOf(now time.Time) float64 {
	others := n.othersPace
	if s := n.summary(now); s != nil {
		others = max(others, s.Pace)
	}
	if f := max(n.pace.Factor(now), others); f >= slowFactor {
		return f
	}
	return 1
}

// tellBad is how many bad outcomes, of late, are worth telling.
const tellBad = 0.5

// Outcomes returns the outcomes of this instance's requests, of endpoints with any bad ones.
func (v *View) Outcomes(now time.Time) map[string]health.Counts {
	out := map[string]health.Counts{}
	for id, n := range v.nodes {
		if c := n.outcomes.Counts(now); c.Bad >= tellBad {
			out[id] = c
		}
	}
	return out
}

// Paces returns the engines that this instance found slow a short while ago, and how many times as long they take.
func (v *View) Paces(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for id, n := range v.nodes {
		if f := n.pace.Factor(now); f >= slowFactor {
			out[id] = f
		}
	}
	return out
}

package routing

import (
	"time"

	"github.com/agateway/agateway/core/health"
)

// CountSuccess records that an endpoint answered a request.
func (v *View) CountSuccess(now time.Time, id string) {
	if n := v.observe(id); n != nil {
		n.outcomes.Good(now)
	}
}

// CountFailure records that an endpoint failed a request, or that the request was lost with its
// answer.
func (v *View) CountFailure(now time.Time, id string) {
	if n := v.observe(id); n != nil {
		n.outcomes.Bad(now)
	}
}

// counts returns the outcomes at an endpoint, of this instance and as reported by the others.
func (n *node) counts(now time.Time) health.Counts {
	others := n.peerOutcomes
	if s := n.freshSummary(now); s != nil {
		others = s.Outcomes
	}
	return n.outcomes.Counts(now).Add(others)
}

// serviceOutcomes is the sum of the outcomes at all endpoints of a service.
type serviceOutcomes struct {
	counts health.Counts
	at     time.Time
}

// totalsTTL is how long the sum of a service's outcomes is cached: it changes little meanwhile, and
// a service may have a hundred endpoints.
const totalsTTL = 50 * time.Millisecond

func (v *View) serviceTotal(now time.Time, service string) health.Counts {
	t, ok := v.totals[service]
	if ok && now.Sub(t.at) < totalsTTL {
		return t.counts
	}
	t = serviceOutcomes{at: now}
	for _, n := range v.observed {
		if n.Service == service {
			t.counts = t.counts.Add(n.counts(now))
		}
	}
	v.totals[service] = t
	return t.counts
}

// excessFailures returns by how much the failure rate of an endpoint exceeds that of the others of
// its service, beyond the tolerance of [health.Excess], from 0 to 1.
func (v *View) excessFailures(now time.Time, n *node) float64 {
	own := n.counts(now)
	if own.Bad == 0 {
		return 0
	}
	return health.ExcessFailureRate(own, v.serviceTotal(now, n.Service).Sub(own))
}

// ObservePrefill records how long an engine took to prefill some tokens: those of a request and
// those that were ahead of it.
func (v *View) ObservePrefill(now time.Time, id string, tokens int, took time.Duration) {
	n := v.observe(id)
	if n == nil {
		return
	}
	if factor, known := v.usualPrefillOf(n.Service).Observe(now, tokens, took); known {
		n.pace.Observe(now, factor)
	}
}

// ObserveOngoingPrefill records that an engine is still prefilling some tokens after some time.
func (v *View) ObserveOngoingPrefill(now time.Time, id string, tokens int, passed time.Duration) {
	n := v.observe(id)
	if n == nil {
		return
	}
	if factor, known := v.usualPrefillOf(n.Service).Factor(tokens, passed); known && factor > slowFactor {
		n.pace.AtLeast(now, factor)
	}
}

// ExpectedPrefillTime returns how long the engines of a service usually take to prefill some
// tokens; false if unknown.
func (v *View) ExpectedPrefillTime(service string, tokens int) (time.Duration, bool) {
	return v.usualPrefillOf(service).Expected(tokens)
}

// slowFactor is how many times as long as usual an engine has to take before it counts as slow.
// Below that, the reason may be prompts that this instance does not know of and that are prefilled
// first.
const slowFactor = 2

func (v *View) usualPrefillOf(service string) *health.Baseline {
	u := v.usualPrefill[service]
	if u == nil {
		u = &health.Baseline{}
		v.usualPrefill[service] = u
	}
	return u
}

// effectivePace returns how many times as long as usual an engine takes. Its speed is used if that is
// known; a pace below slowFactor may be chance and is ignored.
func (n *node) effectivePace(now time.Time) float64 {
	others := n.peerPace
	if s := n.freshSummary(now); s != nil {
		others = max(others, s.Pace)
	}
	speed, _ := n.speedFactor(now)
	if f := max(n.pace.Factor(now), others); f >= slowFactor {
		return max(f, speed)
	}
	return speed
}

// minReportedFailures is the decayed number of failures from which outcomes are reported to other
// instances.
const minReportedFailures = 0.5

// Outcomes returns the recent outcomes of this instance's requests, by ID of the endpoint;
// endpoints without recent failures are left out.
func (v *View) Outcomes(now time.Time) map[string]health.Counts {
	out := map[string]health.Counts{}
	for id, n := range v.observed {
		if c := n.outcomes.Counts(now); c.Bad >= minReportedFailures {
			out[id] = c
		}
	}
	return out
}

// Paces returns the engines that this instance recently found slow, by ID, and how many times as
// long as usual they take.
func (v *View) Paces(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for id, n := range v.observed {
		if f := n.pace.Factor(now); f >= slowFactor {
			out[id] = f
		}
	}
	return out
}

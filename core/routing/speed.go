package routing

import (
	"maps"
	"math"
	"time"

	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/route"
)

// Speeds of engines. An instance uses a given engine once in some minutes, so it can't learn its
// speed alone. Each instance announces the time per prompt token that it observed at an engine, with
// the weight of its observations. Those who receive the announcements, which are the owners in a
// large fleet and all instances in a full mesh, combine them by weight. An announcement replaces the
// former one of its instance, so that a repeated one is not counted twice. It only contains recent
// observations; the receiver keeps them while they decay.

// speedReportedFor is how long after its last observation of an engine an instance announces what it
// observed. Announcements are repeated every two seconds at least, so that two of them may be lost.
// Longer times make announcements larger, and a change of speed shows later: what is announced does not
// give way to newer observations of others.
const speedReportedFor = 6 * time.Second

// maxReportedSpeedWeight bounds the weight of one instance's observations at the others.
const maxReportedSpeedWeight = 7.0

// PrefillTokens returns how many prompt tokens an engine prefills until a new prompt is done, and the
// weight of an observation of the time that it takes; 0 where speeds are not measured. A prompt with
// nothing ahead has the weight 1. Otherwise what is ahead is an estimate, and some of it may be done.
func (v *View) PrefillTokens(now time.Time, id string, prompt int, priority route.Priority) (tokens int, weight float64) {
	n := v.nodes[id]
	if n == nil {
		return prompt, 0
	}
	if !v.settings.Speeds {
		return prompt + n.pendingPrefill(now), 0
	}
	tokens = prompt + n.prefillAhead(now, &Request{PromptTokens: prompt, Priority: priority})
	weight = (1 + float64(prompt)/float64(max(tokens, 1))) / 2
	if n.estimate(now, v.settings.ReportTTL) >= n.Slots {
		weight /= 2 // it may wait for a slot
	}
	return tokens, weight
}

// ObserveSpeed records how long an engine took to prefill some tokens, with the weight that
// [View.PrefillTokens] returned.
func (v *View) ObserveSpeed(now time.Time, id string, tokens int, weight float64, took time.Duration) {
	n := v.observe(id)
	if n == nil || !v.settings.Speeds || tokens <= 0 || took <= 0 {
		return
	}
	if now.Sub(n.speed.ObservedAt()) >= speedReportedFor { // those who receive the announcements keep it
		n.formerSpeed.Merge(now, n.speed.Estimate(now))
		n.speed = health.Speed{}
	}
	perToken, share := v.usualPrefillOf(n.Service).Speed(tokens, took)
	n.speed.Observe(now, perToken, weight*share)
}

// Speeds returns the recent observations of this instance, by ID of the engine.
func (v *View) Speeds(now time.Time) map[string]health.SpeedEstimate {
	if !v.settings.Speeds {
		return nil
	}
	out := map[string]health.SpeedEstimate{}
	for id, n := range v.observed {
		if now.Sub(n.speed.ObservedAt()) < speedReportedFor {
			out[id] = n.speed.Estimate(now)
		}
	}
	return out
}

// Speed returns how many times the usual time an engine takes to prefill a token, according to all
// instances; 1 and false if that is not known.
func (v *View) Speed(now time.Time, id string) (float64, bool) {
	n := v.nodes[id]
	if n == nil {
		return 1, false
	}
	return n.speedFactor(now)
}

func (n *node) speedFactor(now time.Time) (float64, bool) {
	if !n.view.settings.Speeds {
		return 1, false
	}
	return n.combinedSpeed(now).Factor(n.view.usualPrefillOf(n.Service))
}

// combinedSpeed returns the observations of all instances. An owner's summary contains those of this
// instance from the time when they are no longer announced.
func (n *node) combinedSpeed(now time.Time) health.SpeedEstimate {
	s := n.freshSummary(now)
	if s == nil {
		return n.speed.Estimate(now).Add(n.peerSpeed.estimate()).Add(n.formerSpeed.Estimate(now))
	}
	if now.Sub(n.speed.ObservedAt()) >= speedReportedFor {
		return s.Speed
	}
	return s.Speed.Add(n.speed.Estimate(now))
}

// scoredPace returns the paces by which an engine is ranked: for the pending prompts, and for what
// runs there and the request's own prompt. A measured speed counts by its square root for the latter.
// With the full speed, slow engines are left with free slots at high load, and 1.5% fewer streams
// were completed. A fast engine that is filled to its slots counts as a usual one: a further request
// would wait there while others have free slots.
func (p *picker) scoredPace(n *node) (pending, running float64) {
	pace := n.effectivePace(p.now)
	speed, known := n.speedFactor(p.now)
	if !known || pace != speed {
		return pace, pace
	}
	if pace < 1 && p.load(n) >= n.Slots {
		return 1, 1
	}
	return pace, math.Sqrt(pace)
}

// speedSum is the sum of the observations that other instances announced. It is a fixed-point number,
// so that adding and subtracting announcements leaves no error.
type speedSum struct{ weight, logPerUnit int64 }

// Units of speedSum.
const (
	speedWeightUnit = 1.0 / 1000
	speedLogUnit    = speedWeightUnit / 1000
)

func speedSumOf(e health.SpeedEstimate) speedSum {
	return speedSum{int64(math.Round(e.Weight / speedWeightUnit)), int64(math.Round(e.LogPerUnit * e.Weight / speedLogUnit))}
}

func (s *speedSum) add(o speedSum) {
	s.weight, s.logPerUnit = s.weight+o.weight, s.logPerUnit+o.logPerUnit
}

func (s *speedSum) subtract(o speedSum) {
	s.weight, s.logPerUnit = s.weight-o.weight, s.logPerUnit-o.logPerUnit
}

func (s speedSum) estimate() health.SpeedEstimate {
	if s.weight <= 0 {
		return health.SpeedEstimate{}
	}
	weight := float64(s.weight) * speedWeightUnit
	return health.SpeedEstimate{LogPerUnit: float64(s.logPerUnit) * speedLogUnit / weight, Weight: weight}
}

// plausibleSpeed bounds what another instance observed; the zero value for what can't be right.
func plausibleSpeed(usual *health.Baseline, e health.SpeedEstimate, maxWeight float64) health.SpeedEstimate {
	perUnit := e.PerUnit()
	if !(e.Weight > 0) || !(perUnit > 0) || math.IsInf(perUnit, 0) {
		return health.SpeedEstimate{}
	}
	perUnit = usual.ClampPerUnit(perUnit)
	return health.SpeedEstimate{LogPerUnit: math.Log(perUnit), Weight: min(e.Weight, maxWeight)}
}

// updatePeerSpeeds replaces the former observations of an instance by those in its new report, which
// it bounds. Observations that the instance no longer announces decay here. The usual time of the service
// follows what is new in them, so that all instances have nearly the same one, also those that have
// placed few prompts.
func (v *View) updatePeerSpeeds(now time.Time, before, report *PeerReport) {
	for id, e := range before.Speeds {
		n := v.observe(id)
		if n == nil {
			continue
		}
		n.peerSpeed.subtract(speedSumOf(e))
		if _, still := report.Speeds[id]; !still {
			n.formerSpeed.Merge(now, e)
		}
	}
	if !v.settings.Speeds {
		report.Speeds = nil
		return
	}
	report.Speeds = maps.Clone(report.Speeds)
	for id, e := range report.Speeds {
		n, usual := v.observe(id), &health.Baseline{}
		if n != nil {
			usual = v.usualPrefillOf(n.Service)
		}
		e = plausibleSpeed(usual, e, maxReportedSpeedWeight)
		report.Speeds[id] = e
		if n == nil {
			continue // applied when the engine is listed
		}
		n.peerSpeed.add(speedSumOf(e))
		usual.ObservePerUnit(now, e.PerUnit(), e.Weight-before.Speeds[id].Weight)
	}
}

// speedFor returns what an instance is told of an engine's speed: the observations of all others.
func (n *node) speedFor(now time.Time, asking health.SpeedEstimate) health.SpeedEstimate {
	others := n.peerSpeed
	others.subtract(speedSumOf(asking))
	return n.speed.Estimate(now).Add(others.estimate()).Add(n.formerSpeed.Estimate(now))
}

// maxSummedSpeedWeight bounds the weight of an owner's summary.
const maxSummedSpeedWeight = 1000

// applySpeed bounds the speed in an owner's summary. It takes observations that are new since the last
// summary into the usual time. Without that condition the usual time follows the engines that are asked
// about most, which a waiting request does ten times a second.
func (v *View) applySpeed(now time.Time, n *node, last, e health.SpeedEstimate) health.SpeedEstimate {
	if !v.settings.Speeds {
		return health.SpeedEstimate{}
	}
	usual := v.usualPrefillOf(n.Service)
	e = plausibleSpeed(usual, e, maxSummedSpeedWeight)
	usual.ObservePerUnit(now, e.PerUnit(), e.Weight-last.Weight)
	return e
}

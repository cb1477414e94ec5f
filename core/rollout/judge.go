package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/mathext"
)

// JudgeSettings are the error rates and effect sizes of [Judge].
type JudgeSettings struct {
	// FalseRollBackRate is the share of good targets that may be found bad. It holds for a whole
	// rollout, no matter how often the target is judged.
	FalseRollBackRate float64
	// EffectSizes are the assumed additional failure rates of a bad target, as shares of the
	// requests that don't fail at the baseline's rate.
	EffectSizes []float64
	// BaselineConfidence is the confidence level of the upper bound on the baseline's rate of
	// failures.
	BaselineConfidence float64
	// MinBaselineRate is the lowest rate that is assumed for the baseline.
	MinBaselineRate float64
	// LossTolerance is added to the share of requests that the target may lose. Endpoints and data
	// centres crash whatever build they run.
	LossTolerance float64
	// SlowShare is the share of the baseline's durations that lies in its tail. A duration of the
	// target is slow if it exceeds the start of that tail by more than SlowMargin histogram
	// buckets. SlowMarginMoving replaces SlowMargin while requests move, since the target takes on
	// load then.
	SlowShare                    float64
	SlowMargin, SlowMarginMoving int
	// MinBaselineDurations is how many durations of the baseline a comparison of durations needs.
	MinBaselineDurations uint64
}

// DefaultJudgeSettings returns the settings that are evaluated in docs/design/rollouts.md.
func DefaultJudgeSettings() JudgeSettings {
	return JudgeSettings{
		FalseRollBackRate: 0.01, EffectSizes: []float64{0.04, 0.1, 0.25, 0.6}, BaselineConfidence: 0.95, MinBaselineRate: 0.01,
		LossTolerance: 0.15, SlowShare: 0.25, SlowMargin: 3, SlowMarginMoving: bucketsPerDoubling, MinBaselineDurations: 30,
	}
}

// forInterimTests returns the settings for a comparison that is repeated n times on different
// counts. The rate of false roll-backs is divided by n (Bonferroni correction).
func (s JudgeSettings) forInterimTests(n int) JudgeSettings {
	s.FalseRollBackRate /= float64(max(n, 1))
	return s
}

// Judgement is the result of a comparison of the target with the baseline.
type Judgement struct {
	// Bad reports that the target is worse than the baseline, at the configured rate of error.
	Bad bool
	// Reason names the route and what is worse there. It is empty while there is no evidence
	// against the target.
	Reason string
	// Strongest describes the comparison with the most evidence, also if that speaks for the
	// target. It is empty if nothing was compared.
	Strongest string
	// Evidence is the logarithm of the likelihood ratio of a bad target against a good one. The
	// target is found bad once Evidence reaches Threshold.
	Evidence, Threshold float64
	// Compared reports whether there was anything to compare. Evidence is 0 otherwise.
	Compared bool
	// Answered and Failed are the numbers of the target's requests that were answered well and that
	// failed. Excess is how many more of its requests failed or were slow than at the baseline's
	// rate.
	Answered, Failed uint64
	Excess           float64
}

// Judge compares the target with the baseline, on each route and on all routes together. It
// compares failures, lost answers, the time to the first answer and the time between events.
//
// Each comparison is a mixture sequential probability ratio test. It takes the likelihood of the
// target's outcomes under rates that are higher than the baseline's, averaged over several effect
// sizes, and divides it by their likelihood under the baseline's rate. For a good target that ratio
// ever exceeds 1/p with a probability of at most p. So the test may be repeated after each request.
//
// The evidence has to hold without the group of endpoints that contributes most to it, since one
// bad endpoint does not make a bad build.
func Judge(t Tally, s JudgeSettings) Judgement {
	tests := comparisons(t, s)
	out := Judgement{Evidence: math.Inf(-1)}
	count := 0
	consider := func(tested ...*comparison) {
		count++
		if e := evidence(s.EffectSizes, tested...); e > out.Evidence {
			out.Evidence, out.Strongest = e, describe(tested)
		}
	}
	byKind := map[testKind][]*comparison{}
	for i := range tests {
		c := &tests[i]
		byKind[c.kind] = append(byKind[c.kind], c)
		consider(c)
		if c.kind == failures || c.kind == slowAnswers {
			out.Excess += c.excess()
		}
	}
	for _, kind := range []testKind{failures, losses, slowAnswers, slowEvents} {
		if len(byKind[kind]) > 1 {
			consider(byKind[kind]...)
		}
	}
	for cell, n := range t {
		if cell.Arm == Target {
			out.Answered += n.Answered
			out.Failed += n.Failed
		}
	}
	if out.Evidence > 0 {
		out.Reason = out.Strongest
	}
	out.Compared = count > 0
	if !out.Compared {
		out.Evidence = 0
	}
	out.Threshold = math.Log(float64(max(count, 1)) / s.FalseRollBackRate)
	out.Bad = out.Evidence >= out.Threshold
	return out
}

// summary returns the judgement in one line, for logs and operators.
func (j *Judgement) summary() string {
	if !j.Compared {
		return "nothing to compare"
	}
	return fmt.Sprintf("evidence %.2f of %.2f: %s", j.Evidence, j.Threshold, j.Strongest)
}

// describe returns a description of comparisons of one kind, for logs and operators.
func describe(tests []*comparison) string {
	route, sum, expected := "route "+tests[0].route, outcomes{}, 0.0
	if len(tests) > 1 {
		route = "all routes"
	}
	for _, c := range tests {
		total := c.total()
		sum.good, sum.bad = sum.good+total.good, sum.bad+total.bad
		expected += c.rate * float64(total.good+total.bad)
	}
	return fmt.Sprintf("%s on %s: %d of %d, %.1f expected", tests[0].kind, route, sum.bad, sum.bad+sum.good, expected)
}

type testKind string

const (
	failures    testKind = "failures"
	losses      testKind = "lost answers"
	slowAnswers testKind = "slow answers"
	slowEvents  testKind = "slow events"
)

// outcomes are the numbers of good and bad outcomes in a group of the target's endpoints.
type outcomes struct{ good, bad uint64 }

// comparison is a test of one kind on one route.
type comparison struct {
	route string
	kind  testKind
	// rate is an upper confidence bound of the baseline's rate of bad outcomes.
	rate   float64
	groups [groupCount]outcomes
}

// total returns the outcomes of all groups together.
func (c *comparison) total() (sum outcomes) {
	for _, g := range c.groups {
		sum.good, sum.bad = sum.good+g.good, sum.bad+g.bad
	}
	return sum
}

// excess returns how many more of the target's requests were bad than at the baseline's rate, or 0
// if there were fewer. If several groups have outcomes, it leaves out the one with the largest
// excess.
func (c *comparison) excess() float64 {
	beyond := func(o outcomes) float64 { return float64(o.bad) - c.rate*float64(o.bad+o.good) }
	totalExcess, largest, used := beyond(c.total()), 0.0, 0
	for _, g := range c.groups {
		if g != (outcomes{}) {
			used++
		}
		largest = max(largest, beyond(g))
	}
	if used > 1 {
		totalExcess -= largest
	}
	return max(totalExcess, 0)
}

// evidence returns the logarithm of the likelihood ratio of several comparisons together. If
// several groups have outcomes, it leaves out the one that contributes most to the evidence.
func evidence(effects []float64, tests ...*comparison) float64 {
	lowest := logLikelihoodRatio(effects, tests, noGroup)
	used := 0
	for g := range groupCount {
		if slices.ContainsFunc(tests, func(c *comparison) bool { return c.groups[g] != outcomes{} }) {
			used++
		}
	}
	if used < 2 {
		return lowest
	}
	for g := range groupCount {
		if slices.ContainsFunc(tests, func(c *comparison) bool { return c.groups[g].bad > 0 }) {
			lowest = min(lowest, logLikelihoodRatio(effects, tests, g))
		}
	}
	return lowest
}

// noGroup tells [logLikelihoodRatio] to exclude no group.
const noGroup = -1

// logLikelihoodRatio returns the logarithm of the likelihood ratio of a bad target against a good
// one, averaged over the effect sizes. The outcomes of the group excluded are left out.
func logLikelihoodRatio(effects []float64, tests []*comparison, excluded int) float64 {
	logs := make([]float64, len(effects))
	for _, c := range tests {
		o := c.total()
		if excluded >= 0 {
			o.good, o.bad = o.good-c.groups[excluded].good, o.bad-c.groups[excluded].bad
		}
		for i, effect := range effects {
			worse := c.rate + (1-c.rate)*effect
			logs[i] += float64(o.bad)*math.Log(worse/c.rate) + float64(o.good)*math.Log((1-worse)/(1-c.rate))
		}
	}
	largest := slices.Max(logs)
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - largest)
	}
	return largest + math.Log(sum/float64(len(effects)))
}

// rateUpperBound returns the upper confidence bound of a rate.
func (s *JudgeSettings) rateUpperBound(bad, good uint64) float64 {
	const jeffreysPrior = 0.5 // parameter of Jeffreys' prior, a beta distribution
	return max(mathext.InvRegIncBeta(float64(bad)+jeffreysPrior, float64(good)+jeffreysPrior, s.BaselineConfidence), s.MinBaselineRate)
}

// comparisons returns the tests of all routes on which the target and the baseline have outcomes.
func comparisons(t Tally, s JudgeSettings) []comparison {
	var out []comparison
	for _, route := range targetRoutes(t) {
		base := baselineCounts(t, route)
		if base.Answered+base.Failed == 0 {
			continue
		}
		out = append(out, s.compareOutcomes(t, route, base)...)
		for _, kind := range []testKind{slowAnswers, slowEvents} {
			if base.durations(kind).Total() >= s.MinBaselineDurations {
				out = append(out, s.compareDurations(t, route, kind, base.durations(kind)))
			}
		}
	}
	return slices.DeleteFunc(out, func(c comparison) bool { return c.total() == outcomes{} })
}

func (s *JudgeSettings) compareOutcomes(t Tally, route string, base *Counts) []comparison {
	failed := comparison{route: route, kind: failures, rate: s.rateUpperBound(base.Failed, base.Answered)}
	lost := comparison{route: route, kind: losses, rate: min(s.rateUpperBound(base.Lost, base.Answered+base.Failed)+s.LossTolerance, maxRate)}
	failed.groups = outcomesByGroup(t, route, func(_ Cell, n *Counts) outcomes { return outcomes{n.Answered, n.Failed} })
	lost.groups = outcomesByGroup(t, route, func(_ Cell, n *Counts) outcomes { return outcomes{n.Answered + n.Failed, n.Lost} })
	return []comparison{failed, lost}
}

// maxRate keeps a rate below 1, where no target could be worse.
const maxRate = 0.95

// compareDurations counts the target's durations that are longer than the start of the baseline's
// tail by more than the margin.
func (s *JudgeSettings) compareDurations(t Tally, route string, kind testKind, base *Histogram) comparison {
	bound := base.tailBucket(s.SlowShare) + s.SlowMargin
	slow := base.countAbove(bound)
	c := comparison{route: route, kind: kind, rate: s.rateUpperBound(slow, base.Total()-slow)}
	c.groups = outcomesByGroup(t, route, func(cell Cell, n *Counts) outcomes {
		at := bound
		if cell.Moving {
			at += s.SlowMarginMoving - s.SlowMargin
		}
		h := n.durations(kind)
		slow := h.countAbove(at)
		return outcomes{h.Total() - slow, slow}
	})
	return c
}

func (c *Counts) durations(kind testKind) *Histogram {
	if kind == slowEvents {
		return &c.EventGap
	}
	return &c.AnswerTime
}

// baselineCounts returns the baseline's counts of a route, over all its cells.
func baselineCounts(t Tally, route string) *Counts {
	sum := &Counts{}
	for cell, n := range t {
		if cell.Route == route && cell.Arm == Baseline {
			sum.add(n)
		}
	}
	return sum
}

// outcomesByGroup sums the target's outcomes of a route by group of endpoints.
func outcomesByGroup(t Tally, route string, outcomesOf func(Cell, *Counts) outcomes) (sums [groupCount]outcomes) {
	for cell, n := range t {
		if cell.Route == route && cell.Arm == Target {
			o := outcomesOf(cell, n)
			sum := &sums[cell.Group%groupCount]
			sum.good, sum.bad = sum.good+o.good, sum.bad+o.bad
		}
	}
	return sums
}

// targetRoutes returns the routes of which the target got requests, sorted.
func targetRoutes(t Tally) []string {
	seen := map[string]bool{}
	for cell := range t {
		if cell.Arm == Target {
			seen[cell.Route] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

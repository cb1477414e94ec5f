package rollout

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mathext"
)

// maxInterimTests is how often a rollout is tested. The error rate of each test is divided by it.
const maxInterimTests = 100

// judgeByInterimTests is an alternative that [Judge] is compared with. Each time it makes a
// binomial test of the target's bad outcomes against the baseline's rate. The error rate is divided
// by the number of times and tests.
func judgeByInterimTests(t Tally, s JudgeSettings) Judgement {
	tests := comparisons(t, s)
	out := Judgement{Threshold: math.Log(float64(max(len(tests), 1)*maxInterimTests) / s.FalseRollBackRate), Evidence: math.Inf(-1)}
	for i := range tests {
		c := &tests[i]
		if c.kind == failures {
			out.Excess += c.excess()
		}
		all := c.total()
		lowest := -math.Log(binomialTail(all, c.rate))
		for _, g := range c.groups {
			if g.bad > 0 && all != g {
				lowest = min(lowest, -math.Log(binomialTail(outcomes{all.good - g.good, all.bad - g.bad}, c.rate)))
			}
		}
		if lowest > out.Evidence {
			out.Evidence, out.Strongest = lowest, fmt.Sprintf("%s on route %s", c.kind, c.route)
		}
	}
	for cell, n := range t {
		if cell.Arm == Target {
			out.Answered += n.Answered
			out.Failed += n.Failed
		}
	}
	out.Bad = out.Evidence >= out.Threshold
	out.Evidence -= math.Log(maxInterimTests) // less evidence than this does not prevent a move
	out.Threshold -= math.Log(maxInterimTests)
	return out
}

// binomialTail returns the probability of at least so many bad outcomes at a rate.
func binomialTail(o outcomes, rate float64) float64 {
	if o.bad == 0 {
		return 1
	}
	return max(mathext.RegIncBeta(float64(o.bad), float64(o.good)+1, rate), 1e-300)
}

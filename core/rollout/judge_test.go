package rollout

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tallyInGroups returns a tally of one route. The target's requests are spread over some groups of
// endpoints.
func tallyInGroups(base, target Counts, groups int) Tally {
	t := Tally{{Route: "r"}: &base}
	for g := range groups {
		part := func(n uint64) uint64 { return n*uint64(g+1)/uint64(groups) - n*uint64(g)/uint64(groups) }
		t[Cell{Route: "r", Arm: Target, Group: uint8(g)}] = &Counts{
			Sent: part(target.Sent), Answered: part(target.Answered), Failed: part(target.Failed), Lost: part(target.Lost),
		}
	}
	return t
}

// TestJudgeOutcomes: the target is compared with the baseline on the same route. One bad endpoint
// is not enough to find the target bad.
func TestJudgeOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		base, target Counts
		groups       int
		bad          bool
	}{
		"nothing at all":                   {Counts{}, Counts{}, 0, false},
		"nothing known":                    {Counts{}, Counts{Answered: 10, Failed: 10}, 3, false},
		"both good":                        {Counts{Answered: 1000}, Counts{Answered: 100}, 3, false},
		"one failure":                      {Counts{Answered: 1000}, Counts{Answered: 100, Failed: 1}, 3, false},
		"half fails":                       {Counts{Answered: 1000}, Counts{Answered: 8, Failed: 8}, 3, true},
		"a tenth fails":                    {Counts{Answered: 1000}, Counts{Answered: 135, Failed: 15}, 3, true},
		"fails as the baseline does":       {Counts{Answered: 860, Failed: 140}, Counts{Answered: 86, Failed: 14}, 3, false},
		"fails twice as often":             {Counts{Answered: 860, Failed: 140}, Counts{Answered: 210, Failed: 90}, 3, true},
		"all at one endpoint, others good": {Counts{Answered: 1000}, Counts{Answered: 20, Failed: 20}, 1, true},
		"some are lost with a data centre": {Counts{Answered: 900, Lost: 30}, Counts{Answered: 90, Lost: 10}, 3, false},
		"most are lost":                    {Counts{Answered: 1000, Lost: 10}, Counts{Answered: 5, Lost: 30}, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			j := Judge(tallyInGroups(c.base, c.target, c.groups), DefaultJudgeSettings())
			assert.Equal(t, j.Bad, c.bad, "%+v", j)
			assert.Equal(t, j.Reason != "", j.Evidence > 0)
			_, err := json.Marshal(j) // judgements are logged as JSON, which has no infinities
			assert.NilError(t, err)
		})
	}
	oneBadEndpoint := tallyInGroups(Counts{Answered: 1000}, Counts{Answered: 60}, 3)
	oneBadEndpoint[Cell{Route: "r", Arm: Target, Group: 1}].Failed = 30
	assert.Assert(t, !Judge(oneBadEndpoint, DefaultJudgeSettings()).Bad)
}

// TestJudgeDurations: a target that takes twice as long is bad; one that takes a fifth longer is
// not.
func TestJudgeDurations(t *testing.T) {
	for name, c := range map[string]struct {
		factor float64
		bad    bool
	}{"as long": {1, false}, "a fifth longer": {1.2, false}, "twice as long": {2, true}, "four times": {4, true}} {
		t.Run(name, func(t *testing.T) {
			tally := tallyInGroups(Counts{Answered: 500}, Counts{Answered: 90}, 3)
			base := tally[Cell{Route: "r"}]
			for i := range 500 {
				base.AnswerTime.Observe(time.Duration(10+i%20) * time.Millisecond)
			}
			for g := range 3 {
				n := tally[Cell{Route: "r", Arm: Target, Group: uint8(g)}]
				for i := range 30 {
					n.AnswerTime.Observe(time.Duration(c.factor * float64(10+(i*7)%20) * float64(time.Millisecond)))
				}
			}
			assert.Equal(t, Judge(tally, DefaultJudgeSettings()).Bad, c.bad)
		})
	}
}

// TestHistogram: durations fall into buckets in order, and the buckets above the tail's start hold
// no more than the requested share.
func TestHistogram(t *testing.T) {
	var h Histogram
	for i := 1; i <= 1000; i++ {
		h.Observe(time.Duration(i) * time.Millisecond)
	}
	assert.Equal(t, h.Total(), uint64(1000))
	at := h.tailBucket(0.1)
	assert.Assert(t, h.countAbove(at) <= 100)
	assert.Assert(t, bucketUpperBound(at) >= 900*time.Millisecond && bucketUpperBound(at) < 1200*time.Millisecond, "%v", bucketUpperBound(at))
	h.Observe(0)
	h.Observe(time.Hour)
	assert.Equal(t, h[0], uint64(2))
	assert.Equal(t, h[bucketCount-1], uint64(1))
}

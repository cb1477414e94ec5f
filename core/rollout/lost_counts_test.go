package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFewAnswersAfterLossOfCounts: all instances were killed late in a canary. With the few answers since, a
// target that fails 4 of 9 requests seems no worse than a baseline that fails 6 of 27, since so few prove
// little. It must not get all requests. One that has answered more of them well does, and so does one whose
// counts another instance has kept, in a report of its own or in a summary.
func TestFewAnswersAfterLossOfCounts(t *testing.T) {
	type counts struct{ base, target Counts }
	few := counts{Counts{Sent: 27, Answered: 21, Failed: 6}, Counts{Sent: 9, Answered: 5, Failed: 4}}
	many := counts{Counts{Sent: 270, Answered: 210, Failed: 60}, Counts{Sent: 25, Answered: 25}}
	lateInCanary := testOrder().Duration * 2 / 3
	for name, c := range map[string]struct {
		started time.Duration
		counts  counts
		peer    *Source
		moves   bool
	}{
		"all restarted":              {lateInCanary, few, nil, false},
		"all restarted, many":        {lateInCanary, many, nil, true},
		"none restarted":             {0, few, nil, true},
		"another one was not":        {lateInCanary, few, &Source{Name: "b", DataCentre: "a"}, true},
		"in another data centre":     {lateInCanary, few, &Source{Name: "b", DataCentre: "b", IsSummary: true}, true},
		"restarted before half time": {2 * time.Second, few, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(DefaultSettings(), testOrder(), after(c.started), c.started, "a")
			r.SetEndpoints(Endpoints{Baseline: 4, Target: 4})
			r.local = tallyInGroups(c.counts.base, c.counts.target, 2)
			now := after(r.schedule.earliestMove)
			if c.peer != nil {
				r.Apply(now, *c.peer, &Report{OrderID: r.order.ID(), Age: r.Age(now), CountingFor: r.Age(now), Tally: Tally{}})
			}
			for ; now.Before(after(r.schedule.latestMove)); now = now.Add(10 * time.Millisecond) {
				r.Tick(now, true)
			}
			assert.Equal(t, r.Moving(), c.moves)
		})
	}
}

// TestCountingTimeIsPassedOn: an instance that started late and knows one that counts since the order was given
// says so in its summary. What that one counted stays known when it restarts.
func TestCountingTimeIsPassedOn(t *testing.T) {
	r := New(DefaultSettings(), testOrder(), after(6*time.Second), 6*time.Second, "a")
	now := after(7 * time.Second)
	assert.Equal(t, r.Summary(now).CountingFor, time.Second)
	r.Apply(now, Source{Name: "b", DataCentre: "a", Process: 1}, &Report{OrderID: r.order.ID(), Age: r.Age(now), CountingFor: 7 * time.Second, Tally: Tally{}})
	r.Apply(now, Source{Name: "b", DataCentre: "a", Process: 2}, &Report{OrderID: r.order.ID(), Age: r.Age(now), Tally: Tally{}})
	assert.Equal(t, r.Report(now).CountingFor, time.Second)
	assert.Equal(t, r.Summary(now).CountingFor, 7*time.Second)
}

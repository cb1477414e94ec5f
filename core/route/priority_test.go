package route

import (
	"testing"

	"gotest.tools/v3/assert"
)

// rankedConfiguration has a service whose streaming routes have priorities 0 and 2.
func rankedConfiguration(teams ...Team) *Configuration {
	target := []Target{{"llm", 100}}
	return &Configuration{
		Services: []Service{{Name: "llm"}, {Name: "app"}},
		Routes: []Route{
			{Name: "urgent", Host: "h", Prefix: "/u/", Stream: true, Targets: target},
			{Name: "draft", Host: "h", Prefix: "/d/", Stream: true, Priority: 2, Targets: target},
			{Name: "other", Host: "h", Prefix: "/o/", Stream: true, Priority: 1, Targets: []Target{{"app", 1}}},
		},
		Teams: teams,
	}
}

// TestRoutePriorityOrdersStreamsOfEqualTeams guards against a team's priority that replaces the
// route's: the urgent streams of a team were then equal to its drafts, which may wait longer and so
// took the room.
func TestRoutePriorityOrdersStreamsOfEqualTeams(t *testing.T) {
	c := rankedConfiguration(Team{Name: "school", Priority: 1, HasPriority: true}, Team{Name: "head", Priority: 0, HasPriority: true}, Team{Name: "none"})
	table := NewTable(c)
	urgent, draft := &c.Routes[0], &c.Routes[1]
	school, head, none := &c.Teams[0], &c.Teams[1], &c.Teams[2]
	ordered := []Priority{
		table.Priority("llm", urgent, head), table.Priority("llm", draft, head),
		table.Priority("llm", urgent, school), table.Priority("llm", draft, school), table.Priority("llm", draft, none),
	}
	for i := range ordered[1:] {
		assert.Assert(t, ordered[i].Ranked())
		assert.Assert(t, ordered[i].Level < ordered[i+1].Level, "%d: %v", i, ordered)
	}
	assert.Equal(t, table.Priority("llm", urgent, none), table.Priority("llm", urgent, nil))
	assert.Equal(t, table.Priority("llm", urgent, head).Level, 0)
}

// TestEqualRoutePrioritiesKeepTeamPriority checks that nothing changes for a service whose streaming
// routes have the same priority.
func TestEqualRoutePrioritiesKeepTeamPriority(t *testing.T) {
	c := rankedConfiguration(Team{Name: "school", Priority: 7, HasPriority: true})
	c.Routes[1].Priority = 0
	c.Routes = append(c.Routes, Route{Name: "plain", Priority: 3, Targets: []Target{{"llm", 1}}})
	table := NewTable(c)
	assert.Equal(t, table.Priority("llm", &c.Routes[0], &c.Teams[0]), Priority{Level: 7})
	assert.Equal(t, table.Priority("llm", &c.Routes[0], nil), Priority{Level: 0})
	assert.Equal(t, table.Priority("app", &c.Routes[2], nil), Priority{Level: 1})
	assert.Equal(t, table.Priority("gone", &c.Routes[1], nil), Priority{Level: 0})
}

// TestManyPrioritiesShareLevels checks that the order is kept within the levels that engines know.
func TestManyPrioritiesShareLevels(t *testing.T) {
	var teams []Team
	for p := range 40 {
		teams = append(teams, Team{Name: "t", Priority: p - 5, HasPriority: true})
	}
	c := rankedConfiguration(teams...)
	table := NewTable(c)
	last := 0
	for i := range c.Teams {
		for _, r := range []*Route{&c.Routes[0], &c.Routes[1]} {
			p := table.Priority("llm", r, &c.Teams[i])
			assert.Assert(t, p.Level >= last && p.Level < MaxLevels, "team %d: %v after %d", i, p, last)
			last = p.Level
		}
	}
	assert.Equal(t, last, MaxLevels-1)
}

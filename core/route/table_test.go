package route

import (
	"testing"

	"gotest.tools/v3/assert"
)

func newTable() *Table {
	one := func(s string) []Target { return []Target{{s, 1}} }
	return NewTable(&Configuration{
		Version: 7,
		Routes: []Route{
			{Name: "root", Host: "a.example", Prefix: "/", Targets: one("s")},
			{Name: "short", Host: "a.example", Prefix: "/x/", Targets: one("s")},
			{Name: "long", Host: "A.example", Prefix: "/x/y/", Targets: one("s")},
			{Name: "other", Host: "b.example", Prefix: "/z/", Targets: one("s"), Priority: 4},
		},
		Services: []Service{{Name: "s"}},
		Teams:    []Team{{Name: "desk", Keys: []string{"k1", "k2"}, Priority: 1, HasPriority: true}, {Name: "plain", Keys: []string{"k3"}}},
	})
}

func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:8080", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", "root"},
		{"a.example", "//x/", "root"},
		{"b.example", "/z/..", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	} {
		r, ok := newTable().Match(c.host, c.path)
		assert.Equal(t, ok, c.want != "", "%s %s", c.host, c.path)
		if ok {
			assert.Equal(t, r.Name, c.want, "%s %s", c.host, c.path)
		}
	}
}

// A team's priority takes precedence over the route's, if the team has one.
func TestTeamsAndPriorities(t *testing.T) {
	tab := newTable()
	assert.Assert(t, tab.RequiresKey())
	desk, ok := tab.Team("k2")
	assert.Assert(t, ok)
	plain, _ := tab.Team("k3")
	_, ok = tab.Team("k4")
	assert.Assert(t, !ok)
	r, _ := tab.Match("b.example", "/z/")
	assert.Equal(t, r.PriorityFor(desk), 1)
	assert.Equal(t, r.PriorityFor(plain), 4)
	assert.Equal(t, r.PriorityFor(nil), 4)
}

// TestRevokedKeys guards against a configuration without a valid key that counts as one without teams, so that every
// request is served.
func TestRevokedKeys(t *testing.T) {
	for name, c := range map[string]struct {
		configuration Configuration
		requiresKey   bool
	}{
		"no teams":              {Configuration{}, false},
		"the last team removed": {Configuration{KeysRequired: true}, true},
		"a team without keys":   {Configuration{Teams: []Team{{Name: "desk"}}}, true},
		"empty list of keys":    {Configuration{Teams: []Team{{Name: "desk", Keys: []string{}}}}, true},
		"empty key":             {Configuration{Teams: []Team{{Name: "desk", Keys: []string{""}}}}, true},
	} {
		tab := NewTable(&c.configuration)
		assert.Equal(t, tab.RequiresKey(), c.requiresKey, name)
		_, ok := tab.Team("")
		assert.Assert(t, !ok, name)
	}
}

func TestChooseServiceFollowsWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"none", 0}, {"most", 90}, {"few", 10}}}
	hits := map[string]int{}
	for i := range 1000 {
		hits[r.ChooseService(float64(i)/1000)]++
	}
	assert.DeepEqual(t, hits, map[string]int{"most": 900, "few": 100})
	assert.Equal(t, (&Route{}).ChooseService(0.5), "")
}

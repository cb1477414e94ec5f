package route

import (
	"testing"

	"gotest.tools/v3/assert"
)

func table() *Table {
	one := func(s string) []Target { return []Target{{s, 1}} }
	return NewTable(&Configuration{
		Version: 7,
		Routes: []Route{
			{Name: "root", Host: "a.example", Prefix: "/", Targets: one("s")},
			{Name: "short", Host: "a.example", Prefix: "/x/", Targets: one("s")},
			{Name: "long", Host: "A.example", Prefix: "/x/y/", Targets: one("s")},
			{Name: "other", Host: "b.example", Prefix: "/z/", Targets: one("s"), Rank: 4},
		},
		Services: []Service{{Name: "s"}},
		Teams:    []Team{{Name: "desk", Keys: []string{"k1", "k2"}, Rank: 1, HasRank: true}, {Name: "plain", Keys: []string{"k3"}}},
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
		r, ok := table().Match(c.host, c.path)
		assert.Equal(t, ok, c.want != "", "%s %s", c.host, c.path)
		if ok {
			assert.Equal(t, r.Name, c.want, "%s %s", c.host, c.path)
		}
	}
}

func TestTeamsAndRanks(t *testing.T) {
	tab := table()
	assert.Assert(t, tab.NeedsKey())
	desk, ok := tab.Team("k2")
	assert.Assert(t, ok)
	plain, _ := tab.Team("k3")
	_, ok = tab.Team("k4")
	assert.Assert(t, !ok)
	r, _ := tab.Match("b.example", "/z/")
	assert.Equal(t, r.RankFor(desk), 1)
	assert.Equal(t, r.RankFor(plain), 4)
	assert.Equal(t, r.RankFor(nil), 4)
}

func TestChooseFollowsWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"none", 0}, {"most", 90}, {"few", 10}}}
	hits := map[string]int{}
	for i := range 1000 {
		hits[r.Choose(float64(i)/1000)]++
	}
	assert.DeepEqual(t, hits, map[string]int{"most": 900, "few": 100})
	assert.Equal(t, (&Route{}).Choose(0.5), "")
}

package routing

import (
	"sort"
	"time"
)

// doubt is which data centres of a service are in doubt: many of their endpoints fail at once, so the
// others there are likely to be lost as well. Without it a stream whose engine died with its data
// centre tries one dead engine after the other.
type doubt struct {
	stale  bool
	at     time.Time
	groups map[groupKey]bool
}

// doubtKept is how long the verdict is kept while nothing fails: suspicions end by time.
const doubtKept = 100 * time.Millisecond

// doubtLeast is how many endpoints have to fail before their data centre is in doubt.
const doubtLeast = 2

// doubted tells whether the data centre of an endpoint is in doubt.
func (v *View) doubted(now time.Time, n *node) bool {
	d := &v.doubt
	if d.stale || d.groups == nil || now.Sub(d.at) > doubtKept {
		d.groups = v.groupsInDoubt(now)
		d.stale, d.at = false, now
	}
	return d.groups[groupKey{n.Service, n.DataCentre}]
}

func (v *View) groupsInDoubt(now time.Time) map[groupKey]bool {
	out := map[groupKey]bool{}
	for key, group := range v.groups {
		if key.dataCentre == "" {
			continue
		}
		failing := 0
		for _, n := range group {
			if now.Before(n.until) || n.doubters > 0 {
				failing++
			}
		}
		if failing >= doubtLeast && float64(failing) >= v.set.DoubtShare*float64(len(group)) {
			out[key] = true
		}
	}
	return out
}

// Suspects returns the endpoints that failed this instance a short while ago, by id.
func (v *View) Suspects(now time.Time) []string {
	var out []string
	for id, n := range v.nodes {
		if now.Before(n.until) {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// doubtersMost is how many other instances may doubt an endpoint that is still taken to hold what it held:
// one alone may have a bad link to it.
const doubtersMost = 1

// Usable tells whether an endpoint is listed, does not leave, and is suspected neither by this instance nor
// by several others.
func (v *View) Usable(now time.Time, id string) bool {
	n := v.nodes[id]
	return n != nil && n.takesWork(now) && n.doubters <= doubtersMost
}

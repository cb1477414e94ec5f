package route

import (
	"cmp"
	"slices"
)

// MaxLevels is the largest number of priority levels of a service.
const MaxLevels = 10

// Priority is the order of a request among those of its service.
type Priority struct {
	// Level orders requests, 0 goes first.
	Level int
	// Levels is the number of levels of a service whose streaming routes have different priorities;
	// 0 if they all have the same one. Level is then the priority of the team or the route.
	Levels int
}

// Ranked reports whether the streams of the service have different priorities by their routes.
func (p Priority) Ranked() bool { return p.Levels > 0 }

// priorityPair orders requests by the priority of their team, then by that of their route.
type priorityPair struct{ team, route int }

func (a priorityPair) compare(b priorityPair) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.route, b.route))
}

// pairOf returns the pair of a request. The route's priority stands in for that of a team without
// one.
func pairOf(r *Route, t *Team) priorityPair {
	return priorityPair{r.PriorityFor(t), r.Priority}
}

// priorityLevels returns the level of each pair that requests of a service may have; nil if its
// streaming routes have the same priority. Neighbouring pairs share a level where there are more
// than MaxLevels.
func priorityLevels(service string, c *Configuration) map[priorityPair]Priority {
	routes := map[int]bool{}
	byRouteAlone := !c.requiresKey() // some requests are ordered by their route alone
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Stream && r.HasTarget(service) {
			routes[r.Priority] = true
			byRouteAlone = byRouteAlone || r.Public
		}
	}
	if len(routes) < 2 {
		return nil
	}
	teams := map[int]bool{}
	for i := range c.Teams {
		if t := &c.Teams[i]; t.HasPriority {
			teams[t.Priority] = true
		} else {
			byRouteAlone = true
		}
	}
	var pairs []priorityPair
	for r := range routes {
		if byRouteAlone {
			pairs = append(pairs, priorityPair{r, r})
		}
		for t := range teams {
			pairs = append(pairs, priorityPair{t, r})
		}
	}
	slices.SortFunc(pairs, priorityPair.compare)
	pairs = slices.Compact(pairs)
	levels := min(len(pairs), MaxLevels)
	out := make(map[priorityPair]Priority, len(pairs))
	for i, p := range pairs {
		out[p] = Priority{Level: i * levels / len(pairs), Levels: levels}
	}
	return out
}

// HasTarget reports whether the route sends requests to a service.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Priority returns the order of a request of a route and a team among those of a service. team is
// nil for requests without one. A team's priority takes precedence, and the route's orders the
// requests of teams with equal priority.
func (t *Table) Priority(service string, r *Route, team *Team) Priority {
	if p, ok := t.levels[service][pairOf(r, team)]; ok {
		return p
	}
	return Priority{Level: r.PriorityFor(team)}
}

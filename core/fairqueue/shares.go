package fairqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// minWeight and maxWeight bound the weights of teams, so that a wrong setting does not exclude a team or all others.
const (
	minWeight = 0.01
	maxWeight = 100
	// minServed is the least part of a team's requests that is placed, compared with that of all teams. Below it, a team
	// is charged only chargeBelow of the tokens. Otherwise teams with many requests would get no more than those with
	// few, and most of their callers would be refused.
	minServed   = 0.35
	chargeBelow = 0.1
	// minAsked is the number of requests from which on the placed part of a team is compared.
	minAsked = 8
	// servedHalfLife is how fast older requests lose influence on it.
	servedHalfLife = 4 * time.Second
)

// team is what is known of a team.
type team struct {
	name   string
	weight float64
	// counters holds the tokens of its placed requests divided by its weight, by level. They differ only in what they
	// were lifted by.
	counters [maxLevel + 1]float64
	// used is the tokens of its placed requests.
	used float64
	// asked and served count its requests and those placed, with decay.
	asked, served float64
	waiting       int
	usedAt        time.Time
	// levels has a bit for each level at which it has waited at the last decision.
	levels uint16

	nextLevels uint16  // scratch space of a decision
	ahead      float64 // tokens of its requests that come first
}

// shares lifts the counters of teams that begin to wait, and charges them.
type shares struct {
	// floors is the smallest counter of those that wait, by level. It stays while none does, so that a queue which is
	// empty for a moment gives no credit.
	floors  [maxLevel + 1]float64
	waiting []*team // at the last decision
	// asked and served are the sums over all teams, also over those forgotten since.
	asked, served float64
}

// teamNamed returns the team of a request.
func (q *Queue) teamNamed(now time.Time, name string) *team {
	t := q.teams[name]
	if t == nil {
		if len(q.teams) >= maxTeams {
			q.forgetTeams(now)
		}
		t = &team{name: name, weight: weightOf(q.weights, name)}
		q.teams[name] = t
	}
	t.usedAt = now
	return t
}

// weightOf returns the weight of a team.
func weightOf(weights map[string]float64, name string) float64 {
	w, ok := weights[name]
	if !ok || math.IsNaN(w) {
		return 1
	}
	return min(max(w, minWeight), maxWeight)
}

// forgetTeams forgets the teams that have not been used for a while, and further ones without requests if there are too
// many.
func (q *Queue) forgetTeams(now time.Time) {
	var idle []*team
	for name, t := range q.teams {
		switch {
		case t.waiting > 0:
			t.usedAt = now
		case now.Sub(t.usedAt) >= forgetAfter:
			delete(q.teams, name)
		default:
			idle = append(idle, t)
		}
	}
	excess := len(q.teams) - maxTeams*7/8
	if excess <= 0 {
		return
	}
	slices.SortFunc(idle, func(a, b *team) int {
		if c := a.usedAt.Compare(b.usedAt); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	for _, t := range idle[:min(excess, len(idle))] {
		delete(q.teams, t.name)
	}
}

// ask counts a request of a team.
func (s *shares) ask(t *team) {
	t.asked++
	s.asked++
}

// charge charges a team for a placed request, at all levels.
func (s *shares) charge(t *team, tokens int) {
	cost := float64(tokens) / t.weight
	if s.isBelowMinimum(t) {
		cost *= chargeBelow
	}
	t.used += float64(tokens)
	t.served++
	s.served++
	for l := range t.counters {
		t.counters[l] += cost
	}
}

// isBelowMinimum reports whether too small a part of a team's requests is placed, compared with all teams. The minimum of
// a team with a weight below 1 is lower.
func (s *shares) isBelowMinimum(t *team) bool {
	return t.asked >= minAsked && t.served/t.asked < minServed*min(t.weight, 1)*s.served/s.asked
}

// decayServed lets older requests lose influence on the part that is placed.
func (q *Queue) decayServed(d time.Duration) {
	factor := math.Exp2(-d.Seconds() / servedHalfLife.Seconds())
	q.shares.asked *= factor
	q.shares.served *= factor
	for _, t := range q.teams {
		t.asked *= factor
		t.served *= factor
	}
}

// lift lifts the counters of the teams that begin to wait at a level to the smallest one of those that have waited there.
// It also resets what is ahead of each team. Late requests do not count, since their team may wait for long without use.
func (s *shares) lift(entries []*entry, now int64) {
	before := s.waiting
	var teams []*team
	for _, e := range entries {
		t := e.team
		t.ahead = 0
		if e.latest < now {
			continue
		}
		if t.nextLevels == 0 {
			teams = append(teams, t)
		}
		t.nextLevels |= 1 << e.Level
	}
	for l := range s.floors {
		s.liftLevel(l, teams)
	}
	for _, t := range before {
		t.levels = 0
	}
	for _, t := range teams {
		t.levels, t.nextLevels = t.nextLevels, 0
	}
	s.waiting = teams
}

// liftLevel lifts the counters of those among the teams that begin to wait at a level.
func (s *shares) liftLevel(level int, teams []*team) {
	bit := uint16(1) << level
	floor := math.Inf(1)
	for _, t := range teams {
		if t.nextLevels&t.levels&bit != 0 {
			floor = min(floor, t.counters[level])
		}
	}
	if !math.IsInf(floor, 1) {
		s.floors[level] = max(s.floors[level], floor)
	}
	for _, t := range teams {
		if t.nextLevels&bit != 0 && t.levels&bit == 0 {
			t.counters[level] = max(t.counters[level], s.floors[level])
		}
	}
}

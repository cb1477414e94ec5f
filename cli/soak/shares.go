package soak

import (
	"fmt"
	"math"
	"slices"
)

// Bounds of what overload may do, from the goals of docs/design/hard-load.md.
const (
	// The most urgent kind may be served less often than the other by urgentShortfall, as loads of some
	// seconds are uneven.
	urgentShortfall = 0.05
	// A team with minTeamRequests or more is served at least minTeamShare as often as all. One served
	// request less is allowed: of 10 requests a team that is served as often as all, by half, has fewer
	// than that allows in 1 of 1,000 cases, and without the allowance in 1 of 100.
	minTeamRequests = 10
	minTeamShare    = 0.25
	teamSlack       = 1
	// maxCutShare is the share of accepted streams that may be cut at their deadline.
	maxCutShare = 0.03
	// standardErrors is how many standard errors are added to a bound on shares of few requests. A system
	// that is just at the bound exceeds it by chance in 1 of 40 soaks.
	standardErrors = 2
)

// rate counts how many of some requests had an outcome.
type rate struct{ all, had int }

func (r *rate) add(had bool) {
	r.all++
	if had {
		r.had++
	}
}

func (r rate) share() float64 { return float64(r.had) / float64(max(r.all, 1)) }

func (r rate) String() string { return fmt.Sprintf("%d of %d", r.had, r.all) }

// overloadTally counts outcomes of requests to the overloaded service.
type overloadTally struct {
	urgent, other rate // served
	teams         []rate
	// cut counts the accepted streams whose instance and engines stood.
	cut rate
	// firstRefused and secondRefused count refusals of first attempts, and of second ones after a
	// Retry-After header.
	firstRefused, secondRefused rate
}

// add counts a request. stood reports whether nothing disrupted the instance and the engines of an attempt.
func (t *overloadTally) add(r *overloadRequest, stood func(*overloadAttempt) bool) {
	served := false
	for i := range r.attempts {
		a := &r.attempts[i]
		served = served || a.served()
		if a.accepted() && stood(a) {
			t.cut.add(a.cutAtDeadline())
		}
		if i == 0 {
			t.firstRefused.add(a.refused())
		} else if a.afterRetryAfter {
			t.secondRefused.add(a.refused())
		}
	}
	t.teams[r.team].add(served)
	if r.urgent {
		t.urgent.add(served)
	} else {
		t.other.add(served)
	}
}

// findings describes the bounds that were exceeded. The bounds of parts that are off are not checked.
func (t *overloadTally) findings(parts []string) []string {
	var out []string
	all := rate{t.urgent.all + t.other.all, t.urgent.had + t.other.had}
	if slices.Contains(parts, "ranks") && t.urgent.all > 0 && t.other.all > 0 {
		p := all.share()
		spread := standardErrors * math.Sqrt(p*(1-p)*(1/float64(t.urgent.all)+1/float64(t.other.all)))
		if t.urgent.share() < t.other.share()-urgentShortfall-spread {
			out = append(out, fmt.Sprintf("under overload %v urgent streams were served and %v others", t.urgent, t.other))
		}
	}
	if slices.Contains(parts, "shared_queue") {
		for i, team := range t.teams {
			if team.all >= minTeamRequests && float64(team.had+teamSlack) < minTeamShare*all.share()*float64(team.all) {
				out = append(out, fmt.Sprintf("under overload %v streams of %s were served, and %v of all teams", team, teamName(i), all))
			}
		}
	}
	if slices.Contains(parts, "deadlines") {
		n := float64(t.cut.all)
		if float64(t.cut.had) > maxCutShare*n+standardErrors*math.Sqrt(n*maxCutShare*(1-maxCutShare)) {
			out = append(out, fmt.Sprintf("under overload %v accepted streams were cut at their deadline", t.cut))
		}
	}
	return out
}

// checkOverload checks how the overloaded service was shared, and prints the counts.
func (s *soak) checkOverload() {
	if len(s.overload) == 0 {
		return
	}
	at := map[string][]workerRun{}
	for _, k := range s.env.workers {
		for _, r := range k.runs() {
			at[r.ID] = append(at[r.ID], r)
		}
	}
	t := overloadTally{teams: make([]rate, overloadTeams)}
	for _, r := range s.overload {
		t.add(r, func(a *overloadAttempt) bool {
			return s.env.disruptions.count(a.sent, a.ended, a.process) == 0 &&
				!slices.ContainsFunc(at[a.id], func(run workerRun) bool { return !s.endpointStood(&run, a.ended) })
		})
	}
	s.logf("overload: urgent served %v, others %v, teams %v, cut at their deadline %v, refused at first %v, refused after Retry-After %v",
		t.urgent, t.other, t.teams, t.cut, t.firstRefused, t.secondRefused)
	for _, f := range t.findings(s.OverloadParts) {
		s.addFinding("%s", f)
	}
}

package crashers

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateway/agateway/core/times"
)

// getOrCreate returns the entry of a request, creating it if needed. It evicts others to make room,
// and returns nil if that fails.
func (r *Registry) getOrCreate(now time.Time, req Subject) *entry {
	if e := r.entries[req]; e != nil {
		return e
	}
	r.expire(now)
	if r.teamSizes[req.Team] >= r.set.MaxPerTeam && !r.evict(now, req.Team) {
		return nil
	}
	if len(r.entries) >= r.set.MaxRequests && !r.evict(now, r.largestTeam()) {
		return nil
	}
	e := &entry{clearedAt: r.answered.last(req)}
	r.entries[req] = e
	r.teamSizes[req.Team]++
	return e
}

// expire drops entries that had no activity for the retention time and no trial in progress.
func (r *Registry) expire(now time.Time) {
	for req, e := range r.entries {
		if now.Sub(e.lastActivity()) >= r.set.Retention && !e.hasActiveTrial(now, "", false) {
			r.drop(req)
		}
	}
}

// lastActivity returns the time of the last crash, the last clearing or the expiry of the stop,
// whichever is latest.
func (e *entry) lastActivity() time.Time {
	at := times.Later(e.clearedAt, e.stop.Until)
	for i := range e.crashes {
		at = times.Later(at, e.crashes[i].At)
	}
	return at
}

func (r *Registry) drop(req Subject) {
	e := r.entries[req]
	if e == nil {
		return
	}
	for i := range e.crashes {
		r.unlinkEndpoint(req, &e.crashes[i])
	}
	delete(r.entries, req)
	if r.teamSizes[req.Team]--; r.teamSizes[req.Team] <= 0 {
		delete(r.teamSizes, req.Team)
	}
}

// largestTeam returns the team with the most requests in the registry; of equal ones, the first by
// name.
func (r *Registry) largestTeam() string {
	team, most := "", -1
	for t, n := range r.teamSizes {
		if n > most || n == most && t < team {
			team, most = t, n
		}
	}
	return team
}

// evict drops the least suspicious request of a team: the one with the lowest severity, then with
// the fewest crashes, then with the oldest activity. It returns false if the team has none.
func (r *Registry) evict(now time.Time, team string) bool {
	var all []Subject
	for req := range r.entries {
		if req.Team == team {
			all = append(all, req)
		}
	}
	if len(all) == 0 {
		return false
	}
	r.drop(slices.MinFunc(all, func(a, b Subject) int { return r.compare(now, a, b) }))
	return true
}

func (r *Registry) compare(now time.Time, a, b Subject) int {
	x, y := r.entries[a], r.entries[b]
	return cmp.Or(
		cmp.Compare(x.severity(now), y.severity(now)),
		cmp.Compare(len(x.crashes), len(y.crashes)),
		x.lastActivity().Compare(y.lastActivity()),
		slices.Compare(a.Content[:], b.Content[:]),
	)
}

// severity returns 0 for a request without crashes, 1 with crashes, 2 if it was stopped before, and
// 3 if it is stopped.
func (e *entry) severity(now time.Time) int {
	switch {
	case e.stopped(now):
		return 3
	case e.stop.Count > 0:
		return 2
	case len(e.crashes) > 0:
		return 1
	}
	return 0
}

// sortedByTime returns a copy of crashes ordered by time, then by endpoint.
func sortedByTime(ends []Crash) []Crash {
	out := slices.Clone(ends)
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint)) })
	return out
}

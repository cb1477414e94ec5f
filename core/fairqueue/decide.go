package fairqueue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// toleratedExcess is how much longer than the remaining time the expected wait of a request may become that has
	// been accepted, as a share. The rate varies by about a tenth with 100 placements in the window.
	toleratedExcess = 0.25
	// maxLateWait is the longest expected wait of a request that was late when it was reported first.
	maxLateWait = 2 * time.Second
	// minRetryIn and maxRetryIn bound the time after which the callers of refused requests may come back.
	minRetryIn = 400 * time.Millisecond
	maxRetryIn = 8 * time.Second
	// An instance is limited to one turn when it has had turns and placed nothing while at the usual rate
	// placementsPerTurn others are placed for each turn. It may not reach the engines, and would keep all turns in the
	// end. This happens to 1 in 50 of those that have one turn and the same chance as others.
	placementsPerTurn = 4
	minTurnTime       = time.Second
	maxTurnTime       = 4 * time.Second
	// usualRateDecay is how much of the highest rate counts a second later.
	usualRateDecay = 0.95
	// retrySpread is the part of that time over which they are spread in addition.
	retrySpread = 0.5
)

// Decide recomputes order, turns and refusals. It returns the instances whose [State] has changed since their last call of
// it. What an instance has reported itself is no change.
func (q *Queue) Decide(now time.Time) []string {
	q.rate.advance(now, q.waiting > 0)
	q.decide(now)
	q.sweep(now)
	var changed []string
	for name, in := range q.instances {
		if in.changed {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// decide drops requests that were not renewed, orders the others, gives turns to the first and refuses those that are
// not expected to start on time.
func (q *Queue) decide(now time.Time) {
	q.mergeAdded()
	q.expire(now)
	q.sort(now.UnixNano())
	turns, rate := q.turns(), q.rate.perSecond()
	q.usualRate = max(q.usualRate, rate)
	q.limitInstances(now, turns)
	kept, refused := 0, 0
	given, givenToLimited := 0, 0
	for _, e := range q.order {
		turn := given < turns
		if turn && e.owner.limited && q.waiting > turns {
			turn = e.owner.turns == 0 && givenToLimited < max(turns/2, 1)
		}
		if !mayWait(now, e, kept+1, turn, rate) {
			q.refuse(now, e, kept+1, refused, rate)
			refused++
			continue
		}
		kept++
		if turn {
			given++
			e.owner.turns++
			e.owner.turnAt = now
			if e.owner.limited {
				givenToLimited++
			}
		}
		e.position, e.turn = kept, turn
		if e.turn != e.toldTurn {
			e.owner.changed = true
		}
	}
}

// turns returns how many requests may look for room at the same time.
func (q *Queue) turns() int {
	if q.settings.EnginesPerTurn <= 0 {
		return q.settings.MinTurns
	}
	return max(q.settings.MinTurns, q.engines/q.settings.EnginesPerTurn)
}

// limitInstances limits the turns of instances that have placed nothing with theirs for a while, until they place a
// request or have had no turn for as long. All limited ones together get half of the turns.
func (q *Queue) limitInstances(now time.Time, turns int) {
	limit := maxTurnTime
	if q.usualRate > 0 {
		limit = min(max(expectedWait(placementsPerTurn*turns, q.usualRate), minTurnTime), maxTurnTime)
	}
	for _, in := range q.instances {
		if in.turns == 0 && (!in.limited || now.Sub(in.turnAt) >= limit) {
			in.progressAt = now
		}
		in.limited = now.Sub(in.progressAt) >= limit
		in.turns = 0
	}
}

// mayWait reports whether a request may wait at a position in the order.
func mayWait(now time.Time, e *entry, position int, turn bool, rate float64) bool {
	remaining := time.Duration(e.latest - now.UnixNano())
	switch {
	case e.arrivedLate:
		remaining = maxLateWait
	case remaining < 0:
		return false
	}
	if position > maxEntries {
		return false
	}
	if turn || rate <= 0 {
		return true
	}
	if e.position > 0 {
		remaining += time.Duration(toleratedExcess * float64(remaining))
	}
	return expectedWait(position, rate) <= remaining
}

// refuse refuses a request. refusedBefore is how many before it in the order were refused at the same time: they come
// back before it.
func (q *Queue) refuse(now time.Time, e *entry, position, refusedBefore int, rate float64) {
	q.remove(e)
	q.rememberRefused(now, e)
	in := e.owner
	if len(in.refusedEntries) < maxRefusedEntries {
		in.refusedEntries[e.ID] = e
	}
	if len(in.refused) >= maxEntries {
		in.refused = in.refused[1:]
	}
	in.refused = append(in.refused, Refusal{
		ID: e.ID, Position: position, Level: e.Level, Team: e.Team,
		Expected: expectedWait(position, rate),
		RetryIn:  retryIn(expectedWait(position+refusedBefore, rate), position, q.refusals),
	})
	in.changed = true
	q.refusals++
}

// retryIn returns when the caller of a refused request may come back. Callers that are refused one after the other at
// the same or a similar position get times that are far apart within the spread.
func retryIn(expected time.Duration, position, refusals int) time.Duration {
	longest := maxRetryIn.Seconds() / (1 + retrySpread)
	base := min(max(expected, minRetryIn).Seconds(), longest)
	// Multiples of an irrational number are evenly distributed modulo 1; two of them keep sums apart.
	_, part := math.Modf(float64(position)*math.Phi + float64(refusals)*math.Sqrt2)
	return time.Duration(base * (1 + retrySpread*part) * float64(time.Second))
}

// mergeAdded moves the added entries into byLatest and takes out those that are gone.
func (q *Queue) mergeAdded() {
	q.added = slices.DeleteFunc(q.added, func(e *entry) bool { return e.gone })
	slices.SortFunc(q.added, compareLatest)
	merged, added := q.order[:0], q.added
	for _, e := range q.byLatest {
		if e.gone {
			continue
		}
		for len(added) > 0 && compareLatest(added[0], e) < 0 {
			merged, added = append(merged, added[0]), added[1:]
		}
		merged = append(merged, e)
	}
	merged = append(merged, added...)
	clear(q.added)
	clear(q.byLatest) // so that entries that are gone can be freed
	q.byLatest, q.order, q.added = merged, q.byLatest[:0], q.added[:0]
}

// compareLatest orders by the latest useful start of the first attempt, and then so that the order is the same at any owner.
func compareLatest(a, b *entry) int {
	if a.due != b.due {
		return cmp.Compare(a.due, b.due)
	}
	if a.since != b.since {
		return cmp.Compare(a.since, b.since)
	}
	if a.ID != b.ID {
		return cmp.Compare(a.ID, b.ID)
	}
	return strings.Compare(a.instance, b.instance)
}

// expire removes the requests that were not renewed within the TTL.
func (q *Queue) expire(now time.Time) {
	q.byLatest = slices.DeleteFunc(q.byLatest, func(e *entry) bool {
		if now.Sub(e.renewedAt) < q.settings.TTL {
			return false
		}
		q.remove(e)
		return true
	})
}

// sortKey is what the requests of a group are sorted by.
type sortKey struct {
	start float64 // the counter of the team when the request's turn comes
	index int     // in the order of the latest start
}

// groups is the number of groups that are ordered one after the other: the levels, and those of late requests.
const groups = 2 * (maxLevel + 1)

// groupOf returns the group of a request.
func groupOf(e *entry, now int64) int {
	if e.latest < now {
		return e.Level + maxLevel + 1
	}
	return e.Level
}

// sort sets order. The requests of a group are interleaved by what the counter of their team will be when all its
// requests before them have been placed.
func (q *Queue) sort(now int64) {
	q.shares.lift(q.byLatest, now)
	var ends [groups]int
	for _, e := range q.byLatest {
		ends[groupOf(e, now)]++
	}
	for g := 1; g < groups; g++ {
		ends[g] += ends[g-1]
	}
	q.sorting = slices.Grow(q.sorting[:0], len(q.byLatest))[:len(q.byLatest)]
	next := ends
	for i := len(q.byLatest) - 1; i >= 0; i-- {
		g := groupOf(q.byLatest[i], now)
		next[g]--
		q.sorting[next[g]].index = i
	}
	for i := range q.sorting {
		e := q.byLatest[q.sorting[i].index]
		q.sorting[i].start = e.team.counters[e.Level] + e.team.ahead/e.team.weight
		e.team.ahead += float64(e.Tokens)
	}
	for g, end := range ends {
		slices.SortFunc(q.sorting[next[g]:end], func(a, b sortKey) int {
			if a.start != b.start {
				return cmp.Compare(a.start, b.start)
			}
			return a.index - b.index
		})
	}
	q.order = q.order[:0]
	for _, key := range q.sorting {
		q.order = append(q.order, q.byLatest[key.index])
	}
}

// sweep forgets teams and instances that have not been used for a while.
func (q *Queue) sweep(now time.Time) {
	if now.Sub(q.sweptAt) < sweepInterval {
		return
	}
	if !q.sweptAt.IsZero() {
		q.decayServed(now.Sub(q.sweptAt))
		q.usualRate *= usualRateDecay
	}
	q.sweptAt = now
	q.forgetTeams(now)
	q.forgetRefused(now)
	for name, in := range q.instances {
		maps.DeleteFunc(in.refusedEntries, func(_ uint64, e *entry) bool { return now.Sub(e.renewedAt) >= sweepInterval })
		if len(in.entries) > 0 {
			continue
		}
		if now.Sub(in.reportedAt) >= q.settings.TTL {
			in.refused, in.changed = nil, false
		}
		if now.Sub(in.reportedAt) >= forgetAfter {
			delete(q.instances, name)
		}
	}
}

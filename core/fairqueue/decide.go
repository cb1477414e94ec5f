package fairqueue

import (
	"cmp"
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
	kept, refused := 0, 0
	for _, e := range q.order {
		turn := kept < turns
		if !mayWait(now, e, kept+1, turn, rate) {
			q.refuse(e, kept+1, refused, rate)
			refused++
			continue
		}
		kept++
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
func (q *Queue) refuse(e *entry, position, refusedBefore int, rate float64) {
	q.remove(e)
	in := e.owner
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

// compareLatest orders by the latest useful start, and then so that the order is the same at any owner.
func compareLatest(a, b *entry) int {
	if a.latest != b.latest {
		return cmp.Compare(a.latest, b.latest)
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

// sortKey is what requests are sorted by.
type sortKey struct {
	group int     // the level; those of late requests come after all others
	start float64 // the counter of the team when the request's turn comes
	index int     // in the order of the latest start
}

// sort sets order. The requests of a group are interleaved by what the counter of their team will be when all its
// requests before them have been placed.
func (q *Queue) sort(now int64) {
	q.shares.lift(q.byLatest, now)
	q.sorting = q.sorting[:0]
	for i, e := range q.byLatest {
		group := e.Level
		if e.latest < now {
			group += maxLevel + 1
		}
		q.sorting = append(q.sorting, sortKey{group: group, index: i})
	}
	slices.SortFunc(q.sorting, func(a, b sortKey) int {
		if a.group != b.group {
			return a.group - b.group
		}
		return a.index - b.index
	})
	for i := range q.sorting {
		key := &q.sorting[i]
		e := q.byLatest[key.index]
		key.start = e.team.counters[e.Level] + e.team.ahead/e.team.weight
		e.team.ahead += float64(e.Tokens)
	}
	slices.SortFunc(q.sorting, func(a, b sortKey) int {
		if a.group != b.group {
			return a.group - b.group
		}
		if a.start != b.start {
			return cmp.Compare(a.start, b.start)
		}
		return a.index - b.index
	})
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
	}
	q.sweptAt = now
	q.forgetTeams(now)
	for name, in := range q.instances {
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

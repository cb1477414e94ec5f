package fairqueue

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxLevel is the least urgent level.
	maxLevel = 9
	// maxEntries bounds the waiting requests; an entry takes about 250 bytes. The last ones in the order are refused
	// when there are more. The engines of a queue take some 80 requests a second, so that more could not start on
	// time, and a decision among 4096 takes 1 ms. At twice the design size the bound is reached only if all requests
	// are streams, 900 a second in a queue, and engines take none for 4.5 s.
	maxEntries = 4096
	// entrySlack is how many more requests are held between two decisions, so that a burst of reports does not order
	// all requests for each of them.
	entrySlack = 1024
	// maxTeams bounds the teams whose counters are kept; a team takes about 250 bytes. Seven eighths of it are above the
	// 19,000 teams of the design, all of which may use one queue within forgetAfter: a team whose counter is forgotten
	// earlier starts at the smallest one again. With 8192, that happened after 10 s. It is also above
	// maxEntries+entrySlack, since a team that waits is not forgotten.
	maxTeams = 24_576
	// maxRefusedEntries bounds the refused requests that are kept for an instance.
	maxRefusedEntries = 64
	// forgetAfter is how long teams and instances without use are remembered.
	forgetAfter = 30 * time.Second
	// sweepInterval is how often the unused ones are looked for.
	sweepInterval = time.Second
	// maxHorizon bounds how far times of a request are from its first report, so that differences do not overflow.
	maxHorizon = time.Hour
	// maxTokens bounds the work of a request, so that a wrong value does not exclude a team for good.
	maxTokens = 10_000_000
)

// Queue holds the waiting requests of a service. It keeps at most maxEntries requests and maxTeams teams.
type Queue struct {
	settings  Settings
	engines   int
	weights   map[string]float64
	instances map[string]*instance
	teams     map[string]*team
	// waiting is the number of entries that are not gone.
	waiting int
	// byLatest holds the entries of the last decision in the order of their latest start, and added those reported
	// since. Both may contain entries that are gone.
	byLatest, added []*entry
	rate            rateMeter
	// usualRate is the highest rate of the last time.
	usualRate float64
	shares    shares
	// refusals counts all refusals. It spreads the times at which their callers return.
	refusals int
	sweptAt  time.Time
	// refusedPrompts are the prompts of refused requests whose callers may return.
	refusedPrompts map[promptKey]refusedPrompt

	order   []*entry // scratch space of a decision
	sorting []sortKey
}

// instance is what is known of the requests of an instance.
type instance struct {
	// replaced is the process before the current one; its delayed reports are ignored.
	process, replaced uint64
	sequence          uint64
	reportedAt        time.Time
	entries           map[uint64]*entry
	refused           []Refusal
	// unknown are renewed requests that are not held.
	unknown []uint64
	// refusedEntries are refused requests, for up to a second. One of them may have been placed when it was refused.
	refusedEntries map[uint64]*entry
	// turns is how many of its requests have got a turn at the last decision.
	turns int
	// progressAt is when a request of it was placed last, or when it had no turn. turnAt is when it had one last.
	progressAt, turnAt time.Time
	// limited says that it gets at most one turn, since it has placed nothing with those it had.
	limited bool
	// changed says that the outcome of the last decision has not been sent to the instance.
	changed bool
}

// entry is a waiting request.
type entry struct {
	Request
	team      *team
	instance  string
	owner     *instance
	renewedAt time.Time
	// latest and since are the times of the request in nanoseconds since the Unix epoch. due is what it is ordered by
	// within its team: latest, or that of the first attempt of a caller who has returned after a refusal.
	latest, since, due int64
	// arrivedLate says that the request could no longer be on time when it was reported first.
	arrivedLate bool
	// position is the position in the order at the last decision; 0 before the first.
	position int
	turn     bool
	// toldTurn is the turn as the instance knows it.
	toldTurn bool
	gone     bool
}

// New returns an empty queue.
func New(s Settings) *Queue {
	return &Queue{
		settings: s, instances: map[string]*instance{}, teams: map[string]*team{}, refusedPrompts: map[promptKey]refusedPrompt{},
		rate: rateMeter{width: max(s.RateWindow/rateBuckets, 1)},
	}
}

// SetEngines sets the number of engines of the service.
func (q *Queue) SetEngines(n int) { q.engines = n }

// SetWeights sets the weights of teams. It is 1 for those that are not named. Weights count from the next placement on.
func (q *Queue) SetWeights(byTeam map[string]float64) {
	q.weights = byTeam
	for _, t := range q.teams {
		t.weight = weightOf(byTeam, t.name)
	}
}

// Report takes a report of an instance. It ignores one that is not newer than the last one of the process. A new process
// replaces the one before with its requests.
func (q *Queue) Report(now time.Time, r Report) {
	q.rate.advance(now, q.waiting > 0)
	in := q.accept(r)
	if in == nil {
		return
	}
	q.rate.reportedAt = now
	in.sequence, in.reportedAt = r.Sequence, now
	for _, w := range r.Waiting {
		q.renew(now, r.Instance, in, w)
	}
	for _, id := range r.Renewed {
		if e := in.entries[id]; e != nil {
			e.renewedAt = now
		} else if len(in.unknown) < maxEntries {
			in.unknown = append(in.unknown, id)
		}
	}
	for _, id := range r.Placed {
		e := in.entries[id]
		if e != nil {
			q.remove(e)
		} else if e = in.refusedEntries[id]; e == nil {
			continue
		}
		delete(in.refusedEntries, id)
		delete(q.refusedPrompts, e.promptKey())
		q.shares.charge(e.team, e.Tokens)
		q.rate.count()
		in.progressAt = now
	}
	for _, id := range r.Left {
		if e := in.entries[id]; e != nil {
			q.remove(e)
		}
	}
}

// accept returns the instance of a report, or nil if the report is to be ignored.
func (q *Queue) accept(r Report) *instance {
	in := q.instances[r.Instance]
	switch {
	case in == nil:
		in = &instance{process: r.Process, entries: map[uint64]*entry{}, refusedEntries: map[uint64]*entry{}}
		q.instances[r.Instance] = in
	case in.process == r.Process:
		if r.Sequence <= in.sequence {
			return nil
		}
	case in.replaced == r.Process:
		return nil
	default:
		q.clear(in)
		in.process, in.replaced = r.Process, in.process
	}
	return in
}

// renew adds a request or renews it. The delay of a report makes its times later than they are, so the earliest ones
// that were reported count.
func (q *Queue) renew(now time.Time, name string, in *instance, w Request) {
	latest, since := clampedNanos(now, w.Latest), clampedNanos(now, w.Since)
	known := in.entries[w.ID]
	if known != nil {
		known.renewedAt = now
		if latest >= known.latest && since >= known.since {
			return
		}
		// Its place among the others changes: a copy replaces it.
		e := *known
		e.latest, e.since = min(latest, e.latest), min(since, e.since)
		e.due = min(e.due, e.latest)
		known.gone = true
		in.entries[w.ID] = &e
		q.added = append(q.added, &e)
		return
	}
	w.Level = min(max(w.Level, 0), maxLevel)
	w.Tokens = min(max(w.Tokens, 1), maxTokens)
	e := &entry{
		Request: w, team: q.teamNamed(now, w.Team), instance: name, owner: in, renewedAt: now,
		latest: latest, since: since, due: latest, arrivedLate: latest < now.UnixNano(),
	}
	q.recognize(now, e)
	e.team.waiting++
	q.shares.ask(e.team)
	in.entries[w.ID] = e
	q.added = append(q.added, e)
	if q.waiting++; q.waiting >= maxEntries+entrySlack {
		q.decide(now)
	}
}

// clampedNanos returns a time in nanoseconds since the Unix epoch, at most maxHorizon away from now.
func clampedNanos(now, t time.Time) int64 {
	return now.UnixNano() + int64(min(max(t.Sub(now), -maxHorizon), maxHorizon))
}

// remove takes an entry out of the queue.
func (q *Queue) remove(e *entry) {
	delete(e.owner.entries, e.ID)
	e.gone = true
	e.team.waiting--
	q.waiting--
}

// clear removes the requests of an instance, and the refusals that have not been sent to it.
func (q *Queue) clear(in *instance) {
	for _, e := range in.entries {
		q.remove(e)
	}
	in.refused, in.unknown, in.changed = nil, nil, false
	clear(in.refusedEntries)
	in.turns, in.limited = 0, false
}

// Drop removes the requests of an instance. Reports that it sent before are still ignored when they arrive late.
func (q *Queue) Drop(instance string) {
	if in := q.instances[instance]; in != nil {
		q.clear(in)
	}
}

// State returns what an instance has to know, as of the last decision. Each refusal is returned once; the request is gone
// from the queue.
func (q *Queue) State(now time.Time, instance string) State {
	in := q.instances[instance]
	if in == nil {
		return State{}
	}
	rate := q.Rate(now)
	var turns []*entry
	last := 0
	for _, e := range in.entries {
		e.toldTurn = e.turn
		if e.turn {
			turns = append(turns, e)
		} else {
			last = max(last, e.position)
		}
	}
	slices.SortFunc(turns, func(a, b *entry) int { return a.position - b.position })
	s := State{Refused: in.refused, Unknown: in.unknown, Expected: expectedWait(last, rate)}
	for _, e := range turns {
		s.Turns = append(s.Turns, e.ID)
	}
	in.refused, in.unknown, in.changed = nil, nil, false
	return s
}

// Uses returns what each team has used and waits for, by team and level.
func (q *Queue) Uses() []TeamUse {
	type key struct {
		team  *team
		level int
	}
	waiting := map[key]int{}
	for _, in := range q.instances {
		for _, e := range in.entries {
			waiting[key{e.team, e.Level}]++
		}
	}
	uses := make([]TeamUse, 0, len(q.teams))
	for k, n := range waiting {
		uses = append(uses, TeamUse{Team: k.team.name, Level: k.level, Waiting: n, Tokens: k.team.used})
	}
	for _, t := range q.teams {
		if t.waiting == 0 {
			uses = append(uses, TeamUse{Team: t.name, Level: -1, Tokens: t.used})
		}
	}
	slices.SortFunc(uses, func(a, b TeamUse) int {
		if c := strings.Compare(a.Team, b.Team); c != 0 {
			return c
		}
		return a.Level - b.Level
	})
	return uses
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Rate returns the placements per second while requests wait, over the last RateWindow; 0 if there were too few to tell.
func (q *Queue) Rate(now time.Time) float64 {
	q.rate.advance(now, q.waiting > 0)
	return q.rate.perSecond()
}

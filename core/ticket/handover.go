package ticket

import "time"

// Remembered is one entry of a table, to be handed over.
type Remembered struct {
	ID      ID
	Request uint64
	Answer  Answer
	Outcome Outcome
	Expires time.Time
}

// Close ends the table's right to run calls, and returns what it remembers. After it
// [Table.Begin] answers as [Table.Ask] does. Entries that still run are handed over as
// Unknown.
func (t *Table) Close() (last ID, all []Remembered) {
	t.closed = true
	for _, e := range t.entries {
		a := e.answer
		if a == Running {
			a = Unknown
		}
		all = append(all, Remembered{e.id, e.request, a, e.outcome, e.expires})
	}
	return t.nextID, all
}

// Inherit returns a closed table that answers for a process that has left: for what it
// remembered, and not run for all else that it minted.
func Inherit(last ID, all []Remembered, entries int, ttl time.Duration) *Table {
	t := NewTable(entries, 0, ttl)
	t.nextID, t.closed = last, true
	for _, r := range all {
		t.add(&entry{id: r.ID, request: r.Request, answer: r.Answer, outcome: r.Outcome, expires: r.Expires})
	}
	return t
}

package ticket

import "time"

// Record is one entry of a table that is handed over to another instance.
type Record struct {
	ID      ID
	Request uint64
	Answer  Answer
	Outcome Outcome
	Expires time.Time
}

// Close ends the table's right to run calls. It returns the last ticket that was minted and the
// table's entries; calls that are still running are returned as [Unknown]. After Close,
// [Table.Begin] answers like [Table.Ask].
func (t *Table) Close() (last ID, records []Record) {
	t.closed = true
	for _, e := range t.entries {
		a := e.answer
		if a == Running {
			a = Unknown
		}
		records = append(records, Record{e.id, e.request, a, e.outcome, e.expires})
	}
	return t.lastID, records
}

// Inherit returns a closed table that answers for a process that has left. It answers with the
// outcomes in records, and with [NotRun] for all other tickets up to last. maxEntries bounds the
// entries and ttl is how long tickets live.
func Inherit(last ID, records []Record, maxEntries int, ttl time.Duration) *Table {
	t := NewTable(maxEntries, 0, ttl)
	t.lastID, t.closed = last, true
	for _, r := range records {
		t.add(&entry{id: r.ID, request: r.Request, answer: r.Answer, outcome: r.Outcome, expires: r.Expires})
	}
	return t
}

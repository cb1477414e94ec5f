package ticket

import (
	"container/heap"
	"time"
)

// ID is a ticket's number, unique within the process that minted it.
type ID uint64

// Answer is what a table answers about a ticket.
type Answer int

// Answers of a table.
const (
	// Run means that the caller of [Table.Begin] has to run the call now.
	Run Answer = iota
	// Running means that the call was begun and has not ended.
	Running
	// Ran means that the call ended; its outcome is returned along.
	Ran
	// NotRun means that the call did not run and never will.
	NotRun
	// Expired means that the ticket is too old, so that its outcome is no longer known, or that it
	// was not minted here.
	Expired
	// Full means that the table has no room for the call, so that it was not begun.
	Full
	// Unknown means that the call may have run: its endpoint's answer was lost.
	Unknown
	// Mismatch means that the ticket was used for another request.
	Mismatch
)

// Outcome is the answer of a call, kept for callers that ask again.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
}

type entry struct {
	id      ID
	request uint64 // hash of the request
	answer  Answer
	outcome Outcome
	expires time.Time
}

// Table holds the states and outcomes of the tickets of one process.
type Table struct {
	entries         map[ID]*entry
	expiry          expiryHeap
	maxEntries      int
	outcomeBytes    int
	maxOutcomeBytes int
	lastID          ID
	ttl             time.Duration
	closed          bool // no call may begin any more
}

// NewTable returns a table that holds at most maxEntries calls and begins no call once it holds
// maxOutcomeBytes of outcomes. Its tickets live for ttl.
func NewTable(maxEntries, maxOutcomeBytes int, ttl time.Duration) *Table {
	return &Table{entries: map[ID]*entry{}, maxEntries: maxEntries, maxOutcomeBytes: maxOutcomeBytes, ttl: ttl}
}

// Mint returns a new ticket and when it expires. It adds no entry to the table.
func (t *Table) Mint(now time.Time) (ID, time.Time) {
	t.lastID++
	return t.lastID, now.Add(t.ttl)
}

// TTL returns how long a ticket lives.
func (t *Table) TTL() time.Duration { return t.ttl }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Begin asks to run a call under a ticket that expires at expires. request is the hash of the
// request. If the answer is [Run], the caller runs the call and reports its end with [Table.End],
// [Table.EndNotRun] or [Table.EndUnknown].
func (t *Table) Begin(now time.Time, id ID, expires time.Time, request uint64) (Answer, Outcome) {
	t.dropExpired(now)
	if e := t.entries[id]; e != nil {
		if e.answer != NotRun && e.request != request {
			return Mismatch, Outcome{}
		}
		return e.answer, e.outcome
	}
	if t.closed {
		return t.Ask(now, id, expires)
	}
	if !t.mintedAndUnexpired(now, id, expires) {
		return Expired, Outcome{}
	}
	if len(t.entries) >= t.maxEntries || t.outcomeBytes >= t.maxOutcomeBytes {
		return Full, Outcome{}
	}
	t.add(&entry{id: id, request: request, answer: Running, expires: expires})
	return Run, Outcome{}
}

// Ask returns the state of a ticket without running a call. A ticket without an entry gets a
// tombstone, so that the answer [NotRun] stays true. Without room for a tombstone the answer is
// [Unknown].
func (t *Table) Ask(now time.Time, id ID, expires time.Time) (Answer, Outcome) {
	t.dropExpired(now)
	if e := t.entries[id]; e != nil {
		return e.answer, e.outcome
	}
	if !t.mintedAndUnexpired(now, id, expires) {
		return Expired, Outcome{}
	}
	if len(t.entries) >= 2*t.maxEntries {
		return Unknown, Outcome{}
	}
	t.add(&entry{id: id, answer: NotRun, expires: expires})
	return NotRun, Outcome{}
}

// End records the outcome of a call.
func (t *Table) End(id ID, o Outcome) {
	if e := t.entries[id]; e != nil && e.answer == Running {
		e.answer, e.outcome = Ran, o
		t.outcomeBytes += len(o.Body)
	}
}

// EndNotRun records that a call that was begun certainly did not run.
func (t *Table) EndNotRun(id ID) { t.endAs(id, NotRun) }

// EndUnknown records that the answer of a call was lost.
func (t *Table) EndUnknown(id ID) { t.endAs(id, Unknown) }

func (t *Table) endAs(id ID, a Answer) {
	if e := t.entries[id]; e != nil && e.answer == Running {
		e.answer = a
	}
}

// mintedAndUnexpired reports whether a ticket can have been minted here and has not expired. An
// expiry beyond the time to live was not set by Mint.
func (t *Table) mintedAndUnexpired(now time.Time, id ID, expires time.Time) bool {
	return id > 0 && id <= t.lastID && now.Before(expires) && !expires.After(now.Add(t.ttl))
}

func (t *Table) add(e *entry) {
	t.entries[e.id] = e
	heap.Push(&t.expiry, e)
}

// dropExpired drops the entries that have expired. One that is still running is kept for another
// time to live.
func (t *Table) dropExpired(now time.Time) {
	for len(t.expiry) > 0 && !now.Before(t.expiry[0].expires) {
		e := heap.Pop(&t.expiry).(*entry)
		if e.answer == Running {
			e.expires = now.Add(t.ttl)
			heap.Push(&t.expiry, e)
			return
		}
		t.outcomeBytes -= len(e.outcome.Body)
		delete(t.entries, e.id)
	}
}

// expiryHeap orders entries by expiry, the earliest first.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

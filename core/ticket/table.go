package ticket

import (
	"container/heap"
	"time"
)

// ID is a ticket's number, unique within its owner's incarnation.
type ID uint64

// Answer is what a table says of a ticket.
type Answer int

// Answers of a table.
const (
	// Run: the caller of Begin has to run the call, now.
	Run Answer = iota
	// Running: it was begun, and has not ended.
	Running
	// Ran: it ended; the outcome goes along.
	Ran
	// NotRun: it did not run, and never will.
	NotRun
	// Expired: the ticket is too old; whether it ran is not known any more.
	Expired
	// Full: there is no room to remember the call, so it was not begun.
	Full
	// Unknown: the call may have run; its endpoint's answer was lost.
	Unknown
	// Mismatch: the ticket was used for another request.
	Mismatch
)

// Outcome is what a call answered, kept for callers that ask again.
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

// Table holds what became of one incarnation's tickets.
type Table struct {
	entries map[ID]*entry
	expiry  expiryHeap
	most    int
	bytes   int
	budget  int
	nextID  ID
	ttl     time.Duration
	closed  bool // handed over: nothing may run any more
}

// NewTable returns a table that remembers at most entries calls and budget bytes of
// outcomes, and whose tickets live for ttl.
func NewTable(entries, budget int, ttl time.Duration) *Table {
	return &Table{entries: map[ID]*entry{}, most: entries, budget: budget, ttl: ttl}
}

// Mint returns a new ticket and when it expires. Minting takes no memory.
func (t *Table) Mint(now time.Time) (ID, time.Time) {
	t.nextID++
	return t.nextID, now.Add(t.ttl)
}

// TTL returns how long a ticket lives.
func (t *Table) TTL() time.Duration { return t.ttl }

// Len returns how many tickets are remembered.
func (t *Table) Len() int { return len(t.entries) }

// Begin asks to run a call under a ticket that expires at expires.
func (t *Table) Begin(now time.Time, id ID, expires time.Time, request uint64) (Answer, Outcome) {
	t.forget(now)
	if e := t.entries[id]; e != nil {
		if e.answer != NotRun && e.request != request {
			return Mismatch, Outcome{}
		}
		return e.answer, e.outcome
	}
	if t.closed {
		return t.Ask(now, id, expires)
	}
	if !t.valid(now, id, expires) {
		return Expired, Outcome{}
	}
	if len(t.entries) >= t.most || t.bytes >= t.budget {
		return Full, Outcome{}
	}
	t.add(&entry{id: id, request: request, answer: Running, expires: expires})
	return Run, Outcome{}
}

// Ask tells what became of a ticket. A ticket never seen gets a tombstone, so that the
// answer not run stays true; without room for one the answer is Unknown.
func (t *Table) Ask(now time.Time, id ID, expires time.Time) (Answer, Outcome) {
	t.forget(now)
	if e := t.entries[id]; e != nil {
		return e.answer, e.outcome
	}
	if !t.valid(now, id, expires) {
		return Expired, Outcome{}
	}
	if len(t.entries) >= 2*t.most {
		return Unknown, Outcome{}
	}
	t.add(&entry{id: id, answer: NotRun, expires: expires})
	return NotRun, Outcome{}
}

// End records what a call answered.
func (t *Table) End(id ID, o Outcome) {
	if e := t.entries[id]; e != nil && e.answer == Running {
		e.answer, e.outcome = Ran, o
		t.bytes += len(o.Body)
	}
}

// EndNotRun records that a call that was begun certainly did not run.
func (t *Table) EndNotRun(id ID) { t.end(id, NotRun) }

// EndUnknown records that the answer of a call was lost.
func (t *Table) EndUnknown(id ID) { t.end(id, Unknown) }

func (t *Table) end(id ID, a Answer) {
	if e := t.entries[id]; e != nil && e.answer == Running {
		e.answer = a
	}
}

// valid tells whether a ticket can have been minted here and has not expired.
func (t *Table) valid(now time.Time, id ID, expires time.Time) bool {
	return id > 0 && id <= t.nextID && now.Before(expires) && !expires.After(now.Add(t.ttl))
}

func (t *Table) add(e *entry) {
	t.entries[e.id] = e
	heap.Push(&t.expiry, e)
}

// forget drops the tickets that have expired. One that still runs is kept.
func (t *Table) forget(now time.Time) {
	for len(t.expiry) > 0 && !now.Before(t.expiry[0].expires) {
		e := heap.Pop(&t.expiry).(*entry)
		if e.answer == Running {
			e.expires = now.Add(t.ttl)
			heap.Push(&t.expiry, e)
			return
		}
		t.bytes -= len(e.outcome.Body)
		delete(t.entries, e.id)
	}
}

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

package shedding

import (
	"cmp"
	"slices"
	"time"
)

// Settings bounds a [Budget].
type Settings struct {
	// Bytes bounds the sum of what all holders hold, Connections their number.
	Bytes       int64
	Connections int
}

// overshootDivisor sets how far the sum and the number may exceed the bounds while connections are being closed:
// by 1/overshootDivisor.
const overshootDivisor = 4

// batchDivisor sets how much room is made at once: 1/batchDivisor of the bounds beside what is needed. Each time
// all holders are compared.
const batchDivisor = 32

// Kind says what bytes are held for.
type Kind int

// Kinds of bytes.
const (
	Connection Kind = iota
	Head
	Body
	Answer
	Kinds // the number of kinds
)

// String returns the name of a kind for metrics and logs.
func (k Kind) String() string {
	return [Kinds]string{Connection: "connection", Head: "head", Body: "body", Answer: "answer"}[k]
}

// State is what a connection does.
type State int

// States of a connection. It may be closed for lack of room in all but Serving.
const (
	Idle      State = iota // no byte of a request has arrived
	Receiving              // a request has not arrived completely
	Serving                // a request is being served
	Sending                // the caller does not take its answer
)

// Holder is the account of a connection.
type Holder struct {
	held  [Kinds]int64
	total int64
	state State
	since time.Time // when state began
	shed  bool
	index int // in Budget.holders
}

// Shed reports whether the connection is to be closed.
func (h *Holder) Shed() bool { return h.shed }

// State returns what the connection does.
func (h *Holder) State() State { return h.state }

// Held returns the bytes that are held for a kind.
func (h *Holder) Held(k Kind) int64 { return h.held[k] }

// weight orders the connections to be closed: the product of what a connection has held and for how long.
func (h *Holder) weight(now time.Time) float64 {
	return float64(h.total) * now.Sub(h.since).Seconds()
}

// Budget is the sum over all holders.
type Budget struct {
	settings Settings
	holders  []*Holder
	held     [Kinds]int64
	total    int64 // of all holders
	shed     int64 // of the holders that are being closed
	closing  int   // number of holders that are being closed
}

// New returns an empty budget.
func New(s Settings) *Budget { return &Budget{settings: s} }

// Usage is what a budget holds.
type Usage struct {
	Held        [Kinds]int64
	Connections int
	Settings
}

// Usage returns what the budget holds.
func (b *Budget) Usage() Usage {
	return Usage{Held: b.held, Connections: len(b.holders), Settings: b.settings}
}

// Open adds a connection, for which cost bytes are held. It returns nil if there is no room, and the holders whose
// connections are to be closed.
func (b *Budget) Open(now time.Time, cost int64) (h *Holder, shed []*Holder) {
	h = &Holder{since: now}
	if !b.fitsConnection() {
		shed = b.closeConnections(now)
	}
	if !b.fitsConnection() {
		return nil, shed
	}
	h.index = len(b.holders)
	b.holders = append(b.holders, h)
	more, ok := b.Reserve(now, h, Connection, cost)
	if !ok {
		b.Close(h)
		return nil, append(shed, more...)
	}
	return h, append(shed, more...)
}

// fitsConnection reports whether one more connection is within the bounds.
func (b *Budget) fitsConnection() bool {
	limit := b.settings.Connections
	return b.connectionsLeft(0) >= 1 && len(b.holders) < limit+limit/overshootDivisor
}

// connectionsLeft returns how many more connections are within the bound once those that are being closed, and
// further ones, are closed.
func (b *Budget) connectionsLeft(further int) int {
	return b.settings.Connections - (len(b.holders) - b.closing - further)
}

// closeConnections sheds connections until there is room for some more.
func (b *Budget) closeConnections(now time.Time) []*Holder {
	spare := 1 + b.settings.Connections/batchDivisor
	return b.closeUntil(now, nil,
		func(_ int64, n int) bool { return b.connectionsLeft(n) >= spare },
		func(_ int64, n int) bool { return b.connectionsLeft(n) >= 1 })
}

// Reserve adds n bytes to what a holder holds. It returns false if there is no room, or if the holder's connection is
// to be closed, and the holders whose connections are to be closed.
func (b *Budget) Reserve(now time.Time, h *Holder, k Kind, n int64) (shed []*Holder, ok bool) {
	if h.shed {
		return nil, false
	}
	if !b.fits(h, n) {
		shed = b.makeRoom(now, h, n)
	}
	if !b.fits(h, n) {
		return shed, false
	}
	b.add(h, k, n)
	return shed, true
}

// Charge adds n bytes to what a holder holds whether or not there is room. It returns the holders whose
// connections are to be closed to make up for it.
func (b *Budget) Charge(now time.Time, h *Holder, k Kind, n int64) (shed []*Holder) {
	if !h.shed && !b.fits(h, n) {
		shed = b.makeRoom(now, h, n)
	}
	b.add(h, k, n)
	return shed
}

// Exceeded reports whether the sum of the holders that are not being closed is beyond the bound, which only [Budget.Charge]
// brings about.
func (b *Budget) Exceeded() bool { return b.total-b.shed > b.settings.Bytes }

// Relieve returns the holders whose connections are to be closed so that the sum is within the bound, or all that may
// be closed.
func (b *Budget) Relieve(now time.Time) []*Holder {
	return b.closeUntil(now, nil,
		func(freed int64, _ int) bool { return b.total-b.shed-freed <= b.settings.Bytes },
		func(int64, int) bool { return true })
}

// fits reports whether n more bytes for a holder are within the bounds.
func (b *Budget) fits(h *Holder, n int64) bool {
	limit := b.settings.Bytes
	return b.fitsAfter(h, n, 0) && b.total+n <= limit+limit/overshootDivisor
}

// fitsAfter reports whether n more bytes for a holder leave as much for others as it then holds, once freed more
// bytes are closed.
func (b *Budget) fitsAfter(h *Holder, n, freed int64) bool {
	others := b.total - b.shed - freed - h.total
	return 2*(h.total+n) <= b.settings.Bytes-others
}

// makeRoom sheds connections until n more bytes fit for a holder, with some to spare.
func (b *Budget) makeRoom(now time.Time, h *Holder, n int64) []*Holder {
	spare := b.settings.Bytes / batchDivisor
	return b.closeUntil(now, h,
		func(freed int64, _ int) bool { return b.fitsAfter(h, n+spare, freed) },
		func(freed int64, _ int) bool { return b.fitsAfter(h, n, freed) })
}

// closeUntil sheds connections until there is plenty of room, the one with the largest weight first. It stops at the
// holder for which room is made. It sheds none if there is not enough room then. Both functions are called with the
// bytes and the number of the connections that are closed.
func (b *Budget) closeUntil(now time.Time, requester *Holder, plenty, enough func(freed int64, connections int) bool) []*Holder {
	var chosen []*Holder
	var freed int64
	for _, h := range b.candidates(now) {
		if h == requester || plenty(freed, len(chosen)) {
			break
		}
		chosen = append(chosen, h)
		freed += h.total
	}
	if !enough(freed, len(chosen)) {
		return nil
	}
	for _, h := range chosen {
		h.shed = true
		b.shed += h.total
		b.closing++
	}
	return chosen
}

// candidates returns the holders that may be closed, in the order in which they are.
func (b *Budget) candidates(now time.Time) []*Holder {
	type candidate struct {
		*Holder
		weight float64
	}
	var all []candidate
	for _, h := range b.holders {
		if h.state != Serving && !h.shed {
			all = append(all, candidate{h, h.weight(now)})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int { return cmp.Compare(y.weight, x.weight) })
	out := make([]*Holder, len(all))
	for i := range all {
		out[i] = all[i].Holder
	}
	return out
}

func (b *Budget) add(h *Holder, k Kind, n int64) {
	h.held[k] += n
	h.total += n
	b.held[k] += n
	b.total += n
	if h.shed {
		b.shed += n
	}
}

// Release takes n bytes from what a holder holds.
func (b *Budget) Release(h *Holder, k Kind, n int64) { b.add(h, k, -min(n, h.held[k])) }

// ReleaseAll takes all bytes of a kind from what a holder holds.
func (b *Budget) ReleaseAll(h *Holder, k Kind) { b.add(h, k, -h.held[k]) }

// SetState sets what a connection does since a time.
func (b *Budget) SetState(since time.Time, h *Holder, s State) { h.state, h.since = s, since }

// Close removes a connection, which holds nothing any more. Closing it again has no effect.
func (b *Budget) Close(h *Holder) {
	if h.index >= len(b.holders) || b.holders[h.index] != h {
		return
	}
	for k := range Kinds {
		b.ReleaseAll(h, k)
	}
	if h.shed {
		b.closing--
	}
	last := len(b.holders) - 1
	b.holders[h.index] = b.holders[last]
	b.holders[h.index].index = h.index
	b.holders[last] = nil
	b.holders = b.holders[:last]
}

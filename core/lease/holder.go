package lease

import "time"

// Settings of a lease.
type Settings struct {
	// TTL is how long a lease lasts without renewal.
	TTL time.Duration
	// Margin is kept between the end that the holder sees and the one that others see.
	Margin time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Check is the time between looks at a lease that another holds.
	Check time.Duration
}

// DefaultSettings returns the settings used by the daemon.
func DefaultSettings() Settings {
	return Settings{TTL: 10 * time.Second, Margin: 2 * time.Second, Renew: 3 * time.Second, Check: 3 * time.Second}
}

// Object is the lease as the platform has it; version 0 is none.
type Object struct {
	Version uint64
	Holder  string
	// Nonce is drawn for each write, so that a writer knows its own after a lost answer.
	Nonce uint64
	// Released tells that the holder gave it up.
	Released bool
}

// Result is what became of a call to the platform.
type Result int

// Results of a call.
const (
	// Done: the call was answered; the object goes along.
	Done Result = iota
	// Conflict: the object has another version.
	Conflict
	// Uncertain: the answer to a write was lost.
	Uncertain
	// Unavailable: the call had no effect.
	Unavailable
)

// Action is something the caller has to carry out: [Read] or [Write].
type Action interface{ action() }

// Read asks to read the lease's object and to report [Holder.Seen].
type Read struct{}

// Write asks to write the object if it has the version, and to report [Holder.Written].
type Write struct {
	Object    Object // without version
	IfVersion uint64
}

func (Read) action()  {}
func (Write) action() {}

// Holder is one instance's part in a lease.
type Holder struct {
	set   Settings
	name  string
	nonce func() uint64

	seen    Object
	seenAt  time.Time // when this version was first seen
	validTo time.Time // as seen by this holder; zero when it is not its own
	next    time.Time // when to act next
	pending *Write    // a write that was sent, or whose answer was lost
	sentAt  time.Time
	waiting bool // for an answer
}

// New returns a holder that does not hold the lease. nonce draws random numbers.
func New(set Settings, name string, nonce func() uint64) *Holder {
	return &Holder{set: set, name: name, nonce: nonce}
}

// Valid tells whether this instance may give an order now, and with which fencing number.
func (h *Holder) Valid(now time.Time) (fence uint64, ok bool) {
	return h.seen.Version, !h.validTo.IsZero() && now.Before(h.validTo)
}

// Next returns when [Holder.Tick] has to be called.
func (h *Holder) Next() time.Time { return h.next }

// Tick lets time pass. At most one call is out at a time.
func (h *Holder) Tick(now time.Time) Action {
	if h.waiting || now.Before(h.next) {
		return nil
	}
	h.waiting = true
	if h.pending != nil || h.seen.Version == 0 && h.seenAt.IsZero() {
		return Read{}
	}
	if h.mine() {
		return h.write(now, false)
	}
	if h.free(now) {
		return h.write(now, false)
	}
	return Read{}
}

// mine tells whether the newest version seen is this holder's own, and still valid: one
// that ran out is acquired like any other.
func (h *Holder) mine() bool { return !h.validTo.IsZero() }

// free tells whether the lease may be taken: there is none, it was released, or it was seen
// unchanged for its whole time to live.
func (h *Holder) free(now time.Time) bool {
	return h.seen.Version == 0 || h.seen.Released || !now.Before(h.seenAt.Add(h.set.TTL))
}

// Release gives the lease up, when the instance leaves; it returns nil when it is not held.
func (h *Holder) Release(now time.Time) Action {
	if !h.mine() || h.waiting {
		return nil
	}
	h.waiting = true
	return h.write(now, true)
}

func (h *Holder) write(now time.Time, release bool) Action {
	w := Write{Object: Object{Holder: h.name, Nonce: h.nonce(), Released: release}, IfVersion: h.seen.Version}
	h.pending, h.sentAt = &w, now
	if release {
		h.validTo = time.Time{}
	}
	return w
}

// Seen reports the object as read.
func (h *Holder) Seen(now time.Time, r Result, o Object) {
	h.waiting = false
	if r != Done {
		h.lapse(now)
		h.next = now.Add(h.set.Check / 2)
		return
	}
	p := h.pending
	h.pending = nil
	if p != nil && o.Version == p.IfVersion+1 && o.Nonce == p.Object.Nonce {
		h.acquired(now, o)
		return
	}
	h.observe(now, o)
}

// observe takes note of another's version.
func (h *Holder) observe(now time.Time, o Object) {
	if o.Version != h.seen.Version || h.seenAt.IsZero() {
		h.seen, h.seenAt = o, now
		h.validTo = time.Time{}
	}
	h.lapse(now)
	h.next = now.Add(h.set.Check)
	if h.free(now) {
		h.next = now
	} else if end := h.seenAt.Add(h.set.TTL); end.Before(h.next) {
		h.next = end
	}
}

// Written reports what became of a write; o is the object it made.
func (h *Holder) Written(now time.Time, r Result, o Object) {
	h.waiting = false
	switch r {
	case Done:
		h.pending = nil
		h.acquired(now, o)
	case Conflict:
		// It may be our own, of a write whose answer was lost before: the read tells.
		h.next = now
	case Uncertain:
		h.next = now
	case Unavailable:
		h.pending = nil
		h.next = now.Add(h.set.Check / 2)
	}
	h.lapse(now)
}

// acquired takes the lease from the moment before its write was sent.
func (h *Holder) acquired(now time.Time, o Object) {
	h.seen, h.seenAt = o, now
	if o.Released {
		h.validTo, h.next = time.Time{}, now.Add(h.set.TTL)
		return
	}
	h.validTo = h.sentAt.Add(h.set.TTL - h.set.Margin)
	h.next = h.sentAt.Add(h.set.Renew)
	h.lapse(now)
}

// lapse ends a lease whose time is over.
func (h *Holder) lapse(now time.Time) {
	if !h.validTo.IsZero() && !now.Before(h.validTo) {
		h.validTo = time.Time{}
	}
}

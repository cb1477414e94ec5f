package lease

import (
	"time"

	"github.com/agateway/agateway/core/times"
)

// Settings of a lease.
type Settings struct {
	// TTL is how long a lease lasts without renewal.
	TTL time.Duration
	// Margin is the part of TTL for which the holder no longer considers the lease valid while
	// others still wait for its end.
	Margin time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// CheckInterval is the time between reads of a lease that another instance holds.
	CheckInterval time.Duration
}

// DefaultSettings returns the settings used by the daemon.
func DefaultSettings() Settings {
	return Settings{TTL: 10 * time.Second, Margin: 2 * time.Second, RenewInterval: 3 * time.Second, CheckInterval: 3 * time.Second}
}

// Object is the lease as stored by the platform. Version 0 means that there is none.
type Object struct {
	// Era is that of the platform's store in which the object was read; see package revision. It rises
	// when the store returns from an older copy, and a version may then be given out again.
	Era     uint64
	Version uint64
	Holder  string
	// Nonce is random for each write, so that a writer recognizes its own write after a lost
	// answer.
	Nonce uint64
	// Released is set when the holder gave the lease up.
	Released bool
}

// Result is the outcome of a call to the platform.
type Result int

// Results of a call.
const (
	// Done means that the call was answered; the object is passed along.
	Done Result = iota
	// Conflict means that the object has another version.
	Conflict
	// Uncertain means that the answer to a write was lost.
	Uncertain
	// Unavailable means that the call had no effect.
	Unavailable
)

// Action is a call to the platform that the caller has to carry out: [Read] or [Write].
type Action interface{ action() }

// Read asks the caller to read the lease's object and to pass it to [Holder.ReportRead].
type Read struct{}

// Write asks the caller to write the object if its stored version is IfVersion, and to pass the
// outcome to [Holder.ReportWrite].
type Write struct {
	Object    Object // without version
	IfVersion uint64
}

func (Read) action()  {}
func (Write) action() {}

// Holder is the state of one instance that tries to hold the lease.
type Holder struct {
	settings Settings
	name     string
	nonce    func() uint64

	seen       Object
	seenAt     time.Time // when the version of seen was first seen
	notBefore  time.Time // when the lease may be acquired after the store has returned from a copy
	validUntil time.Time // when this holder's lease ends; zero when it does not hold it
	nextTick   time.Time // when to act next
	pending    *Write    // a write whose outcome is not known yet
	sentAt     time.Time
	waiting    bool // for the answer to an action
}

// New returns a holder that does not hold the lease. nonce returns random numbers.
func New(set Settings, name string, nonce func() uint64) *Holder {
	return &Holder{settings: set, name: name, nonce: nonce}
}

// versionBits is how many bits of a fencing number hold the version; those above hold the era.
const versionBits = 40

// Valid reports whether this instance may give an order now, and with which fencing number. The number is
// higher than any of an earlier era.
func (h *Holder) Valid(now time.Time) (fence uint64, ok bool) {
	return h.seen.Era<<versionBits | h.seen.Version, !h.validUntil.IsZero() && now.Before(h.validUntil)
}

// NextTick returns when [Holder.Tick] has to be called next.
func (h *Holder) NextTick() time.Time { return h.nextTick }

// Tick returns the next action, or nil when none is due. It returns nil while an action is
// unanswered, so at most one call is in progress.
func (h *Holder) Tick(now time.Time) Action {
	if h.waiting || now.Before(h.nextTick) {
		return nil
	}
	h.waiting = true
	if h.pending != nil || h.seen.Version == 0 && h.seenAt.IsZero() {
		return Read{}
	}
	if h.holds() {
		return h.write(now, false)
	}
	if h.available(now) {
		return h.write(now, false)
	}
	return Read{}
}

// holds reports whether the newest version seen is this holder's own and has not expired. An
// expired lease is acquired like any other.
func (h *Holder) holds() bool { return !h.validUntil.IsZero() }

// available reports whether the lease may be acquired: there is none, it was released, or it was
// seen unchanged for its whole time to live.
func (h *Holder) available(now time.Time) bool {
	if now.Before(h.notBefore) {
		return false
	}
	return h.seen.Version == 0 || h.seen.Released || !now.Before(h.seenAt.Add(h.settings.TTL))
}

// Release returns the action that gives the lease up when the instance leaves; nil when it is not
// held or an action is unanswered.
func (h *Holder) Release(now time.Time) Action {
	if !h.holds() || h.waiting {
		return nil
	}
	h.waiting = true
	return h.write(now, true)
}

func (h *Holder) write(now time.Time, release bool) Action {
	w := Write{Object: Object{Holder: h.name, Nonce: h.nonce(), Released: release}, IfVersion: h.seen.Version}
	h.pending, h.sentAt = &w, now
	if release {
		h.validUntil = time.Time{}
	}
	return w
}

// ReportRead records the outcome of a [Read]. o is the object that was read; its zero value means
// that there is none.
func (h *Holder) ReportRead(now time.Time, r Result, o Object) {
	h.waiting = false
	if r != Done {
		h.expire(now)
		h.nextTick = now.Add(h.settings.CheckInterval / 2)
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

// observe records a version that this holder did not write, and schedules the next action.
func (h *Holder) observe(now time.Time, o Object) {
	if o.Era > h.seen.Era && !h.seenAt.IsZero() {
		h.notBefore = now.Add(h.settings.TTL) // the holder of the era before may be valid as long
	}
	if o.Version != h.seen.Version || o.Era != h.seen.Era || h.seenAt.IsZero() {
		h.seen, h.seenAt = o, now
		h.validUntil = time.Time{}
	}
	h.expire(now)
	h.nextTick = now.Add(h.settings.CheckInterval)
	if h.available(now) {
		h.nextTick = now
	} else if end := times.Later(h.seenAt.Add(h.settings.TTL), h.notBefore); end.Before(h.nextTick) {
		h.nextTick = end
	}
}

// ReportWrite records the outcome of a [Write]. o is the object that was written.
func (h *Holder) ReportWrite(now time.Time, r Result, o Object) {
	h.waiting = false
	switch r {
	case Done:
		h.pending = nil
		h.acquired(now, o)
	case Conflict:
		// The stored version may be this holder's own, from a write whose answer was lost. The next
		// read shows it.
		h.nextTick = now
	case Uncertain:
		h.nextTick = now
	case Unavailable:
		h.pending = nil
		h.nextTick = now.Add(h.settings.CheckInterval / 2)
	}
	h.expire(now)
}

// acquired records this holder's own write. The lease is valid from the moment before the write was
// sent.
func (h *Holder) acquired(now time.Time, o Object) {
	h.seen, h.seenAt = o, now
	if o.Released {
		h.validUntil, h.nextTick = time.Time{}, now.Add(h.settings.TTL)
		return
	}
	h.validUntil = h.sentAt.Add(h.settings.TTL - h.settings.Margin)
	h.nextTick = h.sentAt.Add(h.settings.RenewInterval)
	h.expire(now)
}

// expire ends a lease whose time is over.
func (h *Holder) expire(now time.Time) {
	if !h.validUntil.IsZero() && !now.Before(h.validUntil) {
		h.validUntil = time.Time{}
	}
}

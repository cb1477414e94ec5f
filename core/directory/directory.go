package directory

import (
	"time"

	"github.com/agateway/agateway/core/rendezvous"
)

// Key identifies a request: a team and the idempotency key it gave.
type Key struct{ Team, ID string }

// Place is where a generation runs.
type Place struct {
	Attempt  int
	Endpoint string
	Stream   string
}

// Entry describes a running generation.
type Entry struct {
	Key
	// Request is the hash of the request's body.
	Request    uint64
	Generation string
	// Model and Version are what the generation runs on; no other model or version may continue it.
	Model, Version string
	// Owner is the process that serves the caller.
	Owner Owner
	Place Place
	// Done is set when the answer is complete. Its engine may still hold it.
	Done bool

	expires   time.Time // when a finished or orphaned entry is deleted; zero if neither
	updatedAt time.Time
}

// Owner identifies one process of an instance.
type Owner struct {
	Instance string
	Process  uint64
}

// Answer is the result of a registration.
type Answer int

// Answers of [Directory.Register].
const (
	// Granted means that no other caller runs this request.
	Granted Answer = iota
	// Exists means that the request runs already; the returned entry says where.
	Exists
	// Mismatch means that the key was used for another request.
	Mismatch
)

// Settings of a directory.
type Settings struct {
	// OrphanGrace is how long a generation whose owner is gone waits for its caller to return.
	OrphanGrace time.Duration
	// FinishedTTL is how long a complete generation can still be replayed.
	FinishedTTL time.Duration
	// IdleTTL is how long an entry is kept without an update.
	IdleTTL time.Duration
	// MaxEntries bounds the number of entries.
	MaxEntries int
}

// DefaultSettings returns the settings used by the daemon.
func DefaultSettings() Settings {
	return Settings{OrphanGrace: 10 * time.Second, FinishedTTL: 30 * time.Second, IdleTTL: 20 * time.Minute, MaxEntries: 1 << 16}
}

// Directory holds the entries of one instance.
type Directory struct {
	settings Settings
	entries  map[Key]*Entry
}

// New returns an empty directory.
func New(s Settings) *Directory { return &Directory{settings: s, entries: map[Key]*Entry{}} }

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.entries) }

// Register asks to run a request. When the directory is full, the request is granted and no entry
// is kept.
func (d *Directory) Register(now time.Time, k Key, request uint64, generation string, o Owner) (Answer, Entry) {
	if e := d.entries[k]; e != nil {
		if e.Request != request {
			return Mismatch, *e
		}
		return Exists, *e
	}
	e := Entry{Key: k, Request: request, Generation: generation, Owner: o, updatedAt: now}
	if len(d.entries) < d.settings.MaxEntries {
		d.entries[k] = &e
	}
	return Granted, e
}

// Update records where the owner's newest attempt runs and reports whether it was recorded. Older
// attempts are ignored. A missing entry is created, so that an instance that starts to hold the key
// learns of running generations.
func (d *Directory) Update(now time.Time, u Entry) bool {
	e := d.entries[u.Key]
	if e == nil {
		if len(d.entries) >= d.settings.MaxEntries {
			return false
		}
		u.updatedAt = now
		d.entries[u.Key] = &u
		return true
	}
	if u.Place.Attempt < e.Place.Attempt || e.Request != u.Request {
		return false
	}
	e.Place, e.Owner, e.Generation, e.Model, e.Version = u.Place, u.Owner, u.Generation, u.Model, u.Version
	e.updatedAt, e.expires = now, time.Time{}
	return true
}

// takeOverAttemptStep separates the attempt numbers of successive owners, so that recoveries of the
// former owner keep numbers below those of the new one.
const takeOverAttemptStep = 1000

// TakeOver gives a running generation to a new owner, with a higher attempt number than any issued
// before. It returns false when there is no entry, the entry has no stream yet, or it is for
// another request.
func (d *Directory) TakeOver(now time.Time, k Key, request uint64, o Owner) (Entry, bool) {
	e := d.entries[k]
	if e == nil || e.Request != request || e.Place.Stream == "" {
		return Entry{}, false
	}
	e.Place.Attempt += takeOverAttemptStep
	e.Owner, e.updatedAt, e.expires = o, now, time.Time{}
	return *e, true
}

// Finish records the end of a generation, if o still owns it. When the answer is not complete, the
// entry is deleted, so that the caller may ask again.
func (d *Directory) Finish(now time.Time, k Key, o Owner, complete bool) {
	e := d.entries[k]
	if e == nil || e.Owner != o {
		return
	}
	if !complete {
		delete(d.entries, k)
		return
	}
	e.Done, e.expires = true, now.Add(d.settings.FinishedTTL)
}

// StartOrphanGrace starts the grace period of all running generations whose owner is gone.
func (d *Directory) StartOrphanGrace(now time.Time, gone func(Owner) bool) {
	for _, e := range d.entries {
		if !e.Done && e.expires.IsZero() && gone(e.Owner) {
			e.expires = now.Add(d.settings.OrphanGrace)
		}
	}
}

// Expire deletes the entries whose time is over, and returns those whose stream may still run and
// has to be cancelled.
func (d *Directory) Expire(now time.Time) []Entry {
	var orphans []Entry
	for k, e := range d.entries {
		expired := !e.expires.IsZero() && !now.Before(e.expires)
		if !expired && now.Sub(e.updatedAt) < d.settings.IdleTTL {
			continue
		}
		delete(d.entries, k)
		if !e.Done && e.Place.Stream != "" {
			orphans = append(orphans, *e)
		}
	}
	return orphans
}

// Rank returns the n members that rank highest for a key by rendezvous hash, best first.
func Rank(k Key, members []string, n int) []string {
	return rendezvous.Rank(k.Team+"\x00"+k.ID, members, n)
}

package directory

import (
	"time"

	"github.com/agateway/agateway/core/rendezvous"
)

// Key names a request: a team and the idempotency key it gave.
type Key struct{ Team, ID string }

// Place says where a generation runs.
type Place struct {
	Attempt  int
	Endpoint string
	Stream   string
}

// Entry is what the directory knows of a running generation.
type Entry struct {
	Key
	// Request is the hash of the request's body.
	Request    uint64
	Generation string
	// Model and Version are what the generation runs on; no other may continue it.
	Model, Version string
	// Owner is the instance that serves the caller, by process.
	Owner Owner
	Place Place
	// Done tells that the answer is complete; its engine may still hold it.
	Done bool

	expires time.Time // when a finished or abandoned entry goes
	touched time.Time
}

// Owner names one run of an instance.
type Owner struct {
	Instance string
	Process  uint64
}

// Answer is the result of a registration.
type Answer int

// Answers of [Directory.Register].
const (
	// Granted: nobody else runs this request.
	Granted Answer = iota
	// Exists: it runs already; the entry says where.
	Exists
	// Mismatch: the key was used for another request.
	Mismatch
)

// Settings of a directory.
type Settings struct {
	// Grace is how long a stream whose owner is gone waits for its caller.
	Grace time.Duration
	// Linger is how long a finished generation can still be replayed.
	Linger time.Duration
	// Lifetime bounds an entry that nobody touches.
	Lifetime time.Duration
	// Most bounds the entries.
	Most int
}

// DefaultSettings returns the settings used by the daemon.
func DefaultSettings() Settings {
	return Settings{Grace: 10 * time.Second, Linger: 30 * time.Second, Lifetime: 20 * time.Minute, Most: 1 << 16}
}

// Directory is one instance's part of the directory.
type Directory struct {
	set     Settings
	entries map[Key]*Entry
}

// New returns an empty directory.
func New(s Settings) *Directory { return &Directory{set: s, entries: map[Key]*Entry{}} }

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.entries) }

// Register asks to run a request. When the directory is full it is granted without
// being kept.
func (d *Directory) Register(now time.Time, k Key, request uint64, generation string, o Owner) (Answer, Entry) {
	if e := d.entries[k]; e != nil {
		if e.Request != request {
			return Mismatch, *e
		}
		return Exists, *e
	}
	e := Entry{Key: k, Request: request, Generation: generation, Owner: o, touched: now}
	if len(d.entries) < d.set.Most {
		d.entries[k] = &e
	}
	return Granted, e
}

// Update records where the owner's newest attempt runs. Older attempts are ignored. An
// entry that is not there is made, so that a new holder learns of running generations.
func (d *Directory) Update(now time.Time, u Entry) bool {
	e := d.entries[u.Key]
	if e == nil {
		if len(d.entries) >= d.set.Most {
			return false
		}
		u.touched = now
		d.entries[u.Key] = &u
		return true
	}
	if u.Place.Attempt < e.Place.Attempt || e.Request != u.Request {
		return false
	}
	e.Place, e.Owner, e.Generation, e.Model, e.Version = u.Place, u.Owner, u.Generation, u.Model, u.Version
	e.touched, e.expires = now, time.Time{}
	return true
}

// attemptGap separates the attempt numbers of successive owners, so that a former
// owner's own recoveries stay below those of the one that took over.
const attemptGap = 1000

// TakeOver gives a running generation to a new owner, under an attempt number above all
// those that were handed out. It returns false when the entry is not there, has no
// stream yet, or is for another request.
func (d *Directory) TakeOver(now time.Time, k Key, request uint64, o Owner) (Entry, bool) {
	e := d.entries[k]
	if e == nil || e.Request != request || e.Place.Stream == "" {
		return Entry{}, false
	}
	e.Place.Attempt += attemptGap
	e.Owner, e.touched, e.expires = o, now, time.Time{}
	return *e, true
}

// Finish records the end of a generation. When it ended without a complete answer the
// entry goes, so that the caller may ask again.
func (d *Directory) Finish(now time.Time, k Key, o Owner, complete bool) {
	e := d.entries[k]
	if e == nil || e.Owner != o {
		return
	}
	if !complete {
		delete(d.entries, k)
		return
	}
	e.Done, e.expires = true, now.Add(d.set.Linger)
}

// OwnerGone starts the grace of all generations that a process served.
func (d *Directory) OwnerGone(now time.Time, gone func(Owner) bool) {
	for _, e := range d.entries {
		if !e.Done && e.expires.IsZero() && gone(e.Owner) {
			e.expires = now.Add(d.set.Grace)
		}
	}
}

// Expire drops the entries whose time is over, and returns those whose stream may still
// run and has to be cancelled.
func (d *Directory) Expire(now time.Time) []Entry {
	var orphans []Entry
	for k, e := range d.entries {
		over := !e.expires.IsZero() && !now.Before(e.expires)
		if !over && now.Sub(e.touched) < d.set.Lifetime {
			continue
		}
		delete(d.entries, k)
		if !e.Done && e.Place.Stream != "" {
			orphans = append(orphans, *e)
		}
	}
	return orphans
}

// Rank returns the n members that rank highest for a key by rendezvous hash.
func Rank(k Key, members []string, n int) []string {
	return rendezvous.Rank(k.Team+"\x00"+k.ID, members, n)
}

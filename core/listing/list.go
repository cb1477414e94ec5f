package listing

import (
	"sort"
	"time"

	"github.com/agateway/agateway/core/routing"
)

// Settings of a list. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// Outage is how long the store has to be unreachable for entries to lapse: less than that can't
	// be told from a cut connection, and heartbeats survive it.
	Outage time.Duration
	// Grace is how long after an outage a missing entry still counts.
	Grace time.Duration
}

// DefaultSettings returns the settings used by the daemon. Entries lapse after three heartbeats, of
// about a second each, and live endpoints are back within two seconds; the margin of 0.2 s is for the
// answer that told so.
func DefaultSettings() Settings {
	return Settings{Outage: time.Second, Grace: 1800 * time.Millisecond}
}

// List is the endpoints as the platform lists them.
type List struct {
	set       Settings
	entries   map[string]entry
	addresses map[string]string // the id that was put last, by address
	dropped   map[string]bool   // ids whose address belongs to another one now, while they are listed
	failing   bool
	failedAt  time.Duration // since when the store has been unreachable
	graceEnds time.Duration
}

type entry struct {
	routing.Endpoint
	missing bool // dropped by the store, kept until the grace ends
}

// New returns an empty list.
func New(s Settings) *List {
	return &List{set: s, entries: map[string]entry{}, addresses: map[string]string{}, dropped: map[string]bool{}}
}

// Unreachable takes a failed read that began at a time.
func (l *List) Unreachable(began time.Duration) {
	if !l.failing {
		l.failing, l.failedAt = true, began
	}
}

// Reached takes a read that succeeded.
func (l *List) Reached(now time.Duration) {
	if l.failing && now-l.failedAt >= l.set.Outage {
		l.graceEnds = now + l.set.Grace
	}
	l.failing = false
}

// Put takes an entry. An endpoint that crashed stays listed until its heartbeats are missed, but its
// address may be used again before that: then the one that came first is gone.
func (l *List) Put(e routing.Endpoint) {
	if l.dropped[e.ID] {
		return
	}
	_, known := l.entries[e.ID]
	l.entries[e.ID] = entry{Endpoint: e}
	if known || e.Address == "" {
		return
	}
	if old := l.addresses[e.Address]; old != "" && old != e.ID {
		delete(l.entries, old)
		l.dropped[old] = true
	}
	l.addresses[e.Address] = e.ID
}

// Remove takes the removal of an entry.
func (l *List) Remove(now time.Duration, id string) {
	delete(l.dropped, id)
	e, ok := l.entries[id]
	if !ok {
		return
	}
	if now >= l.graceEnds {
		delete(l.entries, id)
		return
	}
	e.missing = true
	l.entries[id] = e
}

// Replace takes the whole list.
func (l *List) Replace(now time.Duration, all []routing.Endpoint) {
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		l.Put(e)
	}
	for id := range l.entries {
		if !listed[id] {
			l.Remove(now, id)
		}
	}
	for id := range l.dropped {
		if !listed[id] {
			delete(l.dropped, id)
		}
	}
}

// Tick drops what is still missing after the grace, and tells whether anything was.
func (l *List) Tick(now time.Duration) bool {
	if now < l.graceEnds {
		return false
	}
	dropped := false
	for id, e := range l.entries {
		if e.missing {
			delete(l.entries, id)
			dropped = true
		}
	}
	return dropped
}

// Deadline returns when [List.Tick] is due; false when nothing is missing.
func (l *List) Deadline() (time.Duration, bool) {
	for _, e := range l.entries {
		if e.missing {
			return l.graceEnds, true
		}
	}
	return 0, false
}

// Endpoints returns the endpoints that count, by id.
func (l *List) Endpoints() []routing.Endpoint {
	out := make([]routing.Endpoint, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e.Endpoint)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

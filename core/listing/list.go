package listing

import (
	"slices"
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

// List is the endpoints as the platform lists them, an entry for each name. An endpoint that starts again under its name
// replaces the one before.
type List struct {
	set       Settings
	entries   map[string]entry // by name
	puts      uint64           // counts names that came
	failing   bool
	failedAt  time.Duration // since when the store has been unreachable
	graceEnds time.Duration
}

type entry struct {
	routing.Endpoint
	order   uint64 // of names: the later came later
	missing bool   // dropped by the store, kept until the grace ends
	ended   bool   // its address answered for another one
}

// New returns an empty list.
func New(s Settings) *List { return &List{set: s, entries: map[string]entry{}} }

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

// Put takes an entry.
func (l *List) Put(e routing.Endpoint) {
	name := e.RequestName()
	old, known := l.entries[name]
	if !known || old.ID != e.ID {
		l.puts++
		old = entry{order: l.puts}
	}
	l.entries[name] = entry{Endpoint: e, order: old.order, ended: old.ended}
}

// Ended takes that addresses answered for others than some endpoints, by id. What says so is the address itself, so it
// counts for more than the order in which entries come: an endpoint that was cut off from the store may have crashed
// behind the cut, and what it wrote before arrives after what its successor wrote. It tells whether that is new.
func (l *List) Ended(ids ...string) bool {
	news := false
	for name, e := range l.entries {
		if !e.ended && slices.Contains(ids, e.ID) {
			e.ended, news = true, true
			l.entries[name] = e
		}
	}
	return news
}

// Drop takes an entry that can't be made use of: whatever was known under its name is not used any more, also while
// missing entries still count.
func (l *List) Drop(name string) { delete(l.entries, name) }

// Remove takes the removal of an entry.
func (l *List) Remove(now time.Duration, name string) {
	e, ok := l.entries[name]
	if !ok {
		return
	}
	if now >= l.graceEnds {
		delete(l.entries, name)
		return
	}
	e.missing = true
	l.entries[name] = e
}

// Replace takes the whole list.
func (l *List) Replace(now time.Duration, all []routing.Endpoint) {
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.RequestName()] = true
		l.Put(e)
	}
	for name := range l.entries {
		if !listed[name] {
			l.Remove(now, name)
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

// Endpoints returns the endpoints that count, by id: those of known services that have not ended, of which an address has
// one at a time. An endpoint that crashed stays listed until its heartbeats are missed, but its address may be used again
// before that: it belongs to the one that started last or, where that is not told, to the one that came last.
func (l *List) Endpoints(known func(service string) bool) []routing.Endpoint {
	owners := map[string]entry{}
	out := make([]routing.Endpoint, 0, len(l.entries))
	for _, e := range l.entries {
		switch {
		case e.ended || !known(e.Service):
		case e.Address == "":
			out = append(out, e.Endpoint)
		default:
			if o, taken := owners[e.Address]; !taken || e.after(&o) {
				owners[e.Address] = e
			}
		}
	}
	for _, e := range owners {
		out = append(out, e.Endpoint)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// after tells whether an entry's endpoint started after another's.
func (e *entry) after(o *entry) bool {
	if e.StartedUnixMS != o.StartedUnixMS && e.StartedUnixMS != 0 && o.StartedUnixMS != 0 {
		return e.StartedUnixMS > o.StartedUnixMS
	}
	return e.order > o.order
}

package listing

import (
	"slices"
	"sort"
	"time"

	"github.com/agateway/agateway/core/routing"
)

// Settings of a list. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// MinOutage is how long the store has to be unreachable before entries may have expired. A
	// shorter failure can't be told from a broken connection, and heartbeats survive it.
	MinOutage time.Duration
	// Grace is how long after an outage a missing entry is kept.
	Grace time.Duration
}

// DefaultSettings returns the settings used by the daemon. Entries expire after three heartbeats of
// about a second each, and live endpoints are back within two seconds after an outage. Grace is
// shorter by 0.2 s, to allow for the answer that ended the outage.
func DefaultSettings() Settings {
	return Settings{MinOutage: time.Second, Grace: 1800 * time.Millisecond}
}

// List is the platform's list of endpoints, with one entry for each name. An endpoint that restarts
// under its name replaces its predecessor.
type List struct {
	settings         Settings
	entries          map[string]entry // by name
	lastOrder        uint64           // order of the newest entry
	unreachable      bool
	unreachableSince time.Duration // when the first failed read was sent
	graceEnds        time.Duration
}

type entry struct {
	routing.Endpoint
	order   uint64 // rises with each new endpoint
	missing bool   // no longer listed, kept until graceEnds
	ended   bool   // its address answered for another endpoint
}

// New returns an empty list.
func New(s Settings) *List { return &List{settings: s, entries: map[string]entry{}} }

// ReadFailed records a failed read of the list that was sent at began.
func (l *List) ReadFailed(began time.Duration) {
	if !l.unreachable {
		l.unreachable, l.unreachableSince = true, began
	}
}

// ReadSucceeded records a successful read. After an outage of at least MinOutage it starts the
// grace period.
func (l *List) ReadSucceeded(now time.Duration) {
	if l.unreachable && now-l.unreachableSince >= l.settings.MinOutage {
		l.graceEnds = now + l.settings.Grace
	}
	l.unreachable = false
}

// Put adds or updates an entry.
func (l *List) Put(e routing.Endpoint) {
	name := e.RequestName()
	old, known := l.entries[name]
	if !known || old.ID != e.ID {
		l.lastOrder++
		old = entry{order: l.lastOrder}
	}
	l.entries[name] = entry{Endpoint: e, order: old.order, ended: old.ended}
}

// MarkEnded records that the addresses of the endpoints with these IDs answered for other
// endpoints. The address itself is a better source than the order in which entries arrive: an
// endpoint that could not reach the store may have crashed meanwhile, and what it had written
// arrives after the entry of its successor. MarkEnded reports whether any of this was new.
func (l *List) MarkEnded(ids ...string) bool {
	changed := false
	for name, e := range l.entries {
		if !e.ended && slices.Contains(ids, e.ID) {
			e.ended, changed = true, true
			l.entries[name] = e
		}
	}
	return changed
}

// Forget deletes the entry of a name at once, also during the grace period. It is called when the
// listed entry can't be used, so that the earlier one is not used any more either.
func (l *List) Forget(name string) { delete(l.entries, name) }

// Remove records that an entry is no longer listed. During the grace period the entry is kept as
// missing.
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

// Replace records the whole list.
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

// Tick deletes the entries that are still missing after the grace period, and reports whether there
// were any.
func (l *List) Tick(now time.Duration) bool {
	if now < l.graceEnds {
		return false
	}
	dropped := false
	for name, e := range l.entries {
		if e.missing {
			delete(l.entries, name)
			dropped = true
		}
	}
	return dropped
}

// Deadline returns when [List.Tick] has to be called; false when no entry is missing.
func (l *List) Deadline() (time.Duration, bool) {
	for _, e := range l.entries {
		if e.missing {
			return l.graceEnds, true
		}
	}
	return 0, false
}

// Endpoints returns the endpoints to use, sorted by ID: those of known services that have not
// ended, at most one for each address. A crashed endpoint stays listed until its heartbeats are
// missed, and its address may be used again before that. The address belongs to the endpoint that
// started last or, where the start is unknown, to the one that was listed last.
func (l *List) Endpoints(known func(service string) bool) []routing.Endpoint {
	byAddress := map[string]entry{}
	out := make([]routing.Endpoint, 0, len(l.entries))
	for _, e := range l.entries {
		switch {
		case e.ended || !known(e.Service):
		case e.Address == "":
			out = append(out, e.Endpoint)
		default:
			if other, taken := byAddress[e.Address]; !taken || e.startedAfter(&other) {
				byAddress[e.Address] = e
			}
		}
	}
	for _, e := range byAddress {
		out = append(out, e.Endpoint)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// startedAfter reports whether an entry's endpoint started after another's.
func (e *entry) startedAfter(other *entry) bool {
	if e.StartedUnixMS != other.StartedUnixMS && e.StartedUnixMS != 0 && other.StartedUnixMS != 0 {
		return e.StartedUnixMS > other.StartedUnixMS
	}
	return e.order > other.order
}

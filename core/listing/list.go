package listing

import (
	"slices"
	"strings"
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
	settings  Settings
	entries   map[string]*entry // by name
	slots     map[string]*slot  // by slotKey
	changed   map[string]bool   // keys of the slots to look at in Changes
	missing   int               // number of missing entries
	lastOrder uint64            // order of the newest entry

	unreachable      bool
	unreachableSince time.Duration // when the first failed read was sent
	graceEnds        time.Duration
}

// entry is one listed endpoint. Its Endpoint never changes; a new entry replaces it.
type entry struct {
	routing.Endpoint
	order   uint64 // rises with each new endpoint
	missing bool   // no longer listed, kept until graceEnds
	ended   bool   // its address answered for another endpoint
}

// slot holds the entries that compete for one address, and the one that [List.Changes] returned
// last as being in use; nil for none.
type slot struct {
	entries []*entry
	inUse   *entry
}

// Change is a change of an endpoint in use. Before is nil if it was not in use, and After is nil if
// it is not any more. Neither may be written to.
type Change struct{ Before, After *routing.Endpoint }

// New returns an empty list.
func New(s Settings) *List {
	return &List{settings: s, entries: map[string]*entry{}, slots: map[string]*slot{}, changed: map[string]bool{}}
}

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

// slotKey returns the key of the slot of an endpoint. Those without an address compete with none.
func slotKey(e *routing.Endpoint) string {
	if e.Address == "" {
		return "name:" + e.RequestName()
	}
	return e.Address
}

// Put adds or updates an entry.
func (l *List) Put(e routing.Endpoint) {
	name := e.RequestName()
	old := l.entries[name]
	switch {
	case old == nil || old.ID != e.ID:
		l.lastOrder++
		l.set(name, &entry{Endpoint: e, order: l.lastOrder})
	case !old.missing && sameEndpoint(&old.Endpoint, &e):
	default:
		l.set(name, &entry{Endpoint: e, order: old.order, ended: old.ended})
	}
}

// Get returns the entry of a name.
func (l *List) Get(name string) (routing.Endpoint, bool) {
	e := l.entries[name]
	if e == nil {
		return routing.Endpoint{}, false
	}
	return e.Endpoint, true
}

// sameEndpoint reports whether two entries say the same.
func sameEndpoint(a, b *routing.Endpoint) bool {
	sameModel := func(x, y routing.Model) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	}
	return a.ID == b.ID && a.Name == b.Name && a.Address == b.Address && a.DataCentre == b.DataCentre && a.StartedUnixMS == b.StartedUnixMS &&
		a.Build == b.Build && a.ColdFor == b.ColdFor && a.Service == b.Service && a.Slots == b.Slots && a.State == b.State &&
		a.Role == b.Role && a.Memory == b.Memory && a.ChecksFencing == b.ChecksFencing && slices.EqualFunc(a.Models, b.Models, sameModel)
}

// set makes e the entry of a name; nil deletes it.
func (l *List) set(name string, e *entry) {
	if old := l.entries[name]; old != nil {
		l.leaveSlot(old)
	}
	if e == nil {
		delete(l.entries, name)
		return
	}
	l.entries[name] = e
	key := slotKey(&e.Endpoint)
	s := l.slots[key]
	if s == nil {
		s = &slot{}
		l.slots[key] = s
	}
	s.entries = append(s.entries, e)
	l.changed[key] = true
	if e.missing {
		l.missing++
	}
}

func (l *List) leaveSlot(e *entry) {
	key := slotKey(&e.Endpoint)
	s := l.slots[key]
	s.entries = slices.DeleteFunc(s.entries, func(o *entry) bool { return o == e })
	l.changed[key] = true
	if e.missing {
		l.missing--
	}
}

// MarkEnded records that the addresses of the endpoints with these IDs answered for other
// endpoints. The address itself is a better source than the order in which entries arrive: an
// endpoint that could not reach the store may have crashed meanwhile, and what it had written
// arrives after the entry of its successor. MarkEnded reports whether any of this was new.
func (l *List) MarkEnded(ids ...string) bool {
	changed := false
	for _, e := range l.entries {
		if !e.ended && slices.Contains(ids, e.ID) {
			e.ended, changed = true, true
			l.changed[slotKey(&e.Endpoint)] = true
		}
	}
	return changed
}

// Forget deletes the entry of a name at once, also during the grace period. It is called when the
// listed entry can't be used, so that the earlier one is not used any more either.
func (l *List) Forget(name string) { l.set(name, nil) }

// Remove records that an entry is no longer listed. During the grace period the entry is kept as
// missing.
func (l *List) Remove(now time.Duration, name string) {
	e := l.entries[name]
	switch {
	case e == nil:
	case now >= l.graceEnds:
		l.set(name, nil)
	case !e.missing:
		e.missing = true
		l.missing++
	}
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
	if now < l.graceEnds || l.missing == 0 {
		return false
	}
	for name, e := range l.entries {
		if e.missing {
			l.set(name, nil)
		}
	}
	return true
}

// Deadline returns when [List.Tick] has to be called; false when no entry is missing.
func (l *List) Deadline() (time.Duration, bool) {
	if l.missing == 0 {
		return 0, false
	}
	return l.graceEnds, true
}

// Endpoints returns the endpoints to use, sorted by ID: those of known services that have not
// ended, at most one for each address. A crashed endpoint stays listed until its heartbeats are
// missed, and its address may be used again before that. The address belongs to the endpoint that
// started last or, where the start is unknown, to the one that was listed last.
func (l *List) Endpoints(known func(service string) bool) []routing.Endpoint {
	known = remember(known)
	out := make([]routing.Endpoint, 0, len(l.slots))
	for _, s := range l.slots {
		if e := s.choose(known); e != nil {
			out = append(out, e.Endpoint)
		}
	}
	slices.SortFunc(out, func(a, b routing.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Changes returns how the result of [List.Endpoints] has changed since the last call, sorted by ID.
// It takes work in proportion to the entries that have changed, not to the list.
func (l *List) Changes(known func(service string) bool) []Change {
	known = remember(known)
	var out []Change
	for key := range l.changed {
		s := l.slots[key]
		if e := s.choose(known); e != s.inUse {
			out = append(out, changeOf(s.inUse, e))
			s.inUse = e
		}
		if len(s.entries) == 0 {
			delete(l.slots, key)
		}
	}
	l.changed = map[string]bool{} // to clear a map takes as long as it once was large
	out = joinMoves(out)
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.id(), b.id()) })
	return out
}

// Recheck makes the next call of [List.Changes] look at all entries. It is called when the known
// services may have changed.
func (l *List) Recheck() {
	for key := range l.slots {
		l.changed[key] = true
	}
}

// remember returns a function that calls known once for each service.
func remember(known func(service string) bool) func(service string) bool {
	answers := map[string]bool{}
	return func(service string) bool {
		answer, asked := answers[service]
		if !asked {
			answer = known(service)
			answers[service] = answer
		}
		return answer
	}
}

// choose returns the entry that the address belongs to; nil for none.
func (s *slot) choose(known func(service string) bool) *entry {
	var best *entry
	for _, e := range s.entries {
		if !e.ended && known(e.Service) && (best == nil || e.startedAfter(best)) {
			best = e
		}
	}
	return best
}

// startedAfter reports whether an entry's endpoint started after another's.
func (e *entry) startedAfter(other *entry) bool {
	if e.StartedUnixMS != other.StartedUnixMS && e.StartedUnixMS != 0 && other.StartedUnixMS != 0 {
		return e.StartedUnixMS > other.StartedUnixMS
	}
	return e.order > other.order
}

func changeOf(before, after *entry) Change {
	c := Change{}
	if before != nil {
		c.Before = &before.Endpoint
	}
	if after != nil {
		c.After = &after.Endpoint
	}
	return c
}

// id returns the ID of the endpoint; if another endpoint takes its place, that of the new one.
func (c *Change) id() string {
	if c.After != nil {
		return c.After.ID
	}
	return c.Before.ID
}

// joinMoves splits changes from one endpoint to another, and makes one change of the two that an
// endpoint which changes its address has, so that each ID is in one change at the most.
func joinMoves(changes []Change) []Change {
	before, after := map[string]*routing.Endpoint{}, map[string]*routing.Endpoint{}
	for _, c := range changes {
		if c.Before != nil {
			before[c.Before.ID] = c.Before
		}
		if c.After != nil {
			after[c.After.ID] = c.After
		}
	}
	out := make([]Change, 0, len(before)+len(after))
	for id, e := range after {
		out = append(out, Change{before[id], e})
		delete(before, id)
	}
	for _, e := range before {
		out = append(out, Change{Before: e})
	}
	return out
}

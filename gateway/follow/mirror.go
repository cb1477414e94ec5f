package follow

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/platform"
)

// Mirror keeps copies of the objects of some kinds, from which other instances read in place of the
// store. Calls to the store are counted and charged, and all instances ask for nearly the same.
// Positions are those of the store, so a reader can switch from one source to another at any time.
//
// When the store returns from an older copy of itself, a mirror keeps its history: what the new list
// changes against what it held are changes of the new era. So a reader that has seen no more of the
// former era than the mirror is told the differences only.
// A Mirror is safe for concurrent use.
type Mirror struct {
	now clock.Func
	// maxAge returns the age from which data is not served any more.
	maxAge func() time.Duration
	mu     sync.Mutex
	kinds  map[string]*mirroredKind
	// interrupts counts the calls of Interrupt.
	interrupts int
}

// mirroredKind holds the objects of one kind.
type mirroredKind struct {
	objects map[string]platform.Object // includes the latest removed ones, without their content
	// log names the object of each change, by rising position. A later change of the same object
	// makes an item outdated.
	log           []change
	removed       []change // of the removed objects that are kept, oldest removal first
	removedNow    int      // number of removed objects in objects
	at            revision.Position
	forgottenUpTo revision.Position // changes up to this position can't be listed any more
	// gaps are where a list took the place of the changes, oldest first.
	gaps      []gap
	freshness revision.Freshness
	changed   chan struct{} // closed and replaced at every update
}

// gap is a part of the history of which this mirror knows only the result: it held the objects as of from,
// and then those of a list as of to. A reader in between may hold objects of which it knows nothing.
type gap struct{ from, to revision.Position }

// maxGaps bounds the gaps that are kept.
const maxGaps = 8

// change is a change of the object name at a position.
type change struct {
	at   revision.Position
	name string
}

const (
	// minRecheck is the shortest time after which a waiting watch checks again.
	minRecheck = time.Millisecond
	// staleWait is how long a call that finds the data too old waits for newer data. This instance
	// may just have lost the instance that it follows. It then reads from another one or from the
	// store, which takes 10 ms.
	staleWait = 150 * time.Millisecond
	// minFreshnessGain is how much fresher than the caller's data the data has to be for a watch to
	// end without a change. While nothing changes, the data is confirmed every 0.9 s, which is more
	// than this. After a change it is confirmed after 0.25 s, which is less.
	minFreshnessGain = 400 * time.Millisecond
)

// minKeptRemovals is how many removals of a kind are kept at least. As many are kept as there are
// objects, if that is more. A reader that has missed more of them has to list again.
const minKeptRemovals = 500

// NewMirror returns an empty mirror. It serves no data that is maxAge old or older: the instances
// that follow this one have to learn that it gets no new data before their own data is too old.
func NewMirror(now clock.Func, maxAge func() time.Duration) *Mirror {
	return &Mirror{now: now, maxAge: maxAge, kinds: map[string]*mirroredKind{}}
}

func (m *Mirror) kind(kind string) *mirroredKind {
	k := m.kinds[kind]
	if k == nil {
		k = &mirroredKind{objects: map[string]platform.Object{}, changed: make(chan struct{})}
		m.kinds[kind] = k
	}
	return k
}

// replace sets all objects of a kind to those of a list. The list may hold removed objects; removals
// up to forgottenUpTo are not among them.
//
// A mirror that was filled before knows what the list lacks, so it keeps its history. Otherwise,
// when the instance that asks the store has to list again, so would all others.
func (m *Mirror) replace(kind string, currentAt time.Duration, page *platform.Page, forgottenUpTo revision.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	if k.extendedBy(page) {
		k.addGap(page.Position())
		k.removeMissing(page)
		page = withoutRemoved(page)
	} else {
		k.objects, k.log, k.removed, k.removedNow, k.at = make(map[string]platform.Object, len(page.Objects)), nil, nil, 0, revision.Position{}
		k.forgottenUpTo = forgottenUpTo
		k.gaps = nil
	}
	k.put(page, false)
	k.freshness.Confirm(currentAt)
	k.wake()
}

// extendedBy reports whether all that a list changes against the objects known is later than these, so that
// a reader of before learns of it.
func (k *mirroredKind) extendedBy(page *platform.Page) bool {
	if k.at.Revision == 0 || k.at.After(page.Position()) {
		return false
	}
	for i := range page.Objects {
		o := &page.Objects[i]
		old, known := k.objects[o.Name]
		if !o.Deleted && !o.Position().After(k.at) && !(known && sameObject(&old, o)) {
			return false
		}
	}
	return true
}

// withoutRemoved returns a list without its removed objects.
func withoutRemoved(page *platform.Page) *platform.Page {
	out := *page
	out.Objects = slices.DeleteFunc(slices.Clone(page.Objects), func(o platform.Object) bool { return o.Deleted })
	return &out
}

// removeMissing records the removal of the objects that a list does not hold. Removed ones in the list may
// have been removed before the objects known were read.
func (k *mirroredKind) removeMissing(page *platform.Page) {
	listed := make(map[string]bool, len(page.Objects))
	for i := range page.Objects {
		listed[page.Objects[i].Name] = !page.Objects[i].Deleted
	}
	gone := platform.Page{Revision: page.Revision, Era: page.Era}
	for name, o := range k.objects {
		if !listed[name] && !o.Deleted {
			gone.Objects = append(gone.Objects, platform.Object{Name: name, Deleted: true})
		}
	}
	k.put(&gone, true)
}

// update changes the objects of a kind that a watch returned.
func (m *Mirror) update(kind string, currentAt time.Duration, page *platform.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	if page.Gap || page.Era != k.at.Era {
		k.addGap(page.Position())
	}
	k.put(page, true)
	k.freshness.Confirm(currentAt)
	k.wake()
}

// addGap records that the changes between the position known and a later one are not known one by one.
func (k *mirroredKind) addGap(to revision.Position) {
	if k.at.Revision == 0 || !to.After(k.at) {
		return
	}
	k.gaps = append(k.gaps, gap{k.at, to})
	if len(k.gaps) > maxGaps {
		k.forgottenUpTo = revision.Latest(k.forgottenUpTo, k.gaps[0].to)
		k.gaps = k.gaps[1:]
	}
}

// lastGapEnd returns the end of the last gap; zero if there is none.
func (k *mirroredKind) lastGapEnd() revision.Position {
	if len(k.gaps) == 0 {
		return revision.Position{}
	}
	return k.gaps[len(k.gaps)-1].to
}

// Interrupt ends all watches that wait. It is called when the store stops answering this instance,
// so that the instances that follow it learn of this and choose another source.
func (m *Mirror) Interrupt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupts++
	for _, k := range m.kinds {
		k.wake()
	}
}

// Age returns the time since the objects of a kind were last known to be the newest. It returns
// false if they never were.
func (m *Mirror) Age(kind string) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kind(kind).freshness.Age(m.now())
}

// object returns an object of a kind, which may be a removed one; false if it is not known.
func (m *Mirror) object(kind, name string) (platform.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, known := m.kind(kind).objects[name]
	return o, known
}

// objects returns all objects of a kind that are known, removed ones included, by name.
func (m *Mirror) objects(kind string) map[string]platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.kind(kind).objects)
}

// put stores the objects of a watch or a list.
func (k *mirroredKind) put(page *platform.Page, watched bool) {
	for _, o := range page.Objects {
		if o.Deleted {
			if watched {
				o.Era, o.Revision = page.Era, page.Revision // the removal's own revision is not known, and is no higher
			}
			o.Spec, o.Status = nil, nil
			k.removed = append(k.removed, change{o.Position(), o.Name})
		}
		k.set(o)
	}
	k.at = revision.Latest(k.at, page.Position())
	k.sortLog(len(page.Objects))
	for len(k.removed) > max(minKeptRemovals, len(k.objects)-k.removedNow) {
		k.forget(k.removed[0])
		k.removed = k.removed[1:]
	}
	k.compactLog()
}

// sameObject reports whether two objects are the same one. In another era a revision may have been
// given out again, with other content.
func sameObject(a, b *platform.Object) bool {
	if a.Revision != b.Revision || a.Deleted != b.Deleted {
		return false
	}
	return a.Era == b.Era || bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status)
}

// set stores an object and appends its change to the log, unless it is known.
func (k *mirroredKind) set(o platform.Object) {
	old, known := k.objects[o.Name]
	if known && sameObject(&old, &o) {
		return
	}
	if known && old.Deleted {
		k.removedNow--
	}
	if o.Deleted {
		k.removedNow++
	}
	k.objects[o.Name] = o
	k.log = append(k.log, change{o.Position(), o.Name})
}

// sortLog sorts the log by position after some items were appended. The objects of a list come in
// the order of their names, those of a watch in that of their changes.
func (k *mirroredKind) sortLog(appended int) {
	byPosition := func(a, b change) int { return a.at.Compare(b.at) }
	if !slices.IsSortedFunc(k.log[max(len(k.log)-appended-1, 0):], byPosition) {
		slices.SortStableFunc(k.log, byPosition)
	}
}

// forget drops a removed object, unless the object has changed since.
func (k *mirroredKind) forget(removal change) {
	if o := k.objects[removal.name]; o.Deleted && o.Position() == removal.at {
		k.forgottenUpTo = revision.Latest(k.forgottenUpTo, removal.at)
		delete(k.objects, removal.name)
		k.removedNow--
	}
}

// compactLog drops the outdated items once they are more than half of the log.
func (k *mirroredKind) compactLog() {
	const minLog = 64 // a shorter log is not worth it
	if len(k.log) > 2*len(k.objects)+minLog {
		k.log = slices.DeleteFunc(k.log, func(c change) bool { return !k.isLatest(c) })
	}
}

// isLatest reports whether an item of the log is the latest change of its object.
func (k *mirroredKind) isLatest(c change) bool {
	o, known := k.objects[c.name]
	return known && o.Position() == c.at
}

func (k *mirroredKind) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// ListRequest asks for all objects of a kind, in one part or several.
type ListRequest struct {
	Kind string
	// Limit is the most objects to return at once; 0 for no limit.
	Limit int
	// After is the position of the part before, and ListedAt its [ListPart.ListedAt]; zero for the
	// first part.
	After, ListedAt revision.Position
	// AnyAge asks for the objects however long ago they were last known to be the newest. It does not
	// wait for newer ones.
	AnyAge bool
	// WithRemoved asks for the removed objects that are still known too. A mirror that has them can
	// serve the same watches as this one.
	WithRemoved bool
}

// ListPart is a part of a list. Parts after the first may hold removed objects: those were removed
// after the list began.
type ListPart struct {
	platform.Page
	// More is set if there are other parts.
	More bool
	// ListedAt is the position that was current at the first part.
	ListedAt revision.Position
}

// List returns a part of the objects of a kind. If there are no objects yet or they are too old, it
// waits up to staleWait for new data: when a fleet starts, the instance that asks the store and
// those that follow it start at the same time. After that it returns [platform.ErrUnavailable]. It
// returns [platform.ErrHistoryGone] if removals since the first part are not kept any more.
func (m *Mirror) List(ctx context.Context, r ListRequest) (ListPart, error) {
	timeout := time.NewTimer(staleWait)
	defer timeout.Stop()
	for {
		part, changed, err := m.list(&r)
		if err == nil || r.AnyAge || errorx.IsOfType(err, platform.ErrHistoryGone) {
			return part, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return ListPart{}, err
		case <-ctx.Done():
			return ListPart{}, err
		}
	}
}

// list returns a part of the objects of a kind. If the data is too old, it returns the channel that
// is closed at the next update.
func (m *Mirror) list(r *ListRequest) (ListPart, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(r.Kind)
	age, err := m.freshAge(k, r.Kind)
	if err != nil && !(r.AnyAge && k.at.Revision > 0) {
		return ListPart{}, k.changed, err
	}
	part := ListPart{ListedAt: r.ListedAt}
	first := r.After == revision.Position{}
	if first {
		part.ListedAt = k.at
	} else if err := k.canContinue(r.ListedAt); err != nil {
		return ListPart{}, nil, err
	}
	if k.forgottenUpTo.After(part.ListedAt) {
		return ListPart{}, nil, platform.ErrHistoryGone.New("changes up to %v are not kept any more", k.forgottenUpTo)
	}
	part.Page, part.More = k.since(r.After, r.WithRemoved || !first, r.Limit)
	part.Age, part.ForgottenUpTo = age, revision.Latest(k.forgottenUpTo, k.lastGapEnd())
	return part, nil, nil
}

// freshAge returns the age of the objects of a kind. It returns [platform.ErrUnavailable] if they
// are too old to be served or were never read. The caller holds mu.
func (m *Mirror) freshAge(k *mirroredKind, kind string) (time.Duration, error) {
	age, known := k.freshness.Age(m.now())
	if !known || age >= m.maxAge() {
		return age, platform.ErrUnavailable.New("no fresh objects of kind %s: the age is %v", kind, age)
	}
	return age, nil
}

// removedAfter reports whether an object was removed after a position. The revision of a removal is not
// known, only that of the answer that told of it.
func (k *mirroredKind) removedAfter(from revision.Position) bool {
	return len(k.removed) > 0 && k.removed[len(k.removed)-1].at.After(from)
}

// canContinue returns [platform.ErrHistoryGone] if the changes after a position are not known: the reader
// is within a gap, or does not say of which era it is and has a revision that the store does not have. It
// returns [platform.ErrUnavailable] to a reader that knows a newer era.
func (k *mirroredKind) canContinue(from revision.Position) error {
	if from.Era > k.at.Era {
		return platform.ErrUnavailable.New("no objects of era %d", from.Era)
	}
	if from.Era == 0 && k.at.Era > 0 {
		if from.Revision > k.at.Revision {
			return platform.ErrHistoryGone.New("no objects of revision %d", from.Revision)
		}
		from.Era = k.at.Era
	}
	for _, g := range k.gaps {
		if from.After(g.from) && g.to.After(from) {
			return platform.ErrHistoryGone.New("the changes after %v are not known", from)
		}
	}
	return nil
}

// since returns the objects that changed after a position, in the order of their changes. It leaves
// out removed ones unless withRemoved is set. If there are more than limit, the page ends with the
// position of its last object, and more is set; 0 stands for no limit. The work is in proportion to
// the changes since the position.
func (k *mirroredKind) since(from revision.Position, withRemoved bool, limit int) (page platform.Page, more bool) {
	if from.Era == 0 && from.Revision > 0 {
		from.Era = k.at.Era // of a reader that does not say
	}
	end := revision.Latest(from, k.at)
	page.Era, page.Revision = end.Era, end.Revision
	next := revision.Position{Era: from.Era, Revision: from.Revision + 1}
	first, _ := slices.BinarySearchFunc(k.log, next, func(c change, p revision.Position) int { return c.at.Compare(p) })
	for _, c := range k.log[first:] {
		o, known := k.objects[c.name]
		if !known || o.Position() != c.at || o.Deleted && !withRemoved {
			continue
		}
		// Several objects may share a position. A page ends between two positions only.
		if n := len(page.Objects); limit > 0 && n >= limit && page.Objects[n-1].Position() != c.at {
			page.Era, page.Revision = page.Objects[n-1].Era, page.Objects[n-1].Revision
			return page, true
		}
		page.Objects = append(page.Objects, o)
	}
	return page, false
}

// WatchRequest asks for the objects that changed.
type WatchRequest struct {
	// Kind is the kind of the objects, and Since the position after which they changed.
	Kind  string
	Since revision.Position
	// Wait is the longest time to wait for a change.
	Wait time.Duration
	// Limit is the most objects to return at once; 0 for no limit. The next watch returns the
	// others. A watch from before a gap or a removal returns all.
	Limit int
	// KnownAge is the age of the caller's own data. The watch also ends once this instance has data
	// that is fresher by minFreshnessGain. So all instances of a chain have data that is about as
	// fresh as that of the one that asks the store.
	KnownAge time.Duration
}

// Watch returns the objects that changed, removed ones included, and waits for a change if there
// are none. The page has no objects if nothing changed. Watch returns [platform.ErrHistoryGone] if
// the changes since the position are not kept any more, and [platform.ErrUnavailable] if the data
// is too old or ctx ends.
func (m *Mirror) Watch(ctx context.Context, r WatchRequest) (platform.Page, error) {
	timeout := time.NewTimer(r.Wait)
	defer timeout.Stop()
	w := m.watch(&r)
	for {
		page, done, next, err := m.check(&w)
		if done {
			return page, err
		}
		stale := time.NewTimer(next.after)
		select {
		case <-next.changed:
			stale.Stop()
		case <-stale.C:
		case <-timeout.C:
			stale.Stop()
			page, _, _, err = m.check(&w)
			return page, err
		case <-ctx.Done():
			stale.Stop()
			return platform.Page{}, platform.ErrUnavailable.Wrap(ctx.Err(), "watch ended")
		}
	}
}

// watch is a watch in progress.
type watch struct {
	kind  string
	since revision.Position
	limit int
	began time.Duration
	// endCurrentAt ends the watch once the data is known to have been the newest at this time.
	endCurrentAt time.Duration
	interrupts   int
	// wasFresh is set once the data was fresh enough to be served at a check. From then on the
	// watch fails at once when the data gets too old.
	wasFresh bool
}

func (m *Mirror) watch(r *WatchRequest) watch {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	return watch{kind: r.Kind, since: r.Since, limit: r.Limit, began: now, endCurrentAt: now - r.KnownAge + minFreshnessGain, interrupts: m.interrupts}
}

// recheck says when a waiting watch checks again: when changed is closed, or after a time.
type recheck struct {
	changed chan struct{}
	after   time.Duration
}

// check returns what a watch would return now, whether it ends with that, and when to check again
// if it does not: when the data changes or will be too old to be served. With a check every 50 ms
// instead, an instance with 16 followers woke up 640 times a second.
func (m *Mirror) check(w *watch) (page platform.Page, done bool, next recheck, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, now := m.kind(w.kind), m.now()
	age, err := m.freshAge(k, w.kind)
	if err != nil {
		deadline := w.began + staleWait
		return platform.Page{}, w.wasFresh || now >= deadline, recheck{k.changed, max(deadline-now, minRecheck)}, err
	}
	w.wasFresh = true
	if err := k.canContinue(w.since); err != nil {
		return platform.Page{}, true, recheck{}, err
	}
	if w.since.Era > 0 && k.forgottenUpTo.After(w.since) || w.since.Revision < k.forgottenUpTo.Revision && w.since.Era == 0 {
		return platform.Page{}, true, recheck{}, platform.ErrHistoryGone.New("changes up to %v are not kept any more", k.forgottenUpTo)
	}
	limit, crossesGap := w.limit, k.lastGapEnd().After(w.since)
	if crossesGap || k.removedAfter(w.since) {
		limit = 0 // a part of it may be no state that the store was in
	}
	page, _ = k.since(w.since, true, limit)
	page.Age, page.Gap = age, crossesGap
	done = len(page.Objects) > 0 || now-age >= w.endCurrentAt || m.interrupts != w.interrupts
	return page, done, recheck{k.changed, max(m.maxAge()-age, minRecheck)}, nil
}

package follow

import (
	"context"
	"maps"
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
	// Wait is how long to wait for newer objects if they are too old; staleWait if that is longer.
	Wait time.Duration
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
// waits for new data: when a fleet starts, the instance that asks the store and
// those that follow it start at the same time. After that it returns [platform.ErrUnavailable]. It
// returns [platform.ErrHistoryGone] if removals since the first part are not kept any more.
func (m *Mirror) List(ctx context.Context, r ListRequest) (ListPart, error) {
	timeout := time.NewTimer(max(staleWait, r.Wait))
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
	// AwaitFresh asks to wait for newer data for as long as for a change if the data is too old.
	AwaitFresh bool
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
	// endCurrentAt ends the watch once the data is known to have been the newest at this time.
	endCurrentAt time.Duration
	interrupts   int
	// staleDeadline is until when the watch waits for newer data if the data is too old.
	staleDeadline time.Duration
	// wasFresh is set once the data was fresh enough to be served at a check. From then on the
	// watch fails at once when the data gets too old.
	wasFresh bool
}

func (m *Mirror) watch(r *WatchRequest) watch {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	wait := staleWait
	if r.AwaitFresh {
		wait = max(wait, r.Wait)
	}
	return watch{kind: r.Kind, since: r.Since, limit: r.Limit, staleDeadline: now + wait, endCurrentAt: now - r.KnownAge + minFreshnessGain, interrupts: m.interrupts}
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
		return platform.Page{}, w.wasFresh || now >= w.staleDeadline, recheck{k.changed, max(w.staleDeadline-now, minRecheck)}, err
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

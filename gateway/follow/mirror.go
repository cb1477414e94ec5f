package follow

import (
	"cmp"
	"context"
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
// Revisions are those of the store, so a reader can switch from one source to another at any time.
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
	// log names the object of each change, by rising revision. A later change of the same object
	// makes an item outdated.
	log           []change
	removed       []change // of the removed objects that are kept, oldest removal first
	removedNow    int      // number of removed objects in objects
	revision      uint64
	forgottenUpTo uint64 // changes up to this revision can't be listed any more
	freshness     revision.Freshness
	changed       chan struct{} // closed and replaced at every update
}

// change is a change of the object name that has the given revision.
type change struct {
	revision uint64
	name     string
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
func (m *Mirror) replace(kind string, currentAt time.Duration, page *platform.Page, forgottenUpTo uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	if k.revision > 0 && k.revision <= page.Revision {
		k.removeMissing(page)
	} else {
		k.objects, k.log, k.removed, k.removedNow, k.revision = make(map[string]platform.Object, len(page.Objects)), nil, nil, 0, 0
		k.forgottenUpTo = forgottenUpTo
	}
	k.put(page, false)
	k.freshness.Confirm(currentAt)
	k.wake()
}

// removeMissing records the removal of the objects that a list does not hold.
func (k *mirroredKind) removeMissing(page *platform.Page) {
	listed := make(map[string]bool, len(page.Objects))
	for i := range page.Objects {
		listed[page.Objects[i].Name] = true
	}
	gone := platform.Page{Revision: page.Revision}
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

// put stores the objects of a watch or a list.
func (k *mirroredKind) put(page *platform.Page, watched bool) {
	for _, o := range page.Objects {
		if o.Deleted {
			if watched {
				o.Revision = page.Revision // the removal's own revision is not known, and is no higher
			}
			o.Spec, o.Status = nil, nil
			k.removed = append(k.removed, change{o.Revision, o.Name})
		}
		k.set(o)
	}
	k.revision = max(k.revision, page.Revision)
	k.sortLog(len(page.Objects))
	for len(k.removed) > max(minKeptRemovals, len(k.objects)-k.removedNow) {
		k.forget(k.removed[0])
		k.removed = k.removed[1:]
	}
	k.compactLog()
}

// set stores an object and appends its change to the log, unless it is known.
func (k *mirroredKind) set(o platform.Object) {
	old, known := k.objects[o.Name]
	if known && old.Revision == o.Revision && old.Deleted == o.Deleted {
		return
	}
	if known && old.Deleted {
		k.removedNow--
	}
	if o.Deleted {
		k.removedNow++
	}
	k.objects[o.Name] = o
	k.log = append(k.log, change{o.Revision, o.Name})
}

// sortLog sorts the log by revision after some items were appended. The objects of a list come in
// the order of their names, those of a watch in that of their changes.
func (k *mirroredKind) sortLog(appended int) {
	byRevision := func(a, b change) int { return cmp.Compare(a.revision, b.revision) }
	if !slices.IsSortedFunc(k.log[max(len(k.log)-appended-1, 0):], byRevision) {
		slices.SortStableFunc(k.log, byRevision)
	}
}

// forget drops a removed object, unless the object has changed since.
func (k *mirroredKind) forget(removal change) {
	if o := k.objects[removal.name]; o.Deleted && o.Revision == removal.revision {
		k.forgottenUpTo = max(k.forgottenUpTo, o.Revision)
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
	return known && o.Revision == c.revision
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
	// After is the revision of the part before, and ListRevision its [ListPart.ListRevision]; 0 for
	// the first part.
	After, ListRevision uint64
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
	// ListRevision is the revision that was current at the first part.
	ListRevision uint64
	// ForgottenUpTo is the revision up to which removals are not known.
	ForgottenUpTo uint64
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
		if err == nil || errorx.IsOfType(err, platform.ErrHistoryGone) {
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
	if err != nil {
		return ListPart{}, k.changed, err
	}
	part := ListPart{ListRevision: r.ListRevision, ForgottenUpTo: k.forgottenUpTo}
	if r.After == 0 {
		part.ListRevision = k.revision
	}
	if k.forgottenUpTo > part.ListRevision {
		return ListPart{}, nil, platform.ErrHistoryGone.New("changes up to revision %d are not kept any more", k.forgottenUpTo)
	}
	part.Page, part.More = k.since(r.After, r.WithRemoved || r.After > 0, r.Limit)
	part.Age = age
	return part, nil, nil
}

// freshAge returns the age of the objects of a kind. It returns [platform.ErrUnavailable] if they
// are too old to be served or were never read. The caller holds mu.
func (m *Mirror) freshAge(k *mirroredKind, kind string) (time.Duration, error) {
	age, known := k.freshness.Age(m.now())
	if !known || age >= m.maxAge() {
		return 0, platform.ErrUnavailable.New("no fresh objects of kind %s: the age is %v", kind, age)
	}
	return age, nil
}

// since returns the objects that changed after a revision, in the order of their changes. It leaves
// out removed ones unless withRemoved is set. If there are more than limit, the page ends with the
// revision of its last object, and more is set; 0 stands for no limit. The work is in proportion to
// the changes since the revision.
func (k *mirroredKind) since(revision uint64, withRemoved bool, limit int) (page platform.Page, more bool) {
	page.Revision = max(revision, k.revision)
	first, _ := slices.BinarySearchFunc(k.log, revision+1, func(c change, r uint64) int { return cmp.Compare(c.revision, r) })
	for _, c := range k.log[first:] {
		o, known := k.objects[c.name]
		if !known || o.Revision != c.revision || o.Deleted && !withRemoved {
			continue
		}
		// Several objects may share a revision. A page ends between two revisions only.
		if n := len(page.Objects); limit > 0 && n >= limit && page.Objects[n-1].Revision != o.Revision {
			page.Revision = page.Objects[n-1].Revision
			return page, true
		}
		page.Objects = append(page.Objects, o)
	}
	return page, false
}

// WatchRequest asks for the objects that changed.
type WatchRequest struct {
	// Kind is the kind of the objects, and Since the revision after which they changed.
	Kind  string
	Since uint64
	// Wait is the longest time to wait for a change.
	Wait time.Duration
	// Limit is the most objects to return at once; 0 for no limit. The next watch returns the
	// others.
	Limit int
	// KnownAge is the age of the caller's own data. The watch also ends once this instance has data
	// that is fresher by minFreshnessGain. So all instances of a chain have data that is about as
	// fresh as that of the one that asks the store.
	KnownAge time.Duration
}

// Watch returns the objects that changed, removed ones included, and waits for a change if there
// are none. The page has no objects if nothing changed. Watch returns [platform.ErrHistoryGone] if
// the changes since the revision are not kept any more, and [platform.ErrUnavailable] if the data
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
	since uint64
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
	if w.since < k.forgottenUpTo {
		return platform.Page{}, true, recheck{}, platform.ErrHistoryGone.New("changes up to revision %d are not kept any more", k.forgottenUpTo)
	}
	page, _ = k.since(w.since, true, w.limit)
	page.Age = age
	done = len(page.Objects) > 0 || now-age >= w.endCurrentAt || m.interrupts != w.interrupts
	return page, done, recheck{k.changed, max(m.maxAge()-age, minRecheck)}, nil
}

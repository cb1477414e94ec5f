package follow

import (
	"context"
	"sort"
	"sync"
	"time"

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
	objects       map[string]platform.Object // includes the latest maxRemoved removed ones
	removed       []string                   // names, oldest removal first
	revision      uint64
	forgottenUpTo uint64 // changes up to this revision can't be listed any more
	freshness     revision.Freshness
	changed       chan struct{} // closed and replaced at every update
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

// maxRemoved is how many removed objects of a kind are kept. A reader that has missed more of them
// has to list again.
const maxRemoved = 500

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

// replace sets all objects of a kind to those of a list.
func (m *Mirror) replace(kind string, currentAt time.Duration, page *platform.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	k.objects, k.removed, k.forgottenUpTo = map[string]platform.Object{}, nil, page.Revision
	k.put(page)
	k.freshness.Confirm(currentAt)
	k.wake()
}

// update changes the objects of a kind that a watch returned.
func (m *Mirror) update(kind string, currentAt time.Duration, page *platform.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	k.put(page)
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

func (k *mirroredKind) put(page *platform.Page) {
	for _, o := range page.Objects {
		if o.Deleted {
			o.Revision = page.Revision // the removal's own revision is not known, and is no higher
			k.removed = append(k.removed, o.Name)
		}
		k.objects[o.Name] = o
	}
	k.revision = max(k.revision, page.Revision)
	for len(k.removed) > maxRemoved {
		k.forget(k.removed[0])
		k.removed = k.removed[1:]
	}
}

func (k *mirroredKind) forget(name string) {
	if o := k.objects[name]; o.Deleted {
		k.forgottenUpTo = max(k.forgottenUpTo, o.Revision)
		delete(k.objects, name)
	}
}

func (k *mirroredKind) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// List returns all objects of a kind. If there are none yet or they are too old, it waits up to
// staleWait for new data: when a fleet starts, the instance that asks the store and those that
// follow it start at the same time. After that it returns [platform.ErrUnavailable].
func (m *Mirror) List(ctx context.Context, kind string) (platform.Page, error) {
	timeout := time.NewTimer(staleWait)
	defer timeout.Stop()
	for {
		page, changed, err := m.list(kind)
		if err == nil {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return platform.Page{}, err
		case <-ctx.Done():
			return platform.Page{}, err
		}
	}
}

// list returns all objects of a kind. If it fails, it returns the channel that is closed at the
// next update.
func (m *Mirror) list(kind string) (platform.Page, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	age, err := m.freshAge(k, kind)
	if err != nil {
		return platform.Page{}, k.changed, err
	}
	return platform.Page{Objects: k.since(0, false), Revision: k.revision, Age: age}, nil, nil
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
// out removed ones unless withRemoved is set.
func (k *mirroredKind) since(revision uint64, withRemoved bool) []platform.Object {
	var out []platform.Object
	for _, o := range k.objects {
		if o.Revision > revision && (withRemoved || !o.Deleted) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// WatchRequest asks for the objects that changed.
type WatchRequest struct {
	// Kind is the kind of the objects, and Since the revision after which they changed.
	Kind  string
	Since uint64
	// Wait is the longest time to wait for a change.
	Wait time.Duration
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
	return watch{kind: r.Kind, since: r.Since, began: now, endCurrentAt: now - r.KnownAge + minFreshnessGain, interrupts: m.interrupts}
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
	page = platform.Page{Objects: k.since(w.since, true), Revision: max(w.since, k.revision), Age: age}
	done = len(page.Objects) > 0 || now-age >= w.endCurrentAt || m.interrupts != w.interrupts
	return page, done, recheck{k.changed, max(m.maxAge()-age, minRecheck)}, nil
}

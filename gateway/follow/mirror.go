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

// Mirror keeps the objects of some kinds as this instance knows them, for other instances to follow in
// place of the store: a call to the store is counted and priced, and with many instances most of what they
// ask for is the same. Revisions are the store's own, so a follower can change from one source to another
// at any time. It is safe for concurrent use.
type Mirror struct {
	now clock.Func
	// stale returns the age from which what is known is not told any more.
	stale func() time.Duration
	mu    sync.Mutex
	kinds map[string]*mirrored
	// interrupts counts how often the watches that waited were ended.
	interrupts int
}

// mirrored is one kind of objects.
type mirrored struct {
	objects  map[string]platform.Object // removed ones included, for a while
	removed  []string                   // oldest first
	revision uint64
	oldest   uint64 // removals up to here are forgotten
	proof    revision.Freshness
	changed  chan struct{} // closed when there is anything new
}

const (
	// staleStep is the least time between two looks of a waiting watch.
	staleStep = time.Millisecond
	// stalePatience is how long a watch that comes while the knowledge is too old waits for better: this instance
	// may just have noticed that the one it follows is lost, and asks another one or the store, which takes 10 ms.
	stalePatience = 150 * time.Millisecond
	// freshStep is how much fresher the knowledge has to be than the caller's for a watch to end. It is less than
	// the time between two proofs in calm times, 0.9 s, and more than after a change, 0.25 s.
	freshStep = 400 * time.Millisecond
)

// removedMost is how many removed objects are remembered. A follower that is behind more lists again.
const removedMost = 500

// NewMirror returns a mirror that knows nothing. It does not tell what it knows once that is older than
// stale: those who follow have to learn within their own bounds that this instance is cut off.
func NewMirror(now clock.Func, stale func() time.Duration) *Mirror {
	return &Mirror{now: now, stale: stale, kinds: map[string]*mirrored{}}
}

func (m *Mirror) kind(kind string) *mirrored {
	k := m.kinds[kind]
	if k == nil {
		k = &mirrored{objects: map[string]platform.Object{}, changed: make(chan struct{})}
		m.kinds[kind] = k
	}
	return k
}

// replace takes a list.
func (m *Mirror) replace(kind string, proved time.Duration, page *platform.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	k.objects, k.removed, k.oldest = map[string]platform.Object{}, nil, page.Revision
	k.put(page)
	k.proof.Confirm(proved)
	k.wake()
}

// update takes what a watch returned.
func (m *Mirror) update(kind string, proved time.Duration, page *platform.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	k.put(page)
	k.proof.Confirm(proved)
	k.wake()
}

// Interrupt ends all watches that wait: this instance is cut off, and those who follow it should follow another.
func (m *Mirror) Interrupt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupts++
	for _, k := range m.kinds {
		k.wake()
	}
}

// Age returns how old the knowledge of a kind is; false when there is none.
func (m *Mirror) Age(kind string) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kind(kind).proof.Age(m.now())
}

func (k *mirrored) put(page *platform.Page) {
	for _, o := range page.Objects {
		if o.Deleted {
			o.Revision = page.Revision // it is not known more exactly; not earlier than the removal
			k.removed = append(k.removed, o.Name)
		}
		k.objects[o.Name] = o
	}
	k.revision = max(k.revision, page.Revision)
	for len(k.removed) > removedMost {
		k.forget(k.removed[0])
		k.removed = k.removed[1:]
	}
}

func (k *mirrored) forget(name string) {
	if o := k.objects[name]; o.Deleted {
		k.oldest = max(k.oldest, o.Revision)
		delete(k.objects, name)
	}
}

func (k *mirrored) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// List returns all objects of a kind. It waits for a moment where what is known is too old, or nothing is known yet: in a
// fleet that starts, the one that asks the store and those that follow it have just begun.
func (m *Mirror) List(ctx context.Context, kind string) (platform.Page, error) {
	patience := time.NewTimer(stalePatience)
	defer patience.Stop()
	for {
		page, changed, err := m.list(kind)
		if err == nil {
			return page, nil
		}
		select {
		case <-changed:
		case <-patience.C:
			return platform.Page{}, err
		case <-ctx.Done():
			return platform.Page{}, err
		}
	}
}

// list returns all objects of a kind, or what to wait for.
func (m *Mirror) list(kind string) (platform.Page, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	age, err := m.toldAge(k, kind)
	if err != nil {
		return platform.Page{}, k.changed, err
	}
	return platform.Page{Objects: k.since(0, false), Revision: k.revision, Age: age}, nil, nil
}

// toldAge returns how old the knowledge of a kind is, and fails when that is too old to be told.
func (m *Mirror) toldAge(k *mirrored, kind string) (time.Duration, error) {
	age, known := k.proof.Age(m.now())
	if !known || age >= m.stale() {
		return 0, platform.ErrUnavailable.New("what is known of %s is %v old", kind, age)
	}
	return age, nil
}

// since returns the objects that changed after a revision, in the order of their changes.
func (k *mirrored) since(revision uint64, removed bool) []platform.Object {
	var out []platform.Object
	for _, o := range k.objects {
		if o.Revision > revision && (removed || !o.Deleted) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// WatchRequest asks for what changed.
type WatchRequest struct {
	// Kind of objects, and the revision after which they changed.
	Kind  string
	Since uint64
	// Wait is how long to wait for a change.
	Wait time.Duration
	// Known is how old the caller's own knowledge is. The watch also ends when this instance knows noticeably
	// better, so that all who follow each other are about as fresh as the one that asks the store.
	Known time.Duration
}

// Watch returns the objects that changed, waiting for a change. The answer is empty when there was none.
func (m *Mirror) Watch(ctx context.Context, r WatchRequest) (platform.Page, error) {
	timeout := time.NewTimer(r.Wait)
	defer timeout.Stop()
	w := m.watch(&r)
	for {
		page, ended, next, err := m.look(&w)
		if ended {
			return page, err
		}
		stale := time.NewTimer(next.after)
		select {
		case <-next.changed:
			stale.Stop()
		case <-stale.C:
		case <-timeout.C:
			stale.Stop()
			page, _, _, err = m.look(&w)
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
	// enough is the time of a proof that ends it.
	enough     time.Duration
	interrupts int
	// fresh tells that the knowledge was fresh enough to be told at any time since it began.
	fresh bool
}

func (m *Mirror) watch(r *WatchRequest) watch {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	return watch{kind: r.Kind, since: r.Since, began: now, enough: now - r.Known + freshStep, interrupts: m.interrupts}
}

// next is when a watch looks again: when anything has changed, or after some time.
type next struct {
	changed chan struct{}
	after   time.Duration
}

// look returns what a watch would return now, whether it ends with that, and when to look again otherwise: when what is
// known will have grown too old to be told. With a look each 50 ms instead, an instance with 16
// followers woke up 640 times a second.
func (m *Mirror) look(w *watch) (page platform.Page, ended bool, again next, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, now := m.kind(w.kind), m.now()
	age, err := m.toldAge(k, w.kind)
	if err != nil {
		patience := w.began + stalePatience
		return platform.Page{}, w.fresh || now >= patience, next{k.changed, max(patience-now, staleStep)}, err
	}
	w.fresh = true
	if w.since < k.oldest {
		return platform.Page{}, true, next{}, platform.ErrHistoryGone.New("changes up to %d are forgotten", k.oldest)
	}
	page = platform.Page{Objects: k.since(w.since, true), Revision: max(w.since, k.revision), Age: age}
	ended = len(page.Objects) > 0 || now-age >= w.enough || m.interrupts != w.interrupts
	return page, ended, next{k.changed, max(m.stale()-age, staleStep)}, nil
}

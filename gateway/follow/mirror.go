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
	now clock.Now
	// stale is the age from which what is known is not told any more.
	stale time.Duration
	mu    sync.Mutex
	kinds map[string]*mirrored
}

// mirrored is one kind of objects.
type mirrored struct {
	objects  map[string]platform.Object // removed ones included, for a while
	removed  []string                   // oldest first
	revision uint64
	oldest   uint64 // removals up to here are forgotten
	proof    revision.Proof
	changed  chan struct{}
}

// staleStep is how often a waiting watch looks whether the knowledge has grown too old.
const staleStep = 100 * time.Millisecond

// removedMost is how many removed objects are remembered. A follower that is behind more lists again.
const removedMost = 500

// NewMirror returns a mirror that knows nothing. It does not tell what it knows once that is older than
// stale: those who follow have to learn within their own bounds that this instance is cut off.
func NewMirror(now clock.Now, stale time.Duration) *Mirror {
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
	if len(page.Objects) > 0 {
		k.wake()
	}
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

// List returns all objects of a kind. It fails when this instance knows none.
func (m *Mirror) List(_ context.Context, kind string) (platform.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	age, err := m.age(k, kind)
	if err != nil {
		return platform.Page{}, err
	}
	return platform.Page{Objects: k.since(0, false), Revision: k.revision, Age: age}, nil
}

// age returns how old the knowledge of a kind is, and fails when that is too old to be told.
func (m *Mirror) age(k *mirrored, kind string) (time.Duration, error) {
	age, known := k.proof.Age(m.now())
	if !known || age >= m.stale {
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

// Watch returns the objects of a kind that changed after a revision, waiting for a change as long as wait.
func (m *Mirror) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platform.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	stale := time.NewTicker(staleStep)
	defer stale.Stop()
	for {
		page, changed, err := m.look(kind, since)
		if err != nil || len(page.Objects) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-stale.C:
		case <-timeout.C:
			page, _, err = m.look(kind, since)
			return page, err
		case <-ctx.Done():
			return platform.Page{}, platform.ErrUnavailable.Wrap(ctx.Err(), "watch ended")
		}
	}
}

func (m *Mirror) look(kind string, since uint64) (platform.Page, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	age, err := m.age(k, kind)
	if err != nil {
		return platform.Page{}, k.changed, err
	}
	if since < k.oldest {
		return platform.Page{}, k.changed, platform.ErrHistoryGone.New("changes up to %d are forgotten", k.oldest)
	}
	return platform.Page{Objects: k.since(since, true), Revision: max(since, k.revision), Age: age}, k.changed, nil
}

package platform

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"
)

// Memory is an object API in memory, for tests and for the stand-in. The zero value is
// not usable; see [NewMemory].
type Memory struct {
	mu       sync.Mutex
	objects  map[string]Object
	revision uint64
	changed  chan struct{}
	listed   map[string]listing
	lag      time.Duration
	snapshot []Listed
	snapAt   time.Time
}

type listing struct {
	Listed
	until time.Time
}

// NewMemory returns an empty store whose list of instances lags by lag.
func NewMemory(lag time.Duration) *Memory {
	return &Memory{objects: map[string]Object{}, changed: make(chan struct{}), listed: map[string]listing{}, lag: lag}
}

func key(kind, name string) string { return kind + "/" + name }

// Get implements [Client].
func (m *Memory) Get(_ context.Context, kind, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key(kind, name)]
	if !ok {
		return Object{}, ErrNotFound.New("%s %q does not exist", kind, name)
	}
	return o, nil
}

// List implements [Client].
func (m *Memory) List(_ context.Context, kind string) ([]Object, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since([]string{kind}, 0), m.revision, nil
}

func (m *Memory) since(kinds []string, revision uint64) []Object {
	var out []Object
	for _, o := range m.objects {
		for _, k := range kinds {
			if o.Kind == k && o.Revision > revision {
				out = append(out, o)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// Put implements [Client].
func (m *Memory) Put(_ context.Context, kind, name string, value json.RawMessage, ifVersion uint64) (Object, error) {
	return m.write(Object{Kind: kind, Name: name, Value: value}, ifVersion)
}

// Delete implements [Client].
func (m *Memory) Delete(_ context.Context, kind, name string, ifVersion uint64) (Object, error) {
	return m.write(Object{Kind: kind, Name: name, Deleted: true}, ifVersion)
}

func (m *Memory) write(o Object, ifVersion uint64) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.objects[key(o.Kind, o.Name)]
	gone := old.Deleted && ifVersion == 0 && !o.Deleted // a deleted name may be created again
	if old.Version != ifVersion && !gone {
		return old, ErrConflict.New("%s %q has version %d, not %d", o.Kind, o.Name, old.Version, ifVersion)
	}
	m.revision++
	o.Version, o.Revision = old.Version+1, m.revision
	m.objects[key(o.Kind, o.Name)] = o
	close(m.changed)
	m.changed = make(chan struct{})
	return o, nil
}

// Watch implements [Client].
func (m *Memory) Watch(ctx context.Context, kinds []string, since uint64, wait time.Duration) ([]Object, uint64, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		m.mu.Lock()
		out, revision, changed := m.since(kinds, since), m.revision, m.changed
		m.mu.Unlock()
		if len(out) > 0 {
			return out, revision, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, since, ErrUnavailable.Wrap(ctx.Err(), "watch ended")
		}
	}
}

// Instances implements [Client].
func (m *Memory) Instances(context.Context) ([]Listed, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.snapshot == nil || now.Sub(m.snapAt) >= m.lag {
		m.snapshot, m.snapAt = m.current(now), now
	}
	return m.snapshot, nil
}

func (m *Memory) current(now time.Time) []Listed {
	out := make([]Listed, 0, len(m.listed))
	for id, l := range m.listed {
		if now.After(l.until) {
			delete(m.listed, id)
			continue
		}
		out = append(out, l.Listed)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Register implements [Client].
func (m *Memory) Register(_ context.Context, l Listed, ttl time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed[l.ID] = listing{l, time.Now().Add(ttl)}
	return nil
}

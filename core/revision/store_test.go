package revision

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func record(name string, version uint64) Record {
	return Record{ID: ID{"deployment", name}, Version: version, Value: fmt.Appendf(nil, "%s-%d", name, version)}
}

func TestApplyRejectsOlderVersions(t *testing.T) {
	s := NewStore()
	assert.Assert(t, s.Apply(record("a", 3)))
	assert.Assert(t, !s.Apply(record("a", 2)))
	assert.Assert(t, !s.Apply(record("a", 3)))
	assert.Assert(t, !s.Apply(record("b", 0)))
	r, ok := s.Get(ID{"deployment", "a"})
	assert.Assert(t, ok)
	assert.Equal(t, string(r.Value), "a-3")
	assert.Equal(t, s.Stale(), uint64(1))
}

func TestOldRecordDoesNotRestoreDeletedObject(t *testing.T) {
	s := NewStore()
	s.Apply(record("a", 1))
	deleted := record("a", 2)
	deleted.Deleted = true
	assert.Assert(t, s.Apply(deleted))
	assert.Assert(t, !s.Apply(record("a", 1)))
	_, ok := s.Get(ID{"deployment", "a"})
	assert.Assert(t, !ok)
	assert.Equal(t, s.Version(ID{"deployment", "a"}), uint64(2))
	assert.Equal(t, len(s.List("deployment")), 0)
	assert.Assert(t, s.Apply(record("a", 3)))
}

// TestStoresConvergeInAnyOrder applies records in random order, with repeats, to two stores. After
// an exchange of the differing buckets both hold the same versions.
func TestStoresConvergeInAnyOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	a, b := NewStore(), NewStore()
	for range 2000 {
		r := record(fmt.Sprint("d", rnd.IntN(300)), 1+rnd.Uint64N(9))
		r.Deleted = r.Version == 5
		if rnd.IntN(2) == 0 {
			a.Apply(r)
		} else {
			b.Apply(r)
		}
	}
	assert.Assert(t, a.Digest() != b.Digest())
	for _, r := range a.Differing(b.Buckets()) {
		b.Apply(r)
	}
	for _, r := range b.Differing(a.Buckets()) {
		a.Apply(r)
	}
	assert.Equal(t, a.Digest(), b.Digest())
	assert.Equal(t, len(a.Differing(b.Buckets())), 0)
}

func TestDifferingReturnsOnlyDifferingBuckets(t *testing.T) {
	a, b := NewStore(), NewStore()
	const objects = 19000
	for i := range objects {
		a.Apply(record(fmt.Sprint("t", i), 1))
		b.Apply(record(fmt.Sprint("t", i), 1))
	}
	a.Apply(record("t7", 2))
	n := len(a.Differing(b.Buckets()))
	assert.Assert(t, n < 2*objects/BucketCount, "%d records", n)
	assert.Equal(t, len(NewStore().Buckets()), BucketCount)
	assert.Equal(t, len(a.Differing(nil)), objects)
	assert.Equal(t, NewStore().Digest(), uint64(0))
}

// TestNewerNamesWhatAListLacks compares a store with the versions of a list: higher versions, deleted objects and
// those that the list lacks are newer.
func TestNewerNamesWhatAListLacks(t *testing.T) {
	s := NewStore()
	for name, version := range map[string]uint64{"same": 2, "higher": 3, "lower": 1, "missing": 1} {
		s.Apply(record(name, version))
	}
	deleted := record("deleted", 5)
	deleted.Deleted = true
	s.Apply(deleted)
	var names []string
	for _, r := range s.Newer(deleted.Kind, map[string]uint64{"same": 2, "higher": 2, "lower": 4, "deleted": 4}) {
		names = append(names, r.Name)
	}
	assert.DeepEqual(t, names, []string{"deleted", "higher", "missing"})
	held, known := s.Held(deleted.ID)
	assert.Assert(t, known && held.Deleted)
}

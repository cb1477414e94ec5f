package revision

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets of a digest.
const BucketCount = 64

// ID identifies an object.
type ID struct{ Kind, Name string }

// Record is one version of an object.
type Record struct {
	ID
	Version uint64
	Value   []byte
	Deleted bool
}

// Store holds the highest version seen of each object, deleted ones included.
type Store struct {
	records map[ID]Record
	buckets [BucketCount]uint64
	stale   uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{records: map[ID]Record{}} }

// Apply takes a record if it is newer than the one held, and reports whether it did. Versions start
// at 1; a record of version 0 is never taken.
func (s *Store) Apply(r Record) bool {
	old, held := s.records[r.ID]
	if held && r.Version <= old.Version {
		if r.Version < old.Version {
			s.stale++
		}
		return false
	}
	if r.Version == 0 {
		return false
	}
	b := bucket(r.ID)
	if held {
		s.buckets[b] ^= recordHash(old)
	}
	s.buckets[b] ^= recordHash(r)
	s.records[r.ID] = r
	return true
}

// Get returns the record of an object. It returns false if the object is unknown or deleted.
func (s *Store) Get(id ID) (Record, bool) {
	r, ok := s.records[id]
	if !ok || r.Deleted {
		return Record{}, false
	}
	return r, true
}

// Version returns the version held of an object, also if it is deleted; 0 if the object is unknown.
func (s *Store) Version(id ID) uint64 { return s.records[id].Version }

// Held returns the record of an object, also if it is deleted.
func (s *Store) Held(id ID) (r Record, known bool) {
	r, known = s.records[id]
	return r, known
}

// List returns the records of a kind, sorted by name, without deleted ones.
func (s *Store) List(kind string) []Record {
	var out []Record
	for id, r := range s.records {
		if id.Kind == kind && !r.Deleted {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Newer returns the records of a kind, deleted ones included, whose version is higher than the given one of
// their name. They are sorted by name.
func (s *Store) Newer(kind string, versions map[string]uint64) []Record {
	var out []Record
	for id, r := range s.records {
		if id.Kind == kind && r.Version > versions[id.Name] {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Len returns the number of records, deleted ones included.
func (s *Store) Len() int { return len(s.records) }

// Stale returns how many of the records passed to [Store.Apply] were older than the one held.
func (s *Store) Stale() uint64 { return s.stale }

// Digest returns a hash of all versions held; 0 for an empty store.
func (s *Store) Digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	empty := true
	for _, v := range s.buckets {
		empty = empty && v == 0
		binary.LittleEndian.PutUint64(b[:], v)
		_, _ = d.Write(b[:])
	}
	if empty {
		return 0
	}
	return d.Sum64()
}

// Buckets returns the digest of each bucket.
func (s *Store) Buckets() []uint64 { return append([]uint64(nil), s.buckets[:]...) }

// Differing returns the records in the buckets whose digests differ from those of another store,
// sorted by kind and name. It returns all records if remoteBuckets has the wrong length.
func (s *Store) Differing(remoteBuckets []uint64) []Record {
	var out []Record
	for id, r := range s.records {
		b := bucket(id)
		if len(remoteBuckets) != BucketCount || remoteBuckets[b] != s.buckets[b] {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Kind != out[j].Kind {
			return out[i].Kind < out[j].Kind
		}
		return out[i].Name < out[j].Name
	})
	return out
}

func bucket(id ID) int {
	return int(xxhash.Sum64String(id.Kind+"\x00"+id.Name) % BucketCount)
}

func recordHash(r Record) uint64 {
	var v [8]byte
	binary.LittleEndian.PutUint64(v[:], r.Version)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Kind + "\x00" + r.Name + "\x00")
	_, _ = d.Write(v[:])
	return d.Sum64()
}

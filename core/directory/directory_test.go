package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k     = Key{"team", "key"}
	a     = Owner{"a", 1}
	b     = Owner{"b", 2}
	place = Place{Attempt: 1, Endpoint: "e", Stream: "s"}
)

// running returns a directory with one generation that has a stream.
func running() *Directory {
	d := New(DefaultSettings())
	d.Register(epoch, k, 7, "g", a)
	d.Update(epoch, Entry{Key: k, Request: 7, Generation: "g", Owner: a, Place: place})
	return d
}

// A key is granted once; a second request with it learns of the running generation or is refused as
// another request.
func TestRegister(t *testing.T) {
	d := New(DefaultSettings())
	got, _ := d.Register(epoch, k, 7, "g", a)
	assert.Equal(t, got, Granted)
	got, e := d.Register(epoch, k, 7, "h", b)
	assert.Equal(t, got, Exists)
	assert.Equal(t, e.Generation, "g")
	got, _ = d.Register(epoch, k, 8, "h", b)
	assert.Equal(t, got, Mismatch)
}

// A takeover must not succeed before there is a stream to continue, for another request, or for
// another team.
func TestTakeOverNeedsStreamAndSameRequest(t *testing.T) {
	d := New(DefaultSettings())
	d.Register(epoch, k, 7, "g", a)
	_, ok := d.TakeOver(epoch, k, 7, b)
	assert.Assert(t, !ok, "no stream yet")
	d = running()
	_, ok = d.TakeOver(epoch, k, 8, b)
	assert.Assert(t, !ok, "another request")
	_, ok = d.TakeOver(epoch, Key{"other", "key"}, 7, b)
	assert.Assert(t, !ok, "another team")
}

// Of two takeovers the later one must win at the engine, so its attempt number is higher. Late
// updates of the former owner must not change the entry.
func TestLaterTakeOverHasHigherAttempt(t *testing.T) {
	d := running()
	first, ok := d.TakeOver(epoch, k, 7, b)
	assert.Assert(t, ok)
	second, ok := d.TakeOver(epoch, k, 7, Owner{"c", 3})
	assert.Assert(t, ok)
	assert.Assert(t, second.Place.Attempt > first.Place.Attempt && first.Place.Attempt > place.Attempt)
	// A late update of the former owner changes nothing.
	late := Entry{Key: k, Request: 7, Generation: "g", Owner: a, Place: Place{Attempt: 5, Endpoint: "x", Stream: "y"}}
	assert.Assert(t, !d.Update(epoch, late))
	d.Finish(epoch, k, a, false)
	assert.Equal(t, d.Len(), 1)
}

// The stream of a generation whose owner is gone would hold an engine without a reader. It is
// returned for cancelling after the grace period, unless the caller came back.
func TestOrphansAreReturnedAfterGrace(t *testing.T) {
	d := running()
	gone := func(o Owner) bool { return o == a }
	d.StartOrphanGrace(epoch, gone)
	assert.Equal(t, len(d.Expire(epoch.Add(9*time.Second))), 0)
	orphans := d.Expire(epoch.Add(10 * time.Second))
	assert.Equal(t, len(orphans), 1)
	assert.Equal(t, orphans[0].Place, place)

	d = running()
	d.StartOrphanGrace(epoch, gone)
	d.TakeOver(epoch.Add(time.Second), k, 7, b) // the caller came back
	assert.Equal(t, len(d.Expire(epoch.Add(time.Minute))), 0)
}

// A complete answer is kept for a while, since the caller may have lost its end; its stream must
// not be cancelled. An incomplete one is deleted, so that the request can be registered again.
func TestFinishedEntriesAreKeptAndNeverOrphans(t *testing.T) {
	d := running()
	d.Finish(epoch, k, a, true)
	_, ok := d.TakeOver(epoch.Add(time.Second), k, 7, b)
	assert.Assert(t, ok, "the caller lost the end of its answer")
	d = running()
	d.Finish(epoch, k, a, true)
	assert.Equal(t, len(d.Expire(epoch.Add(time.Minute))), 0)
	assert.Equal(t, d.Len(), 0)
	d = running()
	d.Finish(epoch, k, a, false)
	got, _ := d.Register(epoch, k, 7, "h", b)
	assert.Equal(t, got, Granted, "a refused request may be asked again")
}

// A full directory grants requests without keeping entries, and deletes entries that were not
// updated within IdleTTL.
func TestEntriesAreBounded(t *testing.T) {
	set := DefaultSettings()
	set.MaxEntries = 2
	d := New(set)
	for i := range 5 {
		got, _ := d.Register(epoch, Key{"t", fmt.Sprint(i)}, 1, "g", a)
		assert.Equal(t, got, Granted)
	}
	assert.Equal(t, d.Len(), 2)
	d.Expire(epoch.Add(set.IdleTTL))
	assert.Equal(t, d.Len(), 0)
}

// Keys are spread evenly over members, and removing a member moves only the keys that it held.
func TestRankSpreadsKeysAndMovesOnlyLostOnes(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	counts, moved := map[string]int{}, 0
	const keys = 9000
	for i := range keys {
		key := Key{"t", fmt.Sprint(i)}
		top := Rank(key, members, 2)
		counts[top[0]]++
		if Rank(key, members[1:], 2)[0] != top[0] && top[0] != "a" {
			moved++
		}
	}
	for m, n := range counts {
		assert.Assert(t, n > 800 && n < 1200, "%s holds %d of %d", m, n, keys)
	}
	assert.Equal(t, moved, 0)
}

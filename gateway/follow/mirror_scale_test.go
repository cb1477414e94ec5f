package follow

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
)

// largeMirror returns a mirror of n objects, whose revisions are 1 to n.
func largeMirror(n int) *Mirror {
	m := NewMirror(func() time.Duration { return 0 }, func() time.Duration { return time.Minute })
	page := &platform.Page{Revision: uint64(n)}
	for i := range n {
		page.Objects = append(page.Objects, object(fmt.Sprint("e", i), uint64(i+1)))
	}
	m.replace("k", 0, page, pos(page.Revision))
	return m
}

// TestReplacementOfManyKeepsHistory: nearly half of the objects are removed and replaced between two
// watches. A reader gets the changes. Before, it had to list all again if more than 500 were
// removed, and with it each of its followers.
func TestReplacementOfManyKeepsHistory(t *testing.T) {
	for _, n := range []int{300, 3000, 10000} {
		m, revision := largeMirror(n), uint64(n)
		for i := range n * 45 / 100 {
			revision += 2
			gone := object(fmt.Sprint("e", i), 0)
			gone.Deleted = true
			m.update("k", 0, &platform.Page{Objects: []platform.Object{object(fmt.Sprint("new", i), revision-1), gone}, Revision: revision})
		}
		page, err := m.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(uint64(n))})
		assert.NilError(t, err, "%d objects", n)
		assert.Equal(t, len(page.Objects), 2*(n*45/100))
	}
}

// TestRemovedObjectsAreBounded: a mirror keeps about as many removed objects as it has others, and
// its log of changes stays in proportion to both.
func TestRemovedObjectsAreBounded(t *testing.T) {
	m, revision := largeMirror(1000), uint64(1000)
	for i := range 20000 {
		revision += 2
		gone := object(fmt.Sprint("e", i), 0)
		gone.Deleted = true
		m.update("k", 0, &platform.Page{Objects: []platform.Object{object(fmt.Sprint("e", i+1000), revision-1), gone}, Revision: revision})
	}
	k := m.kind("k")
	assert.Equal(t, len(k.objects), 2000)
	assert.Equal(t, k.removedNow, 1000)
	assert.Assert(t, len(k.log) <= 2*len(k.objects)+65, "%d", len(k.log))
}

// readAll reads a mirror part by part, and calls between after each part.
func readAll(m *Mirror, limit int, between func()) (map[string]uint64, uint64, error) {
	found, r := map[string]uint64{}, ListRequest{Kind: "k", Limit: limit}
	for {
		part, err := m.List(context.Background(), r)
		if err != nil {
			return nil, 0, err
		}
		for _, o := range part.Objects {
			found[o.Name] = o.Revision
			if o.Deleted {
				delete(found, o.Name)
			}
		}
		if !part.More {
			return found, part.Revision, nil
		}
		r.After, r.ListedAt = part.Position(), part.ListedAt
		between()
	}
}

// TestListInPartsIsComplete: objects change and are removed while a reader lists them part by part.
// The parts and a watch after them give what the mirror holds.
func TestListInPartsIsComplete(t *testing.T) {
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		m, revision := largeMirror(200), uint64(200)
		mutate := func() {
			for range rnd.IntN(20) {
				revision++
				o := object(fmt.Sprint("e", rnd.IntN(260)), revision)
				o.Deleted = rnd.IntN(3) == 0
				m.update("k", 0, &platform.Page{Objects: []platform.Object{o}, Revision: revision})
			}
		}
		found, at, err := readAll(m, 20+rnd.IntN(50), mutate)
		assert.NilError(t, err)
		mutate()
		page, err := m.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(at)})
		assert.NilError(t, err)
		for _, o := range page.Objects {
			found[o.Name] = o.Revision
			if o.Deleted {
				delete(found, o.Name)
			}
		}
		want := map[string]uint64{}
		for name, o := range m.kind("k").objects {
			if !o.Deleted {
				want[name] = o.Revision
			}
		}
		assert.Assert(t, maps.Equal(found, want), "seed %d", seed)
	}
}

// TestListInPartsFailsIfRemovalsAreForgotten: a reader whose list takes so long that removals since
// its first part are forgotten has to begin anew.
func TestListInPartsFailsIfRemovalsAreForgotten(t *testing.T) {
	m, revision := largeMirror(50), uint64(50)
	_, _, err := readAll(m, 10, func() {
		for i := range minKeptRemovals {
			revision++
			gone := object(fmt.Sprint("x", revision, i), revision)
			gone.Deleted = true
			m.update("k", 0, &platform.Page{Objects: []platform.Object{gone}, Revision: revision})
		}
	})
	assert.Assert(t, errorx.IsOfType(err, platform.ErrHistoryGone))
}

// TestPartsEndBetweenRevisions: objects that share a revision are in one part, so that none of them
// is left out by the next one.
func TestPartsEndBetweenRevisions(t *testing.T) {
	m := largeMirror(10)
	page := &platform.Page{Revision: 20}
	for i := range 6 {
		o := object(fmt.Sprint("e", i), 0)
		o.Deleted = true
		page.Objects = append(page.Objects, o)
	}
	m.update("k", 0, page)
	got, err := m.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(10), Limit: 2})
	assert.NilError(t, err)
	assert.Equal(t, len(got.Objects), 6)
}

// TestWatchCostsTheSameInAnyMirror: a watch that returns one change allocates as much with 10,000
// objects as with 256. Before, each watch walked over all objects, for each of 16 followers.
func TestWatchCostsTheSameInAnyMirror(t *testing.T) {
	allocations := map[int]float64{}
	for _, n := range []int{256, 10000} {
		m, revision := largeMirror(n), uint64(n)
		allocations[n] = testing.AllocsPerRun(50, func() {
			revision++
			m.update("k", 0, &platform.Page{Objects: []platform.Object{object("e7", revision)}, Revision: revision})
			page, err := m.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(revision - 1)})
			assert.NilError(t, err)
			assert.Equal(t, len(page.Objects), 1)
		})
	}
	assert.Assert(t, allocations[10000] <= 2*allocations[256], "%v", allocations)
}

func BenchmarkWatchOfOneChange(b *testing.B) {
	for _, n := range []int{256, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, revision := largeMirror(n), uint64(n)
			for b.Loop() {
				revision++
				m.update("k", 0, &platform.Page{Objects: []platform.Object{object("e7", revision)}, Revision: revision})
				_, _ = m.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(revision - 1)})
			}
		})
	}
}

// TestListPassesOnHistory: an instance that has listed from another one serves the same watches as
// that one. Before, each list began a history of its own: when a fleet started and its instances
// changed their sources, nearly all of them listed everything two or three times.
func TestListPassesOnHistory(t *testing.T) {
	first := NewMirror(func() time.Duration { return 0 }, func() time.Duration { return time.Minute })
	first.replace("k", 0, &platform.Page{Revision: 1}, pos(1))
	revision := uint64(1)
	for i := range 300 {
		revision++
		o := object(fmt.Sprint("e", i/2), revision)
		o.Deleted = i%20 == 19
		first.update("k", 0, &platform.Page{Objects: []platform.Object{o}, Revision: revision})
	}
	part, err := first.List(context.Background(), ListRequest{Kind: "k", WithRemoved: true})
	assert.NilError(t, err)
	second := NewMirror(func() time.Duration { return 0 }, func() time.Duration { return time.Minute })
	second.replace("k", 0, &part.Page, part.ForgottenUpTo)
	for _, since := range []uint64{1, 100, 250} {
		want, err := first.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(since)})
		assert.NilError(t, err)
		got, err := second.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(since)})
		assert.NilError(t, err)
		assert.DeepEqual(t, names(got), names(want))
	}
	live, err := second.List(context.Background(), ListRequest{Kind: "k"})
	assert.NilError(t, err)
	assert.Equal(t, len(live.Objects), 150-15)
}

// TestListOfTheStoreKeepsHistory: the instance that asks the store finds its history gone and lists
// again. Those that follow it get what has changed. Before, each of them had to list too.
func TestListOfTheStoreKeepsHistory(t *testing.T) {
	m := largeMirror(100)
	gone := object("e3", 0)
	gone.Deleted = true
	m.update("k", 0, &platform.Page{Objects: []platform.Object{gone}, Revision: 110})
	list := &platform.Page{Objects: []platform.Object{object("new", 150)}, Revision: 160}
	for i := range 100 {
		if i != 3 && i != 5 {
			list.Objects = append(list.Objects, object(fmt.Sprint("e", i), uint64(i+1)))
		}
	}
	m.replace("k", 0, list, pos(list.Revision))
	for since, want := range map[uint64][]string{100: {"-e3", "new", "-e5"}, 110: {"new", "-e5"}, 160: {}} {
		page, err := m.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(since)})
		assert.NilError(t, err)
		assert.DeepEqual(t, names(page), want)
	}
	part, err := m.List(context.Background(), ListRequest{Kind: "k"})
	assert.NilError(t, err)
	assert.Equal(t, len(part.Objects), 99)
}

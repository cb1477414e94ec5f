package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/platform"
)

func object(name string, revision uint64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte("{}")}
}

// pos returns a position of a store that states no era.
func pos(r uint64) revision.Position { return revision.Position{Revision: r} }

func names(p platform.Page) []string {
	out := []string{}
	for _, o := range p.Objects {
		name := o.Name
		if o.Deleted {
			name = "-" + name
		}
		out = append(out, name)
	}
	return out
}

// newTestMirror returns a mirror of two objects that were last known to be the newest 100 ms ago,
// and the time at which its clock was 0.
func newTestMirror() (*Mirror, time.Time) {
	began := time.Now()
	m := NewMirror(func() time.Duration { return time.Since(began) }, func() time.Duration { return time.Minute })
	m.replace("k", 0, &platform.Page{Objects: []platform.Object{object("a", 5), object("b", 7)}, Revision: 9}, pos(9))
	time.Sleep(100 * time.Millisecond)
	return m, began
}

func TestMirrorListsAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := newTestMirror()
		ctx := context.Background()
		list, err := m.List(ctx, ListRequest{Kind: "k"})
		assert.NilError(t, err)
		assert.DeepEqual(t, names(list.Page), []string{"a", "b"})
		assert.Equal(t, list.Revision, uint64(9))
		assert.Equal(t, list.Age, 100*time.Millisecond)
		began := time.Now()
		page, err := m.Watch(ctx, WatchRequest{Kind: "k", Since: pos(9), Wait: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, len(page.Objects), 0)
		assert.Equal(t, time.Since(began), time.Second)
		assert.Equal(t, page.Age, 1100*time.Millisecond, "the age has to grow during the wait")
		time.AfterFunc(50*time.Millisecond, func() {
			gone := object("a", 5)
			gone.Deleted = true
			m.update("k", time.Second, &platform.Page{Objects: []platform.Object{object("c", 11), gone}, Revision: 12})
		})
		page, err = m.Watch(ctx, WatchRequest{Kind: "k", Since: pos(9), Wait: time.Second})
		assert.NilError(t, err)
		assert.DeepEqual(t, names(page), []string{"c", "-a"})
		assert.Equal(t, page.Revision, uint64(12))
		page, err = m.Watch(ctx, WatchRequest{Kind: "k", Since: pos(11), Wait: time.Second}) // as a reader that has c from the store
		assert.NilError(t, err)
		assert.DeepEqual(t, names(page), []string{"-a"})
		list, err = m.List(ctx, ListRequest{Kind: "k"})
		assert.NilError(t, err)
		assert.DeepEqual(t, names(list.Page), []string{"b", "c"})
	})
}

func TestEmptyMirrorIsUnavailable(t *testing.T) {
	m := NewMirror(func() time.Duration { return 0 }, func() time.Duration { return time.Minute })
	_, err := m.List(context.Background(), ListRequest{Kind: "k"})
	assert.Assert(t, errorx.IsOfType(err, platform.ErrUnavailable))
	_, err = m.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(1), Wait: time.Millisecond})
	assert.Assert(t, errorx.IsOfType(err, platform.ErrUnavailable))
}

// TestMirrorReportsForgottenHistory checks that a reader has to list again if it missed removals
// that are not kept any more, or if its revision is older than that of the mirror's own list.
func TestMirrorReportsForgottenHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := newTestMirror()
		ctx := context.Background()
		_, err := m.Watch(ctx, WatchRequest{Kind: "k", Since: pos(8), Wait: time.Millisecond})
		assert.Assert(t, errorx.IsOfType(err, platform.ErrHistoryGone))
		for i := range minKeptRemovals + 1 {
			o := object(fmt.Sprint("x", i), 10)
			o.Deleted = true
			m.update("k", 0, &platform.Page{Objects: []platform.Object{o}, Revision: uint64(10 + i)})
		}
		_, err = m.Watch(ctx, WatchRequest{Kind: "k", Since: pos(9), Wait: time.Millisecond})
		assert.Assert(t, errorx.IsOfType(err, platform.ErrHistoryGone))
		_, err = m.Watch(ctx, WatchRequest{Kind: "k", Since: pos(10), Wait: time.Millisecond})
		assert.NilError(t, err)
	})
}

// TestStaleMirrorEndsWaitingWatch checks that a waiting watch fails as soon as the data is too old.
// Instances that follow a mirror without fresh data have to change to another source in time;
// otherwise they send new requests to endpoints that have left.
func TestStaleMirrorEndsWaitingWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		m := NewMirror(func() time.Duration { return time.Since(began) }, func() time.Duration { return 1250 * time.Millisecond })
		m.replace("k", 0, &platform.Page{Revision: 9}, pos(9))
		time.Sleep(time.Second)
		_, err := m.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(9), Wait: time.Second})
		assert.Assert(t, errorx.IsOfType(err, platform.ErrUnavailable))
		assert.Assert(t, time.Since(began) <= 1350*time.Millisecond)
		_, err = m.List(context.Background(), ListRequest{Kind: "k"})
		assert.Assert(t, errorx.IsOfType(err, platform.ErrUnavailable))
	})
}

// TestAwaitFresh: a reader that knows no instance with fresh data gets newer data as soon as there is some, by
// a watch and by a list. Without such data it learns of that when its wait is over.
func TestAwaitFresh(t *testing.T) {
	const wait, maxAge = 400 * time.Millisecond, time.Minute
	for name, read := range map[string]func(m *Mirror) error{
		"watch": func(m *Mirror) error {
			_, err := m.Watch(context.Background(), WatchRequest{Kind: "k", Since: pos(9), Wait: wait, AwaitFresh: true})
			return err
		},
		"list": func(m *Mirror) error {
			_, err := m.List(context.Background(), ListRequest{Kind: "k", Wait: wait})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, start := newTestMirror()
				time.Sleep(2 * maxAge)
				began := time.Now()
				assert.Assert(t, errorx.IsOfType(read(m), platform.ErrUnavailable))
				assert.Equal(t, time.Since(began), wait)
				time.AfterFunc(wait-time.Millisecond, func() {
					m.update("k", time.Since(start), &platform.Page{Objects: []platform.Object{object("c", 11)}, Revision: 11})
				})
				began = time.Now()
				assert.NilError(t, read(m))
				assert.Equal(t, time.Since(began), wait-time.Millisecond)
			})
		})
	}
}

package follow

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/platform"
)

// modelStore is a store that returns from copies of itself.
type modelStore struct {
	era, revision, forgottenUpTo uint64
	objects                      map[string]platform.Object
	log                          []platform.Object
	copy                         *modelStore
}

func (s *modelStore) put(name, content string, deleted bool) {
	s.revision++
	o := platform.Object{Name: name, Revision: s.revision, Era: s.era, Spec: []byte(content), Deleted: deleted}
	if deleted {
		delete(s.objects, name)
	} else {
		s.objects[name] = o
	}
	s.log = append(s.log, o)
}

func (s *modelStore) takeCopy() {
	s.copy = &modelStore{revision: s.revision, objects: maps.Clone(s.objects)}
}

func (s *modelStore) goBack() {
	s.era, s.revision, s.forgottenUpTo = s.era+1, s.copy.revision, s.copy.revision
	s.objects, s.log = maps.Clone(s.copy.objects), nil
}

// List implements [Store].
func (s *modelStore) List(context.Context, string) (platform.Page, error) {
	page := platform.Page{Revision: s.revision, Era: s.era}
	for _, o := range s.objects {
		o.Era = s.era // an answer states one era for all
		page.Objects = append(page.Objects, o)
	}
	return page, nil
}

// Watch implements [Store].
func (s *modelStore) Watch(_ context.Context, _ string, since revision.Position, _ time.Duration) (platform.Page, error) {
	if since.Era != s.era || since.Revision < s.forgottenUpTo || since.Revision > s.revision {
		return platform.Page{}, platform.ErrHistoryGone.New("gone")
	}
	page := platform.Page{Revision: s.revision, Era: s.era}
	for _, o := range s.log {
		if o.Revision > since.Revision {
			page.Objects = append(page.Objects, o)
		}
	}
	return page, nil
}

// mirrorStore reads from a mirror as an instance reads from another one.
type mirrorStore struct {
	m     *Mirror
	limit int
}

// List implements [Store].
func (s *mirrorStore) List(ctx context.Context, kind string) (platform.Page, error) {
	r := ListRequest{Kind: kind, WithRemoved: true, Limit: s.limit}
	byName := map[string]platform.Object{}
	for {
		part, err := s.m.List(ctx, r)
		if err != nil {
			return platform.Page{}, err
		}
		for _, o := range part.Objects {
			byName[o.Name] = o
		}
		if !part.More {
			page := part.Page
			page.Objects = nil
			for _, o := range byName {
				page.Objects = append(page.Objects, o)
			}
			return page, nil
		}
		r.After, r.ListedAt = part.Position(), part.ListedAt
	}
}

// Watch implements [Store].
func (s *mirrorStore) Watch(ctx context.Context, kind string, since revision.Position, _ time.Duration) (platform.Page, error) {
	return s.m.Watch(ctx, WatchRequest{Kind: kind, Since: since, Limit: s.limit})
}

// reader reads a kind of objects as a loop does, into a mirror of its own.
type reader struct {
	mirror *Mirror
	at     revision.Position
	listed bool
	held   map[string]string
}

func newReader() *reader {
	now := func() time.Duration { return time.Hour }
	return &reader{mirror: NewMirror(now, func() time.Duration { return 2 * time.Hour }), held: map[string]string{}}
}

// read reads once from a source. It does not accept an earlier era than the one it knows.
func (r *reader) read(source Store) {
	ctx := context.Background()
	if !r.listed {
		page, err := source.List(ctx, "k")
		if err != nil || page.Era < r.at.Era {
			return
		}
		clear(r.held)
		r.take(&page)
		forgotten := page.Position()
		if page.ForgottenUpTo.Revision > 0 {
			forgotten = page.ForgottenUpTo
		}
		r.mirror.replace("k", time.Hour, &page, forgotten)
		r.listed = true
		return
	}
	page, err := source.Watch(ctx, "k", r.at, 0)
	if errorx.IsOfType(err, platform.ErrHistoryGone) {
		r.listed = false
		r.read(source)
		return
	}
	if err != nil || page.Era < r.at.Era {
		return
	}
	r.take(&page)
	r.mirror.update("k", time.Hour, &page)
}

func (r *reader) take(page *platform.Page) {
	for _, o := range page.Objects {
		if o.Deleted {
			delete(r.held, o.Name)
		} else {
			r.held[o.Name] = string(o.Spec)
		}
	}
	r.at = page.Position()
}

// TestReadersAcrossEras: a store changes and returns from copies of itself, also twice in a row, with
// revisions that are given out again. Readers follow it directly or each other, and change their sources
// at any time. In the end each of them holds what the store holds.
func TestReadersAcrossEras(t *testing.T) {
	for seed := range uint64(1500) {
		synctest.Test(t, func(t *testing.T) { playEras(t, seed) })
	}
}

func playEras(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := &modelStore{era: 1, objects: map[string]platform.Object{}}
	s.put("a", "first", false)
	s.takeCopy()
	readers := []*reader{newReader(), newReader(), newReader(), newReader()}
	for range 60 {
		switch i := rnd.IntN(len(readers)); rnd.IntN(12) {
		case 0:
			s.takeCopy()
		case 1:
			s.goBack()
		case 2, 3, 4:
			s.put(fmt.Sprint("o", rnd.IntN(5)), fmt.Sprint("content ", rnd.Uint64()), rnd.IntN(3) == 0)
		case 5, 6:
			readers[i].read(s)
		case 7:
			readers[i] = newReader() // it starts again
		default:
			readers[i].read(&mirrorStore{readers[rnd.IntN(len(readers))].mirror, rnd.IntN(3)})
		}
	}
	want := map[string]string{}
	for name, o := range s.objects {
		want[name] = string(o.Spec)
	}
	readers[0].read(s)
	for i := 1; i < len(readers); i++ {
		for range 20 { // parts of one object
			readers[i].read(&mirrorStore{readers[i-1].mirror, 1})
		}
	}
	for i, r := range readers {
		assert.Assert(t, maps.Equal(r.held, want), "seed %d, reader %d holds %v, want %v", seed, i, r.held, want)
		assert.Equal(t, r.at.Era, s.era, "seed %d, reader %d", seed, i)
	}
}

package follow

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/listing"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/platform"
)

// batchStore returns changes in answers of at most 500, and takes 4 ms for each.
type batchStore struct{ revision, newest uint64 }

func (s *batchStore) List(context.Context, string) (platform.Page, error) {
	return platform.Page{Revision: s.revision}, nil
}

func (s *batchStore) Watch(_ context.Context, _ string, from revision.Position, wait time.Duration) (platform.Page, error) {
	const batch = 500
	since := from.Revision
	time.Sleep(4 * time.Millisecond)
	page := platform.Page{Revision: min(since+batch, s.newest)}
	for r := since + 1; r <= page.Revision; r++ {
		page.Objects = append(page.Objects, object("e", r))
	}
	if len(page.Objects) == 0 {
		time.Sleep(wait)
	}
	return page, nil
}

// TestManyChangesArriveWithoutPauses: 10,000 changes at once come in twenty answers of the store.
// The pause that collects single changes would make that four seconds.
func TestManyChangesArriveWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchStore{newest: 10000}
		log := logrus.New()
		log.SetOutput(io.Discard)
		began := time.Now()
		now := func() time.Duration { return time.Since(began) + time.Hour }
		e := &Endpoints{list: listing.New(listing.DefaultSettings()), decoded: map[string]revision.Position{}, interner: newInterner(), onChange: func(Update) {}}
		e.loop = loop{Options: Options{
			Source: func() Source { return Source{Store: store, Direct: true} }, Mirror: NewMirror(now, func() time.Duration { return time.Minute }),
			Wait: time.Second, Now: now, Log: logrus.NewEntry(log),
		}, kind: "k", pauseAfterChange: endpointsPauseAfterChange}
		ctx, cancel := context.WithCancel(t.Context())
		go e.Run(ctx)
		time.Sleep(300 * time.Millisecond)
		part, err := e.loop.Mirror.List(ctx, ListRequest{Kind: "k"})
		assert.NilError(t, err)
		assert.Equal(t, part.Revision, store.newest)
		cancel()
		time.Sleep(2 * time.Second)
	})
}

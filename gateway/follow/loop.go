package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/platform"
)

// Store is what is read of the platform's store.
type Store interface {
	// List returns all objects of a kind, and the revision to watch from.
	List(ctx context.Context, kind string) (platform.Page, error)
	// Watch returns the objects that changed after a revision, waiting for a change as long as wait.
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platform.Page, error)
}

// follower is what a loop keeps in step.
type follower interface {
	// replace takes a list, changed what a watch returned. began is when the read began.
	replace(began time.Duration, objects []platform.Object)
	changed(began time.Duration, objects []platform.Object)
	// unreachable takes a failed read.
	unreachable(began time.Duration)
}

// loop lists and watches one kind of objects.
type loop struct {
	store Store
	kind  string
	wait  time.Duration
	// gap is the least time between two watches, so that a run of changes costs one call.
	gap    time.Duration
	log    *logrus.Entry
	broken bool
}

// Pauses after a failed call: they double up to pauseMost, which is short against the time that
// entries take to come back after an outage.
const (
	pauseLeast = 50 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
)

func (l *loop) run(ctx context.Context, f follower) {
	var since uint64
	listed := false
	pause := pauseLeast
	for ctx.Err() == nil {
		began := clock.Boot()
		var page platform.Page
		var err error
		if listed {
			page, err = l.store.Watch(ctx, l.kind, since, l.wait)
		} else {
			page, err = l.store.List(ctx, l.kind)
		}
		if err != nil {
			listed = listed && !errorx.IsOfType(err, platform.ErrHistoryGone)
			if l.failed(ctx, f, began, err) {
				sleep(ctx, pause/2+rand.N(pause))
				pause = min(2*pause, pauseMost)
			}
			continue
		}
		l.worked()
		pause = pauseLeast
		if listed {
			f.changed(began, page.Objects)
		} else {
			f.replace(began, page.Objects)
		}
		since, listed = page.Revision, true
		if len(page.Objects) > 0 {
			sleep(ctx, l.gap)
		}
	}
}

// failed takes a failed call, and tells whether to pause.
func (l *loop) failed(ctx context.Context, f follower, began time.Duration, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if errorx.IsOfType(err, platform.ErrHistoryGone) {
		l.log.WithField("kind", l.kind).Info("the store's history is gone; listing again")
		return false
	}
	f.unreachable(began)
	if !l.broken {
		l.broken = true
		l.log.WithError(err).WithField("kind", l.kind).Warn("store lost")
	}
	return true
}

func (l *loop) worked() {
	if l.broken {
		l.broken = false
		l.log.WithField("kind", l.kind).Info("store regained")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// Store is what is read of the platform's store.
type Store interface {
	// List returns all objects of a kind, and the revision to watch from.
	List(ctx context.Context, kind string) (platform.Page, error)
	// Watch returns the objects that changed after a revision, waiting for a change as long as wait.
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platform.Page, error)
}

// Source is whom to ask.
type Source struct {
	Store
	// Direct tells that it is the store itself, whose calls are counted, and not another instance.
	Direct bool
}

// follower is what a loop keeps in step.
type follower interface {
	// replace takes a list, changed what a watch returned. proved is a time at which there certainly
	// was nothing newer.
	replace(proved time.Duration, objects []platform.Object)
	changed(proved time.Duration, objects []platform.Object)
	// unreachable takes a failed read.
	unreachable(began time.Duration)
}

// Options of a follower.
type Options struct {
	// Source returns whom to ask next: the store, or another instance that follows it.
	Source func() Source
	// Mirror takes what is known, for instances that follow this one.
	Mirror *Mirror
	// Wait is how long a watch waits.
	Wait time.Duration
	Now  clock.Func
	Log  *logrus.Entry
}

// loop lists and watches one kind of objects.
type loop struct {
	Options
	kind string
	// gap is the least time between two watches of the store, so that a run of changes costs one call.
	gap             time.Duration
	broken, hurried bool
}

// Pauses after a failed call: they double up to pauseMost, which is short against the time that
// entries take to come back after an outage.
const (
	pauseLeast = 50 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
	// brokenWait is how long a watch waits while the store does not answer.
	brokenWait = 10 * time.Millisecond
	// hurriedWait is how long the watch after a change waits.
	hurriedWait = 250 * time.Millisecond
)

func (l *loop) run(ctx context.Context, f follower) {
	var since uint64
	listed := false
	backoff := pauseLeast
	for ctx.Err() == nil {
		began := l.Now()
		source := l.Source()
		var page platform.Page
		var err error
		if listed {
			page, err = source.Watch(ctx, l.kind, since, l.patience())
		} else {
			page, err = source.List(ctx, l.kind)
		}
		if err != nil {
			listed = listed && !errorx.IsOfType(err, platform.ErrHistoryGone)
			if l.failed(ctx, f, began, err) {
				pause.For(ctx, backoff/2+rand.N(backoff))
				backoff = min(2*backoff, pauseMost)
			}
			continue
		}
		backoff = pauseLeast
		l.take(f, listed, began, &page)
		l.worked()
		changedNow := source.Direct && len(page.Objects) > 0
		l.hurried = listed && changedNow
		since, listed = page.Revision, true
		if changedNow {
			pause.For(ctx, l.gap)
		}
	}
}

// take hands on what a call returned.
func (l *loop) take(f follower, watched bool, began time.Duration, page *platform.Page) {
	if page.Unreadable > 0 {
		l.Log.WithFields(logrus.Fields{"kind": l.kind, "objects": page.Unreadable, "revision": page.Revision}).Warn("objects can't be read; left out")
	}
	proved := l.proved(began, page)
	if watched {
		f.changed(proved, page.Objects)
		l.Mirror.update(l.kind, proved, page)
		return
	}
	f.replace(proved, page.Objects)
	l.Mirror.replace(l.kind, proved, page)
}

// proved returns a time at which there certainly was nothing newer than the answer to a watch. The answer was made
// no sooner than it was held back after the watch began.
func (l *loop) proved(began time.Duration, page *platform.Page) time.Duration {
	return began + page.MinWait - page.Age
}

// patience returns how long the next watch waits: hardly at all while the store does not answer, so that
// its return is noticed soon.
//
// After a change a watch of the store waits less: one that returned a change proves only what was known when it
// began, and the next one has to prove more before that is too old for those who follow.
func (l *loop) patience() time.Duration {
	switch {
	case l.broken:
		return brokenWait
	case l.hurried:
		return min(hurriedWait, l.Wait)
	}
	return l.Wait
}

// failed takes a failed call, and tells whether to pause.
func (l *loop) failed(ctx context.Context, f follower, began time.Duration, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if errorx.IsOfType(err, platform.ErrHistoryGone) {
		l.Log.WithField("kind", l.kind).Info("the store's history is gone; listing again")
		return false
	}
	f.unreachable(began)
	if !l.broken {
		l.broken = true
		l.Log.WithError(err).WithField("kind", l.kind).Warn("source lost")
	}
	return true
}

func (l *loop) worked() {
	if l.broken {
		l.broken = false
		l.Log.WithField("kind", l.kind).Info("source regained")
	}
}

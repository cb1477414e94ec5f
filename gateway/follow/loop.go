package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/unusable"
	"github.com/agateway/agateway/platform"
)

// Store reads objects of the platform's store.
type Store interface {
	// List returns all objects of a kind, and the revision to watch from. It may return removed
	// objects too.
	List(ctx context.Context, kind string) (platform.Page, error)
	// Watch returns the objects that changed after a position. If there are none it waits for a
	// change, for wait at the longest.
	Watch(ctx context.Context, kind string, since revision.Position, wait time.Duration) (platform.Page, error)
}

// Source is where objects are read from.
type Source struct {
	Store
	// Direct is set if Store is the platform's store itself, whose calls are counted and charged,
	// and not another instance.
	Direct bool
	// First is set for an instance that [Options.First] returned.
	First bool
}

// follower holds the objects of one kind that a loop reads.
type follower interface {
	// replace sets all objects to those of a list, and update changes those that a watch returned.
	// currentAt is the latest time at which it is certain that there was nothing newer.
	replace(currentAt time.Duration, objects []platform.Object)
	update(currentAt time.Duration, objects []platform.Object)
	// readFailed records a failed read that began at a time.
	readFailed(began time.Duration)
}

// Options configure [Configuration], [Endpoints] and [Rollouts].
type Options struct {
	// Source returns where to read next: from the store, or from another instance that follows it.
	Source func() Source
	// First returns another instance to list from in place of the store, before anything was read; what it
	// knows may be of any age. It returns false once all were tried. Others may know what the store has lost
	// by returning from an older copy. Nil stands for no other instances.
	First func(tried int) (Source, bool)
	// Regained tells the loops of all kinds that a source answers again after calls have failed. It ends their
	// pauses. Nil if each loop finds out for itself.
	Regained *pause.Signal
	// Mirror gets all that is read, for instances that follow this one.
	Mirror *Mirror
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	Now  clock.Func
	Log  *logrus.Entry
	// Unusable gets the objects that can't be decoded; nil for none.
	Unusable *unusable.Entries
}

// loop lists and watches one kind of objects.
type loop struct {
	Options
	kind string
	// pauseAfterChange is the pause after a call to the store that returned objects. It lets one
	// call return all changes of that time.
	pauseAfterChange time.Duration
	// failing is set while calls fail, and changedLast if the last call was a watch of the store
	// that returned a change.
	failing, changedLast bool
	// storeAnswered is set if the last call went to the store and was answered.
	storeAnswered bool
	// backoff is the mean time from a failed call to the next one.
	backoff time.Duration
	// told is set while calls fail once another loop has told that a source answers again.
	told bool
	// at is the position of the last answer.
	at revision.Position
	// holdEnds is when objects that the store has lost are not held any more; zero if none are.
	holdEnds time.Duration
	// heldAtFailure is set if objects were held when calls began to fail.
	heldAtFailure bool
	// askedFirst is how often First was asked. First is nil once it returned false.
	askedFirst int
}

const (
	// minBackoff and maxBackoff bound the mean pause after a failed call, which doubles with each
	// failure. maxBackoff is short compared with the time that entries take to come back after an
	// outage.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// fullPage is the number of changes from which on an answer of the store is not followed by a
	// pause. There are more to come, and a pause would only delay them: 9,999 endpoints that start
	// come in twenty answers.
	fullPage = 100
	// waitWhileFailing is how long a watch waits that finds out whether the source answers.
	waitWhileFailing = 10 * time.Millisecond
	// waitAfterChange bounds the wait of a watch that comes after one of the store that returned a
	// change.
	waitAfterChange = 250 * time.Millisecond
)

func (l *loop) run(ctx context.Context, f follower) {
	listed := false
	for ctx.Err() == nil {
		began := l.Now()
		regained := l.Regained.Next()
		source := l.source()
		watch := listed && !l.relistDue(&source)
		var page platform.Page
		var err error
		if watch {
			page, err = source.Watch(ctx, l.kind, l.at, l.watchWait(&source))
		} else {
			page, err = source.List(ctx, l.kind)
		}
		if err != nil && source.First {
			l.Log.WithField("kind", l.kind).WithError(err).Info("no first list from another instance")
			continue
		}
		l.storeAnswered = err == nil && source.Direct
		if err != nil {
			listed = listed && !errorx.IsOfType(err, platform.ErrHistoryGone)
			if l.failing || !pause.Notified(regained) {
				l.failed(ctx, f, &failure{began, err, regained})
			}
			continue
		}
		l.noteEra(&page, source.Direct)
		l.extendHold()
		if source.Direct {
			l.holdUntilRewritten(watch, &page)
		}
		l.deliver(f, watch, began, &page)
		l.succeeded()
		storeChanged := source.Direct && len(page.Objects) > 0
		l.changedLast, listed = watch && storeChanged, true
		if storeChanged && len(page.Objects) < fullPage {
			pause.For(ctx, l.pauseAfterChange)
		}
	}
}

// relistDue reports whether a list takes the place of a watch, since the hold is over. It waits until the
// store has answered a watch, which finds out sooner than a list whether the store answers.
func (l *loop) relistDue(s *Source) bool { return s.Direct && l.storeAnswered && l.holdIsOver() }

// source returns where to read next.
func (l *loop) source() Source {
	source := l.Source()
	if !source.Direct || l.at.Revision > 0 || l.First == nil {
		return source
	}
	first, ok := l.First(l.askedFirst)
	l.askedFirst++
	if !ok {
		l.First = nil
		return source
	}
	return first
}

// noteEra records the position of an answer, and logs that it is of another era of the store than the one
// before.
func (l *loop) noteEra(page *platform.Page, direct bool) {
	if l.at.Revision > 0 && page.Era != l.at.Era {
		l.Log.WithFields(logrus.Fields{
			"kind": l.kind, "era": page.Era, "revision": page.Revision, "era_before": l.at.Era, "revision_before": l.at.Revision, "direct": direct,
		}).Warn("the store's era has changed")
		l.holdEnds = l.Now() + ReturnHold
	}
	l.at = page.Position()
}

// deliver passes the result of a call to the follower and to the mirror. watched is set for a
// watch.
func (l *loop) deliver(f follower, watched bool, began time.Duration, page *platform.Page) {
	if page.Unreadable > 0 {
		l.Log.WithFields(logrus.Fields{"kind": l.kind, "objects": page.Unreadable, "revision": page.Revision}).Warn("ignoring unreadable objects")
	}
	currentAt := l.currentAt(began, page)
	if watched {
		f.update(currentAt, page.Objects)
		l.Mirror.update(l.kind, currentAt, page)
		return
	}
	l.Unusable.Listed(l.kind, page.Objects)
	f.replace(currentAt, slices.DeleteFunc(slices.Clone(page.Objects), func(o platform.Object) bool { return o.Deleted }))
	forgottenUpTo := page.Position()
	if page.ForgottenUpTo.Revision > 0 {
		forgottenUpTo = page.ForgottenUpTo
	}
	l.Mirror.replace(l.kind, currentAt, page, forgottenUpTo)
}

// currentAt returns the latest time at which it is certain that nothing was newer than the answer
// to a call. The answer was held back for page.Held after the call began, and its data was page.Age
// old then.
func (l *loop) currentAt(began time.Duration, page *platform.Page) time.Duration {
	return began + page.MinWait - page.Age
}

// watchWait returns how long the next watch waits. After a failed call, and at the first one to the
// store itself, the wait is very short, so that it is noticed soon whether the source answers.
//
// After a change a watch waits less too. A watch that returned a change only shows that the data
// was the newest when the watch began. The next watch has to confirm it at a later time before the
// data is too old for the instances that follow this one.
func (l *loop) watchWait(s *Source) time.Duration {
	switch {
	case l.failing || s.Direct && !l.storeAnswered:
		return waitWhileFailing
	case l.changedLast:
		return min(waitAfterChange, l.Wait)
	}
	return l.Wait
}

// failure is a call that has failed.
type failure struct {
	began time.Duration
	err   error
	// regained tells of a source that has answered since the call began.
	regained <-chan struct{}
}

// failed handles a failed call. It returns when the next one is due.
func (l *loop) failed(ctx context.Context, f follower, failed *failure) {
	if ctx.Err() != nil {
		return
	}
	if errorx.IsOfType(failed.err, platform.ErrHistoryGone) {
		l.Log.WithField("kind", l.kind).Info("the store's history is gone; listing again")
		return
	}
	f.readFailed(failed.began)
	if !l.failing {
		l.failing, l.backoff, l.heldAtFailure = true, minBackoff, failed.began < l.holdEnds
		l.Log.WithError(failed.err).WithField("kind", l.kind).Warn("source lost")
	}
	elapsed := l.Now() - failed.began // a call without an answer was a pause itself
	if pause.UntilNotified(ctx, l.backoff/2+rand.N(l.backoff)-elapsed, failed.regained) {
		l.told = true
	}
	l.backoff = min(2*l.backoff, maxBackoff)
}

func (l *loop) succeeded() {
	if l.failing {
		l.Log.WithField("kind", l.kind).Info("source regained")
		if !l.told {
			l.Regained.Notify()
		}
		l.failing, l.told = false, false
	}
}

package follow

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/platform"
)

// When the store returns from an older copy of itself, what was written since is gone. The operator and the
// endpoints write it again within some seconds. Until then, the instance that asks the store passes on what
// it held before where that is later, and so do all that follow it: what was in force stays in force.

// ReturnHold is how long after the store's return an older state of an object is not taken for its newest
// one. Endpoints write to the store about every second.
const ReturnHold = 5 * time.Second

// holdUntilRewritten corrects an answer of the store itself. Of two states of an object, that with the higher
// count of its own writer is the later one. In a list within ReturnHold, objects that are not there again yet
// are kept, and those that were removed before are left out.
func (l *loop) holdUntilRewritten(watched bool, page *platform.Page) {
	holding := l.Now() < l.holdEnds
	if watched {
		page.Objects = l.withoutOlder(page.Objects)
		return
	}
	if l.holdIsOver() {
		l.holdEnds = 0
	}
	held := l.Mirror.objects(l.kind)
	kept, undone, left := 0, 0, 0
	objects := page.Objects[:0:0]
	for _, o := range page.Objects {
		old, known := held[o.Name]
		delete(held, o.Name)
		switch {
		case holding && known && old.Deleted && old.Era < page.Era:
			left++
		case (holding || l.kind == platform.KindConfiguration) && known && l.isLater(&old, &o):
			undone++
			objects = append(objects, old)
		default:
			objects = append(objects, o)
		}
	}
	for _, old := range held {
		if holding && !old.Deleted {
			kept++
			objects = append(objects, old)
		}
	}
	page.Objects = objects
	if kept+undone+left > 0 {
		l.Log.WithFields(logrus.Fields{"kind": l.kind, "era": page.Era, "revision": page.Revision, "kept": kept, "older": undone, "removed_before": left}).Warn("holding what the store has lost")
	}
}

// extendHold lets a hold begin anew when calls succeed again: what the store has lost could not be written
// meanwhile.
func (l *loop) extendHold() {
	if l.failing && l.heldAtFailure {
		l.holdEnds = l.Now() + ReturnHold
	}
}

// withoutOlder drops objects that are older states of what is held.
func (l *loop) withoutOlder(objects []platform.Object) []platform.Object {
	out := objects[:0:0]
	for i := range objects {
		o := &objects[i]
		if old, known := l.Mirror.object(l.kind, o.Name); !known || o.Deleted || old.Deleted || !l.isLater(&old, o) {
			out = append(out, *o)
		}
	}
	return out
}

// isLater reports whether a state of an object is later than another one, by the count of the same writer.
func (l *loop) isLater(a, b *platform.Object) bool {
	x, known := platform.ProgressOf(l.kind, a)
	if !known {
		return false
	}
	y, known := platform.ProgressOf(l.kind, b)
	return known && x.Writer == y.Writer && x.Count > y.Count
}

// holdIsOver reports whether the store's objects have to be listed again, since ReturnHold has passed.
func (l *loop) holdIsOver() bool { return l.holdEnds > 0 && l.Now() >= l.holdEnds }

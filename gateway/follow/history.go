package follow

import (
	"bytes"
	"slices"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/platform"
)

// mirroredKind holds the objects of one kind.
type mirroredKind struct {
	objects map[string]platform.Object // includes the latest removed ones, without their content
	// log names the object of each change, by rising position. A later change of the same object
	// makes an item outdated.
	log           []change
	removed       []change // of the removed objects that are kept, oldest removal first
	removedNow    int      // number of removed objects in objects
	at            revision.Position
	forgottenUpTo revision.Position // changes up to this position can't be listed any more
	// gaps are where a list took the place of the changes, oldest first.
	gaps      []gap
	freshness revision.Freshness
	changed   chan struct{} // closed and replaced at every update
}

// gap is a part of the history of which this mirror knows only the result: it held the objects as of from,
// and then those of a list as of to. A reader in between may hold objects of which it knows nothing.
type gap struct{ from, to revision.Position }

// maxGaps bounds the gaps that are kept.
const maxGaps = 8

// change is a change of the object name at a position.
type change struct {
	at   revision.Position
	name string
}

// minKeptRemovals is how many removals of a kind are kept at least. As many are kept as there are
// objects, if that is more. A reader that has missed more of them has to list again.
const minKeptRemovals = 500

// extendedBy reports whether all that a list changes against the objects known is later than these, so that
// a reader of before learns of it.
func (k *mirroredKind) extendedBy(page *platform.Page) bool {
	if k.at.Revision == 0 || k.at.After(page.Position()) {
		return false
	}
	for i := range page.Objects {
		o := &page.Objects[i]
		old, known := k.objects[o.Name]
		if !o.Deleted && !o.Position().After(k.at) && !(known && sameObject(&old, o)) {
			return false
		}
	}
	return true
}

// withoutRemoved returns a list without its removed objects.
func withoutRemoved(page *platform.Page) *platform.Page {
	out := *page
	out.Objects = slices.DeleteFunc(slices.Clone(page.Objects), func(o platform.Object) bool { return o.Deleted })
	return &out
}

// removeMissing records the removal of the objects that a list does not hold. Removed ones in the list may
// have been removed before the objects known were read.
func (k *mirroredKind) removeMissing(page *platform.Page) {
	listed := make(map[string]bool, len(page.Objects))
	for i := range page.Objects {
		listed[page.Objects[i].Name] = !page.Objects[i].Deleted
	}
	gone := platform.Page{Revision: page.Revision, Era: page.Era}
	for name, o := range k.objects {
		if !listed[name] && !o.Deleted {
			gone.Objects = append(gone.Objects, platform.Object{Name: name, Deleted: true})
		}
	}
	k.put(&gone, true)
}

// addGap records that the changes between the position known and a later one are not known one by one.
func (k *mirroredKind) addGap(to revision.Position) {
	if k.at.Revision == 0 || !to.After(k.at) {
		return
	}
	k.gaps = append(k.gaps, gap{k.at, to})
	if len(k.gaps) > maxGaps {
		k.forgottenUpTo = revision.Latest(k.forgottenUpTo, k.gaps[0].to)
		k.gaps = k.gaps[1:]
	}
}

// lastGapEnd returns the end of the last gap; zero if there is none.
func (k *mirroredKind) lastGapEnd() revision.Position {
	if len(k.gaps) == 0 {
		return revision.Position{}
	}
	return k.gaps[len(k.gaps)-1].to
}

// put stores the objects of a watch or a list.
func (k *mirroredKind) put(page *platform.Page, watched bool) {
	for _, o := range page.Objects {
		if o.Deleted {
			if watched {
				o.Era, o.Revision = page.Era, page.Revision // the removal's own revision is not known, and is no higher
			}
			o.Spec, o.Status = nil, nil
			k.removed = append(k.removed, change{o.Position(), o.Name})
		}
		k.set(o)
	}
	k.at = revision.Latest(k.at, page.Position())
	k.sortLog(len(page.Objects))
	for len(k.removed) > max(minKeptRemovals, len(k.objects)-k.removedNow) {
		k.forget(k.removed[0])
		k.removed = k.removed[1:]
	}
	k.compactLog()
}

// sameObject reports whether two objects are the same one. In another era a revision may have been
// given out again, with other content.
func sameObject(a, b *platform.Object) bool {
	if a.Revision != b.Revision || a.Deleted != b.Deleted {
		return false
	}
	return a.Era == b.Era || bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status)
}

// set stores an object and appends its change to the log, unless it is known.
func (k *mirroredKind) set(o platform.Object) {
	old, known := k.objects[o.Name]
	if known && sameObject(&old, &o) {
		return
	}
	if known && old.Deleted {
		k.removedNow--
	}
	if o.Deleted {
		k.removedNow++
	}
	k.objects[o.Name] = o
	k.log = append(k.log, change{o.Position(), o.Name})
}

// sortLog sorts the log by position after some items were appended. The objects of a list come in
// the order of their names, those of a watch in that of their changes.
func (k *mirroredKind) sortLog(appended int) {
	byPosition := func(a, b change) int { return a.at.Compare(b.at) }
	if !slices.IsSortedFunc(k.log[max(len(k.log)-appended-1, 0):], byPosition) {
		slices.SortStableFunc(k.log, byPosition)
	}
}

// forget drops a removed object, unless the object has changed since.
func (k *mirroredKind) forget(removal change) {
	if o := k.objects[removal.name]; o.Deleted && o.Position() == removal.at {
		k.forgottenUpTo = revision.Latest(k.forgottenUpTo, removal.at)
		delete(k.objects, removal.name)
		k.removedNow--
	}
}

// compactLog drops the outdated items once they are more than half of the log.
func (k *mirroredKind) compactLog() {
	const minLog = 64 // a shorter log is not worth it
	if len(k.log) > 2*len(k.objects)+minLog {
		k.log = slices.DeleteFunc(k.log, func(c change) bool { return !k.isLatest(c) })
	}
}

// isLatest reports whether an item of the log is the latest change of its object.
func (k *mirroredKind) isLatest(c change) bool {
	o, known := k.objects[c.name]
	return known && o.Position() == c.at
}

func (k *mirroredKind) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// removedAfter reports whether an object was removed after a position. The revision of a removal is not
// known, only that of the answer that told of it.
func (k *mirroredKind) removedAfter(from revision.Position) bool {
	return len(k.removed) > 0 && k.removed[len(k.removed)-1].at.After(from)
}

// canContinue returns [platform.ErrHistoryGone] if the changes after a position are not known: the reader
// is within a gap, or does not say of which era it is and has a revision that the store does not have. It
// returns [platform.ErrUnavailable] to a reader that knows a newer era.
func (k *mirroredKind) canContinue(from revision.Position) error {
	if from.Era > k.at.Era {
		return platform.ErrUnavailable.New("no objects of era %d", from.Era)
	}
	if from.Era == 0 && k.at.Era > 0 {
		if from.Revision > k.at.Revision {
			return platform.ErrHistoryGone.New("no objects of revision %d", from.Revision)
		}
		from.Era = k.at.Era
	}
	for _, g := range k.gaps {
		if from.After(g.from) && g.to.After(from) {
			return platform.ErrHistoryGone.New("the changes after %v are not known", from)
		}
	}
	return nil
}

// since returns the objects that changed after a position, in the order of their changes. It leaves
// out removed ones unless withRemoved is set. If there are more than limit, the page ends with the
// position of its last object, and more is set; 0 stands for no limit. The work is in proportion to
// the changes since the position.
func (k *mirroredKind) since(from revision.Position, withRemoved bool, limit int) (page platform.Page, more bool) {
	if from.Era == 0 && from.Revision > 0 {
		from.Era = k.at.Era // of a reader that does not say
	}
	end := revision.Latest(from, k.at)
	page.Era, page.Revision = end.Era, end.Revision
	next := revision.Position{Era: from.Era, Revision: from.Revision + 1}
	first, _ := slices.BinarySearchFunc(k.log, next, func(c change, p revision.Position) int { return c.at.Compare(p) })
	for _, c := range k.log[first:] {
		o, known := k.objects[c.name]
		if !known || o.Position() != c.at || o.Deleted && !withRemoved {
			continue
		}
		// Several objects may share a position. A page ends between two positions only.
		if n := len(page.Objects); limit > 0 && n >= limit && page.Objects[n-1].Position() != c.at {
			page.Era, page.Revision = page.Objects[n-1].Era, page.Objects[n-1].Revision
			return page, true
		}
		page.Objects = append(page.Objects, o)
	}
	return page, false
}

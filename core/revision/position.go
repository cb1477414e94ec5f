package revision

import "cmp"

// Position is a point in the history of the platform's store. The store may return from an older
// copy of itself. It then counts its revisions on from a lower one, and its era rises. So a revision
// means something only together with its era, and a position of a newer era is later whatever its
// revision. The zero value is before all others.
type Position struct{ Era, Revision uint64 }

// Compare returns -1, 0 or 1 if p is before, equal to or after o.
func (p Position) Compare(o Position) int {
	if c := cmp.Compare(p.Era, o.Era); c != 0 {
		return c
	}
	return cmp.Compare(p.Revision, o.Revision)
}

// After reports whether p is after o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// Latest returns the later one of two positions.
func Latest(a, b Position) Position {
	if a.After(b) {
		return a
	}
	return b
}

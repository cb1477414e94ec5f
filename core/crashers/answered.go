package crashers

import "time"

// answeredParts remembers when parts of prompts were answered last. It holds the parts of one or two
// generations of maxAnsweredParts each, and forgets the older generation when the newer one is full.
type answeredParts struct{ newer, older map[Subject]time.Time }

// maxAnsweredParts bounds a generation. A record has about 100 bytes.
const maxAnsweredParts = 2048

func (a *answeredParts) add(part Subject, at time.Time) {
	if len(a.newer) >= maxAnsweredParts {
		a.older, a.newer = a.newer, nil
	}
	if a.newer == nil {
		a.newer = map[Subject]time.Time{}
	}
	a.newer[part] = at
}

// last returns when a part was answered last; zero if that is not known.
func (a *answeredParts) last(part Subject) time.Time {
	if at, ok := a.newer[part]; ok {
		return at
	}
	return a.older[part]
}

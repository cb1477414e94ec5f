package soak

import (
	"slices"
	"sync"
	"time"
)

// storeSubject is the subject of disruptions of the store. The other subjects are the names of
// processes and workers.
const storeSubject = "store"

// settleTime is how long after a disruption a guarantee with a time bound may still be late:
// instances need this time to find each other and the store again.
const settleTime = 3 * time.Second

// disruptions records what was disrupted and when. A guarantee with a time bound is checked only
// where no disruption prevented it. It is safe for concurrent use; the zero value is empty.
type disruptions struct {
	mu  sync.Mutex
	all []disruption
}

// disruption is one period in which a subject is disrupted; endedAt is zero while it lasts.
type disruption struct {
	subject            string
	startedAt, endedAt time.Time
}

// start records that a subject is disrupted from now on, and returns the function that ends the
// disruption.
func (h *disruptions) start(subject string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.all)
	h.all = append(h.all, disruption{subject: subject, startedAt: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.all[i].endedAt = time.Now()
	}
}

// recordInstant records a disruption that ends at once.
func (h *disruptions) recordInstant(subject string) { h.start(subject)() }

// count returns how many disruptions of a subject there were between from and to.
func (h *disruptions) count(from, to time.Time, subject string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, d := range h.all {
		if d.subject == subject && !d.startedAt.After(to) && (d.endedAt.IsZero() || !d.endedAt.Before(from)) {
			n++
		}
	}
	return n
}

// undisturbed reports whether no subject was disrupted between from and to, or within settleTime
// before from.
func (h *disruptions) undisturbed(from, to time.Time, subjects ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range h.all {
		if !slices.Contains(subjects, one.subject) || one.startedAt.After(to) {
			continue
		}
		if one.endedAt.IsZero() || one.endedAt.Add(settleTime).After(from) {
			return false
		}
	}
	return true
}

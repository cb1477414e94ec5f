package soak

import (
	"slices"
	"sync"
	"time"
)

// theStore is a subject of harm besides processes and workers, which are named.
const theStore = "store"

// settle is how long after harm has ended a promise with a time bound may still be late: instances find each other
// and the store again.
const settle = 3 * time.Second

// harms remembers what was harmed when, so that a promise with a time bound is checked where nothing kept it from
// being held. It is safe for concurrent use; the zero value is empty.
type harms struct {
	mu  sync.Mutex
	all []harm
}

// harm is one time of harm to a subject; ended is zero while it lasts.
type harm struct {
	subject      string
	began, ended time.Time
}

// begin records that a subject is harmed from now on, and returns what ends it.
func (h *harms) begin(subject string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.all)
	h.all = append(h.all, harm{subject: subject, began: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.all[i].ended = time.Now()
	}
}

// moment records harm that is over at once.
func (h *harms) moment(subject string) { h.begin(subject)() }

// spared tells whether none of some subjects was harmed from a time to another, nor shortly before.
func (h *harms) spared(from, to time.Time, subjects ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range h.all {
		if !slices.Contains(subjects, one.subject) || one.began.After(to) {
			continue
		}
		if one.ended.IsZero() || one.ended.Add(settle).After(from) {
			return false
		}
	}
	return true
}

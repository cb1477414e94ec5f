package limits

import (
	"sort"
	"time"
)

// WaitQueue orders the requests that wait at one instance for capacity of a service. Under overload
// it decides which request goes first (the lowest rank, then the earliest arrival), and which is
// refused at once because capacity is not expected while the answer would still be on time. The
// estimate follows the recent rate of admissions at this instance. A request that would be first
// may always wait.
//
// It does no I/O and reads no clock, and is not safe for concurrent use. The zero value is empty.
type WaitQueue struct {
	waiting    []queuedRequest // the next to be admitted is first
	admissions []time.Time
	// full tells that the first waiting request looked for capacity and found none.
	full bool
	// fullAt is when that happened last; zero for never.
	fullAt time.Time
}

type queuedRequest struct {
	id   uint64
	rank int
	at   time.Time
}

// The admission rate is estimated from the last maxAdmissions admissions within admissionWindow.
const (
	admissionWindow = 3 * time.Second
	maxAdmissions   = 64
)

// Join lets a request wait until latest. It returns false if capacity is not expected by then.
// expected is the estimated wait; 0 if none was estimated. No request is refused before the first
// one in the queue has found the endpoints full. Requests that arrive at the same moment queue for
// microseconds only, and after a start or a period of low load the recent admission rate is that of
// the callers, not of the endpoints. Without this rule all but the first of the callers that return
// after a restart of the whole fleet would be refused.
func (q *WaitQueue) Join(now time.Time, id uint64, rank int, latest time.Time) (waits bool, expected time.Duration) {
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].rank > rank })
	if at > 0 && q.full {
		expected = q.waitFor(now, at+1)
		if now.Add(expected).After(latest) {
			return false, expected
		}
	}
	q.waiting = append(q.waiting, queuedRequest{})
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = queuedRequest{id, rank, now}
	return true, expected
}

// waitFor returns how long n admissions take at the recent rate; admissionWindow if there were
// none.
func (q *WaitQueue) waitFor(now time.Time, n int) time.Duration {
	recent := 0
	for _, at := range q.admissions {
		if now.Sub(at) < admissionWindow {
			recent++
		}
	}
	if recent == 0 {
		return admissionWindow
	}
	return time.Duration(n) * admissionWindow / time.Duration(recent)
}

// IsFirst tells whether a request is next.
func (q *WaitQueue) IsFirst(id uint64) bool { return len(q.waiting) > 0 && q.waiting[0].id == id }

// RecordFull records that the first request in the queue looked for capacity and found none.
func (q *WaitQueue) RecordFull(now time.Time) { q.full, q.fullAt = true, now }

// RecentlyFull tells whether a request found no capacity within the last admissionWindow.
func (q *WaitQueue) RecentlyFull(now time.Time) bool {
	return !q.fullAt.IsZero() && now.Sub(q.fullAt) < admissionWindow
}

// Empty tells whether no request waits.
func (q *WaitQueue) Empty() bool { return len(q.waiting) == 0 }

// RecordAdmission records that a request found capacity, whether it had to wait or not.
func (q *WaitQueue) RecordAdmission(now time.Time) {
	if len(q.admissions) == maxAdmissions {
		copy(q.admissions, q.admissions[1:])
		q.admissions = q.admissions[:maxAdmissions-1]
	}
	q.admissions = append(q.admissions, now)
}

// Leave removes a request from the queue.
func (q *WaitQueue) Leave(id uint64) {
	for i := range q.waiting {
		if q.waiting[i].id == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.full = q.full && len(q.waiting) > 0
			return
		}
	}
}

// ExpectedWait returns the expected wait of a request that would join at the end of the queue.
func (q *WaitQueue) ExpectedWait(now time.Time) time.Duration {
	return q.waitFor(now, len(q.waiting)+1)
}

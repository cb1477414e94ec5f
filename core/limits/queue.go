package limits

import "time"

// Class is the priority of waiting work for the same endpoints.
type Class int

// Classes in the order of admission.
const (
	Recovery Class = iota
	Urgent
	Long
	Background
	numClasses
)

// Verdict is the result of [Queue.Offer].
type Verdict int

// Verdicts of [Queue.Offer]. A request with the verdict Waiting is admitted later, by
// [Queue.Finish] or [Queue.SetCapacity].
const (
	Admitted Verdict = iota
	Waiting
	Refused
)

// Queue admits work to a group of endpoints at one instance. The zero value has no capacity until
// [Queue.SetCapacity], and admits only recoveries until then.
type Queue struct {
	capacity       int
	running        int
	waiting        [numClasses][]waiter
	waitingByClass [numClasses]int // entries of waiting that are not withdrawn
	waitingTotal   int
	serviceTime    time.Duration // smoothed time that a request occupies its slot
	finished       int
}

type waiter struct {
	id        uint64
	withdrawn bool
}

const (
	serviceTimeWeight      = 0.1
	defaultServiceTime     = 500 * time.Millisecond
	minRetryAfter          = 250 * time.Millisecond
	maxRetryAfter          = 30 * time.Second
	waitSafetyFactor       = 4 // applied to the expected wait, since capacities vary
	recoveryCapacityFactor = 2 // recoveries may use this times the capacity
)

// HintServiceTime gives an estimate of how long a request occupies its slot. It is used until the
// first request has finished: without it the queue would accept far more than it can admit in time.
func (q *Queue) HintServiceTime(d time.Duration) {
	if q.finished == 0 {
		q.serviceTime = max(q.serviceTime, d)
	}
}

// SetCapacity sets how many requests may be in progress. It returns the waiting requests that are
// admitted by an increase.
func (q *Queue) SetCapacity(n int) []uint64 {
	q.capacity = n
	return q.admit()
}

// Capacity returns the number of requests that may be in progress.
func (q *Queue) Capacity() int { return q.capacity }

// Running returns the number of requests in progress.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waitingTotal }

// Offer asks for a slot. maxWait is how long the request may wait. A request that is expected to
// wait too long is refused at once. The duration is the time to retry for Refused, and the expected
// wait for Waiting.
func (q *Queue) Offer(id uint64, c Class, maxWait time.Duration) (Verdict, time.Duration) {
	if q.fits(c) && q.countAhead(c) == 0 {
		q.running++
		return Admitted, 0
	}
	expected := q.expectedWait(c)
	if waitSafetyFactor*expected > maxWait {
		return Refused, min(max(expected, minRetryAfter), maxRetryAfter)
	}
	q.waiting[c] = append(q.waiting[c], waiter{id: id})
	q.waitingByClass[c]++
	q.waitingTotal++
	return Waiting, expected
}

func (q *Queue) fits(c Class) bool {
	if c == Recovery {
		return q.running < recoveryCapacityFactor*max(q.capacity, 1)
	}
	return q.running < q.capacity
}

// countAhead counts the waiting requests that are admitted before a new one of class c.
func (q *Queue) countAhead(c Class) int {
	n := 0
	for _, waiting := range q.waitingByClass[:c+1] {
		n += waiting
	}
	return n
}

// expectedWait estimates the wait of a new request of class c.
func (q *Queue) expectedWait(c Class) time.Duration {
	if q.capacity <= 0 {
		return maxRetryAfter
	}
	s := q.serviceTime
	if s == 0 {
		s = defaultServiceTime
	}
	excess := max(q.running-q.capacity, 0) // after the capacity fell, these have to finish first
	return time.Duration(float64(s) * float64(q.countAhead(c)+1+excess) / float64(q.capacity))
}

// Finish releases a slot that was occupied for d, and returns the waiting requests that are
// admitted in turn.
func (q *Queue) Finish(d time.Duration) []uint64 {
	if q.running > 0 {
		q.running--
	}
	if q.finished == 0 {
		q.serviceTime = d
	} else {
		q.serviceTime += time.Duration(serviceTimeWeight * float64(d-q.serviceTime))
	}
	q.finished++
	return q.admit()
}

// Withdraw removes a waiting request. It returns false if the request does not wait any more.
func (q *Queue) Withdraw(id uint64) bool {
	for c := range q.waiting {
		for i := range q.waiting[c] {
			if w := &q.waiting[c][i]; w.id == id && !w.withdrawn {
				w.withdrawn = true
				q.waitingByClass[c]--
				q.waitingTotal--
				return true
			}
		}
	}
	return false
}

// admit admits waiting requests in order while there is capacity.
func (q *Queue) admit() []uint64 {
	var out []uint64
	for c := range q.waiting {
		for len(q.waiting[c]) > 0 && q.fits(Class(c)) {
			w := q.waiting[c][0]
			q.waiting[c] = q.waiting[c][1:]
			if w.withdrawn {
				continue
			}
			q.waitingTotal--
			q.waitingByClass[c]--
			q.running++
			out = append(out, w.id)
		}
	}
	return out
}

package limits

import "time"

// Class is the order in which waiting work for the same endpoints is admitted.
type Class int

// Classes, first to be admitted first.
const (
	Recovery Class = iota
	Urgent
	Long
	Background
	classes
)

// Verdict is the answer to an offer.
type Verdict int

// Verdicts of [Queue.Offer].
const (
	Admitted Verdict = iota
	Waiting
	Refused
)

// Queue admits work to one group of endpoints at one instance. The zero value admits
// nothing until [Queue.SetCapacity].
type Queue struct {
	capacity int
	running  int
	waiting  [classes][]waiter
	live     [classes]int // those in waiting that are not gone
	count    int
	service  time.Duration // smoothed time that a request holds its place
	samples  int
}

type waiter struct {
	id   uint64
	gone bool
}

const (
	serviceWeight  = 0.1
	firstService   = 500 * time.Millisecond
	leastRetry     = 250 * time.Millisecond
	mostRetry      = 30 * time.Second
	headroom       = 4 // the expected wait times this has to fit the budget: capacities swing
	recoveryFactor = 2 // recoveries may use this times the capacity
)

// Hint tells how long a request is likely to hold its place. It counts until the first one
// has ended: before that a queue would take in far more than it can admit in time.
func (q *Queue) Hint(d time.Duration) {
	if q.samples == 0 {
		q.service = max(q.service, d)
	}
}

// SetCapacity sets how many requests may be in progress, and returns those admitted
// by a rise.
func (q *Queue) SetCapacity(n int) []uint64 {
	q.capacity = n
	return q.admit()
}

// Capacity returns the capacity.
func (q *Queue) Capacity() int { return q.capacity }

// Running returns the requests in progress.
func (q *Queue) Running() int { return q.running }

// Waiting returns the requests that wait.
func (q *Queue) Waiting() int { return q.count }

// Offer asks for a place. budget is how long the request's contract lets it wait;
// when the expected wait is longer, it is refused at once with the time to come back.
func (q *Queue) Offer(id uint64, c Class, budget time.Duration) (Verdict, time.Duration) {
	if q.fits(c) && q.ahead(c) == 0 {
		q.running++
		return Admitted, 0
	}
	expected := q.expected(c)
	if headroom*expected > budget {
		return Refused, min(max(expected, leastRetry), mostRetry)
	}
	q.waiting[c] = append(q.waiting[c], waiter{id: id})
	q.live[c]++
	q.count++
	return Waiting, expected
}

func (q *Queue) fits(c Class) bool {
	if c == Recovery {
		return q.running < recoveryFactor*max(q.capacity, 1)
	}
	return q.running < q.capacity
}

// ahead counts the waiting requests that go before a new one of class c.
func (q *Queue) ahead(c Class) int {
	n := 0
	for _, waiting := range q.live[:c+1] {
		n += waiting
	}
	return n
}

// expected estimates the wait of a new request of class c.
func (q *Queue) expected(c Class) time.Duration {
	if q.capacity <= 0 {
		return mostRetry
	}
	s := q.service
	if s == 0 {
		s = firstService
	}
	excess := max(q.running-q.capacity, 0) // after the capacity fell, these have to end first
	return time.Duration(float64(s) * float64(q.ahead(c)+1+excess) / float64(q.capacity))
}

// Finish gives a place back after it was held for d, and returns the requests
// admitted in its stead.
func (q *Queue) Finish(d time.Duration) []uint64 {
	if q.running > 0 {
		q.running--
	}
	if q.samples == 0 {
		q.service = d
	} else {
		q.service += time.Duration(serviceWeight * float64(d-q.service))
	}
	q.samples++
	return q.admit()
}

// Withdraw takes back a request that waits; it returns false when the request was
// admitted already.
func (q *Queue) Withdraw(id uint64) bool {
	for c := range q.waiting {
		for i := range q.waiting[c] {
			if w := &q.waiting[c][i]; w.id == id && !w.gone {
				w.gone = true
				q.live[c]--
				q.count--
				return true
			}
		}
	}
	return false
}

// admit takes waiting requests in order while there is room.
func (q *Queue) admit() []uint64 {
	var out []uint64
	for c := range q.waiting {
		for len(q.waiting[c]) > 0 && q.fits(Class(c)) {
			w := q.waiting[c][0]
			q.waiting[c] = q.waiting[c][1:]
			if w.gone {
				continue
			}
			q.count--
			q.live[c]--
			q.running++
			out = append(out, w.id)
		}
	}
	return out
}

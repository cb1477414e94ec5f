package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide is a decision among waiting requests of 24 teams at three levels, of which one was placed and one is new.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{100, 2000, maxEntries} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := New(DefaultSettings())
			q.SetEngines(enginesFor)
			r := newReporter(q, "i")
			next := uint64(0)
			add := func() Request {
				next++
				w := request(next, fmt.Sprint("t", next*next%24), int(next%3), time.Duration(next*7919%100_000)*time.Microsecond)
				w.Tokens = 1000 + int(next*7919%9000)
				w.Latest = at(time.Hour)
				return w
			}
			var waiting []Request
			for range n {
				waiting = append(waiting, add())
			}
			r.wait(0, waiting...)
			q.Decide(at(0))
			b.ReportAllocs()
			for b.Loop() {
				id := q.order[0].ID
				r.report(0, Report{Waiting: []Request{add()}, Placed: []uint64{id}})
				q.Decide(at(0))
			}
		})
	}
}

// BenchmarkReport is a renewal of 25 requests by one of 84 instances.
func BenchmarkReport(b *testing.B) {
	q := New(DefaultSettings())
	var waiting []Request
	for id := range uint64(25) {
		waiting = append(waiting, request(id, "t", 2, 0))
	}
	reporters := make([]*reporter, 84)
	for i := range reporters {
		reporters[i] = newReporter(q, fmt.Sprint(i))
		reporters[i].wait(0, waiting...)
	}
	q.Decide(at(0))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		reporters[i%84].wait(0, waiting...)
		q.State(at(0), reporters[i%84].name)
	}
}

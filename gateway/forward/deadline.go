package forward

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/limits"
)

// streamTimes is how long streams take, by service. The zero value is empty; it is safe for concurrent use.
type streamTimes struct {
	mu  sync.Mutex
	all map[string]*limits.StreamTimes
}

// change calls f with what is known of a service.
func (t *streamTimes) change(service string, f func(*limits.StreamTimes)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all = map[string]*limits.StreamTimes{}
	}
	of := t.all[service]
	if of == nil {
		of = &limits.StreamTimes{}
		t.all[service] = of
	}
	f(of)
}

// refuseTooLate refuses a stream that can't end before its deadline, however fast it is served. prefilled tells that an engine is known
// to keep the prompt.
func (f *Forwarder) refuseTooLate(req *request, prefilled bool) *refusal {
	if req.deadline.IsZero() {
		return nil
	}
	work := limits.StreamWork{PrefillTokens: req.PromptTokens, OutputTokens: req.OutputTokens, DeliveredEvents: made(req.LastEvent)}
	if prefilled {
		work.PrefillTokens = 0
	}
	var least time.Duration
	var known bool
	f.streamTimes.change(req.service, func(t *limits.StreamTimes) { least, known = t.MinDuration(work) })
	left := time.Until(req.deadline)
	if !known || least <= left {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "the stream can't end in time", 0).with(logrus.Fields{
		"least_ms": least.Milliseconds(), "left_ms": left.Milliseconds(), "prompt_tokens": work.PrefillTokens, "made": work.DeliveredEvents,
	})
}

// made returns how many events a caller has that holds the last event with an id; 0 for an id that is not a number.
func made(lastEvent string) int {
	n, err := strconv.Atoi(lastEvent)
	if err != nil {
		return 0
	}
	return n
}

// observeStream takes how long a whole stream took.
func (s *session) observeStream() {
	events, gaps := made(s.lastEvent), s.relayed-1
	s.f.streamTimes.change(s.req.service, func(t *limits.StreamTimes) {
		t.ObserveStream(s.req.OutputTokens, events, gaps, s.lastAt.Sub(s.firstAt))
	})
}

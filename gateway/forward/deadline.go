package forward

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/limits"
)

// streamTimes holds how long streams take, by service. The zero value is empty. It is safe for
// concurrent use.
type streamTimes struct {
	mu        sync.Mutex
	byService map[string]*limits.StreamTimes
}

// update calls f with the times of a service, under the lock.
func (t *streamTimes) update(service string, f func(*limits.StreamTimes)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byService == nil {
		t.byService = map[string]*limits.StreamTimes{}
	}
	times := t.byService[service]
	if times == nil {
		times = &limits.StreamTimes{}
		t.byService[service] = times
	}
	f(times)
}

// refuseTooLate refuses a stream that can't end before its deadline even at the best speed seen. Some such
// streams are let through, so that the estimate is checked.
// prefilled is set when an engine is known to hold the prompt.
func (f *Forwarder) refuseTooLate(req *request, prefilled bool) *refusal {
	if req.deadline.IsZero() || req.checkedWork != nil {
		return nil
	}
	work := limits.StreamWork{PrefillTokens: req.PromptTokens, OutputTokens: req.MaxOutputTokens, DeliveredEvents: eventsReceived(req.LastEventID)}
	if prefilled {
		work.PrefillTokens = 0
	}
	timeLeft := time.Until(req.deadline)
	var minimum time.Duration
	var known, checks bool
	f.streamTimes.update(req.service, func(t *limits.StreamTimes) {
		now := time.Now()
		if minimum, known = t.MinDuration(now, work); known && minimum > timeLeft {
			checks = t.MayCheck(now, work)
		}
	})
	if !known || minimum <= timeLeft {
		return nil
	}
	if checks {
		req.checkedWork = &work
		f.Log.Decision(req.ID, "estimate checked", logrus.Fields{"least_ms": minimum.Milliseconds(), "left_ms": timeLeft.Milliseconds(), "prompt_tokens": work.PrefillTokens, "output_tokens": work.OutputTokens})
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "the stream can't end in time", 0).with(logrus.Fields{
		"least_ms": minimum.Milliseconds(), "left_ms": timeLeft.Milliseconds(), "prompt_tokens": work.PrefillTokens, "made": work.DeliveredEvents,
	})
}

// eventsReceived returns how many events a caller has received whose last event has the id
// lastEvent; 0 when the id is not a number.
func eventsReceived(lastEvent string) int {
	n, err := strconv.Atoi(lastEvent)
	if err != nil {
		return 0
	}
	return n
}

// observeStream records how long a complete stream took.
func (s *session) observeStream() {
	events, gaps := eventsReceived(s.lastEventID), s.relayedEvents-1
	s.f.streamTimes.update(s.req.service, func(t *limits.StreamTimes) {
		now := time.Now()
		t.ObserveStream(now, s.req.MaxOutputTokens, events, gaps, s.lastEventAt.Sub(s.firstEventAt))
		if s.req.checkedWork != nil {
			t.EndedInTime(now, *s.req.checkedWork)
		}
	})
}

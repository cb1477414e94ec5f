package pipeline

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/agateway/agateway/core/routing"
)

const (
	// plainAttemptTimeout is how long an endpoint may take to begin its answer to an idempotent call
	// before another one is looked for.
	plainAttemptTimeout = time.Second
	// silenceCheckInterval is how often one is looked for from then on.
	silenceCheckInterval = 100 * time.Millisecond
	// answerAgeMargin is how long after the interval of status reads an endpoint's last answer still shows
	// that it answers.
	answerAgeMargin = 100 * time.Millisecond
)

// errLeft is the cancellation cause of an attempt that was left for another endpoint.
var errLeft = errors.New("another endpoint answers")

// silentAttempt watches an attempt of an idempotent call. While the endpoint is silent it looks for one that
// answers and has room, and ends the attempt only when it has found one.
type silentAttempt struct {
	mu    sync.Mutex
	timer *time.Timer
	ended bool
	next  *routing.Endpoint
}

// watchSilence starts to watch an attempt. find returns another endpoint, on which the call is counted
// already; leave ends the attempt.
func watchSilence(find func() (routing.Endpoint, bool), leave context.CancelCauseFunc) *silentAttempt {
	s := &silentAttempt{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(plainAttemptTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ended {
			return
		}
		e, ok := find()
		if !ok {
			s.timer.Reset(silenceCheckInterval)
			return
		}
		s.ended, s.next = true, &e
		leave(errLeft)
	})
	return s
}

// end ends the watch. It returns the endpoint for which the attempt was left; nil if it was not. A nil
// watch has left for none.
func (s *silentAttempt) end() *routing.Endpoint {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
	return s.next
}

// findAnswering chooses an endpoint for a retry that has answered recently, and takes the retry from the
// budget.
func (d *Deps) findAnswering(req routing.Request, silent string) (routing.Endpoint, bool) {
	now := time.Now()
	req.Avoid = append(slices.Clone(req.Avoid), silent)
	req.AnsweredSince = now.Add(-d.Settings.Endpoints.Poll - answerAgeMargin)
	decision, err := d.Backends.Pick(now, &req)
	if err != nil {
		return routing.Endpoint{}, false
	}
	if !d.retries.tryRetry() {
		d.Backends.Finished(decision.Endpoint.ID)
		return routing.Endpoint{}, false
	}
	return decision.Endpoint, true
}

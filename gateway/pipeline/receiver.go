package pipeline

import (
	"time"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/endpoint"
)

// receiver hands a stream's events to the machine.
type receiver struct {
	s        *session
	number   int
	endpoint string
}

// Acked implements endpoint.Receiver.
func (r *receiver) Acked(a *endpoint.Ack) {
	s := r.s
	s.Backends.Succeeded(r.endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.attempts[r.number].acked, s.attempts[r.number].ackedAt = true, now
	if s.closed {
		s.Backends.Cancel(r.endpoint, a.Stream, r.number)
		return
	}
	if !s.pinVersion(a) {
		s.Backends.Cancel(r.endpoint, a.Stream, r.number)
		s.machine.Failed(now, r.number, generation.Mismatch, 0)
		s.settle(now)
		return
	}
	s.machine.Acked(now, r.number, generation.Stream{Endpoint: r.endpoint, ID: a.Stream}, a.Index, uint64(a.Hash), a.Cached)
	s.settle(now)
	if number, _ := s.machine.Attempt(); number == r.number && !s.machine.Ended() {
		s.sink.attempt(s.place())
		s.announce()
	}
}

// pinVersion fixes the model's version by the first acknowledgement, and tells whether a
// later one is of the same: another version's tokens must not continue an answer.
func (s *session) pinVersion(a *endpoint.Ack) bool {
	if s.x.entry.Version == "" {
		s.x.entry.Version = a.Version
	}
	return a.Version == "" || a.Version == s.x.entry.Version
}

// Token implements endpoint.Receiver. This is the hot path.
func (r *receiver) Token(index int, text []byte) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := time.Now()
	accepted := s.machine.Token(now, r.number, index, text)
	s.began(now, r.number)
	if accepted {
		s.count(now)
		s.sink.token(now, index, text, s.machine.Journal().Hash())
		s.machine.Alive(time.Now(), r.number) // a slow caller is not the engine's silence
	}
	s.settle(now)
}

// began notes that an attempt makes tokens, and clears the request once it has done so for a while. The lock is held.
func (s *session) began(now time.Time, number int) {
	at := s.attempts[number]
	if at == nil {
		return // it was given up
	}
	if at.tokenAt.IsZero() {
		at.tokenAt = now
	}
	if !at.served && now.Sub(at.tokenAt) >= crashes.ProgressAfter {
		at.served = true
		s.progressed()
	}
}

// count keeps the figures of a token that goes to the caller.
func (s *session) count(now time.Time) {
	s.metrics.tokens.Inc(1)
	if s.lastToken.IsZero() {
		s.metrics.firstToken.Record(now.Sub(s.x.Received))
	}
	if !s.lostAt.IsZero() {
		s.metrics.resume.Record(now.Sub(s.lostAt))
		s.lostAt = time.Time{}
	}
	s.lastToken = now
}

// Keepalive implements endpoint.Receiver.
func (r *receiver) Keepalive() {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.machine.Alive(now, r.number)
	s.settle(now)
}

// Ended implements endpoint.Receiver.
func (r *receiver) Ended(e *endpoint.End) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.machine.Done(now, r.number, e.Total, uint64(e.Hash), e.Reason)
	s.settle(now)
}

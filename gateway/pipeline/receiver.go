package pipeline

import (
	"time"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/endpoint"
)

// receiver passes the events of one attempt's stream to the session's machine. It implements
// endpoint.Receiver.
type receiver struct {
	s        *session
	attempt  int
	endpoint string
}

// Acked implements endpoint.Receiver.
func (r *receiver) Acked(a *endpoint.Ack) {
	s := r.s
	s.Backends.Succeeded(r.endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.attempts[r.attempt].acked, s.attempts[r.attempt].ackedAt = true, now
	if s.closed {
		s.Backends.Cancel(r.endpoint, a.Stream, r.attempt)
		return
	}
	if !s.pinVersion(a) {
		s.Backends.Cancel(r.endpoint, a.Stream, r.attempt)
		s.machine.Failed(now, r.attempt, generation.Mismatch, 0)
		s.runActions(now)
		return
	}
	s.machine.Acked(now, r.attempt, generation.Stream{Endpoint: r.endpoint, ID: a.Stream}, a.Index, uint64(a.Hash), a.Cached)
	s.runActions(now)
	if current, _ := s.machine.Attempt(); current == r.attempt && !s.machine.Ended() {
		s.sink.setAttempt(s.directoryEntry())
		s.announce()
	}
}

// pinVersion records the model version of the first acknowledgement. It returns false if a later
// one has another version: tokens of that version must not continue the answer. An acknowledgement
// without a version is accepted. The caller holds the lock.
func (s *session) pinVersion(a *endpoint.Ack) bool {
	if s.x.entry.Version == "" {
		s.x.entry.Version = a.Version
	}
	return a.Version == "" || a.Version == s.x.entry.Version
}

// Token implements endpoint.Receiver. It is on the hot path.
func (r *receiver) Token(index int, text []byte) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := time.Now()
	accepted := s.machine.Token(now, r.attempt, index, text)
	s.recordProgress(now, r.attempt)
	if accepted {
		s.recordToken(now)
		s.sink.writeToken(now, index, text, s.machine.Journal().Hash())
		s.machine.Alive(time.Now(), r.attempt) // the time that a slow caller took must not count as silence of the engine
	}
	s.runActions(now)
}

// recordProgress records that an attempt produces tokens. Once it has done so for
// [crashes.ProgressAfter], the request is cleared of the suspicion that it crashes engines. The
// caller holds the lock.
func (s *session) recordProgress(now time.Time, number int) {
	at := s.attempts[number]
	if at == nil {
		return // the attempt was not started by startAttempt
	}
	if at.tokenAt.IsZero() {
		at.tokenAt = now
	}
	if !at.progressed && now.Sub(at.tokenAt) >= crashes.ProgressAfter {
		at.progressed = true
		s.clearOnProgress()
	}
}

// recordToken updates the metrics for a token that is relayed to the caller. The caller holds the
// lock.
func (s *session) recordToken(now time.Time) {
	s.metrics.tokens.Inc(1)
	if s.lastToken.IsZero() {
		s.metrics.firstToken.Record(now.Sub(s.x.Received))
	}
	if !s.streamLostAt.IsZero() {
		s.metrics.resume.Record(now.Sub(s.streamLostAt))
		s.streamLostAt = time.Time{}
	}
	s.lastToken = now
}

// Keepalive implements endpoint.Receiver.
func (r *receiver) Keepalive() {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.machine.Alive(now, r.attempt)
	s.runActions(now)
}

// Ended implements endpoint.Receiver.
func (r *receiver) Ended(e *endpoint.End) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.machine.Done(now, r.attempt, e.Total, uint64(e.Hash), e.Reason)
	s.runActions(now)
}

package admission

import "time"

// Limits is what an endpoint states that it can bear. The zero value states nothing.
type Limits struct {
	// Rate is how many requests per second the endpoint takes from all instances together. It is
	// valid only if HasRate is set.
	Rate    float64
	HasRate bool
	// MaxRefusals is how many requests the endpoint can refuse for lack of room within a second
	// without failing. It is valid only if Fragile is set.
	MaxRefusals int
	Fragile     bool
}

// Stated reports whether the endpoint states any limit.
func (l Limits) Stated() bool { return l.HasRate || l.Fragile }

// Statement is what an endpoint stated last.
type Statement struct {
	Limits
	// At is when the answer with the statement arrived.
	At time.Time
}

// withdrawnTTL is how long it is remembered that an endpoint no longer states limits. Until then, an
// older report of a peer does not restore them.
const withdrawnTTL = 10 * time.Second

// Statements holds the newest statement of each endpoint that states limits, and of those that did
// so a short time ago. The zero value is empty.
type Statements struct {
	byEndpoint map[string]Statement
}

// Record takes a statement of an endpoint. It returns the one before, and whether the limits have
// changed. A statement that is older than the known one is ignored.
func (s *Statements) Record(endpoint string, st Statement) (before Statement, changed bool) {
	before, known := s.byEndpoint[endpoint]
	if !known && !st.Stated() || known && st.At.Before(before.At) {
		return before, false
	}
	if s.byEndpoint == nil {
		s.byEndpoint = map[string]Statement{}
	}
	s.byEndpoint[endpoint] = st
	return before, st.Limits != before.Limits
}

// Of returns the newest statement of an endpoint; zero if it states nothing.
func (s *Statements) Of(endpoint string) Statement { return s.byEndpoint[endpoint] }

// Remove forgets an endpoint.
func (s *Statements) Remove(endpoint string) { delete(s.byEndpoint, endpoint) }

// Expire forgets the endpoints that stated no limits for withdrawnTTL.
func (s *Statements) Expire(now time.Time) {
	for id, st := range s.byEndpoint {
		if !st.Stated() && now.Sub(st.At) >= withdrawnTTL {
			delete(s.byEndpoint, id)
		}
	}
}

// All returns the known statements by endpoint. The caller must not change the result.
func (s *Statements) All() map[string]Statement { return s.byEndpoint }

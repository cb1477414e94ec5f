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
	// ChangedAt is when an instance first learned of these limits. It is set by
	// [Statements.Record].
	ChangedAt time.Time
}

// withdrawnTTL is how long it is remembered that an endpoint no longer states limits. Until then, an
// older report of a peer does not restore them.
const withdrawnTTL = 10 * time.Second

// Statements holds the newest statement of each endpoint that states limits, and of those that did
// so a short time ago. The zero value is empty.
type Statements struct {
	byEndpoint map[string]*statement
}

// statement is a statement with its origin.
type statement struct {
	Statement
	observed bool // in an answer to this instance
}

// Record takes a statement of an endpoint. observed says that it was in an answer to this instance,
// and not reported by a peer. It returns the statement before, and whether the limits have changed.
// A statement that is not newer than the known one is ignored.
func (s *Statements) Record(endpoint string, st Statement, observed bool) (before Statement, changed bool) {
	known := s.byEndpoint[endpoint]
	if known == nil {
		if !st.Stated() {
			return Statement{}, false
		}
		known = &statement{}
		if s.byEndpoint == nil {
			s.byEndpoint = map[string]*statement{}
		}
		s.byEndpoint[endpoint] = known
	} else if !st.At.After(known.At) {
		return known.Statement, false
	}
	before = known.Statement
	changed = st.Limits != before.Limits
	st.ChangedAt = before.ChangedAt
	if changed {
		st.ChangedAt = st.At
	}
	*known = statement{st, observed}
	return before, changed
}

// Of returns the newest statement of an endpoint; zero if none is known.
func (s *Statements) Of(endpoint string) Statement {
	if known := s.byEndpoint[endpoint]; known != nil {
		return known.Statement
	}
	return Statement{}
}

// Remove forgets an endpoint.
func (s *Statements) Remove(endpoint string) { delete(s.byEndpoint, endpoint) }

// Expire forgets the endpoints that have stated no limits for withdrawnTTL.
func (s *Statements) Expire(now time.Time) {
	for id, known := range s.byEndpoint {
		if !known.Stated() && now.Sub(known.At) >= withdrawnTTL {
			delete(s.byEndpoint, id)
		}
	}
}

// Observed returns the statements that were in answers to this instance, by endpoint. Other
// statements are left to the instances that observed them: passed on again, they would seem newer
// each time.
func (s *Statements) Observed() map[string]Statement {
	out := map[string]Statement{}
	for id, known := range s.byEndpoint {
		if known.observed {
			out[id] = known.Statement
		}
	}
	return out
}

// Each calls f with the newest statement of each endpoint.
func (s *Statements) Each(f func(endpoint string, st Statement)) {
	for id, known := range s.byEndpoint {
		f(id, known.Statement)
	}
}

// Stating returns how many endpoints state limits.
func (s *Statements) Stating() int {
	count := 0
	for _, known := range s.byEndpoint {
		if known.Stated() {
			count++
		}
	}
	return count
}

package departure

import "time"

// Statement is what is known of an endpoint that said in an answer that it leaves.
type Statement struct {
	// At is when the last such answer arrived.
	At time.Time
	// Sequence is the highest sequence number that list entries of the endpoint had shown by then.
	Sequence uint64
}

const (
	// entryLag is the age from which the last answer is older than any entry that arrives, also one
	// that the store took at the end of an outage or that came through several instances. An endpoint
	// that leaves has ended by then.
	entryLag = time.Minute
	// retention is how long an endpoint is remembered after the last answer or entry. An endpoint
	// that leaves ends within that time.
	retention = 2 * time.Minute
)

// Register holds the endpoints that said in answers that they leave. The zero value is empty.
type Register struct {
	byEndpoint map[string]*record
}

// record is what is known of one endpoint.
type record struct {
	Statement
	observed bool // in an answer to this instance
	listed   bool // the list has said since the answer that it leaves
	// takenBack is set once an entry has said that the endpoint is ready again. Sequence is then
	// that of the entry, and a statement that knows only older entries is ignored.
	takenBack bool
	touched   time.Time
}

// Said records that an endpoint said that it leaves. observed says that it did so in an answer to
// this instance, and not to a peer that reports it. Said reports whether the endpoint did not count
// as leaving before.
func (r *Register) Said(now time.Time, id string, st Statement, observed bool) (first bool) {
	known := r.byEndpoint[id]
	if known == nil {
		if r.byEndpoint == nil {
			r.byEndpoint = map[string]*record{}
		}
		r.byEndpoint[id] = &record{Statement: st, observed: observed, touched: now}
		return true
	}
	if known.takenBack && (st.Sequence < known.Sequence || !st.At.After(known.At)) {
		return false
	}
	first = known.takenBack
	if first {
		known.listed = false
	}
	known.takenBack, known.touched = false, now
	known.observed = known.observed || observed
	if st.At.After(known.At) {
		known.At = st.At
	}
	known.Sequence = max(known.Sequence, st.Sequence)
	return first
}

// Listed records a list entry of an endpoint. It reports whether the entry takes back that the
// endpoint leaves.
func (r *Register) Listed(now time.Time, id string, leaving bool, sequence uint64) (takenBack bool) {
	known := r.byEndpoint[id]
	if known == nil || known.takenBack {
		return false
	}
	known.touched = now
	if leaving {
		known.listed = true
		known.Sequence = max(known.Sequence, sequence)
		return false
	}
	if sequence <= known.Sequence || !known.listed && now.Sub(known.At) < entryLag {
		return false
	}
	known.takenBack, known.observed, known.Sequence, known.At = true, false, sequence, now
	return true
}

// Leaving reports whether an endpoint counts as leaving.
func (r *Register) Leaving(id string) bool {
	known := r.byEndpoint[id]
	return known != nil && !known.takenBack
}

// Of returns what is known of an endpoint that counts as leaving; false for any other.
func (r *Register) Of(id string) (Statement, bool) {
	if !r.Leaving(id) {
		return Statement{}, false
	}
	return r.byEndpoint[id].Statement, true
}

// Count returns how many endpoints count as leaving.
func (r *Register) Count() int {
	count := 0
	for id := range r.byEndpoint {
		if r.Leaving(id) {
			count++
		}
	}
	return count
}

// Observed returns the endpoints that said so to this instance, without those of which the list says
// it too: every instance reads that there.
func (r *Register) Observed() map[string]Statement {
	out := map[string]Statement{}
	for id, known := range r.byEndpoint {
		if known.observed && !known.listed && !known.takenBack {
			out[id] = known.Statement
		}
	}
	return out
}

// Expire drops the endpoints without an answer or an entry for [retention], unless keep reports that
// they are still listed.
func (r *Register) Expire(now time.Time, keep func(id string) bool) {
	for id, known := range r.byEndpoint {
		if now.Sub(known.touched) >= retention && !keep(id) {
			delete(r.byEndpoint, id)
		}
	}
}

// Package liveness keeps when endpoints last answered and when they last failed to answer in time, and
// tells whether the silence of one is shared by others.
//
// An endpoint that is silent alone has probably failed. When a large part of a service is silent at
// the same moment, the cause is more likely a short pause of all of them, or this instance's own
// network: moving their work would only load the rest. This is the idea of the panic threshold of
// load balancers, and of the maximum share of endpoints that outlier detection may eject.
//
// An answer is evidence for [AnswerMaxAge], which is less than the silence that makes an instance ask,
// so that an endpoint that answered before a silence began does not count as answering. An unanswered
// question is evidence for [SilenceMaxAge]. [Tracker] does no I/O and reads no clock. It is
// not safe for concurrent use.
package liveness

import "time"

const (
	// AnswerMaxAge and SilenceMaxAge are how long an answer and an unanswered question are evidence.
	AnswerMaxAge  = 200 * time.Millisecond
	SilenceMaxAge = 500 * time.Millisecond
	// ReturnAge is how long after an endpoint answered again others may be about to do so.
	ReturnAge = 100 * time.Millisecond
	// SharedShare is the share of the endpoints with evidence that have to be silent for a silence to
	// be shared, and MinSilent the number of them.
	SharedShare = 0.3
	MinSilent   = 2
	// recordTTL is how long the records of an endpoint are kept for reports.
	recordTTL = time.Minute
)

// Evidence is what is known about a sample of the endpoints of a service.
type Evidence struct {
	// Answering and Silent are the numbers of endpoints that answered, and that did not answer in
	// time.
	Answering, Silent int
	// Returned is how many of those that answered had been silent until just before.
	Returned int
	// Age is the age of the oldest record counted.
	Age time.Duration
}

// Known returns the number of endpoints with evidence.
func (e Evidence) Known() int { return e.Answering + e.Silent }

// SilentShare returns the share of the endpoints with evidence that are silent; 0 without evidence.
func (e Evidence) SilentShare() float64 {
	if e.Known() == 0 {
		return 0
	}
	return float64(e.Silent) / float64(e.Known())
}

// Shared reports whether many endpoints are silent at once.
func (e Evidence) Shared() bool {
	return e.Silent >= MinSilent && float64(e.Silent) >= SharedShare*float64(e.Known())
}

// record holds when an endpoint last answered, when it last did not, and when it last answered after it
// had not.
type record struct{ answeredAt, silentAt, returnedAt time.Time }

// latest returns when the endpoint was last observed.
func (r *record) latest() time.Time {
	if r.silentAt.After(r.answeredAt) {
		return r.silentAt
	}
	return r.answeredAt
}

// Tracker holds the records of endpoints by ID. The zero value is empty.
type Tracker struct {
	records map[string]*record
	sweptAt time.Time
}

func (t *Tracker) get(now time.Time, id string) *record {
	if t.records == nil {
		t.records = map[string]*record{}
	}
	if now.Sub(t.sweptAt) >= recordTTL {
		t.sweep(now)
	}
	r := t.records[id]
	if r == nil {
		r = &record{}
		t.records[id] = r
	}
	return r
}

func (t *Tracker) sweep(now time.Time) {
	t.sweptAt = now
	for id, r := range t.records {
		if now.Sub(r.latest()) >= recordTTL {
			delete(t.records, id)
		}
	}
}

// Answered records a sign of life of an endpoint.
func (t *Tracker) Answered(now time.Time, id string) {
	r := t.get(now, id)
	if t.Silent(id) {
		r.returnedAt = now
	}
	r.answeredAt = now
}

// Unanswered records that an endpoint did not answer in time. An answer since askedAt overrides it.
func (t *Tracker) Unanswered(now, askedAt time.Time, id string) {
	if r := t.get(now, id); !r.answeredAt.After(askedAt) {
		r.silentAt = now
	}
}

// AnsweredSince reports whether an endpoint has shown a sign of life after a time, and none of it
// was followed by an unanswered question.
func (t *Tracker) AnsweredSince(id string, since time.Time) bool {
	r := t.records[id]
	return r != nil && r.answeredAt.After(since) && !t.Silent(id)
}

// Silent reports whether the last thing known about an endpoint is that it did not answer.
func (t *Tracker) Silent(id string) bool {
	r := t.records[id]
	return r != nil && r.silentAt.After(r.answeredAt)
}

// SilentIDs returns the endpoints for which there is evidence that they are silent.
func (t *Tracker) SilentIDs(now time.Time) []string {
	var out []string
	for id, r := range t.records {
		if t.Silent(id) && t.isEvidence(now, id, r) {
			out = append(out, id)
		}
	}
	return out
}

// LastAnswer returns when an endpoint last showed a sign of life; zero if it is not known.
func (t *Tracker) LastAnswer(id string) time.Time {
	if r := t.records[id]; r != nil {
		return r.answeredAt
	}
	return time.Time{}
}

// HasEvidence reports whether there is evidence on an endpoint.
func (t *Tracker) HasEvidence(now time.Time, id string) bool {
	r := t.records[id]
	return r != nil && t.isEvidence(now, id, r)
}

func (t *Tracker) isEvidence(now time.Time, id string, r *record) bool {
	if t.Silent(id) {
		return now.Sub(r.silentAt) <= SilenceMaxAge
	}
	return now.Sub(r.answeredAt) <= AnswerMaxAge
}

// Evidence returns what is known about some endpoints. They have to be drawn before anything is known
// about them. Of an endpoint that is in use it is known without a question that it answers, but not that
// it does not, so those in use would seem to answer more often.
func (t *Tracker) Evidence(now time.Time, ids []string) Evidence {
	var e Evidence
	for _, id := range ids {
		r := t.records[id]
		if r == nil || !t.isEvidence(now, id, r) {
			continue
		}
		if t.Silent(id) {
			e.Silent++
		} else {
			e.Answering++
		}
		if now.Sub(r.returnedAt) <= ReturnAge {
			e.Returned++
		}
		e.Age = max(e.Age, now.Sub(r.latest()))
	}
	return e
}

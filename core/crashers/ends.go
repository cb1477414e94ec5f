package crashers

import (
	"slices"
	"time"
)

// Ended reports that an endpoint ended under a request. It returns true when that stops the request.
func (r *Register) Ended(now time.Time, req Request, end End) bool {
	before := r.isStopped(now, req)
	r.add(now, req, end)
	return r.decide(now, req) && !before
}

func (r *Register) isStopped(now time.Time, req Request) bool {
	e := r.entries[req]
	return e != nil && e.stopped(now)
}

func (e *entry) stopped(now time.Time) bool { return now.Before(e.stop.Until) }

// add takes an end, once for each endpoint and request.
func (r *Register) add(now time.Time, req Request, end End) {
	if now.Sub(end.At) >= r.set.Keep {
		return
	}
	e := r.entry(now, req)
	if e == nil || !end.At.After(e.cleared) {
		return
	}
	e.service = end.Service
	r.had(req, &end)
	for i := range e.ends {
		if e.ends[i].Endpoint == end.Endpoint {
			if end.Sign.weight() > e.ends[i].Sign.weight() {
				e.ends[i].Sign = end.Sign
			}
			return
		}
	}
	e.ends = append(e.ends, end)
	for len(e.ends) > endsKept*r.set.Ends {
		r.unhad(req, &e.ends[0])
		e.ends = e.ends[1:]
	}
}

// endsKept times the ends that stop a request are remembered of it.
const endsKept = 4

// had notes that an endpoint had a request when it ended.
func (r *Register) had(req Request, end *End) {
	if r.ended[end.Endpoint] == nil {
		r.ended[end.Endpoint] = map[Request]bool{}
	}
	r.ended[end.Endpoint][req] = true
}

// unhad forgets that an endpoint had a request.
func (r *Register) unhad(req Request, end *End) {
	delete(r.ended[end.Endpoint], req)
	if len(r.ended[end.Endpoint]) == 0 {
		delete(r.ended, end.Endpoint)
	}
}

// decide stops a request under which enough endpoints have ended, and tells whether it is stopped.
func (r *Register) decide(now time.Time, req Request) bool {
	e := r.entries[req]
	if e == nil {
		return false
	}
	if e.stopped(now) {
		return true
	}
	if missing, _ := r.weigh(now, req, e); missing > 0 {
		return false
	}
	times := e.stop.Times + 1
	e.stop = Stop{At: now, Until: now.Add(r.stopFor(times)), Times: times}
	return true
}

// stopFor returns for how long a request is stopped the given time.
func (r *Register) stopFor(times int) time.Duration {
	d := r.set.StopFirst
	for range times - 1 {
		if d = 2 * d; d >= r.set.StopMost {
			return r.set.StopMost
		}
	}
	return d
}

// weigh returns how many more ends stop a request, and at how many that count it had begun.
func (r *Register) weigh(now time.Time, req Request, e *entry) (missing, begun int) {
	need, needLate, since := r.set.Ends, r.set.LateEnds, e.cleared
	if e.stop.Times > 0 { // it was stopped and may be tried again
		need, needLate, since = 1, 1, latest(e.stop.Until, e.cleared)
	}
	o := r.occasions(now, req, e, since)
	if o.begun > 0 && r.watched(now, req.Team, e.service) {
		return 0, o.begun
	}
	missing = need - o.early
	if o.all > o.early {
		missing = min(missing, needLate-o.all)
	}
	return max(missing, 0), o.begun
}

// occasions are the moments at which endpoints ended under a request: all of them, those that are not late, and the endpoints at which it
// had begun.
type occasions struct{ all, early, begun int }

// watched tells whether a team sends so many requests that end endpoints of a service that its next one is likely to do the
// same.
func (r *Register) watched(now time.Time, team, service string) bool {
	return r.harmfulOf(now, team, service) >= r.set.Harmful
}

// occasions counts the moments at which endpoints ended under a request.
func (r *Register) occasions(now time.Time, req Request, e *entry, since time.Time) (o occasions) {
	var last, lastEarly time.Time
	for _, end := range sorted(e.ends) {
		if !end.At.After(since) || now.Sub(end.At) >= r.set.Keep || !r.counts(req, &end) {
			continue
		}
		if end.Sign == Begun {
			o.begun++
		}
		if r.another(last, &end) {
			o.all, last = o.all+1, end.At
		}
		if end.Sign != Late && r.another(lastEarly, &end) {
			o.early, lastEarly = o.early+1, end.At
		}
	}
	return o
}

// another tells whether an end is not of the same moment as one before, which ended at last; zero for none.
func (r *Register) another(last time.Time, end *End) bool {
	return last.IsZero() || !end.Sent.Before(last) || end.At.Sub(last) > r.set.Moment
}

// counts tells whether an end says anything about a request: it does not where another one is a better reason for it.
func (r *Register) counts(req Request, end *End) bool {
	if end.Sign == Begun {
		return true
	}
	mine := len(r.entries[req].ends)
	for other := range r.ended[end.Endpoint] {
		e := r.entries[other]
		if other == req || e == nil {
			continue
		}
		sign := e.signAt(end.Endpoint)
		if sign == Begun || sign != 0 && (e.stop.Times > 0 || len(e.ends) > mine) {
			return false
		}
	}
	return true
}

// signAt returns how far an endpoint was with the request when it ended; 0 where that is not held against it.
func (e *entry) signAt(endpoint string) Sign {
	for i := range e.ends {
		if e.ends[i].Endpoint == endpoint {
			return e.ends[i].Sign
		}
	}
	return 0
}

// harmfulOf returns how many requests of a team had begun lately at endpoints of a service that ended, and were not served
// since.
func (r *Register) harmfulOf(now time.Time, team, service string) int {
	n := 0
	for req, e := range r.entries {
		if req.Team == team && e.service == service && e.begunSince(now.Add(-r.set.HarmfulWithin)) {
			n++
		}
	}
	return n
}

// begunSince tells whether an endpoint ended at which the request had begun.
func (e *entry) begunSince(at time.Time) bool {
	return slices.ContainsFunc(e.ends, func(end End) bool { return end.Sign == Begun && end.At.After(at) })
}

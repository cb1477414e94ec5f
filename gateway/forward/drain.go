package forward

import (
	"net/http"
	"time"
)

// drain is a graceful shutdown in progress.
type drain struct {
	// until is when the process ends at the latest.
	until time.Time
	// last is when the last request without a deadline is taken.
	last time.Time
}

// lastParts: the last part in so many of the shutdown is left to requests without a deadline that were taken before.
const lastParts = 4

// Drain begins a graceful shutdown: each answer says that its connection closes, and requests that may not end before until are refused.
func (f *Forwarder) Drain(until time.Time) {
	f.drain.Store(&drain{until: until, last: until.Add(-time.Until(until) / lastParts)})
}

// refuses returns the refusal of a request that may not end before the process does; nil for others. A stream lasts about as long
// as the process has left.
func (d *drain) refuses(now time.Time, req *request) *refusal {
	if !req.route.Stream && d.ends(now, req) {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "stopping", soon())
}

// ends tells whether a request ends before the process does.
func (d *drain) ends(now time.Time, req *request) bool {
	if req.deadline.IsZero() {
		return now.Before(d.last)
	}
	return req.deadline.Before(d.until)
}

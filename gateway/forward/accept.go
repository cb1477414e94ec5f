package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// request is a caller's request on its way through the filters.
type request struct {
	platform.Call
	http     *http.Request
	arrived  time.Time
	deadline time.Time // zero when neither caller nor route sets one
	table    *route.Table
	route    *route.Route
	team     *route.Team // nil for public routes
	service  string
	rank     int
	draw     float64 // of the share that goes to a build on trial
	// engine is the one that was claimed while the request waited, at claimedAt; nil for none.
	engine    *routing.Decision
	claimedAt time.Time
	asks      int       // how often the owners of engines were asked, about others each time
	askedAt   time.Time // when the owners of engines were asked last
	identity  crashers.Request
	losses    crashes.Losses

	body       []byte
	rest       io.Reader // what of the body is not in memory; nil when all is
	length     int64     // of the body; -1 when it came in chunks
	replayable bool      // the whole body is in memory
}

// startPatience is how long after its start an instance lets callers wait for its first look at the store, which takes
// 15 ms from a store that answers, and 200 ms where 90 instances start at once. Callers whose instances were all killed
// come back in that moment, and many of them come back only once.
const startPatience = 500 * time.Millisecond

// awaitKnown waits for the first look at the store, unless that takes long.
func (f *Forwarder) awaitKnown(ctx context.Context) {
	left := startPatience - time.Since(f.began)
	if left <= 0 || f.Settings.Without.FirstLook {
		return
	}
	pause.UntilWoken(ctx, left, f.Known)
}

// accept finds out where a request may go. The configuration has to be known, and for a request with a
// key it has to be known that it was in force a short while ago.
func (f *Forwarder) accept(r *http.Request, arrived time.Time) (*request, *refusal) {
	req := &request{Call: platform.ReadCall(r.Header), http: r, arrived: arrived, draw: point()}
	if refused := f.resolve(req); refused != nil {
		return req, refused
	}
	req.setDeadline()
	return req, nil
}

// resolve applies the newest configuration to a request.
func (f *Forwarder) resolve(req *request) *refusal {
	table, age := f.Configuration.Table()
	if table == nil {
		return refuse(http.StatusServiceUnavailable, "no configuration yet", soon())
	}
	inputs := logrus.Fields{"configuration": table.Version(), "age_ms": age.Milliseconds()}
	matched, ok := table.Match(req.http.Host, req.http.URL.Path)
	if !ok {
		return f.deny(http.StatusNotFound, "no route", age, inputs)
	}
	var team *route.Team
	if !matched.Public && table.RequiresKey() {
		if team, ok = table.Team(req.Key); !ok {
			return f.deny(http.StatusUnauthorized, "unknown key", age, inputs)
		}
		if age >= f.Settings.KeyBound {
			return refuse(http.StatusServiceUnavailable, "configuration too old for keys", whenStoreIsBack()).with(inputs)
		}
	}
	if req.route == nil || !leadsTo(matched, req.service) {
		req.service = matched.ChooseService(point())
	}
	req.table, req.route, req.team, req.rank = table, matched, team, matched.PriorityFor(team)
	return nil
}

// leadsTo tells whether a service is among a route's targets.
func leadsTo(r *route.Route, service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// deny refuses a request for good, or for now when the configuration may have changed meanwhile.
func (f *Forwarder) deny(status int, why string, age time.Duration, inputs logrus.Fields) *refusal {
	if age >= f.Settings.DenyBound {
		return refuse(http.StatusServiceUnavailable, why+" in a configuration that may be old", whenStoreIsBack()).with(inputs)
	}
	return refuse(status, why, 0).with(inputs)
}

// stillAllowed applies the configuration again right before a request is sent, in case it changed or
// grew old while the request waited.
func (f *Forwarder) stillAllowed(req *request) *refusal {
	table, age := f.Configuration.Table()
	if table == req.table && (req.team == nil || age < f.Settings.KeyBound) {
		return nil
	}
	return f.resolve(req)
}

func (req *request) setDeadline() {
	wait := req.Wait
	if t := req.route.Timeout; t > 0 && (wait == 0 || t < wait) {
		wait = t
	}
	if wait > 0 {
		req.deadline = req.arrived.Add(wait)
	}
}

// left returns the time that the caller still waits; 0 when it did not say.
func (req *request) left(now time.Time) time.Duration {
	if req.Wait == 0 {
		return 0
	}
	return max(req.Wait-now.Sub(req.arrived), time.Millisecond)
}

// teamName returns the name of the request's team; empty for public routes.
func (req *request) teamName() string {
	if req.team == nil {
		return ""
	}
	return req.team.Name
}

// promptKey names the prompt by its last part, which is the request's own: who asks again for the same,
// such as a caller whose connection was lost, brings the same one. 0 when there is none.
func (req *request) promptKey() uint64 {
	if len(req.Parts) == 0 {
		return 0
	}
	return req.Parts[len(req.Parts)-1].ID
}

// bodyKept is how much of a body is kept in memory, so that it can be sent again. Larger ones are
// passed on as they come, once: an instance with a thousand requests at work holds 256 MB at the most
// only if all are that large; usual bodies have 8 kB.
const bodyKept = 256 << 10

// readBody reads the body as far as it is kept.
func (req *request) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	req.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		req.replayable, req.length = true, 0
		return nil
	}
	body := io.Reader(r.Body)
	if most := req.table.Limits().BodyBytes; most > 0 {
		if r.ContentLength > int64(most) {
			return refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		}
		body = http.MaxBytesReader(w, r.Body, int64(most))
	}
	if !req.deadline.IsZero() {
		_ = http.NewResponseController(w).SetReadDeadline(req.deadline)
	}
	kept, err := io.ReadAll(io.LimitReader(body, bodyKept))
	req.body = kept
	if err != nil {
		return bodyRefusal(err)
	}
	if len(kept) < bodyKept {
		req.replayable = true
		return nil
	}
	req.rest = body
	return nil
}

func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	}
	return refuse(http.StatusRequestTimeout, "the body did not arrive", 0)
}

// bodyReader returns the body from its beginning; nil when there is none.
func (req *request) bodyReader() io.Reader {
	switch {
	case req.rest != nil:
		return io.MultiReader(bytes.NewReader(req.body), req.rest)
	case len(req.body) == 0 && req.length == 0:
		return nil
	}
	return bytes.NewReader(req.body)
}

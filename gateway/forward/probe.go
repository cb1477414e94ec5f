package forward

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// probe asks an engine on a new connection whether it still has the request. The open connection
// may be silent while the engine works, or the engine may be gone.
func (s *session) probe(p generation.Probe) {
	a := s.attempts[p.Attempt]
	if a == nil {
		s.machine.Probed(time.Now(), p.Attempt, false, 0)
		return
	}
	if a.helper != nil {
		s.machine.Probed(time.Now(), p.Attempt, s.f.helperAlive(a.helper.ID), 0)
		return
	}
	beforeFirstEvent := s.relayedEvents == 0
	countEvents := beforeFirstEvent && s.req.LastEventID == ""
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.f.Settings.ProbeTimeout)
		defer cancel()
		report, err := s.f.fetchReport(ctx, &a.endpoint)
		m := message{kind: attemptProbed}
		switch {
		case err == nil:
			m.alive, m.events = s.f.mayStillHave(&a.endpoint, &report, s.req.ID, countEvents)
		case errorx.IsOfType(err, ErrLimited):
			m.alive = true // it was not asked
		case errorx.IsOfType(err, ErrWithheld):
			m.alive = beforeFirstEvent && a.presumedAlive()
		}
		placed := s.f.Placement.PlacedAt(a.endpoint.ID)
		s.f.Log.Decision(s.req.ID, "engine probed", logrus.Fields{
			"endpoint": a.endpoint.ID, "alive": m.alive, "events": m.events, "error": errorText(err),
			"running": report.Running, "waiting": report.Queued, "used": report.UsedTokens, "placed": placed.Open, "placed_tokens": placed.Tokens,
			"unread": placed.PendingPrefill,
		})
		a.report(s.ctx, m)
	}()
}

// maxUnaskedProbes is how many probes in a row of an engine that may not be asked count as answered.
const maxUnaskedProbes = 2

// presumedAlive reports whether an engine that may not be asked before its first event counts as alive. It
// may still be prefilling the prompt, which would be lost.
func (a *attempt) presumedAlive() bool {
	return a.unaskedProbes.Add(1) <= maxUnaskedProbes
}

// mayStillHave reports whether an engine may still have a request, and how many events it has made
// for it. An engine that restarted since it was listed has lost the request, and what was known
// about the engine is dropped.
func (f *Forwarder) mayStillHave(e *routing.Endpoint, r *platform.EngineReport, id string, countEvents bool) (bool, int) {
	if e.StartedUnixMS != 0 && r.StartedUnixMS > e.StartedUnixMS {
		f.Placement.Forget(e.ID)
		return false, 0
	}
	return reportMayHold(r, id, countEvents)
}

// reportMayHold reports whether a request may be among those that a report lists, and how many
// events the engine has made for it; 0 unless countEvents is set. An engine lists a request by id
// from its first event on. Before that the request is one of those that wait or run without an id.
func reportMayHold(r *platform.EngineReport, id string, countEvents bool) (bool, int) {
	for _, run := range r.Runs {
		if run.ID != id {
			continue
		}
		if countEvents {
			return true, run.Events
		}
		return true, 0
	}
	return r.Queued > 0 || r.Prefilling(), 0
}

// fetchReport fetches an engine's status report.
func (f *Forwarder) fetchReport(ctx context.Context, e *routing.Endpoint) (platform.EngineReport, error) {
	raw, err := f.callEngine(ctx, e, http.MethodGet, platform.EngineReportPath, nil)
	if err != nil {
		return platform.EngineReport{}, err
	}
	return platform.DecodeEngineReport(raw)
}

// callEngine sends a management call to an engine on a new connection, and returns the body of the
// answer. It returns [ErrRefused] for a status of 300 or above, [ErrLimited] if nothing was sent
// since the engine is at the rate that it states, and [ErrWithheld] if nothing may be sent there.
func (f *Forwarder) callEngine(ctx context.Context, e *routing.Endpoint, method, path string, body []byte) ([]byte, error) {
	if err := f.mayCall(e.ID, method); err != nil {
		return nil, err
	}
	if err := f.claimCall(ctx, e.ID, path == platform.EngineReportPath); err != nil {
		return nil, err
	}
	conn, err := f.Pool.Dial(ctx, upstream.Target{ID: e.ID, Address: e.Address})
	if err != nil {
		return nil, err
	}
	r := &upstream.Request{Method: method, Target: path, Host: e.Address, Header: http.Header{}}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
		r.Body, r.Length = bytes.NewReader(body), int64(len(body))
	}
	x, err := conn.Do(ctx, r, func(int, http.Header) bool { return true })
	if err != nil {
		return nil, err
	}
	defer x.Abort()
	signals := platform.ReadAnswer(x.Status(), x.Header())
	f.recordCallStatus(e.ID, x.Status(), &signals)
	raw, err := limitread.All(x, limitread.MaxReport)
	if err != nil {
		return nil, err
	}
	if x.Status() >= http.StatusMultipleChoices {
		return nil, ErrRefused.New("engine %s answered %s %s with status %d", e.ID, method, path, x.Status())
	}
	return raw, nil
}

package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// probe asks an engine on a new connection whether it still has the request: the open one may have
// gone silent while the engine works, or the engine may be gone.
func (s *session) probe(p generation.Probe) {
	a := s.attempts[p.Attempt]
	if a == nil {
		s.machine.Probed(time.Now(), p.Attempt, false, 0)
		return
	}
	countable := s.relayed == 0 && s.req.LastEvent == ""
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.f.Settings.Probe)
		defer cancel()
		report, err := s.f.report(ctx, a)
		m := message{kind: attemptProbed}
		if err == nil {
			m.alive, m.events = s.f.stillHas(&a.endpoint, &report, s.req.ID, countable)
		}
		placed := s.f.Placement.PlacedAt(a.endpoint.ID)
		s.f.Log.Decision(s.req.ID, "engine asked", logrus.Fields{
			"endpoint": a.endpoint.ID, "alive": m.alive, "events": m.events, "error": errorText(err),
			"running": report.Running, "waiting": report.Waiting, "used": report.Used, "placed": placed.Open, "placed_tokens": placed.Tokens,
			"unread": placed.Unread,
		})
		a.tell(s.ctx, m)
	}()
}

// stillHas tells whether an engine may still have a request. One that started again since it was listed knows nothing of
// before, and what was believed of it is forgotten.
func (f *Forwarder) stillHas(e *routing.Endpoint, r *platform.Report, id string, countable bool) (bool, int) {
	if e.Born != 0 && r.Born > e.Born {
		f.Placement.Forget(e.ID)
		return false, 0
	}
	return holds(r, id, countable)
}

// holds tells whether a request may be among those that a report speaks of, and how many events the
// engine has made for it. A request is named from its first event on; before that it is one of those
// that wait or run without a name.
func holds(r *platform.Report, id string, countable bool) (bool, int) {
	for _, run := range r.Runs {
		if run.ID != id {
			continue
		}
		if countable {
			return true, run.Events
		}
		return true, 0
	}
	return r.Waiting > 0 || r.Running > len(r.Runs), 0
}

// report reads an engine's state.
func (f *Forwarder) report(ctx context.Context, a *attempt) (platform.Report, error) {
	raw, err := f.ask(ctx, &a.endpoint, http.MethodGet, platform.ReportPath, nil)
	if err != nil {
		return platform.Report{}, err
	}
	return platform.DecodeReport(raw)
}

// ask calls an engine on a connection of its own, and returns the body of its answer.
func (f *Forwarder) ask(ctx context.Context, e *routing.Endpoint, method, path string, body []byte) ([]byte, error) {
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
	raw, err := io.ReadAll(io.LimitReader(x, answerKept))
	if err != nil {
		return nil, err
	}
	if x.Status() >= http.StatusMultipleChoices {
		return nil, ErrRefused.New("engine %s answered %s %s with status %d", e.ID, method, path, x.Status())
	}
	return raw, nil
}

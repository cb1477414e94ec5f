package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/generation"
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
			m.alive, m.events = holds(&report, s.req.ID, countable)
		}
		s.f.Log.Decision(s.req.ID, "engine asked", logrus.Fields{"endpoint": a.endpoint.ID, "alive": m.alive, "events": m.events, "error": errorText(err)})
		a.tell(s.ctx, m)
	}()
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

// report reads an engine's state on a connection of its own.
func (f *Forwarder) report(ctx context.Context, a *attempt) (platform.Report, error) {
	conn, err := f.Pool.Dial(ctx, upstream.Target{ID: a.endpoint.ID, Address: a.endpoint.Address})
	if err != nil {
		return platform.Report{}, err
	}
	any := func(int, http.Header) bool { return true }
	x, err := conn.Do(ctx, &upstream.Request{Method: http.MethodGet, Target: platform.ReportPath, Host: a.endpoint.Address, Header: http.Header{}}, any)
	if err != nil {
		return platform.Report{}, err
	}
	defer x.Abort()
	raw, err := io.ReadAll(io.LimitReader(x, reportMost))
	if err != nil {
		return platform.Report{}, err
	}
	return platform.DecodeReport(raw)
}

// reportMost bounds a report, in bytes.
const reportMost = 256 << 10

package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/upstream"
)

// Crashes tracks the requests that crash the endpoints that run them.
type Crashes interface {
	// Decide returns what may be done with a request to a service.
	Decide(req crashers.Request, service string) crashes.Decision
	// RecordCrash records that an endpoint crashed while it had a request. ClearOnProgress records
	// that an endpoint has served the request for a while, and ClearOnAnswer that the whole answer
	// arrived, also an error answer. Both clear the request of the suspicion that it crashes
	// endpoints; after a late crash only ClearOnAnswer does.
	RecordCrash(req crashers.Request, crash crashers.Crash, inputs logrus.Fields)
	ClearOnProgress(crashers.Request)
	ClearOnAnswer(crashers.Request)
	// Admit reports whether a request may be sent to an endpoint of a service. A suspected request
	// is on trial by owner from then on, until owner calls ReleaseTrial. Only one owner tries it
	// at a time.
	Admit(req crashers.Request, service string, owner any) crashes.Decision
	ReleaseTrial(req crashers.Request, owner any)
}

// noCrashes suspects no request.
type noCrashes struct{}

func (noCrashes) Decide(crashers.Request, string) crashes.Decision {
	return crashes.Decision{}
}
func (noCrashes) RecordCrash(crashers.Request, crashers.Crash, logrus.Fields) {}
func (noCrashes) ClearOnProgress(crashers.Request)                            {}
func (noCrashes) ClearOnAnswer(crashers.Request)                              {}
func (noCrashes) Admit(crashers.Request, string, any) crashes.Decision {
	return crashes.Decision{}
}
func (noCrashes) ReleaseTrial(crashers.Request, any) {}

// refuseIfStopped refuses a request that is stopped.
func (f *Forwarder) refuseIfStopped(req *request) *refusal {
	if d := f.Crashes.Decide(req.identity, req.service); d.Verdict == crashers.Stopped {
		return f.refuseStopped(req, d)
	}
	return nil
}

// refuseStopped refuses a request that crashes endpoints, and says when it may be tried again.
func (f *Forwarder) refuseStopped(req *request, d crashes.Decision) *refusal {
	f.metrics.stoppedRefused.Inc(1)
	return refuse(http.StatusServiceUnavailable, reasonRequestStopped, max(d.Remaining, soonRetryMin)).with(logrus.Fields{"content": req.contentText(), "part": d.Part})
}

const reasonRequestStopped = "the request ends the endpoints that run it"

// loss returns the record of losing this request at an endpoint, before anything was sent.
func (req *request) loss(e *routing.Endpoint) crashes.Loss {
	return crashes.Loss{Request: req.identity, ID: req.ID, Endpoint: e.ID, Service: e.Service}
}

// hasCrashed reports whether the process of an endpoint that was not told to leave is gone, and this
// instance reaches others.
func (f *Forwarder) hasCrashed(id string) bool {
	e, ok := f.Placement.Get(id)
	if !ok || e.State == routing.Leaving {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Settings.ProbeTimeout)
	defer cancel()
	return f.isProcessGone(ctx, &e) && !f.Reach.Check(ctx)
}

// isProcessGone reports whether the process of an endpoint is gone: its machine refuses connections. While
// a process exits, connections to it are reset or close.
func (f *Forwarder) isProcessGone(ctx context.Context, e *routing.Endpoint) bool {
	for range maxProcessDials {
		conn, err := f.Pool.Dial(ctx, upstream.Target{ID: e.ID, Address: e.Address})
		if errorx.IsOfType(err, upstream.ErrReset) {
			continue
		}
		if err != nil {
			return errorx.IsOfType(err, upstream.ErrGone)
		}
		closed := conn.Closed(processExitWait)
		conn.Discard()
		if !closed {
			return false
		}
	}
	return false
}

// isUnreachable reports whether an endpoint that was not told to leave can't be connected to, while
// this instance reaches others.
func (f *Forwarder) isUnreachable(id string) bool {
	e, ok := f.Placement.Get(id)
	if !ok || e.State == routing.Leaving {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Settings.ProbeTimeout)
	defer cancel()
	conn, err := f.Pool.Dial(ctx, upstream.Target{ID: e.ID, Address: e.Address})
	if err != nil {
		return !f.Reach.Check(ctx)
	}
	conn.Discard()
	return false
}

const (
	// processExitWait is how long an exiting process may still accept connections, which close when
	// it exits.
	processExitWait = 25 * time.Millisecond
	// maxProcessDials bounds the connections of one check. An endpoint with too many connections
	// closes new ones as well.
	maxProcessDials = 3
)

// admitAttempt reports whether a session may send its request to another engine. If not, it has
// already reported the failure to the state machine.
func (s *session) admitAttempt(now time.Time, attempt int) bool {
	admission := s.f.Crashes.Admit(s.req.identity, s.req.service, s)
	switch {
	case admission.Verdict == crashers.Stopped:
		s.machine.Failed(now, attempt, generation.Stopped, admission.Remaining)
		return false
	case admission.Busy:
		s.machine.Failed(now, attempt, generation.NoEndpoint, 0)
		return false
	case admission.Verdict != crashers.Careful:
		s.endCrashTrial()
		return true
	}
	s.inCrashTrial = true
	return true
}

// endCrashTrial ends the session's crash trial, if it has one.
func (s *session) endCrashTrial() {
	if s.inCrashTrial {
		s.inCrashTrial = false
		s.f.Crashes.ReleaseTrial(s.req.identity, s)
	}
}

// recordServingTime ends the crash trial of a request after its stream has run for
// [crashes.TrialDuration], and clears the request after [crashes.ProgressAfter]. It clears the request again
// each time that an engine has served it for as long, since crashes under parts of its prompt may have been
// recorded in between.
func (s *session) recordServingTime(now time.Time, a *attempt) {
	servingTime := now.Sub(s.firstEventAt)
	if servingTime >= crashes.TrialDuration {
		s.endCrashTrial()
	}
	if servingTime < crashes.ProgressAfter || s.hasProgressed() && min(now.Sub(s.progressAt), now.Sub(a.firstEventAt)) < crashes.ProgressAfter {
		return
	}
	s.progressAt = now
	s.f.Crashes.ClearOnProgress(s.req.identity)
}

// hasProgressed reports whether the request was reported as served for long enough to be cleared.
func (s *session) hasProgressed() bool { return !s.progressAt.IsZero() }

// stopStreams ends the streams without events, at all engines, of requests that are stopped with a subject.
// Another instance may have found that they crash engines.
func (f *Forwarder) stopStreams(stopped crashers.Subject) {
	f.sessionsMu.Lock()
	var affected []*session
	for s := range f.sessions {
		if s.req.identity.Has(stopped) {
			affected = append(affected, s)
		}
	}
	f.sessionsMu.Unlock()
	for _, s := range affected {
		select {
		case s.messages <- message{kind: requestStopped}:
		case <-s.ctx.Done():
		case <-s.done:
		}
	}
}

// StopRequest ends the streams, unless they have events, of requests that were stopped with a subject by this
// instance or by another one. It does not block.
func (f *Forwarder) StopRequest(req crashers.Subject) { go f.stopStreams(req) }

// awaitAdmission returns nil when a plain request may be sent to an endpoint, or the refusal if
// not. While the request is on trial elsewhere it waits, for as long as it would wait for an
// endpoint with room.
func (p *plain) awaitAdmission(ctx context.Context) *refusal {
	for until := p.waitUntil(); ; {
		admission := p.f.Crashes.Admit(p.req.identity, p.req.service, p)
		switch {
		case admission.Verdict == crashers.Stopped:
			return p.f.refuseStopped(p.req, admission)
		case !admission.Busy:
			return nil
		}
		if !time.Now().Add(roomWaitInterval).Before(until) || !pause.For(ctx, roomWaitInterval) {
			return refuse(http.StatusServiceUnavailable, "the request is being tried, since endpoints ended under it", retryWhenRoom(0))
		}
	}
}

// answeredIdentity returns what an answer clears. An error answer says nothing about the parts of the prompt.
func (p *plain) answeredIdentity(a *answer) crashers.Request {
	if a.status >= http.StatusMultipleChoices {
		return p.req.identity.WithoutParts()
	}
	return p.req.identity
}

// endCrashTrial ends the crash trial of a plain request, if it has one.
func (p *plain) endCrashTrial() { p.f.Crashes.ReleaseTrial(p.req.identity, p) }

// addSession and removeSession keep track of the sessions in progress.
func (f *Forwarder) addSession(s *session) {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	f.sessions[s] = true
}

func (f *Forwarder) removeSession(s *session) {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	delete(f.sessions, s)
	close(s.done)
}

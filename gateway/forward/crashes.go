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
	// Verdict returns what may be done with a request to a service, and for how much longer it is
	// stopped.
	Verdict(req crashers.Subject, service string) (crashers.Verdict, time.Duration)
	// RecordCrash records that an endpoint crashed while it had a request. ClearOnProgress records
	// that an endpoint has served the request for a while, and ClearOnAnswer that the whole answer
	// arrived, also an error answer. Both clear the request of the suspicion that it crashes
	// endpoints; after a late crash only ClearOnAnswer does.
	RecordCrash(req crashers.Subject, crash crashers.Crash, inputs logrus.Fields)
	ClearOnProgress(crashers.Subject)
	ClearOnAnswer(crashers.Subject)
	// Admit reports whether a request may be sent to an endpoint of a service. A suspected request
	// is on trial by owner from then on, until owner calls ReleaseTrial. Only one owner tries it
	// at a time.
	Admit(req crashers.Subject, service string, owner any) crashes.Admission
	ReleaseTrial(req crashers.Subject, owner any)
}

// noCrashes suspects no request.
type noCrashes struct{}

func (noCrashes) Verdict(crashers.Subject, string) (crashers.Verdict, time.Duration) {
	return crashers.Free, 0
}
func (noCrashes) RecordCrash(crashers.Subject, crashers.Crash, logrus.Fields) {}
func (noCrashes) ClearOnProgress(crashers.Subject)                            {}
func (noCrashes) ClearOnAnswer(crashers.Subject)                              {}
func (noCrashes) Admit(crashers.Subject, string, any) crashes.Admission {
	return crashes.Admission{}
}
func (noCrashes) ReleaseTrial(crashers.Subject, any) {}

// refuseIfStopped refuses a request that is stopped.
func (f *Forwarder) refuseIfStopped(req *request) *refusal {
	if verdict, stoppedFor := f.Crashes.Verdict(req.identity, req.service); verdict == crashers.Stopped {
		return f.refuseStopped(req, stoppedFor)
	}
	return nil
}

// refuseStopped refuses a request that crashes endpoints, and says when it may be tried again.
func (f *Forwarder) refuseStopped(req *request, stoppedFor time.Duration) *refusal {
	f.metrics.stoppedRefused.Inc(1)
	return refuse(http.StatusServiceUnavailable, reasonRequestStopped, max(stoppedFor, soonRetryMin)).with(logrus.Fields{"content": req.contentText()})
}

const reasonRequestStopped = "the request ends the endpoints that run it"

// loss returns the record of losing this request at an endpoint, before anything was sent.
func (req *request) loss(e *routing.Endpoint) crashes.Loss {
	return crashes.Loss{Request: req.identity, ID: req.ID, Endpoint: e.ID, Service: e.Service}
}

// hasCrashed reports whether the process of an endpoint that was not told to leave is gone: its
// machine refuses connections, and this instance reaches others.
func (f *Forwarder) hasCrashed(id string) bool {
	e, ok := f.Placement.Get(id)
	if !ok || e.State == routing.Leaving {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Settings.ProbeTimeout)
	defer cancel()
	for range maxProcessDials {
		conn, err := f.Pool.Dial(ctx, upstream.Target{ID: e.ID, Address: e.Address})
		if err != nil {
			return errorx.IsOfType(err, upstream.ErrGone) && !f.Reach.Check(ctx)
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
// [crashes.TrialDuration], and clears the request after [crashes.ProgressAfter].
func (s *session) recordServingTime(now time.Time) {
	servingTime := now.Sub(s.firstEventAt)
	if servingTime >= crashes.TrialDuration {
		s.endCrashTrial()
	}
	if !s.reportedProgress && servingTime >= crashes.ProgressAfter {
		s.reportedProgress = true
		s.f.Crashes.ClearOnProgress(s.req.identity)
	}
}

// stopStreams ends the streams of a stopped request that have no events yet, at all engines. Another
// instance may have found that the request crashes them.
func (f *Forwarder) stopStreams(stopped crashers.Subject) {
	f.sessionsMu.Lock()
	var affected []*session
	for s := range f.sessions {
		if s.req.identity == stopped {
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

// StopRequest ends the streams, unless they have events, of a request that was stopped by this
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
			return p.f.refuseStopped(p.req, admission.Remaining)
		case !admission.Busy:
			return nil
		}
		if !time.Now().Add(roomWaitInterval).Before(until) || !pause.For(ctx, roomWaitInterval) {
			return refuse(http.StatusServiceUnavailable, "the request is being tried, since endpoints ended under it", retryWhenRoom(0))
		}
	}
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

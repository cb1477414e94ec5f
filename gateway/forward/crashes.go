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

// Crashes is what is known of requests that end the endpoints that run them.
type Crashes interface {
	// Verdict returns what may be done with a request to a service, and for how long it is stopped.
	Verdict(req crashers.Request, service string) (crashers.Verdict, time.Duration)
	// Ended reports that an endpoint ended under a request, Progressed that one has served it for a while, and Served that it was served.
	Ended(req crashers.Request, end crashers.Crash, inputs logrus.Fields)
	Progressed(crashers.Request)
	Served(crashers.Request)
	// Admit tells whether a request may be sent to an endpoint of a service. One that is to be handled with care is tried by who asks,
	// until Tried.
	Admit(req crashers.Request, service string, by any) crashes.Admission
	Tried(req crashers.Request, by any)
}

// noCrashes holds nothing against any request.
type noCrashes struct{}

func (noCrashes) Verdict(crashers.Request, string) (crashers.Verdict, time.Duration) {
	return crashers.Free, 0
}
func (noCrashes) Ended(crashers.Request, crashers.Crash, logrus.Fields) {}
func (noCrashes) Progressed(crashers.Request)                           {}
func (noCrashes) Served(crashers.Request)                               {}
func (noCrashes) Admit(crashers.Request, string, any) crashes.Admission {
	return crashes.Admission{}
}
func (noCrashes) Tried(crashers.Request, any) {}

// refuseIfStopped refuses a request that is stopped.
func (f *Forwarder) refuseIfStopped(req *request) *refusal {
	if v, left := f.Crashes.Verdict(req.identity, req.service); v == crashers.Stopped {
		return f.refuseStopped(req, left)
	}
	return nil
}

// refuseStopped refuses a request that ends the endpoints that run it, and says when it may be tried again.
func (f *Forwarder) refuseStopped(req *request, left time.Duration) *refusal {
	f.metrics.stoppedRefused.Inc(1)
	return refuse(http.StatusServiceUnavailable, whyStopped, max(left, soonLeast)).with(logrus.Fields{"content": req.contentText()})
}

const whyStopped = "the request ends the endpoints that run it"

// loss describes a request that is about to be sent to an endpoint, as it would be lost there.
func (req *request) loss(e *routing.Endpoint) crashes.Loss {
	return crashes.Loss{Request: req.identity, ID: req.ID, Endpoint: e.ID, Service: e.Service}
}

// hasEnded tells whether the process of an endpoint is gone that was not told to leave: its machine refuses connections.
func (f *Forwarder) hasEnded(id string) bool {
	e, ok := f.Placement.Get(id)
	if !ok || e.State == routing.Leaving {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Settings.Probe)
	defer cancel()
	for range dials {
		conn, err := f.Pool.Dial(ctx, upstream.Target{ID: e.ID, Address: e.Address})
		if err != nil {
			return errorx.IsOfType(err, upstream.ErrGone)
		}
		closed := conn.Closed(dying)
		conn.Discard()
		if !closed {
			return false
		}
	}
	return false
}

// isUnreachable tells whether an endpoint that was not told to leave can't be connected to.
func (f *Forwarder) isUnreachable(id string) bool {
	e, ok := f.Placement.Get(id)
	if !ok || e.State == routing.Leaving {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Settings.Probe)
	defer cancel()
	conn, err := f.Pool.Dial(ctx, upstream.Target{ID: e.ID, Address: e.Address})
	if err != nil {
		return true
	}
	conn.Discard()
	return false
}

const (
	// dying is how long a process that ends may still accept connections, which end with it.
	dying = 25 * time.Millisecond
	// dials bounds the connections made to find out: an endpoint that has too many closes new ones as well.
	dials = 3
)

// mayStart tells whether a session may send its request to another engine; if not, the machine was told.
func (s *session) mayStart(now time.Time, attempt int) bool {
	a := s.f.Crashes.Admit(s.req.identity, s.req.service, s)
	switch {
	case a.Verdict == crashers.Stopped:
		s.machine.Failed(now, attempt, generation.Stopped, a.Remaining)
		return false
	case a.Busy:
		s.machine.Failed(now, attempt, generation.NoEndpoint, 0)
		return false
	case a.Verdict != crashers.Careful:
		s.tried()
		return true
	}
	s.careful = true
	return true
}

// tried ends the session's trial, if it has one.
func (s *session) tried() {
	if s.careful {
		s.careful = false
		s.f.Crashes.Tried(s.req.identity, s)
	}
}

// servedSoFar ends the trial of the request once its stream has run for a moment, and clears it after a while.
func (s *session) servedSoFar(now time.Time) {
	ran := now.Sub(s.firstAt)
	if ran >= crashes.TrialDuration {
		s.tried()
	}
	if !s.served && ran >= crashes.ProgressAfter {
		s.served = true
		s.f.Crashes.Progressed(s.req.identity)
	}
}

// endStreams ends the streams of a request that was stopped, at whatever engine they are: another instance may have seen that
// it ends them.
func (f *Forwarder) endStreams(stopped crashers.Request) {
	f.sessionsMu.Lock()
	var all []*session
	for s := range f.sessions {
		if s.req.identity == stopped {
			all = append(all, s)
		}
	}
	f.sessionsMu.Unlock()
	for _, s := range all {
		select {
		case s.messages <- message{kind: sessionStopped}:
		case <-s.ctx.Done():
		case <-s.done:
		}
	}
}

// Stopped takes that a request was stopped, here or by another instance.
func (f *Forwarder) Stopped(req crashers.Request) { go f.endStreams(req) }

// mayTry tells whether a plain request may be sent to another endpoint; if not, it says why. It waits while another instance tries
// the request, for as long as for an endpoint with room.
func (p *plain) mayTry(ctx context.Context) *refusal {
	for until := p.waitUntil(); ; {
		a := p.f.Crashes.Admit(p.req.identity, p.req.service, p)
		switch {
		case a.Verdict == crashers.Stopped:
			return p.f.refuseStopped(p.req, a.Remaining)
		case !a.Busy:
			return nil
		}
		if !time.Now().Add(waitStep).Before(until) || !pause.For(ctx, waitStep) {
			return refuse(http.StatusServiceUnavailable, "the request is being tried, since endpoints ended under it", whenRoom(0))
		}
	}
}

// tried ends the trial of a plain request, if it is one.
func (p *plain) tried() { p.f.Crashes.Tried(p.req.identity, p) }

// enter and exit keep the sessions that are in progress.
func (f *Forwarder) enter(s *session) {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	f.sessions[s] = true
}

func (f *Forwarder) exit(s *session) {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	delete(f.sessions, s)
	close(s.done)
}

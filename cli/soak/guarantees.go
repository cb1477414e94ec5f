package soak

import (
	"net/http"
	"strconv"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// Time bounds of guarantees. Each is checked only where nothing that it depends on was disrupted
// meanwhile. The margin allows for a machine that runs several soaks at once.
const (
	drainWithin  = 2*time.Second + timingMargin
	applyWithin  = 2*time.Second + timingMargin
	cancelWithin = 500*time.Millisecond + timingMargin
	timingMargin = 700 * time.Millisecond
)

// checkRuns compares what endpoints ran with what callers were told.
func (s *soak) checkRuns() {
	runs := map[string][]workerRun{}
	for _, k := range s.env.workers {
		for _, r := range k.runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	for _, o := range s.env.rolloutOrders() {
		for _, r := range o.runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	for id, of := range runs {
		if a := s.calls[id]; a != nil { // otherwise it was in progress at the end, or sent by checkServed
			s.checkAllowedRuns(a, of)
			for i := range of {
				s.checkRun(a, &of[i])
			}
		}
	}
	for _, a := range s.calls {
		s.checkAnswer(a, runs[a.id])
	}
	s.checkFatalRequests(runs)
	s.checkEndless()
	s.checkEndpointPauses(runs)
	for _, w := range s.env.foreignWorkers {
		for _, r := range w.Runs() {
			s.addFinding("request %s ran at a worker of another service", r.ID)
		}
	}
}

// checkAllowedRuns checks whether the request was allowed to run, and how often it ran.
func (s *soak) checkAllowedRuns(a *call, of []workerRun) {
	if a.nonIdempotent && len(of) > 1 {
		s.addFinding("request %s ran %d times", a.id, len(of))
	}
	if a.nonIdempotent && a.err == nil && guaranteesNotRun(&a.answer) {
		s.addFinding("request %s was refused with %d and ran", a.id, a.answer.Status)
	}
	if at, taken := s.env.revokedAt(a.key); taken && a.sent.Sub(at) > revokeBound {
		s.addFinding("request %s ran with key %s, %v after it was taken away", a.id, a.key, a.sent.Sub(at))
	}
}

// checkRun checks one run of a request: the headers that were forwarded, and that the run started
// and ended in time.
func (s *soak) checkRun(a *call, r *workerRun) {
	if r.Key != "" || r.Pin != "" || r.Hold != "" || r.CopyFrom == "forged" || r.CopyTo == "forged" || r.Team != "desk" {
		s.addFinding("request %s was passed on as its caller had forged it: %+v", a.id, r.Run)
	}
	if ms, err := strconv.ParseInt(r.WaitMS, 10, 64); err != nil || time.Duration(ms)*time.Millisecond > a.timeout {
		s.addFinding("request %s was passed on with %q ms left of %v", a.id, r.WaitMS, a.timeout)
	}
	h, name, p := &s.env.disruptions, r.worker.name, &s.env.pauses
	if !r.leavingSince.IsZero() && r.At.Sub(r.leavingSince) > drainWithin && a.sent.After(r.leavingSince) && h.undisturbed(r.leavingSince, r.At, storeSubject, a.process) && !p.overlap(r.incarnation, r.leavingSince, r.At) {
		s.addFinding("request %s began at %s %v after it had said that it leaves", a.id, name, r.At.Sub(r.leavingSince))
	}
	if a.abandoned && r.EndedAt.Sub(a.ended) > cancelWithin && h.undisturbed(a.sent, r.EndedAt, storeSubject, a.process, name) && !p.overlap(r.incarnation, a.ended, r.EndedAt) {
		s.addFinding("request %s was at work at %s for %v after its caller had left", a.id, name, r.EndedAt.Sub(a.ended))
	}
}

// checkAnswer checks what a caller was told.
func (s *soak) checkAnswer(a *call, of []workerRun) {
	h := &s.env.disruptions
	if a.nonIdempotent && a.err == nil && a.answer.Status == http.StatusOK && len(of) == 0 {
		s.addFinding("request %s was answered and never ran", a.id)
	}
	if a.err != nil && !a.abandoned && len(of) == 1 && of[0].Ended != standin.Crashed && h.undisturbed(a.sent, a.ended, a.process, of[0].worker.name) {
		s.addFinding("request %s was passed on by %s, and its connection closed without an answer after %v", a.id, a.process, a.ended.Sub(a.sent))
	}
	if a.err != nil || a.routeVersion == 0 {
		return
	}
	from, until := s.env.routeLifetime(a.routeVersion)
	overdue := func(since time.Time) bool {
		return !since.IsZero() && a.sent.Sub(since) > applyWithin && h.undisturbed(since, a.ended, storeSubject, a.process)
	}
	if a.answer.Status == http.StatusNotFound && until.IsZero() && overdue(from) {
		s.addFinding("request %s met no route %v after version %d had brought it", a.id, a.sent.Sub(from), a.routeVersion)
	}
	if a.answer.Status == http.StatusOK && overdue(until) {
		s.addFinding("request %s was served %v after its route was taken away", a.id, a.sent.Sub(until))
	}
}

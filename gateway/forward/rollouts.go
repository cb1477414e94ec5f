package forward

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/rollouts"
)

// Rollouts decides which builds of endpoints may serve requests while a service moves from one
// build to another.
type Rollouts interface {
	// Builds returns the builds that may serve a request of a route. draw is a random number below
	// 1, drawn once per request; 1 selects the baseline build.
	Builds(service, route string, draw float64) routing.BuildFilter
	// CopyBuilds returns the builds whose endpoints may hold a copy of a request's memory.
	CopyBuilds(service string) routing.BuildFilter
	// ResumeWait returns how long a stream that an endpoint has broken off waits before it resumes
	// elsewhere.
	ResumeWait(e *routing.Endpoint) time.Duration
	// RolledBack reports whether requests have to leave an endpoint because its build was rolled
	// back.
	RolledBack(e *routing.Endpoint) bool
	// Begin starts counting a request that is sent to an endpoint. It returns nil when nothing has
	// to be counted.
	Begin(route string, e *routing.Endpoint) *rollouts.Trial
}

// noRollouts is the [Rollouts] of an instance without rollouts.
type noRollouts struct{}

func (noRollouts) Builds(string, string, float64) routing.BuildFilter { return routing.BuildFilter{} }
func (noRollouts) CopyBuilds(string) routing.BuildFilter              { return routing.BuildFilter{} }
func (noRollouts) ResumeWait(*routing.Endpoint) time.Duration         { return 0 }
func (noRollouts) RolledBack(*routing.Endpoint) bool                  { return false }
func (noRollouts) Begin(string, *routing.Endpoint) *rollouts.Trial    { return nil }

// baselineDraw is the draw for retries. Whatever lost the request, the baseline build is the safer
// one.
const baselineDraw = 1

// builds returns the builds that may serve a request now.
func (f *Forwarder) builds(req *request) routing.BuildFilter {
	return f.Rollouts.Builds(req.service, req.route.Name, req.rolloutDraw)
}

// Measurements of a stream for comparing builds.
const (
	// prefillUnitTokens is the number of prompt tokens to which the time to the first event is
	// normalised.
	prefillUnitTokens = 1000
	// gapSampleEvents is the number of gaps between events that are averaged.
	gapSampleEvents = 8
	// A pending first event counts as slow after slowPrefillFactor times the usual time.
	slowPrefillFactor = 3.5
)

// prefillTimePerUnit returns the time to the first event per prefillUnitTokens prompt tokens that
// the engine had to prefill; 0 when it had to prefill fewer.
func (a *attempt) prefillTimePerUnit(now time.Time) time.Duration {
	if a.prefillTokens < prefillUnitTokens {
		return 0
	}
	return now.Sub(a.sentAt) * prefillUnitTokens / time.Duration(a.prefillTokens)
}

// recordEventGap records the average gap over the first gapSampleEvents gaps between events.
func (a *attempt) recordEventGap(now time.Time) {
	switch a.eventCount {
	case 1:
		a.firstEventAt = now
	case gapSampleEvents + 1:
		a.rolloutTrial.EventGap(now.Sub(a.firstEventAt) / gapSampleEvents)
	}
}

// recordSlowFirstEvent records that the first event is slow, while it has not arrived yet.
func (s *session) recordSlowFirstEvent(now time.Time) {
	a := s.currentAttempt()
	if a == nil || a.hasEvent || a.ended || a.rolloutTrial == nil || a.prefillTokens < prefillUnitTokens {
		return
	}
	expected, known := s.f.Placement.ExpectedPrefillTime(s.req.service, a.prefillTokens)
	if known && now.Sub(a.sentAt) >= time.Duration(slowPrefillFactor*float64(expected)) {
		a.rolloutTrial.Late(a.prefillTimePerUnit(now))
	}
}

// followRollout moves a stream off an engine whose build was rolled back, and has its copy moved to
// a build that stays.
func (s *session) followRollout(now time.Time) {
	a := s.currentAttempt()
	if a == nil || a.ended {
		return
	}
	h, copied := s.copies.Holder()
	if e, known := s.f.Placement.Get(h.Endpoint); copied && known {
		if builds := s.f.Rollouts.CopyBuilds(s.req.service); !builds.Allows(&e) {
			s.copies.HolderStopping(now)
			s.accountCopy("")
			copied = false
		}
	}
	a.rolloutTrial.SetUndrained(a.hasEvent && !copied)
	if s.f.Rollouts.RolledBack(&a.endpoint) && copied && a.hasEvent {
		s.f.Log.Decision(s.req.ID, "build rolled back", logrus.Fields{"attempt": a.number, "endpoint": a.endpoint.ID, "events": s.relayedEvents})
		a.ended = true
		a.cancel()
		s.markLost(now)
		s.machine.Failed(now, a.number, generation.Gone, 0)
	}
}

package forward

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/rollouts"
)

// Rollouts says which builds of endpoints may serve requests, while a service moves from one to another.
type Rollouts interface {
	// Builds returns the builds that may serve a request of a route. draw is drawn once a request; 1 keeps it at the baseline.
	Builds(service, route string, draw float64) routing.BuildFilter
	// CopyBuilds returns the builds whose endpoints may keep a copy of a request's memory.
	CopyBuilds(service string) routing.BuildFilter
	// ResumeWait returns how long a stream waits that an endpoint has broken off before it goes on elsewhere.
	ResumeWait(e *routing.Endpoint) time.Duration
	// RolledBack tells whether a request has to leave an endpoint.
	RolledBack(e *routing.Endpoint) bool
	// Begin counts a request that is sent to an endpoint; nil where nothing is to be counted.
	Begin(route string, e *routing.Endpoint) *rollouts.Trial
}

// noRollouts moves nothing.
type noRollouts struct{}

func (noRollouts) Builds(string, string, float64) routing.BuildFilter { return routing.BuildFilter{} }
func (noRollouts) CopyBuilds(string) routing.BuildFilter              { return routing.BuildFilter{} }
func (noRollouts) ResumeWait(*routing.Endpoint) time.Duration         { return 0 }
func (noRollouts) RolledBack(*routing.Endpoint) bool                  { return false }
func (noRollouts) Begin(string, *routing.Endpoint) *rollouts.Trial    { return nil }

// atBaseline is the draw of a retry: whatever lost the request, the build in service is the safer one.
const atBaseline = 1

// builds returns the builds that may serve a request now.
func (f *Forwarder) builds(req *request) routing.BuildFilter {
	return f.Rollouts.Builds(req.service, req.route.Name, req.draw)
}

// Times of a stream that are counted for a comparison of builds.
const (
	// thousand prompt tokens are the unit of the time to the first event.
	thousand = 1000
	// gapEvents is over how many events the time between two is taken.
	gapEvents = 8
	// slowTimes as long as usual is when a first event counts as slow before it has come.
	slowTimes = 3.5
)

// readTime returns the time to the first event for each thousand prompt tokens that the engine had to read; 0 where it had to read
// less.
func (a *attempt) readTime(now time.Time) time.Duration {
	if a.reading < thousand {
		return 0
	}
	return now.Sub(a.sentAt) * thousand / time.Duration(a.reading)
}

// paceEvents counts the time between events.
func (a *attempt) paceEvents(now time.Time) {
	switch a.events {
	case 1:
		a.firstAt = now
	case gapEvents + 1:
		a.trial.EventGap(now.Sub(a.firstAt) / gapEvents)
	}
}

// overdue counts a first event that takes very long.
func (s *session) overdue(now time.Time) {
	a := s.current()
	if a == nil || a.began || a.over || a.trial == nil || a.reading < thousand {
		return
	}
	usual, known := s.f.Placement.Expected(s.req.service, a.reading)
	if known && now.Sub(a.sentAt) >= time.Duration(slowTimes*float64(usual)) {
		a.trial.Late(a.readTime(now))
	}
}

// followRollout moves a stream off an engine whose build was rolled back, and its copy to an engine that stays.
func (s *session) followRollout(now time.Time) {
	a := s.current()
	if a == nil || a.over {
		return
	}
	h, copied := s.copies.Holder()
	if e, known := s.f.Placement.Get(h.Endpoint); copied && known {
		if builds := s.f.Rollouts.CopyBuilds(s.req.service); !builds.Allows(&e) {
			s.copies.Move(now)
			s.account("")
			copied = false
		}
	}
	a.trial.SetUndrained(a.began && !copied)
	if s.f.Rollouts.RolledBack(&a.endpoint) && copied && a.began {
		s.f.Log.Decision(s.req.ID, "build rolled back", logrus.Fields{"attempt": a.number, "endpoint": a.endpoint.ID, "events": s.relayed})
		a.over = true
		a.cancel()
		s.lost(now)
		s.machine.Failed(now, a.number, generation.Gone, 0)
	}
}

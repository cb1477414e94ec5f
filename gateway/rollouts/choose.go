package rollouts

import (
	"math"
	"time"

	"github.com/agateway/agateway/core/rendezvous"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/core/routing"
)

// The requests of a canary go to canaryFraction of the target's endpoints, so that each of them has
// about the load of an endpoint of the baseline: some builds are bad under load only. At least
// minCanaryEndpoints are used, since a single endpoint may be bad whatever build it runs.
const (
	canaryFraction     = 0.1
	minCanaryEndpoints = 3
)

// setEndpoints counts the live endpoints of the target and of the baseline, and chooses the
// target's endpoints that get the requests of a canary.
func (s *service) setEndpoints(all []routing.Endpoint) {
	if s.order == nil {
		return
	}
	target := s.target()
	n := rollout.Endpoints{}
	var ids []string
	for i := range all {
		e := &all[i]
		switch {
		case e.Service != s.name || e.State != routing.Live:
		case e.Build == target:
			n.Target++
			ids = append(ids, e.ID)
		default:
			n.Baseline++
		}
	}
	s.order.SetEndpoints(n)
	s.canary = map[string]bool{}
	for _, id := range rendezvous.Rank(target, ids, max(int(math.Ceil(canaryFraction*float64(len(ids)))), minCanaryEndpoints)) {
		s.canary[id] = true
	}
}

// Builds returns the builds that may serve a request of a route of the named service. draw is a
// random number from 0 to 1 that is drawn once for each request. A request with 1 stays at the
// baseline until all requests go to the target.
func (r *Controller) Builds(name, route string, draw float64) routing.BuildFilter {
	if !r.active.Load() {
		return routing.BuildFilter{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil || s.order == nil || s.state() == rollout.Completed {
		return routing.BuildFilter{}
	}
	now, target := r.now(), s.target()
	share := 0.0
	if !s.withdrawn {
		share = s.order.Share(now, route, r.informed(s, now))
	}
	switch {
	case draw >= share && share < 1:
		return routing.BuildFilter{Except: target}
	case s.order.Moving():
		return routing.BuildFilter{Only: target}
	}
	return routing.BuildFilter{Only: target, Among: s.canary}
}

// CopyBuilds returns the builds whose endpoints may keep a copy of a request's memory. These are
// the builds that are expected to remain when the order ends: the target while requests move to it,
// and all others before that and after a roll-back.
func (r *Controller) CopyBuilds(name string) routing.BuildFilter {
	if !r.active.Load() {
		return routing.BuildFilter{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	switch {
	case s == nil || s.order == nil || s.state() == rollout.Completed:
		return routing.BuildFilter{}
	case s.running() && s.order.Moving():
		return routing.BuildFilter{Only: s.target()}
	}
	return routing.BuildFilter{Except: s.target()}
}

// ResumeWait returns how long a stream that broke off at an endpoint waits before it goes on at
// another one; 0 means no wait.
func (r *Controller) ResumeWait(e *routing.Endpoint) time.Duration {
	if !r.active.Load() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[e.Service]
	if s == nil || s.order == nil || s.withdrawn || s.target() == e.Build {
		return 0
	}
	return s.order.ResumeWait(r.now())
}

// RolledBack reports whether a request has to leave an endpoint because its build was rolled back
// or the order was withdrawn.
func (r *Controller) RolledBack(e *routing.Endpoint) bool {
	if !r.active.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[e.Service]
	if s == nil || s.order == nil || s.target() != e.Build {
		return false
	}
	decision, _ := s.order.Decision()
	return s.withdrawn || decision == rollout.RollBack && s.state() != rollout.Completed
}

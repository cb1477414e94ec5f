package rollouts

import (
	"math"
	"time"

	"github.com/agateway/agateway/core/rendezvous"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/core/routing"
)

// A canary gets as many of the target's endpoints as give each about the load of one of the baseline's: some builds are bad under
// load only. A few are the least, since a single one may be bad by itself.
const (
	canaryPart         = 0.1
	minCanaryEndpoints = 3
)

// count takes how many usable endpoints there are of each side, and picks those of a canary.
func (s *service) count(all []routing.Endpoint) {
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
	for _, id := range rendezvous.Rank(target, ids, max(int(math.Ceil(canaryPart*float64(len(ids)))), minCanaryEndpoints)) {
		s.canary[id] = true
	}
}

// Builds returns the builds that may serve a request of a route. draw is a random number between 0 and 1, drawn once a request; 1
// keeps it at the baseline while any requests stay there.
func (r *Register) Builds(name, route string, draw float64) routing.BuildFilter {
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

// CopyBuilds returns the builds whose endpoints may keep a copy of a request's memory: those that outlast the order.
func (r *Register) CopyBuilds(name string) routing.BuildFilter {
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

// ResumeWait returns how long a stream waits that an endpoint has broken off before it goes on elsewhere.
func (r *Register) ResumeWait(e *routing.Endpoint) time.Duration {
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

// RolledBack tells whether a request has to leave an endpoint, since its build was rolled back.
func (r *Register) RolledBack(e *routing.Endpoint) bool {
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

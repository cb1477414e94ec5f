package rollouts

import (
	"time"

	"github.com/agateway/agateway/core/listing"
	"github.com/agateway/agateway/core/routing"
)

// Usable takes all listed endpoints, and returns those whose builds may get requests.
func (r *Controller) Usable(all []routing.Endpoint) []routing.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, s := range r.services {
		clear(s.listed)
	}
	for i := range all {
		r.service(all[i].Service).listed[all[i].Build]++
	}
	for _, s := range r.services {
		s.updateBuilds(now, r.ordersCurrentAt)
	}
	var out []routing.Endpoint
	for i := range all {
		if r.services[all[i].Service].usable[all[i].Build] {
			out = append(out, all[i])
		}
	}
	for _, s := range r.services {
		s.setEndpoints(out)
	}
	return out
}

// UsableChanges takes changes of the listed endpoints, and returns those of the endpoints whose
// builds may get requests. It returns false if more may have changed: while an order is in
// progress, and when a build becomes usable or ceases to be. The caller then has to call
// [Controller.Usable] with the whole list.
func (r *Controller) UsableChanges(changes []listing.Change) ([]listing.Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, complete := r.now(), true
	for s := range r.countListed(changes) {
		if s.updateBuilds(now, r.ordersCurrentAt) || s.running() {
			complete = false
		}
	}
	return r.usableOf(changes), complete
}

// countListed counts the endpoints of each build, and returns the services with changes. The caller
// holds mu.
func (r *Controller) countListed(changes []listing.Change) map[*service]bool {
	changed := map[*service]bool{}
	for _, c := range changes {
		if c.Before != nil {
			s := r.service(c.Before.Service)
			s.listed[c.Before.Build]--
			changed[s] = true
		}
		if c.After != nil {
			s := r.service(c.After.Service)
			s.listed[c.After.Build]++
			changed[s] = true
		}
	}
	return changed
}

// usableOf returns the changes of the endpoints whose builds may get requests. The caller holds mu.
func (r *Controller) usableOf(changes []listing.Change) []listing.Change {
	var out []listing.Change
	for _, c := range changes {
		if c.After != nil && !r.services[c.After.Service].usable[c.After.Build] {
			c.After = nil
		}
		if c.After != nil || c.Before != nil {
			out = append(out, c)
		}
	}
	return out
}

// updateBuilds takes the builds that are listed now. It reports whether that changes if a build
// which was listed before may get requests.
func (s *service) updateBuilds(now, ordersCurrentAt time.Time) bool {
	names := map[string]bool{}
	for name, n := range s.listed {
		if n > 0 {
			names[name] = true
		} else {
			delete(s.listed, name)
		}
	}
	s.builds.Update(now, names, ordersCurrentAt, s.target(), s.state())
	before := s.usable
	s.usable = map[string]bool{}
	changed := false
	for name := range names {
		s.usable[name] = s.builds.Usable(now, name, s.target(), s.state(), s.withdrawn)
		was, listed := before[name]
		changed = changed || listed && was != s.usable[name]
	}
	return changed
}

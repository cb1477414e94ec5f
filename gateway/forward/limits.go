package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/routing"
)

// returnSchedules spreads the times at which refused callers come back, by service. The zero value
// is empty. It is safe for concurrent use.
type returnSchedules struct {
	mu        sync.Mutex
	byService map[string]*admission.ReturnSchedule
}

// next returns when the next refused caller of a service is told to come back.
func (s *returnSchedules) next(service string, earliest time.Duration, perSecond float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]*admission.ReturnSchedule{}
	}
	schedule := s.byService[service]
	if schedule == nil {
		schedule = &admission.ReturnSchedule{}
		s.byService[service] = schedule
	}
	return schedule.Next(time.Now(), earliest, perSecond)
}

// claimCall claims a request to an endpoint that states a rate, outside of the choice of an
// endpoint: a resumption from a copy, a probe, or an order to an engine. It returns [ErrLimited] if
// the endpoint takes none now. An endpoint that states no rate takes all.
func (f *Forwarder) claimCall(ctx context.Context, endpoint string, recovery bool) error {
	limits := f.Placement.LimitsOf(endpoint)
	if !limits.HasRate || f.Settings.Disabled.Limits {
		return nil
	}
	g := f.Peers.Claim(ctx, endpoint, routing.Claim{Recovery: recovery, Limits: limits})
	f.metrics.countRateClaim(g.MayPlace())
	if !g.MayPlace() {
		return ErrLimited.New("endpoint %s takes %s requests a second", endpoint, rateText(limits.Limits))
	}
	return nil
}

// nextAtLimit returns when room may be claimed again at the first endpoint of a service. limited is
// false unless all of its endpoints state a rate.
func (f *Forwarder) nextAtLimit(service string) (at time.Time, limited bool) {
	l := f.serviceLimit(service)
	return l.Next, l.All
}

func (f *Forwarder) serviceLimit(service string) routing.ServiceLimit {
	if f.Settings.Disabled.Limits {
		return routing.ServiceLimit{}
	}
	return f.Placement.ServiceLimit(service)
}

// refuseFull refuses a request that found no room. Where all endpoints of its service state a rate,
// refused callers are told to come back no faster than the endpoints take them: each instance
// schedules an equal part of the rate.
func (f *Forwarder) refuseFull(req *request, reason string) *refusal {
	l := f.serviceLimit(req.service)
	if !l.All {
		return refuse(http.StatusServiceUnavailable, reason, retryWhenRoom(0))
	}
	alive, _ := f.Peers.Instances()
	perSecond := l.Rate / float64(max(alive, 1))
	retryAfter := f.returns.next(req.service, max(time.Until(l.Next), roomRetryMin), perSecond)
	return refuse(http.StatusServiceUnavailable, reason, retryAfter).with(logrus.Fields{"rate": l.Rate, "instances": alive})
}

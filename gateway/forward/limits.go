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

// keptLimits returns the limits of an endpoint that are kept: those whose mechanism is not switched
// off.
func (f *Forwarder) keptLimits(st admission.Statement) admission.Statement {
	if f.Settings.Disabled.Limits {
		st.Rate, st.HasRate = 0, false
	}
	if f.Settings.Disabled.Room {
		st.MaxRefusals, st.Fragile = 0, false
	}
	return st
}

// claimResumption claims the resumption of a stream from a copy at an engine that states limits. It
// returns [ErrLimited] if the engine takes none now.
func (f *Forwarder) claimResumption(ctx context.Context, endpoint string) (lease uint64, err error) {
	return f.claimLimited(ctx, endpoint, f.keptLimits(f.Placement.LimitsOf(endpoint)), true)
}

// claimCall claims a probe of an engine that states a rate, or an order to it, neither of which
// takes room. It returns [ErrLimited] if the engine takes none now.
func (f *Forwarder) claimCall(ctx context.Context, endpoint string, recovery bool) error {
	limits := f.keptLimits(f.Placement.LimitsOf(endpoint))
	limits.MaxRefusals, limits.Fragile = 0, false
	_, err := f.claimLimited(ctx, endpoint, limits, recovery)
	return err
}

// claimLimited claims a request outside of the choice of an endpoint. An endpoint without limits
// takes all.
func (f *Forwarder) claimLimited(ctx context.Context, endpoint string, limits admission.Statement, recovery bool) (lease uint64, err error) {
	if !limits.Stated() {
		return 0, nil
	}
	g := f.Peers.Claim(ctx, endpoint, routing.Claim{Recovery: recovery, Limits: limits, Lifetime: leaseLifetime(ctx)})
	f.metrics.countLimitClaim(limits.Limits, g.MayPlace())
	if !g.MayPlace() {
		return 0, ErrLimited.New("endpoint %s takes no request now, rate %q, refusals %q", endpoint, rateText(limits.Limits), refusalsText(limits.Limits))
	}
	return g.Lease, nil
}

// nextAtLimit returns when room may be claimed again at the first endpoint of a service. limited is
// false unless room has to be claimed at all of them.
func (f *Forwarder) nextAtLimit(service string) (at time.Time, limited bool) {
	l := f.serviceLimit(service)
	return l.Next, l.AllClaimed
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
	if !l.AllRated {
		return refuse(http.StatusServiceUnavailable, reason, retryWhenRoom(0))
	}
	alive, _ := f.Peers.Instances()
	perSecond := l.Rate / float64(max(alive, 1))
	retryAfter := f.returns.next(req.service, max(time.Until(l.Next), roomRetryMin), perSecond)
	return refuse(http.StatusServiceUnavailable, reason, retryAfter).with(logrus.Fields{"rate": l.Rate, "instances": alive})
}

package rollouts

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/platform"
)

// Store takes the outcomes of orders.
type Store interface {
	ReplaceStatus(ctx context.Context, kind, name string, status json.RawMessage, revision uint64) (platform.Object, error)
}

// Options of a register.
type Options struct {
	Settings rollout.Settings
	// Self is this instance, DataCentre where it runs.
	Self, DataCentre string
	Store            Store
	// Others are the other instances that are alive.
	Others func() []rollout.Source
	// ProofAge returns how long ago the orders were known to be the newest; false when they are not known.
	ProofAge func() (time.Duration, bool)
	// Relist is called when the endpoints that may be used have changed.
	Relist func()
	// Settle returns how long streams of a service usually take until they can go on elsewhere; 0 for services without streams.
	Settle func(service string) time.Duration
	// Tell makes the others learn at once.
	Tell func()
	// Clock also runs while the machine is suspended.
	Clock clock.Func
	Log   *logrus.Entry
	Scope tally.Scope
}

// Register holds the orders that are known. It is safe for concurrent use.
type Register struct {
	Options
	metrics metrics
	// active is set while any order is not over, for the path of each request.
	active atomic.Bool
	wake   chan struct{}

	mu       sync.Mutex
	services map[string]*service
	// listed is set once the orders were read for the first time.
	listed bool
	proved time.Time
}

// service is what is known of a service's builds.
type service struct {
	name   string
	builds rollout.Builds
	// order is the one in progress or the last one; nil for none. withdrawn tells that the operator took it back.
	order     *rollout.Rollout
	given     time.Time
	revision  uint64
	withdrawn bool
	// canary are the endpoints of the target that get the requests of a canary.
	canary map[string]bool
	// open counts requests at the baseline that can't go on at the target.
	open int
	// writeAt is when this instance writes the outcome, if nobody has by then.
	writeAt time.Time
	logged  rollout.Decision
}

// New returns a register that knows no orders.
func New(o Options) *Register {
	return &Register{Options: o, metrics: newMetrics(o.Scope), wake: make(chan struct{}, 1), services: map[string]*service{}}
}

// now is the time that decisions count in.
func (r *Register) now() time.Time { return time.Unix(0, 0).Add(r.Clock()) }

func (r *Register) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name}
		r.services[name] = s
	}
	return s
}

// target returns the target of the service's order; empty where there is none.
func (s *service) target() string {
	if s.order == nil {
		return ""
	}
	return s.order.Order().Target
}

func (s *service) state() rollout.State {
	if s.order == nil {
		return rollout.Ordered
	}
	return s.order.State()
}

// running tells that the service's order is not over.
func (s *service) running() bool { return s.order != nil && !s.withdrawn && !s.order.State().Final() }

// over tells that the service's order restricts nothing any more.
func (s *service) over(now time.Time) bool {
	return s.order.State() == rollout.Completed && s.order.Age(now) >= s.order.Order().Duration
}

// informed tells that this instance would know of a roll-back: the orders were read a short while ago, or the others are heard. The
// caller holds mu.
func (r *Register) informed(s *service, now time.Time) bool {
	if age, known := r.ProofAge(); known && age < r.Settings.MaxRollBackDelay/informedParts {
		return true
	}
	return s.order.Connected(now, r.Others())
}

// informedParts: knowledge older than a part in so many of the time allowed for a roll-back is too old to send anything to a target.
const informedParts = 2

// Orders takes all orders of the store. proved is when they were known to be the newest, on the register's clock.
func (r *Register) Orders(orders map[string]platform.Rollout, proved time.Duration) {
	r.mu.Lock()
	now := r.now()
	r.proved = time.Unix(0, 0).Add(proved)
	changed := !r.listed
	r.listed = true
	for name, o := range orders {
		changed = r.order(now, r.service(name), &o) || changed
	}
	for name, s := range r.services {
		if _, still := orders[name]; !still && s.order != nil && !s.withdrawn {
			r.withdraw(s)
			changed = true
		}
	}
	r.refreshActive()
	r.mu.Unlock()
	if changed {
		r.notify()
		r.Relist()
	}
}

// order takes one order, and tells whether anything is new. The caller holds mu.
func (r *Register) order(now time.Time, s *service, o *platform.Rollout) bool {
	s.revision = o.Revision
	if s.order == nil || s.order.Order() != o.Order {
		age := time.Duration(0)
		if !o.GivenAt.IsZero() {
			age = max(time.Since(o.GivenAt), 0)
		}
		s.order = rollout.New(r.Settings, o.Order, now, age, r.DataCentre)
		s.given, s.withdrawn, s.writeAt, s.logged = time.Now().Add(-age), false, time.Time{}, rollout.Undecided
		s.order.SetState(o.State)
		r.Log.WithFields(logrus.Fields{
			"service": s.name, "target": o.Target, "order": o.ID(), "duration_ms": o.Duration.Milliseconds(), "state": o.State.String(),
			"age_ms": age.Milliseconds(), "revision": o.Revision,
		}).Info("rollout ordered")
		return true
	}
	before := s.order.State()
	s.order.SetState(o.State)
	if s.order.State() == before {
		return false
	}
	r.Log.WithFields(logrus.Fields{"service": s.name, "target": o.Target, "state": o.State.String(), "before": before.String()}).Info("rollout")
	return true
}

// withdraw takes the end of an order that was removed. Its target is not in service unless it was completed. The caller holds mu.
func (r *Register) withdraw(s *service) {
	if s.order.State() == rollout.Completed {
		s.order = nil
		return
	}
	s.withdrawn = true
	r.Log.WithFields(logrus.Fields{"service": s.name, "target": s.target()}).Warn("rollout withdrawn")
}

// refreshActive notes whether any order restricts requests. The caller holds mu.
func (r *Register) refreshActive() {
	active := false
	for _, s := range r.services {
		active = active || s.order != nil && !s.over(r.now())
	}
	r.active.Store(active)
}

func (r *Register) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Known tells whether the orders were read.
func (r *Register) Known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// Usable returns the listed endpoints whose builds may get requests.
func (r *Register) Usable(all []routing.Endpoint) []routing.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	builds := map[string]map[string]bool{}
	for i := range all {
		of := builds[all[i].Service]
		if of == nil {
			of = map[string]bool{}
			builds[all[i].Service] = of
		}
		of[all[i].Build] = true
	}
	for name, of := range builds {
		s := r.service(name)
		s.builds.Update(now, of, r.proved, s.target(), s.state())
	}
	var out []routing.Endpoint
	for i := range all {
		s := r.services[all[i].Service]
		if s.builds.Usable(now, all[i].Build, s.target(), s.state(), s.withdrawn) {
			out = append(out, all[i])
		}
	}
	for name := range builds {
		r.services[name].count(out)
	}
	return out
}

// waiting tells whether the endpoints have to be listed again because of time alone. The caller holds mu.
func (r *Register) waiting() bool {
	for _, s := range r.services {
		if s.builds.ChangesWithTime() {
			return true
		}
	}
	return false
}

package rollouts

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/platform"
)

// Store writes the states of orders.
type Store interface {
	ReplaceStatus(ctx context.Context, kind, name string, status json.RawMessage, condition revision.Position) (platform.Object, error)
}

// Options configure a [Controller].
type Options struct {
	Settings rollout.Settings
	// Self is the name of this instance, and DataCentre is where it runs.
	Self, DataCentre string
	Store            Store
	// Others returns the other instances that are alive.
	Others func() []rollout.Source
	// OrdersAge returns the time since the orders were last known to be the newest. It returns
	// false if they never were.
	OrdersAge func() (time.Duration, bool)
	// Relist is called when the endpoints that may be used may have changed.
	Relist func()
	// Drain returns how long streams of a service usually take until they can go on at another
	// endpoint. It returns 0 for services without streams.
	Drain func(service string) time.Duration
	// AnnounceDecision sends a new decision to the other instances at once.
	AnnounceDecision func()
	// Clock also runs while the machine is suspended.
	Clock clock.Func
	Log   *logrus.Entry
	Scope tally.Scope
}

// Controller carries out the orders to move services to other builds. It is safe for concurrent
// use.
type Controller struct {
	Options
	metrics metrics
	// active is set while any order restricts requests. It saves most requests the lock.
	active atomic.Bool
	wake   chan struct{} // makes Run call tick at once

	mu       sync.Mutex
	services map[string]*service
	// ordersRead is set once the orders were read for the first time. ordersCurrentAt is when they
	// were last known to be the newest.
	ordersRead      bool
	ordersCurrentAt time.Time
}

// service is the state of one service's builds.
type service struct {
	name   string
	builds rollout.Builds
	// listed is the number of listed endpoints by build, and usable tells which of these builds may
	// get requests.
	listed map[string]int
	usable map[string]bool
	// order is the one in progress or the last one; nil for none. given is when it was given, and
	// position that of its object in the store. withdrawn is set if the operator removed it before
	// it was completed.
	order     *rollout.Rollout
	given     time.Time
	position  revision.Position
	stored    rollout.State // the state in the store
	withdrawn bool
	// canary holds the IDs of the target's endpoints that get the requests of a canary.
	canary map[string]bool
	// undrained counts this instance's requests that are at the baseline and can't go on at the
	// target.
	undrained int
	// writeAt is when this instance writes the pending state, unless another one has written it by
	// then; zero if none is pending.
	writeAt        time.Time
	loggedDecision rollout.Decision
}

// New returns a controller that knows no orders.
func New(o Options) *Controller {
	return &Controller{Options: o, metrics: newMetrics(o.Scope), wake: make(chan struct{}, 1), services: map[string]*service{}}
}

// now returns the time of Clock as a [time.Time], which core/rollout uses. It is not the wall
// clock.
func (r *Controller) now() time.Time { return time.Unix(0, 0).Add(r.Clock()) }

func (r *Controller) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name, listed: map[string]int{}, usable: map[string]bool{}}
		r.services[name] = s
	}
	return s
}

// target returns the target of the service's order. It is empty if there is no order.
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

// running reports whether there is an order that is neither withdrawn nor in a final state.
func (s *service) running() bool { return s.order != nil && !s.withdrawn && !s.order.State().Final() }

// lostByStore reports whether the store holds an earlier state of the order than it held before.
func (s *service) lostByStore() bool {
	return s.order != nil && !s.withdrawn && s.stored < s.order.State()
}

// inactive reports whether the service's order does not restrict requests any more. There has to be
// an order.
func (s *service) inactive(now time.Time) bool {
	return s.order.State() == rollout.Completed && s.order.Age(now) >= s.order.Order().Duration
}

// informed reports whether this instance would learn of a roll-back: it has read the orders lately,
// or receives the counts of the other instances. The caller holds mu.
func (r *Controller) informed(s *service, now time.Time) bool {
	if age, known := r.OrdersAge(); known && age < r.Settings.MaxRollBackDelay/informedAgeDivisor {
		return true
	}
	return s.order.Connected(now, r.Others())
}

// informedAgeDivisor: orders that are older than MaxRollBackDelay divided by it are too old to send
// anything to a target.
const informedAgeDivisor = 2

// SetOrders sets all orders to those of the store. currentAt is when they were known to be the
// newest, in the time of Clock.
func (r *Controller) SetOrders(orders map[string]platform.Rollout, currentAt time.Duration) {
	r.mu.Lock()
	now := r.now()
	r.ordersCurrentAt = time.Unix(0, 0).Add(currentAt)
	changed := !r.ordersRead
	r.ordersRead = true
	for name, o := range orders {
		changed = r.setOrder(now, r.service(name), &o) || changed
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
		r.wakeRun()
		r.Relist()
	}
}

// setOrder sets the order of one service, and reports whether the order or its state is new. The
// caller holds mu.
func (r *Controller) setOrder(now time.Time, s *service, o *platform.Rollout) bool {
	reissued := s.order != nil && o.Position.Era > s.position.Era && s.order.Order().AsksForSame(&o.Order)
	s.position, s.stored = o.Position, o.State
	if reissued {
		s.order.Reissue(o.Order)
	}
	if s.order == nil || s.order.Order() != o.Order {
		age := time.Duration(0)
		if !o.GivenAt.IsZero() {
			age = max(time.Since(o.GivenAt), 0)
		}
		s.order = rollout.New(r.Settings, o.Order, now, age, r.DataCentre)
		s.given, s.withdrawn, s.writeAt, s.loggedDecision = time.Now().Add(-age), false, time.Time{}, rollout.Undecided
		s.order.SetState(o.State)
		r.Log.WithFields(logrus.Fields{
			"service": s.name, "target": o.Target, "order": o.ID(), "duration_ms": o.Duration.Milliseconds(), "state": o.State.String(),
			"age_ms": age.Milliseconds(), "revision": o.Position.Revision, "era": o.Position.Era,
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

// withdraw handles the removal of an order. Unless the order was completed, its target gets no more
// requests. The caller holds mu.
func (r *Controller) withdraw(s *service) {
	if s.order.State() == rollout.Completed {
		s.order = nil
		return
	}
	s.withdrawn = true
	r.Log.WithFields(logrus.Fields{"service": s.name, "target": s.target()}).Warn("rollout withdrawn")
}

// refreshActive sets active if any order restricts requests. The caller holds mu.
func (r *Controller) refreshActive() {
	active := false
	for _, s := range r.services {
		active = active || s.order != nil && !s.inactive(r.now())
	}
	r.active.Store(active)
}

func (r *Controller) wakeRun() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// OrdersRead reports whether the orders were read at least once.
func (r *Controller) OrdersRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordersRead
}

// buildsChangeWithTime reports whether a build may become usable by the passing of time alone, so
// that the endpoints have to be listed again. The caller holds mu.
func (r *Controller) buildsChangeWithTime() bool {
	for _, s := range r.services {
		if s.builds.ChangesWithTime() {
			return true
		}
	}
	return false
}

// Package orders carries out core/lease: it holds the orders lease in the platform and
// gives engines the orders that deployments ask for.
//
// Failure modes: the platform is down (the lease runs out, no order is given, running work
// goes on); this instance was paused past its lease (the check right before each order
// stops it; an engine that checks fencing refuses what is late all the same); an engine
// does not answer (the order is given again later, it is declarative).
package orders

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/lease"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/backends"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/platform"
)

// The lease's object in the platform.
const (
	KindLease = "lease"
	nameLease = "orders"
)

// Options of orders.
type Options struct {
	Name     string
	Settings lease.Settings
	Pace     lease.PlannerSettings
	Platform platform.Client
	Config   *config.Config
	Backends *backends.Backends
	Client   *endpoint.Client
	Log      *logrus.Entry
	Scope    tally.Scope
	// Candidate tells whether this instance tries to hold the lease.
	Candidate func() bool
}

// Orders is this instance's part in giving orders. It is safe for concurrent use.
type Orders struct {
	opt     Options
	mu      sync.Mutex
	holder  *lease.Holder
	planner *lease.Planner
	held    bool
}

// New returns orders without the lease.
func New(opt Options) *Orders {
	return &Orders{opt: opt, holder: lease.New(opt.Settings, opt.Name, rand.Uint64), planner: lease.NewPlanner(opt.Pace)}
}

const (
	tick         = 200 * time.Millisecond
	orderTimeout = time.Second
)

// Run holds the lease and gives orders until ctx ends, and then gives the lease up.
func (o *Orders) Run(ctx context.Context) {
	defer o.release()
	pause.Every(ctx, tick, func() {
		o.renew(ctx)
		o.give(ctx)
	})
}

// Holds tells whether this instance holds the lease now.
func (o *Orders) Holds() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.holder.Valid(time.Now())
	return ok
}

func (o *Orders) renew(ctx context.Context) {
	now := time.Now()
	o.mu.Lock()
	_, valid := o.holder.Valid(now)
	var a lease.Action
	if valid || o.opt.Candidate() {
		a = o.holder.Tick(now)
	}
	o.mu.Unlock()
	o.carryOut(ctx, a)
	o.noteChange()
}

func (o *Orders) carryOut(ctx context.Context, a lease.Action) {
	switch a := a.(type) {
	case lease.Read:
		obj, err := o.opt.Platform.Get(ctx, KindLease, nameLease)
		o.mu.Lock()
		defer o.mu.Unlock()
		if errorx.IsOfType(err, platform.ErrNotFound) {
			o.holder.ReportRead(time.Now(), lease.Done, lease.Object{})
			return
		}
		o.holder.ReportRead(time.Now(), resultOf(err), decode(obj))
	case lease.Write:
		raw, err := json.Marshal(stored{a.Object.Holder, a.Object.Nonce, a.Object.Released})
		if err != nil { // strings and numbers always encode
			panic(err)
		}
		obj, err := o.opt.Platform.Put(ctx, KindLease, nameLease, raw, a.IfVersion)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.holder.ReportWrite(time.Now(), resultOf(err), decode(obj))
	}
}

// stored is the lease's object as it is kept.
type stored struct {
	Holder   string `json:"holder"`
	Nonce    uint64 `json:"nonce,string"`
	Released bool   `json:"released,omitempty"`
}

func decode(obj platform.Object) lease.Object {
	var s stored
	_ = json.Unmarshal(obj.Value, &s) // an unreadable lease is another's, until its time is over
	return lease.Object{Version: obj.Version, Holder: s.Holder, Nonce: s.Nonce, Released: s.Released}
}

func resultOf(err error) lease.Result {
	switch {
	case err == nil:
		return lease.Done
	case errorx.IsOfType(err, platform.ErrConflict):
		return lease.Conflict
	case errorx.IsOfType(err, platform.ErrUncertain):
		return lease.Uncertain
	}
	return lease.Unavailable
}

func (o *Orders) noteChange() {
	o.mu.Lock()
	defer o.mu.Unlock()
	fence, held := o.holder.Valid(time.Now())
	if held == o.held {
		return
	}
	o.held = held
	o.planner.Reset()
	o.opt.Scope.Counter("orders_lease_changes").Inc(1)
	o.opt.Log.WithField("held", held).WithField("fence", fence).Info("orders lease changed")
}

// give gives the next order, if there is one and the lease is valid.
func (o *Orders) give(ctx context.Context) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.holder.Valid(now); !ok {
		return
	}
	order, ok := o.planner.Next(now, o.wants(), o.engines())
	if !ok {
		return
	}
	address, ok := o.opt.Backends.Address(order.Engine)
	if !ok {
		return
	}
	// Right before the order, so that a pause since the plan is noticed.
	fence, ok := o.holder.Valid(time.Now())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.opt.Client.Order(ctx, address, &endpoint.Order{Fence: fence, Version: order.Version, Models: encodeModels(order.Models), Role: order.Role})
	if err != nil {
		o.opt.Scope.Counter("orders_failed").Inc(1)
		return
	}
	o.planner.Accepted(time.Now(), order)
	o.opt.Scope.Counter("orders_given").Inc(1)
	o.opt.Log.WithFields(logrus.Fields{"engine": order.Engine, "deployment": order.Deployment, "fence": fence}).Info("order given")
}

func (o *Orders) wants() []lease.DeploymentSpec {
	var out []lease.DeploymentSpec
	for _, d := range o.opt.Config.Deployments() {
		if d.Plain {
			continue
		}
		out = append(out, lease.DeploymentSpec{
			Deployment: d.Name, Group: d.Service, Replicas: d.Replicas, Version: d.Version, Role: d.Role,
			Model: lease.Model{Name: d.Model, Version: d.ModelVersion, Adapters: d.Adapters()},
		})
	}
	return out
}

// engines returns the engines that take orders: live and answering.
func (o *Orders) engines() []lease.Engine {
	var out []lease.Engine
	for _, e := range o.opt.Backends.List() {
		if e.State != routing.Live || e.Suspected {
			continue
		}
		le := lease.Engine{ID: e.ID, Group: e.Service, DataCentre: e.DataCentre, Role: e.Role}
		for _, m := range e.Models {
			le.Models = append(le.Models, lease.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
		out = append(out, le)
	}
	return out
}

func encodeModels(models []lease.Model) []endpoint.LoadedModel {
	out := make([]endpoint.LoadedModel, len(models))
	for i, m := range models {
		out[i] = endpoint.LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters}
	}
	return out
}

// release gives the lease up on the way out.
func (o *Orders) release() {
	o.mu.Lock()
	a := o.holder.Release(time.Now())
	o.mu.Unlock()
	if a == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	o.carryOut(ctx, a)
}

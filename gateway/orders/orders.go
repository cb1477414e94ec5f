// Package orders executes the decisions of core/lease. It holds the orders lease in the platform's
// store and gives engines the orders that deployments require. Only the holder of the lease gives
// orders.
//
// Failure modes:
//   - The platform is down: the lease expires and no order is given; running work goes on.
//   - This instance was paused past its lease: the check right before each order stops it. If the
//     order is late all the same, an engine that checks fencing numbers refuses it.
//   - An engine does not answer: the order is given again later, since orders are declarative.
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

// Kind and name of the lease's object in the platform's store.
const (
	KindLease = "lease"
	leaseName = "orders"
)

// Options of a [Controller].
type Options struct {
	// Name identifies this instance as the holder of the lease.
	Name     string
	Lease    lease.Settings
	Planner  lease.PlannerSettings
	Platform platform.Client
	Config   *config.Config
	Backends *backends.Backends
	Client   *endpoint.Client
	Log      *logrus.Entry
	Scope    tally.Scope
	// Candidate reports whether this instance may try to acquire the lease. A holder renews the
	// lease without asking.
	Candidate func() bool
}

// Controller tries to hold the lease and gives orders while it does. It is safe for concurrent use.
type Controller struct {
	opt     Options
	mu      sync.Mutex
	holder  *lease.Holder
	planner *lease.Planner
	held    bool // whether the lease was held at the last check
}

// New returns a controller that does not hold the lease.
func New(opt Options) *Controller {
	return &Controller{opt: opt, holder: lease.New(opt.Lease, opt.Name, rand.Uint64), planner: lease.NewPlanner(opt.Planner)}
}

const (
	tickInterval = 200 * time.Millisecond
	orderTimeout = time.Second
)

// Run tries to hold the lease and gives orders until ctx is done. It then releases the lease.
func (o *Controller) Run(ctx context.Context) {
	defer o.release()
	pause.Every(ctx, tickInterval, func() {
		o.tickLease(ctx)
		o.giveNext(ctx)
	})
}

// HoldsLease reports whether this instance holds a valid lease now.
func (o *Controller) HoldsLease() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.holder.Valid(time.Now())
	return ok
}

// tickLease advances the lease: it acquires or renews it when that is due.
func (o *Controller) tickLease(ctx context.Context) {
	now := time.Now()
	o.mu.Lock()
	_, valid := o.holder.Valid(now)
	var a lease.Action
	if valid || o.opt.Candidate() {
		a = o.holder.Tick(now)
	}
	o.mu.Unlock()
	o.execute(ctx, a)
	o.updateHeld()
}

// execute executes an action of the lease and reports the result to the holder; a may be nil.
func (o *Controller) execute(ctx context.Context, a lease.Action) {
	switch a := a.(type) {
	case lease.Read:
		obj, err := o.opt.Platform.Get(ctx, KindLease, leaseName)
		o.mu.Lock()
		defer o.mu.Unlock()
		if errorx.IsOfType(err, platform.ErrNotFound) {
			o.holder.ReportRead(time.Now(), lease.Done, lease.Object{Era: o.opt.Platform.Era()})
			return
		}
		o.holder.ReportRead(time.Now(), resultOf(err), decodeLease(obj, o.opt.Platform.Era()))
	case lease.Write:
		raw, err := json.Marshal(leaseObject{a.Object.Holder, a.Object.Nonce, a.Object.Released})
		if err != nil { // strings and numbers always encode
			panic(err)
		}
		obj, err := o.opt.Platform.Put(ctx, KindLease, leaseName, raw, a.IfVersion)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.holder.ReportWrite(time.Now(), resultOf(err), decodeLease(obj, o.opt.Platform.Era()))
	}
}

// leaseObject is the stored form of the lease.
type leaseObject struct {
	Holder   string `json:"holder"`
	Nonce    uint64 `json:"nonce,string"`
	Released bool   `json:"released,omitempty"`
}

func decodeLease(obj platform.Object, era uint64) lease.Object {
	var s leaseObject
	_ = json.Unmarshal(obj.Value, &s) // an unreadable lease counts as another holder's until it expires
	return lease.Object{Era: era, Version: obj.Version, Holder: s.Holder, Nonce: s.Nonce, Released: s.Released}
}

// resultOf returns the result of a call to the platform. Errors other than a conflict or a lost
// answer become [lease.Unavailable].
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

// updateHeld resets the planner and logs when the lease was acquired or lost.
func (o *Controller) updateHeld() {
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

// giveNext gives the next order, if there is one and the lease is valid. An order that fails is not
// reported to the planner, which returns it again.
func (o *Controller) giveNext(ctx context.Context) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.holder.Valid(now); !ok {
		return
	}
	order, ok := o.planner.Next(now, o.deploymentSpecs(), o.availableEngines())
	if !ok {
		return
	}
	address, ok := o.opt.Backends.Address(order.Engine)
	if !ok {
		return
	}
	// Check again right before the order, in case the process was paused since the first check.
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

// deploymentSpecs returns the specs of all deployments that run on engines.
func (o *Controller) deploymentSpecs() []lease.DeploymentSpec {
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

// availableEngines returns the engines that take orders: those that are live and not suspected.
func (o *Controller) availableEngines() []lease.Engine {
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

// release releases the lease, if it is held.
func (o *Controller) release() {
	o.mu.Lock()
	a := o.holder.Release(time.Now())
	o.mu.Unlock()
	if a == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	o.execute(ctx, a)
}

package lease

import (
	"slices"
	"sort"
	"time"
)

// Model is a version of a model with adapters.
type Model struct {
	Name, Version string
	Adapters      []string
}

// DeploymentSpec is what a deployment requires of the engines of its group.
type DeploymentSpec struct {
	Deployment string
	Group      string
	Model      Model
	Replicas   int
	// Role is the role that the engines have to take; empty leaves their role unchanged.
	Role string
	// Version is the version of the deployment's configuration; orders carry it.
	Version uint64
}

// Engine is the state that an engine reports.
type Engine struct {
	ID, Group, DataCentre, Role string
	Models                      []Model
}

// Order asks an engine to load exactly these models. It is declarative: repeating it changes
// nothing.
type Order struct {
	Engine     string
	Deployment string
	Version    uint64
	Models     []Model
	// Role is the role to take; empty leaves it unchanged.
	Role string
}

// PlannerSettings limit how fast engines are told to load from the weight store.
type PlannerSettings struct {
	// MaxParallel is how many engines may load at once.
	MaxParallel int
	// MinInterval is the least time between two orders.
	MinInterval time.Duration
	// OrderTimeout is how long an engine may take to carry an order out before the order is given
	// again.
	OrderTimeout time.Duration
}

// DefaultPlannerSettings returns the settings used by the daemon.
func DefaultPlannerSettings() PlannerSettings {
	return PlannerSettings{MaxParallel: 4, MinInterval: 500 * time.Millisecond, OrderTimeout: 2 * time.Minute}
}

// Planner decides on orders and tracks the ones that are in progress.
type Planner struct {
	settings    PlannerSettings
	pending     map[string]pendingOrder // by engine ID
	lastOrderAt time.Time
}

// pendingOrder is an order that an engine has accepted and not yet carried out.
type pendingOrder struct {
	acceptedAt time.Time
	order      Order
}

// NewPlanner returns a planner with no orders in progress.
func NewPlanner(p PlannerSettings) *Planner {
	return &Planner{settings: p, pending: map[string]pendingOrder{}}
}

// Reset forgets the orders in progress. It is called when this instance gains or loses the lease,
// since a new holder reads the state back from the engines.
func (p *Planner) Reset() { p.pending = map[string]pendingOrder{} }

// Next returns the next order, if one may be given now. The caller reports it with
// [Planner.Accepted] once the engine has taken it.
func (p *Planner) Next(now time.Time, specs []DeploymentSpec, engines []Engine) (Order, bool) {
	p.dropSettled(now, engines)
	if len(p.pending) >= p.settings.MaxParallel || now.Sub(p.lastOrderAt) < p.settings.MinInterval {
		return Order{}, false
	}
	for i := range specs {
		if o, ok := p.orderFor(&specs[i], specs, engines); ok {
			return o, true
		}
	}
	return Order{}, false
}

// Accepted records that an engine has accepted an order.
func (p *Planner) Accepted(now time.Time, o Order) {
	p.pending[o.Engine] = pendingOrder{now, o}
	p.lastOrderAt = now
}

// dropSettled drops the orders that are carried out or have timed out.
func (p *Planner) dropSettled(now time.Time, engines []Engine) {
	for i := range engines {
		e := &engines[i]
		g, ok := p.pending[e.ID]
		if ok && (g.order.carriedOutBy(e) || now.Sub(g.acceptedAt) >= p.settings.OrderTimeout) {
			delete(p.pending, e.ID)
		}
	}
}

// orderFor returns an order that lets one more engine serve a spec, if one is needed and an engine
// is available.
func (p *Planner) orderFor(spec *DeploymentSpec, specs []DeploymentSpec, engines []Engine) (Order, bool) {
	serving, servingIn := 0, map[string]int{}
	var candidates []*Engine
	for i := range engines {
		e := &engines[i]
		if e.Group != spec.Group {
			continue
		}
		g, busy := p.pending[e.ID]
		if spec.satisfiedBy(e.Models, e.Role) || busy && spec.satisfiedBy(g.order.Models, g.order.Role) {
			serving++
			servingIn[e.DataCentre]++
		} else if !busy && !spec.usedInOtherRole(e, specs) {
			candidates = append(candidates, e)
		}
	}
	if serving >= spec.Replicas || len(candidates) == 0 {
		return Order{}, false
	}
	// Spread over data centres first; then prefer the engine with the fewest models.
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if servingIn[a.DataCentre] != servingIn[b.DataCentre] {
			return servingIn[a.DataCentre] < servingIn[b.DataCentre]
		}
		if len(a.Models) != len(b.Models) {
			return len(a.Models) < len(b.Models)
		}
		return a.ID < b.ID
	})
	e := candidates[0]
	return Order{Engine: e.ID, Deployment: spec.Deployment, Version: spec.Version, Models: modelsWith(e.Models, spec, specs), Role: spec.Role}, true
}

// satisfiedBy reports whether an engine with the models and the role serves the spec.
func (s *DeploymentSpec) satisfiedBy(models []Model, role string) bool {
	return hasModel(models, &s.Model) && (s.Role == "" || s.Role == role)
}

// usedInOtherRole reports whether an engine already serves a spec of the group in another role. An
// order that changes its role would take it from that deployment.
func (s *DeploymentSpec) usedInOtherRole(e *Engine, specs []DeploymentSpec) bool {
	return s.Role != "" && slices.ContainsFunc(specs, func(o DeploymentSpec) bool {
		return o.Group == s.Group && o.Role != "" && o.Role != s.Role && o.Replicas > 0 && o.satisfiedBy(e.Models, e.Role)
	})
}

// carriedOutBy reports whether an engine has carried the order out.
func (o *Order) carriedOutBy(e *Engine) bool {
	return sameModels(e.Models, o.Models) && (o.Role == "" || o.Role == e.Role)
}

// modelsWith returns an engine's models with that of spec added. Models that another deployment of
// the group requires stay; other versions of the added model are dropped unless they are required
// too.
func modelsWith(models []Model, spec *DeploymentSpec, specs []DeploymentSpec) []Model {
	out := []Model{spec.Model}
	for _, m := range models {
		if m.Name == spec.Model.Name && m.Version == spec.Model.Version {
			continue
		}
		wanted := slices.ContainsFunc(specs, func(o DeploymentSpec) bool {
			return o.Group == spec.Group && o.Model.Name == m.Name && (o.Model.Version == "" || o.Model.Version == m.Version)
		})
		if wanted {
			out = append(out, m)
		}
	}
	return out
}

// hasModel reports whether models contain want with its adapters. An empty version matches any.
func hasModel(models []Model, want *Model) bool {
	return slices.ContainsFunc(models, func(m Model) bool {
		return m.Name == want.Name && (want.Version == "" || m.Version == want.Version) && containsAll(m.Adapters, want.Adapters)
	})
}

func containsAll(have, want []string) bool {
	for _, w := range want {
		if !slices.Contains(have, w) {
			return false
		}
	}
	return true
}

func sameModels(a, b []Model) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range b {
		if !hasModel(a, &b[i]) {
			return false
		}
	}
	return true
}

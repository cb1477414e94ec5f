package lease

import (
	"slices"
	"sort"
	"time"
)

// Model is a model in one version, with adapters.
type Model struct {
	Name, Version string
	Adapters      []string
}

// Want is what a deployment asks of the engines of its group.
type Want struct {
	Deployment string
	Group      string
	Model      Model
	Replicas   int
	// Role that the engines take along; empty leaves it.
	Role string
	// Version of the configuration that the order follows from.
	Version uint64
}

// Engine is an engine as it reports itself.
type Engine struct {
	ID, Group, DataCentre, Role string
	Models                      []Model
}

// Order asks an engine to have exactly these models. It is declarative: the same order
// twice changes nothing.
type Order struct {
	Engine     string
	Deployment string
	Version    uint64
	Models     []Model
	// Role to take; empty leaves it.
	Role string
}

// Pace bounds the loads from the weight store.
type Pace struct {
	// Parallel is how many engines may load at once.
	Parallel int
	// Gap is the least time between two orders.
	Gap time.Duration
	// Patience is how long an order may take before it is given again.
	Patience time.Duration
}

// DefaultPace returns the pace used by the daemon.
func DefaultPace() Pace {
	return Pace{Parallel: 4, Gap: 500 * time.Millisecond, Patience: 2 * time.Minute}
}

// Planner remembers the orders that are under way.
type Planner struct {
	pace  Pace
	given map[string]given // by engine
	last  time.Time
}

type given struct {
	at    time.Time
	order Order
}

// NewPlanner returns a planner without orders under way.
func NewPlanner(p Pace) *Planner { return &Planner{pace: p, given: map[string]given{}} }

// Reset forgets the orders under way, when the lease was lost: a new holder reads the
// state back.
func (p *Planner) Reset() { p.given = map[string]given{} }

// Next returns the next order, if one may be given now. The caller reports it with Given.
func (p *Planner) Next(now time.Time, wants []Want, engines []Engine) (Order, bool) {
	p.settle(now, engines)
	if len(p.given) >= p.pace.Parallel || now.Sub(p.last) < p.pace.Gap {
		return Order{}, false
	}
	for i := range wants {
		if o, ok := p.forWant(&wants[i], wants, engines); ok {
			return o, true
		}
	}
	return Order{}, false
}

// Given records that an order was taken by its engine.
func (p *Planner) Given(now time.Time, o Order) {
	p.given[o.Engine] = given{now, o}
	p.last = now
}

// settle drops the orders that are carried out, or took too long.
func (p *Planner) settle(now time.Time, engines []Engine) {
	for i := range engines {
		e := &engines[i]
		g, ok := p.given[e.ID]
		if ok && (g.order.done(e) || now.Sub(g.at) >= p.pace.Patience) {
			delete(p.given, e.ID)
		}
	}
}

// forWant returns an order towards one want: one more engine with its model.
func (p *Planner) forWant(w *Want, wants []Want, engines []Engine) (Order, bool) {
	have, byCentre := 0, map[string]int{}
	var free []*Engine
	for i := range engines {
		e := &engines[i]
		if e.Group != w.Group {
			continue
		}
		g, busy := p.given[e.ID]
		if w.met(e.Models, e.Role) || busy && w.met(g.order.Models, g.order.Role) {
			have++
			byCentre[e.DataCentre]++
		} else if !busy && !w.robs(e, wants) {
			free = append(free, e)
		}
	}
	if have >= w.Replicas || len(free) == 0 {
		return Order{}, false
	}
	// Spread over data centres; then the engine with the fewest models.
	sort.Slice(free, func(i, j int) bool {
		a, b := free[i], free[j]
		if byCentre[a.DataCentre] != byCentre[b.DataCentre] {
			return byCentre[a.DataCentre] < byCentre[b.DataCentre]
		}
		if len(a.Models) != len(b.Models) {
			return len(a.Models) < len(b.Models)
		}
		return a.ID < b.ID
	})
	e := free[0]
	return Order{Engine: e.ID, Deployment: w.Deployment, Version: w.Version, Models: with(e.Models, w, wants), Role: w.Role}, true
}

// met tells whether an engine with the models and the role serves the want.
func (w *Want) met(models []Model, role string) bool {
	return holds(models, &w.Model) && (w.Role == "" || w.Role == role)
}

// robs tells whether an order to an engine would take it from a want that it serves in
// another role.
func (w *Want) robs(e *Engine, wants []Want) bool {
	return w.Role != "" && slices.ContainsFunc(wants, func(o Want) bool {
		return o.Group == w.Group && o.Role != "" && o.Role != w.Role && o.Replicas > 0 && o.met(e.Models, e.Role)
	})
}

// done tells whether an engine has carried the order out.
func (o *Order) done(e *Engine) bool {
	return sameModels(e.Models, o.Models) && (o.Role == "" || o.Role == e.Role)
}

// with returns an engine's models with the wanted one: those that some deployment of the
// group still wants stay, older versions of the wanted one go.
func with(models []Model, w *Want, wants []Want) []Model {
	out := []Model{w.Model}
	for _, m := range models {
		if m.Name == w.Model.Name && m.Version == w.Model.Version {
			continue
		}
		wanted := slices.ContainsFunc(wants, func(o Want) bool {
			return o.Group == w.Group && o.Model.Name == m.Name && (o.Model.Version == "" || o.Model.Version == m.Version)
		})
		if wanted {
			out = append(out, m)
		}
	}
	return out
}

func holds(models []Model, want *Model) bool {
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
		if !holds(a, &b[i]) {
			return false
		}
	}
	return true
}

package routing

import (
	"time"

	"github.com/agateway/agateway/core/health"
)

// State is an endpoint's state as far as this instance knows.
type State int

// States of an endpoint.
const (
	Live State = iota
	// Leaving endpoints get no new work; running streams finish.
	Leaving
)

// Model is a model that an endpoint has loaded.
type Model struct {
	Name, Version string
	Adapters      []string
}

// Endpoint describes one back end.
type Endpoint struct {
	// ID names one incarnation: one that starts again, even under the name that it had, is another endpoint, of which
	// nothing is believed that was true of the one before.
	ID string
	// Name is what the endpoint calls itself; empty where that is its ID.
	Name                string
	Address, DataCentre string
	// Born is when it started, in milliseconds of the Unix clock; 0 where that is not known.
	Born int64
	// Build is the version of its software; empty where it does not say. Cold is for how much longer it was slow after its start when
	// the list had it.
	Build string
	Cold  time.Duration
	// Service groups endpoints that serve the same deployments.
	Service string
	Slots   int
	State   State
	Models  []Model
	// Role is the engine's own word.
	Role string
	// Memory is what running requests and copies share at an engine, in tokens; 0 where only
	// slots count.
	Memory int
	// ChecksFencing tells that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool
}

// CalledBy returns the name by which requests call the endpoint.
func (e *Endpoint) CalledBy() string {
	if e.Name == "" {
		return e.ID
	}
	return e.Name
}

func (e *Endpoint) serves(model, adapter, version string) bool {
	if model == "" {
		return true
	}
	for i := range e.Models {
		m := &e.Models[i]
		if m.Name == model && (version == "" || m.Version == version) && m.hasAdapter(adapter) {
			return true
		}
	}
	return false
}

func (m *Model) hasAdapter(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, a := range m.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}

// Load is an endpoint's own report.
type Load struct {
	Running, Queued int
	// Age is how old the report was when it was received.
	Age time.Duration
}

// node is an endpoint with what this instance knows of its load and health.
type node struct {
	hash uint64 // of its id
	Endpoint
	load     Load
	loadAt   time.Time // when the load was as reported
	open     int       // requests of this instance in progress
	recent   []change  // requests sent (+1) and finished (-1) since loadAt
	trust    health.Breaker
	before   int             // requests in progress that were there when it failed last
	outcomes health.Outcomes // of requests of this instance
	pace     health.Pace     // as this instance observed it
	lost     bool            // its last answer did not arrive
	failedAt time.Time       // when it last failed this instance, or was heard to have failed another one
	fullTill time.Time       // it refused a request a short while ago
	leaving  bool            // the endpoint's own word
	ended    bool            // its address answers for another incarnation
	home     bool            // this instance's own part of the endpoints
	own      Placed          // what this instance has placed there
	others   Placed          // what other instances told that they have placed there
	claims   []claimed       // what others are about to place there
	doubters int             // other instances that it failed a short while ago
	// othersOutcomes is what other instances told that they have seen, othersPace the slowest pace of those told.
	othersOutcomes health.Counts
	othersPace     float64
	// owned tells that this instance hears all that others place there; otherwise told is the last summary of it.
	owned bool
	told  told
}

type change struct {
	at    time.Time
	delta int
}

const maxRecent = 256

func (n *node) note(now time.Time, delta int) {
	n.open += delta
	if len(n.recent) == maxRecent {
		n.load.Running += n.recent[0].delta
		copy(n.recent, n.recent[1:])
		n.recent = n.recent[:maxRecent-1]
	}
	n.recent = append(n.recent, change{now, delta})
}

func (n *node) report(now time.Time, l Load) {
	at := now.Add(-l.Age)
	if at.Before(n.loadAt) {
		return // overtaken by a newer report
	}
	n.load, n.loadAt = l, at
	kept := n.recent[:0]
	for _, c := range n.recent {
		if c.at.After(at) {
			kept = append(kept, c)
		}
	}
	n.recent = kept
}

// estimate returns the requests believed to be at the endpoint: the last report, while it is not too old, corrected
// by what this instance did since it was taken, and never less than what this instance has there and others told
// that they have.
func (n *node) estimate(now time.Time, ttl time.Duration) int {
	known := n.open + n.othersPlaced(now).Open
	if now.Sub(n.loadAt) >= ttl {
		return known
	}
	total := n.load.Running + n.load.Queued
	for _, c := range n.recent {
		total += c.delta
	}
	return max(total, known)
}

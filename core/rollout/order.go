package rollout

import (
	"fmt"
	"time"
)

// State is the state of an order in the store. It only moves forward; see [State.Final].
type State int

const (
	// Ordered means that no instance has acted on the order yet.
	Ordered State = iota
	Running
	Completed
	RolledBack
)

// String returns the name that logs and operator tools show.
func (s State) String() string {
	return [...]string{"ordered", "running", "completed", "rolled_back"}[s]
}

// Final reports whether the state is an outcome, which never changes.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Order asks to move a service to another build of its endpoints, the target.
type Order struct {
	Service, Target string
	// Created identifies the incarnation of the order's object in the store.
	Created uint64
	// Duration is the time within which the order has to be completed or rolled back, counted from
	// when it was given.
	Duration time.Duration
}

// AsksForSame reports whether another order asks for the same move.
func (o Order) AsksForSame(other *Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Duration == other.Duration
}

// maxDuration is the longest duration that [Order.Validate] accepts.
const maxDuration = 7 * 24 * time.Hour

// Validate returns an error if the service or the target is empty, or if the duration is not
// positive or longer than a week.
func (o *Order) Validate() error {
	switch {
	case o.Service == "":
		return fmt.Errorf("rollout: no service")
	case o.Target == "":
		return fmt.Errorf("rollout of %s: no target", o.Service)
	case o.Duration <= 0 || o.Duration > maxDuration:
		return fmt.Errorf("rollout of %s: duration %v", o.Service, o.Duration)
	}
	return nil
}

// ID returns an identifier that differs from those of all other orders of the service, earlier ones
// included.
func (o *Order) ID() string {
	return fmt.Sprintf("%d/%s/%d", o.Created, o.Target, o.Duration.Milliseconds())
}

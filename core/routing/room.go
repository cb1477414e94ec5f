package routing

import "time"

// Bound is what keeps a request from an endpoint that takes work.
type Bound int

// The bounds, in the order in which they are checked.
const (
	BoundNone     Bound = iota
	BoundMemory         // the memory in use and that of the request exceed the endpoint's
	BoundPrefill        // the prompt would be prefilled too late for the target latency
	BoundPause          // the endpoint refused requests for lack of room, or serves its trial request
	BoundSlots          // too many requests are placed there
	BoundDeadline       // a stream there, or the request, would miss its deadline
	numBounds
)

// RoomCheck says why the engines of a service have no room for a request.
type RoomCheck struct {
	// Engines is the number of engines in use that serve the request's model.
	Engines int
	// ByBound counts them by the bound that the request reaches there.
	ByBound [numBounds]int
	// Prefill is how long the prompt is expected to take at an engine of the usual speed with no other
	// prompt; 0 if unknown. PrefillLimit is the bound on it and on the prompts ahead; 0 for none.
	Prefill, PrefillLimit time.Duration
}

// CheckRoom returns by which bounds the engines of a service have no room for a request.
func (v *View) CheckRoom(now time.Time, r *Request) RoomCheck {
	p := picker{v: v, now: now, r: r}
	c := RoomCheck{PrefillLimit: r.prefillLimit()}
	c.Prefill, _ = v.ExpectedPrefillTime(r.Service, r.PromptTokens)
	for _, n := range v.groups[groupKey{r.Service, ""}] {
		if n.Memory > 0 && n.takesWork(now) && n.serves(r.Model, r.Adapter, r.Version) && r.Builds.Allows(&n.Endpoint) {
			c.Engines++
			c.ByBound[p.boundReached(n)]++
		}
	}
	return c
}

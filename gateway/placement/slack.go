package placement

import (
	"time"

	"github.com/agateway/agateway/core/routing"
)

// SetStream records what is left of a stream of this instance at an endpoint, under a key that no other
// stream there has. It returns the prompt tokens that are still to be prefilled at the endpoint.
func (p *Placement) SetStream(id string, key uint64, s routing.RunningStream) (pending int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.SetStream(time.Now(), id, key, s)
}

// RemoveStream forgets a stream that has ended at an endpoint.
func (p *Placement) RemoveStream(id string, key uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.RemoveStream(id, key)
}

// CheckSlack reports whether a request is kept from an endpoint for a deadline.
func (p *Placement) CheckSlack(id string, r *routing.Request) routing.SlackCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.CheckSlack(time.Now(), id, r)
}

// CheckRoom returns by which bounds the engines of a service have no room for a request.
func (p *Placement) CheckRoom(r *routing.Request) routing.RoomCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.CheckRoom(time.Now(), r)
}

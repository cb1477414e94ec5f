package sharedqueue

import (
	"time"

	"github.com/agateway/agateway/core/fairqueue"
)

// Status is what is known of a request in a shared queue.
type Status struct {
	// Answered is set once an owner has taken the request into its queue.
	Answered bool
	// Turn is set while the request may look for room.
	Turn bool
	// Refused is set once the owner does not expect room for the request in time.
	Refused *fairqueue.Refusal
	// NoOwner is set once no owner answers. The request is in no shared queue then.
	NoOwner bool
	// Expected is the wait that the owner expects for the requests of this instance without a turn.
	Expected time.Duration
}

// Ticket is the place of a request in a shared queue. Leave has to be called at its end.
type Ticket struct {
	client  *Client
	service string
	request fairqueue.Request
	changed chan struct{}

	// Guarded by client.mu.
	status Status
	// sentIn is the sequence of the first update that listed the request; 0 for none.
	sentIn uint64
	// known is set once a state shows that the current owner has received the request.
	known bool
	// listedSince is the first of the updates that list the request until it is known. All updates since
	// list it, so a state that follows from any of them shows it to be known; 0 if the last one does not.
	listedSince uint64
}

// Changed returns a channel that delivers a value after the status has changed.
func (t *Ticket) Changed() <-chan struct{} { return t.changed }

// Status returns what is known now.
func (t *Ticket) Status() Status {
	t.client.mu.Lock()
	defer t.client.mu.Unlock()
	return t.status
}

// Leave takes the request out of the queue. placed reports whether an engine took it.
func (t *Ticket) Leave(placed bool) { t.client.leave(t, placed) }

// set replaces the status of a ticket. A refusal stays.
func (t *Ticket) set(s Status) {
	if t.status.Refused != nil || t.status == s {
		return
	}
	t.status = s
	signal(t.changed)
}

// signal delivers a value to a channel of capacity 1 that has none.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

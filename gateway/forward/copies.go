package forward

import (
	"slices"
	"time"

	"github.com/agateway/agateway/core/routing"
)

// keeper knows where a copy of the memory of a session's run is kept: at an engine of another data
// centre, so that the loss of a whole data centre leaves it. Going on from a copy takes some tens of
// milliseconds, where reading a prompt of 8,000 tokens again takes a second.
type keeper struct {
	session *session
	// at is the engine that keeps the copy of the current run; nil for none.
	at *routing.Endpoint
}

// choose picks the engine that keeps a copy of a run that is about to begin at e, and returns its
// address; empty when the engines can't do that or none has room.
func (k *keeper) choose(e *routing.Endpoint) string {
	k.drop()
	s := k.session
	service := s.req.table.Service(s.req.service)
	if service == nil || service.Engine == nil || !service.Engine.Copies {
		return ""
	}
	r := s.request()
	r.Avoid, r.Away, r.Copy, r.Weights = []string{e.ID}, e.DataCentre, true, copyWeights()
	d, err := s.f.Placement.Pick(r)
	if err != nil { // no other data centre has room: another engine of this one is better than none
		r.Away = ""
		if d, err = s.f.Placement.Pick(r); err != nil {
			return ""
		}
	}
	k.at = &d.Endpoint
	s.f.Placement.Place(k.at.ID, k.placed())
	return k.at.Address
}

// copyWeights ranks engines that may keep a copy: by the memory that is left, and by load, since a
// stream that goes on there runs beside what is there.
func copyWeights() routing.Weights { return routing.Weights{Load: 0.5, Memory: 1} }

func (k *keeper) placed() routing.Placed { return routing.Placed{Tokens: k.session.tokens()} }

// take returns the engine with the copy, to go on there; nil when there is none or it failed.
func (k *keeper) take(avoid []string) *routing.Endpoint {
	at := k.at
	if at == nil {
		return nil
	}
	k.drop()
	e, ok := k.session.f.Placement.Get(at.ID)
	if !ok || e.State != routing.Live || slices.Contains(avoid, at.ID) {
		return nil
	}
	return at
}

// drop gives back what the copy takes in this instance's account.
func (k *keeper) drop() {
	if k.at != nil {
		k.session.f.Placement.Release(k.at.ID, k.placed())
		k.at = nil
	}
}

// done takes note that the run ended well: its copy is freed by the engines themselves.
func (k *keeper) done() { k.drop() }

// close accounts for a copy whose run did not end well: it stays for a while.
func (k *keeper) close() {
	if k.at == nil {
		return
	}
	s, at, placed := k.session, k.at, k.placed()
	k.at = nil
	time.AfterFunc(s.req.table.Service(s.req.service).Engine.CopyKept, func() { s.f.Placement.Release(at.ID, placed) })
}

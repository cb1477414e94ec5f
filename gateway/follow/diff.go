package follow

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/routing"
)

// listDiff is the difference between a list of endpoints and the one before.
type listDiff struct {
	// changed are the IDs of endpoints that are new or have another state, and leaving those of
	// them that are leaving. removed are the IDs that are not listed any more.
	changed, leaving, removed []string
	// inUse are the changed and removed endpoints at which this instance has requests.
	inUse []usedEndpoint
}

type usedEndpoint struct {
	id               string
	leaving, removed bool
}

// diffFromLast returns what has changed since the last call.
func (e *Endpoints) diffFromLast(all []routing.Endpoint) *listDiff {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := &listDiff{}
	states := make(map[string]routing.State, len(all))
	for i := range all {
		id, state := all[i].ID, all[i].State
		states[id] = state
		if old, known := e.lastStates[id]; known && old == state {
			continue
		}
		d.changed = append(d.changed, id)
		if state == routing.Leaving {
			d.leaving = append(d.leaving, id)
		}
		if e.inUse(id) {
			d.inUse = append(d.inUse, usedEndpoint{id: id, leaving: state == routing.Leaving})
		}
	}
	for id := range e.lastStates {
		if _, still := states[id]; still {
			continue
		}
		d.removed = append(d.removed, id)
		if e.inUse(id) {
			d.inUse = append(d.inUse, usedEndpoint{id: id, removed: true})
		}
	}
	slices.Sort(d.removed)
	e.lastStates = states
	return d
}

// maxLoggedNames bounds the IDs in the log line about a changed list.
const maxLoggedNames = 8

// log writes one line about all changes, and one for each changed endpoint at which this instance
// has requests, since those lines explain what happens to the requests. With a line for every
// endpoint, these were three quarters of all lines of a fleet of 90 instances, and would be 90,000
// lines when 295 instances start.
func (d *listDiff) log(log *logrus.Entry) {
	if len(d.changed)+len(d.removed) == 0 {
		return
	}
	names := append(slices.Clone(d.removed), d.changed...)
	log.WithFields(logrus.Fields{
		"listed": len(d.changed), "leaving": len(d.leaving), "gone": len(d.removed), "endpoints": names[:min(len(names), maxLoggedNames)],
	}).Info("list of endpoints changed")
	for _, u := range d.inUse {
		if u.removed {
			log.WithField("endpoint", u.id).Info("endpoint in use is no longer listed")
			continue
		}
		log.WithFields(logrus.Fields{"endpoint": u.id, "leaving": u.leaving}).Info("endpoint in use changed its state")
	}
}

package follow

import (
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/listing"
	"github.com/agateway/agateway/core/routing"
)

// listDiff describes changes of the list of endpoints for the log.
type listDiff struct {
	// changed are the IDs of endpoints that are new or have another state, and leaving is how many
	// of them are leaving. removed are the IDs that are not listed any more.
	changed, removed []string
	leaving          int
	// inUse are the changed and removed endpoints at which this instance has requests.
	inUse []usedEndpoint
}

type usedEndpoint struct {
	id               string
	leaving, removed bool
}

// describe returns the differences that are logged.
func (e *Endpoints) describe(changes []listing.Change) *listDiff {
	d := &listDiff{}
	for i := range changes {
		c := &changes[i]
		switch {
		case c.After == nil:
			d.removed = append(d.removed, c.Before.ID)
			if e.inUse(c.Before.ID) {
				d.inUse = append(d.inUse, usedEndpoint{id: c.Before.ID, removed: true})
			}
		case c.Before == nil || c.Before.State != c.After.State:
			d.addChanged(c.After, e.inUse(c.After.ID))
		}
	}
	return d
}

func (d *listDiff) addChanged(after *routing.Endpoint, inUse bool) {
	leaving := after.State == routing.Leaving
	d.changed = append(d.changed, after.ID)
	if leaving {
		d.leaving++
	}
	if inUse {
		d.inUse = append(d.inUse, usedEndpoint{id: after.ID, leaving: leaving})
	}
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
	names := append(d.removed[:len(d.removed):len(d.removed)], d.changed...)
	log.WithFields(logrus.Fields{
		"listed": len(d.changed), "leaving": d.leaving, "gone": len(d.removed), "endpoints": names[:min(len(names), maxLoggedNames)],
	}).Info("list of endpoints changed")
	for _, u := range d.inUse {
		if u.removed {
			log.WithField("endpoint", u.id).Info("endpoint in use is no longer listed")
			continue
		}
		log.WithFields(logrus.Fields{"endpoint": u.id, "leaving": u.leaving}).Info("endpoint in use changed its state")
	}
}

package follow

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/routing"
)

// moved is how a list of endpoints differs from the one before.
type moved struct {
	// listed are new or have changed their state, leaving are those of them that leave, and gone are not listed any more.
	listed, leaving, gone []string
	// used are those of all these at which requests of this instance are.
	used []usedEndpoint
}

type usedEndpoint struct {
	id            string
	leaving, gone bool
}

// compare finds out what has changed since the last list.
func (e *Endpoints) compare(all []routing.Endpoint) *moved {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := &moved{}
	now := make(map[string]routing.State, len(all))
	for i := range all {
		id, state := all[i].ID, all[i].State
		now[id] = state
		if old, known := e.seen[id]; known && old == state {
			continue
		}
		m.listed = append(m.listed, id)
		if state == routing.Leaving {
			m.leaving = append(m.leaving, id)
		}
		if e.inUse(id) {
			m.used = append(m.used, usedEndpoint{id: id, leaving: state == routing.Leaving})
		}
	}
	for id := range e.seen {
		if _, still := now[id]; still {
			continue
		}
		m.gone = append(m.gone, id)
		if e.inUse(id) {
			m.used = append(m.used, usedEndpoint{id: id, gone: true})
		}
	}
	slices.Sort(m.gone)
	e.seen = now
	return m
}

// namesMost bounds the names in a line about many endpoints.
const namesMost = 8

// log writes one line about all changes, and one for each endpoint at which requests of this instance are: these
// explain what becomes of the requests. A line for each endpoint was three in four of all lines of a fleet of 90, and
// would be 90,000 when 295 instances start.
func (m *moved) log(log *logrus.Entry) {
	if len(m.listed)+len(m.gone) == 0 {
		return
	}
	names := append(slices.Clone(m.gone), m.listed...)
	log.WithFields(logrus.Fields{
		"listed": len(m.listed), "leaving": len(m.leaving), "gone": len(m.gone), "endpoints": names[:min(len(names), namesMost)],
	}).Info("list of endpoints changed")
	for _, u := range m.used {
		if u.gone {
			log.WithField("endpoint", u.id).Info("endpoint in use gone from the list")
			continue
		}
		log.WithFields(logrus.Fields{"endpoint": u.id, "leaving": u.leaving}).Info("endpoint in use changed its state")
	}
}

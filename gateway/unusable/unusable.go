// Package unusable reports objects of the platform's store that can't be decoded or used. Lists are read again and
// again, and each object is logged and counted once, until it changes or goes.
package unusable

import (
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/platform"
)

// maxLogged bounds the objects that are logged at a time. The others are only counted, so that a writer that spoils all
// objects does not fill the log.
const maxLogged = 50

// Entries are the objects that can't be used now. It is safe for concurrent use. A nil Entries reports nothing.
type Entries struct {
	log   *logrus.Entry
	scope tally.Scope

	mu     sync.Mutex
	byKind map[string]map[string]revision.Position
	total  int
}

// New returns a report without objects.
func New(log *logrus.Entry, scope tally.Scope) *Entries {
	return &Entries{log: log, scope: scope, byKind: map[string]map[string]revision.Position{}}
}

// Found reports that an object can't be used, and what is done instead. An object that was found at the same position
// before is not reported again.
func (e *Entries) Found(kind string, o *platform.Object, err error, instead string) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.byKind[kind]
	if known == nil {
		known = map[string]revision.Position{}
		e.byKind[kind] = known
	}
	before, again := known[o.Name]
	if again && before == o.Position() {
		return
	}
	known[o.Name] = o.Position()
	if !again {
		e.total++
	}
	if e.total <= maxLogged {
		e.log.WithError(err).WithFields(logrus.Fields{"kind": kind, "object": o.Name, "revision": o.Revision, "instead": instead}).Warn("an object of the store can't be used")
	}
	tagged := e.scope.Tagged(map[string]string{"kind": kind})
	tagged.Counter("unusable_objects_total").Inc(1)
	tagged.Gauge("unusable_objects").Update(float64(len(known)))
}

// Gone reports that an object was removed, or can be used.
func (e *Entries) Gone(kind, name string) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.byKind[kind][name]; known {
		e.forget(kind, name)
	}
}

// Listed reports which objects of a kind there are.
func (e *Entries) Listed(kind string, objects []platform.Object) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.byKind[kind]
	if len(known) == 0 {
		return
	}
	listed := make(map[string]bool, len(known))
	for i := range objects {
		if _, ok := known[objects[i].Name]; ok && !objects[i].Deleted {
			listed[objects[i].Name] = true
		}
	}
	for name := range known {
		if !listed[name] {
			e.forget(kind, name)
		}
	}
}

// forget forgets an object. The caller holds mu.
func (e *Entries) forget(kind, name string) {
	delete(e.byKind[kind], name)
	e.total--
	e.scope.Tagged(map[string]string{"kind": kind}).Gauge("unusable_objects").Update(float64(len(e.byKind[kind])))
}

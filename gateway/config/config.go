package config

import (
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/platform"
)

// Config is the configuration in force. It is safe for concurrent use.
type Config struct {
	platform platform.Client
	log      *logrus.Entry
	scope    tally.Scope

	mu          sync.RWMutex
	store       *revision.Store
	listedEra   uint64 // the newest era of the platform's store in which it was listed
	digest      uint64
	deployments map[string]*Deployment
	teams       map[string]*Team
	changed     chan struct{} // closed at the next change
	onChange    func([]revision.Record)
}

// New returns an empty configuration. onChange is called with the records of each change, outside
// the lock, so that they can be sent on to the peers. It may be nil.
func New(p platform.Client, log *logrus.Entry, scope tally.Scope, onChange func([]revision.Record)) *Config {
	return &Config{
		platform: p, log: log, scope: scope, store: revision.NewStore(), onChange: onChange,
		deployments: map[string]*Deployment{}, teams: map[string]*Team{}, changed: make(chan struct{}),
	}
}

// Apply applies records from the platform or a peer, and returns those that were newer than the
// ones in force.
func (c *Config) Apply(records []revision.Record) []revision.Record {
	c.mu.Lock()
	var fresh []revision.Record
	for _, r := range records {
		if c.store.Apply(r) {
			c.decode(r)
			fresh = append(fresh, r)
		}
	}
	if len(fresh) > 0 {
		c.digest = c.store.Digest()
		close(c.changed)
		c.changed = make(chan struct{})
	}
	c.mu.Unlock()
	c.reportChanges(fresh)
	return fresh
}

func (c *Config) reportChanges(fresh []revision.Record) {
	if len(fresh) == 0 {
		return
	}
	c.scope.Counter("configuration_changes").Inc(int64(len(fresh)))
	const maxLogLines = 5
	for _, r := range fresh[:min(len(fresh), maxLogLines)] {
		c.log.WithFields(logrus.Fields{"kind": r.Kind, "name": r.Name, "version": r.Version, "deleted": r.Deleted}).Info("configuration in force")
	}
	if c.onChange != nil {
		c.onChange(fresh)
	}
}

// decode updates the decoded form of an object. If the new version can't be decoded, the version
// before it stays in force, and a counter records it. The caller holds c.mu.
func (c *Config) decode(r revision.Record) {
	switch r.Kind {
	case KindDeployment:
		var p operatorv1.Deployment
		if r.Deleted {
			delete(c.deployments, r.Name)
		} else if _, err := decodeObject(r.Value, &p); err == nil {
			c.deployments[r.Name] = newDeployment(&p, r.Version)
		} else {
			c.scope.Counter("configuration_unreadable").Inc(1)
		}
	case KindTeam:
		var p operatorv1.Team
		if r.Deleted {
			delete(c.teams, r.Name)
		} else if _, err := decodeObject(r.Value, &p); err == nil {
			c.teams[r.Name] = newTeam(&p, r.Version)
		} else {
			c.scope.Counter("configuration_unreadable").Inc(1)
		}
	}
}

// Deployment returns a deployment in force, and whether there is one of this name.
func (c *Config) Deployment(name string) (*Deployment, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	d, ok := c.deployments[name]
	return d, ok
}

// Deployments returns all deployments in force, in no particular order.
func (c *Config) Deployments() []*Deployment {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]*Deployment, 0, len(c.deployments))
	for _, d := range c.deployments {
		out = append(out, d)
	}
	return out
}

// Team returns a team in force, and whether there is one of this name.
func (c *Config) Team(name string) (*Team, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	t, ok := c.teams[name]
	return t, ok
}

// Digest returns a digest over the versions of all objects in force. It is 0 as long as there is
// no configuration.
func (c *Config) Digest() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.digest
}

// Buckets returns digests over parts of the objects. A peer compares them with its own to find the
// objects that differ.
func (c *Config) Buckets() []uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.store.Buckets()
}

// Differing returns the records in the buckets whose digests differ from those of a peer.
func (c *Config) Differing(buckets []uint64) []revision.Record {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.store.Differing(buckets)
}

// Changed returns a channel that is closed at the next change.
func (c *Config) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

func (c *Config) record(kind, name string) (revision.Record, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.store.Get(revision.ID{Kind: kind, Name: name})
}

func (c *Config) list(kind string) []revision.Record {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.store.List(kind)
}

func recordOf(o platform.Object) revision.Record {
	return revision.Record{
		ID: revision.ID{Kind: o.Kind, Name: o.Name}, Version: o.Version, Value: o.Value,
		Deleted: o.Deleted || decodeEnvelope(o.Value).Deleted,
	}
}

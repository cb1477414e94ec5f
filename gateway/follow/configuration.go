package follow

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform"
)

// Configuration is the newest configuration known, with the proof that it still is the newest. It is
// safe for concurrent use.
type Configuration struct {
	loop    loop
	changes func(*route.Table)

	mu    sync.Mutex
	table *route.Table
	proof revision.Freshness
}

// NewConfiguration returns a follower that knows nothing yet. The proof grows as old as a watch waits in
// calm times; changes is called with each new table.
func NewConfiguration(o Options, changes func(*route.Table)) *Configuration {
	return &Configuration{loop: loop{Options: o, kind: platform.KindConfiguration}, changes: changes}
}

// Run follows the store until ctx ends.
func (c *Configuration) Run(ctx context.Context) { c.loop.run(ctx, c) }

// Table returns the newest table, nil when none is known, and the age of the proof.
func (c *Configuration) Table() (*route.Table, time.Duration) {
	now := c.loop.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	age, _ := c.proof.Age(now)
	return c.table, age
}

func (c *Configuration) replace(proved time.Duration, objects []platform.Object) {
	c.changed(proved, objects)
}

func (c *Configuration) changed(proved time.Duration, objects []platform.Object) {
	for i := range objects {
		if objects[i].Name == platform.ConfigurationName && !objects[i].Deleted {
			c.take(&objects[i])
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil {
		c.proof.Confirm(proved)
	}
}

func (c *Configuration) unreachable(time.Duration) {}

// take puts a configuration in force unless a higher version already is.
func (c *Configuration) take(o *platform.Object) {
	decoded, err := platform.DecodeConfiguration(o.Spec)
	if err != nil {
		c.loop.Log.WithError(err).WithField("revision", o.Revision).Error("configuration can't be read; the one before stays")
		return
	}
	c.mu.Lock()
	if c.table != nil && c.table.Version() >= decoded.Version {
		c.mu.Unlock()
		return
	}
	table := route.NewTable(decoded)
	c.table = table
	c.mu.Unlock()
	c.loop.Log.WithFields(logrus.Fields{
		"version": decoded.Version, "routes": len(decoded.Routes), "teams": len(decoded.Teams), "revision": o.Revision,
	}).Info("configuration in force")
	c.changes(table)
}

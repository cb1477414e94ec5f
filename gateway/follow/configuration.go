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

// Configuration holds the newest configuration known, and when it was last known to be the newest.
// It is safe for concurrent use.
type Configuration struct {
	loop     loop
	onChange func(*route.Table)

	mu        sync.Mutex
	table     *route.Table
	freshness revision.Freshness
}

// NewConfiguration returns a Configuration that holds none yet. While the store answers and nothing
// changes, the age of the configuration grows up to the time that a watch waits. onChange is called
// with each new table.
func NewConfiguration(o Options, onChange func(*route.Table)) *Configuration {
	return &Configuration{loop: loop{Options: o, kind: platform.KindConfiguration}, onChange: onChange}
}

// Run keeps the configuration up to date until ctx ends.
func (c *Configuration) Run(ctx context.Context) { c.loop.run(ctx, c) }

// Table returns the newest table, and the time since it was last known to be the newest. The table
// is nil if no configuration is known.
func (c *Configuration) Table() (*route.Table, time.Duration) {
	now := c.loop.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	age, _ := c.freshness.Age(now)
	return c.table, age
}

func (c *Configuration) replace(currentAt time.Duration, objects []platform.Object) {
	c.update(currentAt, objects)
}

func (c *Configuration) update(currentAt time.Duration, objects []platform.Object) {
	for i := range objects {
		if objects[i].Name == platform.ConfigurationName && !objects[i].Deleted {
			c.apply(&objects[i])
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil {
		c.freshness.Confirm(currentAt)
	}
}

func (c *Configuration) readFailed(time.Duration) {}

// apply puts a configuration in force unless the one in force has the same version or a higher one.
func (c *Configuration) apply(o *platform.Object) {
	decoded, err := platform.DecodeConfiguration(o.Spec)
	if err != nil {
		c.loop.Unusable.Found(platform.KindConfiguration, o, err, "the configuration before stays in force")
		return
	}
	c.loop.Unusable.Gone(platform.KindConfiguration, o.Name)
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
	c.onChange(table)
}

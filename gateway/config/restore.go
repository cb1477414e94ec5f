package config

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/platform"
)

// When the platform's store returns from an older copy, the latest versions of some objects are gone. They stay
// in force, and the instances that watch write them again.

// restoreInterval is the time between two objects that are written again.
const restoreInterval = 50 * time.Millisecond

// restoreLost writes the objects of a kind again of which a list holds a lower version than is in force, or
// none.
func (c *Config) restoreLost(ctx context.Context, kind string, objects []platform.Object) error {
	listed := make(map[string]uint64, len(objects))
	for i := range objects {
		listed[objects[i].Name] = objects[i].Version
	}
	c.mu.RLock()
	lost := c.store.Newer(kind, listed)
	c.mu.RUnlock()
	for _, r := range lost {
		log := c.log.WithFields(logrus.Fields{"kind": r.Kind, "name": r.Name, "version": r.Version, "version_stored": listed[r.Name], "deleted": r.Deleted})
		if err := c.platform.Restore(ctx, platform.Object{Kind: r.Kind, Name: r.Name, Version: r.Version, Value: r.Value, Deleted: r.Deleted}); err != nil {
			log.WithError(err).Warn("can't write an object again that the store has lost")
			return err
		}
		log.Info("object written again that the store has lost")
		c.scope.Counter("configuration_restored").Inc(1)
		pause.For(ctx, restoreInterval)
	}
	return nil
}

// returned reports whether a list is of a later era of the store than the last one.
func (c *Config) returned(listedAt revision.Position) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.listedEra > 0 && listedAt.Era > c.listedEra
}

func (c *Config) noteListed(listedAt revision.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedEra = max(c.listedEra, listedAt.Era)
}

// checkInForce returns [ErrConflict] for a write that expects a lower version than is in force. The store may have
// lost that one, and would give out its number again. The write in force may be this one, sent again.
func (c *Config) checkInForce(w *write) error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	r, known := c.store.Held(revision.ID{Kind: w.kind, Name: w.name})
	switch {
	case !known || r.Version <= w.expected || r.Deleted && w.expected == 0:
		return nil
	case r.Version == w.expected+1 && w.operation != "" && decodeEnvelope(r.Value).Operation == w.operation:
		return nil
	}
	return conflict(r.Version)
}

// lostByStore reports whether the store holds a lower version of an object than is in force.
func (c *Config) lostByStore(w *write, stored uint64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return stored < c.store.Version(revision.ID{Kind: w.kind, Name: w.name})
}

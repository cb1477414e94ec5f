package engine

import (
	"container/list"
	"time"

	"github.com/agateway/agateway/gateway/endpoint"
)

// tokensPerBlock is the size of a cached block.
const tokensPerBlock = 64

// prefixCache is a least-recently-used set of prompt prefixes with its event log.
type prefixCache struct {
	most   int
	order  *list.List // of uint64, most recent first
	places map[uint64]*list.Element
	events []timedEvent
	seq    uint64
}

type timedEvent struct {
	endpoint.CacheEvent
	due time.Time
}

const keptEvents = 4096

func newPrefixCache(most int) *prefixCache {
	return &prefixCache{most: most, order: list.New(), places: map[uint64]*list.Element{}}
}

// lookup returns how many prompt tokens are cached.
func (c *prefixCache) lookup(prefixes []uint64) int {
	n := 0
	for i, p := range prefixes {
		if at := c.places[p]; at != nil {
			c.order.MoveToFront(at)
			n = (i + 1) * tokensPerBlock
		}
	}
	return n
}

func (c *prefixCache) store(due time.Time, prefixes []uint64, lost func() bool) {
	for _, p := range prefixes {
		if at := c.places[p]; at != nil {
			c.order.MoveToFront(at)
			continue
		}
		c.places[p] = c.order.PushFront(p)
		c.event(due, p, false, lost())
		if c.order.Len() > c.most {
			oldest := c.order.Remove(c.order.Back()).(uint64)
			delete(c.places, oldest)
			c.event(due, oldest, true, lost())
		}
	}
}

func (c *prefixCache) event(due time.Time, prefix uint64, evicted, lost bool) {
	c.seq++
	if lost {
		return
	}
	c.events = append(c.events, timedEvent{endpoint.CacheEvent{Sequence: c.seq, Prefix: endpoint.HexHash(prefix), Evicted: evicted}, due})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

func (c *prefixCache) since(now time.Time, seq uint64) []endpoint.CacheEvent {
	var out []endpoint.CacheEvent
	for _, ev := range c.events {
		if ev.Sequence > seq && !now.Before(ev.due) {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}

package engine

import (
	"container/list"
	"time"

	"github.com/agateway/agateway/gateway/endpoint"
)

// tokensPerBlock is the size of a prefix cache block in tokens.
const tokensPerBlock = 64

// prefixCache is an LRU set of prompt prefix hashes and the log of its changes. It is not safe for
// concurrent use.
type prefixCache struct {
	capacity int
	lru      *list.List // prefix hashes (uint64), most recently used first
	elements map[uint64]*list.Element
	events   []delayedEvent
	seq      uint64
}

// delayedEvent is a cache event that status calls leave out before visibleAt.
type delayedEvent struct {
	endpoint.CacheEvent
	visibleAt time.Time
}

// maxLoggedEvents bounds the log; older events are dropped.
const maxLoggedEvents = 4096

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), elements: map[uint64]*list.Element{}}
}

// lookup returns how many tokens of a prompt are cached. prefixes are the hashes of the prompt's
// prefixes, one a block, shortest first.
func (c *prefixCache) lookup(prefixes []uint64) int {
	n := 0
	for i, p := range prefixes {
		if elem := c.elements[p]; elem != nil {
			c.lru.MoveToFront(elem)
			n = (i + 1) * tokensPerBlock
		}
	}
	return n
}

// store adds prefixes and evicts the least recently used ones beyond the capacity. lose is asked for
// each event whether it is lost.
func (c *prefixCache) store(visibleAt time.Time, prefixes []uint64, lose func() bool) {
	for _, p := range prefixes {
		if elem := c.elements[p]; elem != nil {
			c.lru.MoveToFront(elem)
			continue
		}
		c.elements[p] = c.lru.PushFront(p)
		c.logEvent(visibleAt, p, false, lose())
		if c.lru.Len() > c.capacity {
			oldest := c.lru.Remove(c.lru.Back()).(uint64)
			delete(c.elements, oldest)
			c.logEvent(visibleAt, oldest, true, lose())
		}
	}
}

// logEvent logs one change. A lost event takes a sequence number too, so that readers see a gap.
func (c *prefixCache) logEvent(visibleAt time.Time, prefix uint64, evicted, lost bool) {
	c.seq++
	if lost {
		return
	}
	c.events = append(c.events, delayedEvent{endpoint.CacheEvent{Sequence: c.seq, Prefix: endpoint.HexHash(prefix), Evicted: evicted}, visibleAt})
	if len(c.events) > maxLoggedEvents {
		c.events = c.events[len(c.events)-maxLoggedEvents:]
	}
}

// since returns the events after sequence number seq that are visible at now.
func (c *prefixCache) since(now time.Time, seq uint64) []endpoint.CacheEvent {
	var out []endpoint.CacheEvent
	for _, ev := range c.events {
		if ev.Sequence > seq && !now.Before(ev.visibleAt) {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}

package routing

import "time"

// cacheIndex remembers which endpoints are believed to hold a prompt prefix. Its
// memory is bounded: entries leave in the order of their last event.
type cacheIndex struct {
	entries map[uint64]*cacheEntry
	order   []uint64 // ring, oldest first
	head    int
	most    int
	ttl     time.Duration
}

type cacheEntry struct {
	holders [maxHolders]holder
	// common is set when more endpoints hold the prefix than are remembered: it is then
	// no reason to prefer those few, and would draw all work to them.
	common bool
}

type holder struct {
	endpoint string
	at       time.Time
}

// maxHolders bounds how many endpoints are remembered for one prefix.
const maxHolders = 4

func newCacheIndex(most int, ttl time.Duration) cacheIndex {
	return cacheIndex{entries: map[uint64]*cacheEntry{}, most: max(most, 1), ttl: ttl}
}

// CacheStored takes an event that an endpoint holds a prefix.
func (v *View) CacheStored(now time.Time, id string, prefix uint64) {
	c := &v.cache
	e := c.entries[prefix]
	if e == nil {
		e = &cacheEntry{}
		c.entries[prefix] = e
		c.remember(prefix)
	}
	oldest, free := 0, false
	for i := range e.holders {
		h := &e.holders[i]
		if h.endpoint == id || h.endpoint == "" {
			oldest, free = i, true
			break
		}
		if h.at.Before(e.holders[oldest].at) {
			oldest = i
		}
	}
	if !free && now.Sub(e.holders[oldest].at) < c.ttl {
		e.common = true
	}
	e.holders[oldest] = holder{id, now}
}

func (c *cacheIndex) remember(prefix uint64) {
	if len(c.order) < c.most {
		c.order = append(c.order, prefix)
		return
	}
	delete(c.entries, c.order[c.head])
	c.order[c.head] = prefix
	c.head = (c.head + 1) % c.most
}

// CacheEvicted takes an event that an endpoint dropped a prefix.
func (v *View) CacheEvicted(id string, prefix uint64) {
	if e := v.cache.entries[prefix]; e != nil {
		for i := range e.holders {
			if e.holders[i].endpoint == id {
				e.holders[i] = holder{}
				e.common = false
			}
		}
	}
}

// CacheLost forgets all that is believed of an endpoint's cache: its events had a
// gap, or it restarted.
func (v *View) CacheLost(id string) {
	for p := range v.cache.entries {
		v.CacheEvicted(id, p)
	}
}

// Holds tells whether any live endpoint is believed to hold a prompt prefix.
func (v *View) Holds(now time.Time, prefix uint64) bool {
	e := v.cache.entries[prefix]
	if e == nil {
		return false
	}
	for i := range e.holders {
		if n := v.nodes[e.holders[i].endpoint]; n != nil && now.Sub(e.holders[i].at) < v.cache.ttl {
			return true
		}
	}
	return false
}

// cached returns the share of the prefixes, shortest first, that an endpoint is
// believed to hold.
func (v *View) cached(now time.Time, id string, prefixes []uint64) float64 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if v.holds(now, id, prefixes[i]) {
			return float64(i+1) / float64(len(prefixes))
		}
	}
	return 0
}

func (v *View) holds(now time.Time, id string, prefix uint64) bool {
	e := v.cache.entries[prefix]
	if e == nil || e.common {
		return false
	}
	for i := range e.holders {
		h := &e.holders[i]
		if h.endpoint == id && now.Sub(h.at) < v.cache.ttl {
			return true
		}
	}
	return false
}
